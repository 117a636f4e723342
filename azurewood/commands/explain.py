"""``azurewood explain``: show from logs what was decided about a job."""

from collections import abc
import dataclasses
import typing

import click
import msgspec

from azurewood.commands import base as commands_base
from azurewood.commands import explanations
from azurewood.commands import output
from azurewood.conf import decoding

CONTEXT_EVENTS: typing.Final = frozenset(
    {
        "term.begun",
        "term.leading",
        "term.over",
        "store.lost",
        "store.back",
        "append.failed",
        "append.resolved",
        "append.replayed",
        "catalog.changed",
        "leader.late",
        "leader.saturated",
        "log.left_out",
    }
)
"""Events that affect all jobs; shown from a job's first line to its last."""
ACCOUNT_STATE: typing.Final = "account.state"
EXPLANATION: typing.Final = "explanation"
"""Event of the last entry of JSON output, which no daemon writes."""
OMITTED_FIELDS: typing.Final = frozenset(
    {"time", "level", "logger", "zone", "daemon", "event", "message", "job"}
)


@click.command(
    help=commands_base.help_of(
        "Print what all daemons decided about JOB, in order of time, then"
        " its account and why it waited (limit, share, room, rack) or was"
        " refused, if the lines name an account or a refusal."
        " LOG holds the daemons' lines, by default from standard input;"
        " text before a line's JSON is skipped.",
        "azurewood explain 5c0e7a21d94b36f8 daemons.log",
    )
)
@click.argument("job")
@click.argument("log", type=click.File("rb"), default="-")
@commands_base.output_option
def explain(*, job: str, log: typing.BinaryIO, **options: str) -> None:
    """Print what all daemons decided about JOB, in order of time."""
    lines = list(_parse_lines(log))
    job_lines = [line for line in lines if _concerns(line, job)]
    if not job_lines:
        raise click.ClickException(f"no line of the log concerns job {job}")
    times = sorted(line["time"] for line in job_lines)
    first, last = times[0], times[-1]
    context = _Context.of(job_lines)
    shown = [
        line
        for line in lines
        if _concerns(line, job)
        or (first <= line["time"] <= last and context.includes(line))
    ]
    shown.sort(key=lambda line: line["time"])
    job_lines.sort(key=lambda line: line["time"])
    states = [line for line in shown if line.get("event") == ACCOUNT_STATE]
    found = explanations.explain(job, job_lines, states)
    if commands_base.Output(options["output"]) is commands_base.Output.JSON:
        output.json(shown if found is None else [*shown, _as_line(found)])
        return
    for line in shown:
        click.echo(_format_line(line))
    if found is not None:
        click.echo(str(found))


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Context:
    """Which lines that do not name a job are shown with its lines."""

    account: str
    queues: set[str]
    waiting_until: str

    @classmethod
    def of(cls, job_lines: list[dict[str, typing.Any]]) -> typing.Self:
        """Return the context of a job's lines."""
        return cls(
            account=explanations.account_of(job_lines),
            queues=explanations.queues_of(job_lines),
            waiting_until=explanations.waiting_until(job_lines),
        )

    def includes(self, line: dict[str, typing.Any]) -> bool:
        """Return whether a line of the job's time is shown."""
        own = self.account and line.get("account") == self.account
        match line.get("event"):
            case "account.state":
                return bool(own) and line["time"] <= self.waiting_until
            case "account.limit":
                return bool(own)
            case "call.unauthorized":
                # Calls with an unknown key have no account.
                return bool(own) or line.get("queue") in self.queues
            case event:
                return event in CONTEXT_EVENTS


def _as_line(found: explanations.Explanation) -> dict[str, typing.Any]:
    return {"event": EXPLANATION, **dataclasses.asdict(found)}


def _parse_lines(log: typing.BinaryIO) -> abc.Iterator[dict[str, typing.Any]]:
    for text in log:
        # The beginning of a truncated line may precede the line's JSON.
        start = text.rfind(b'{"time"')
        if start < 0:
            continue
        try:
            line = decoding.decode(msgspec.json.decode, text[start:])
        except decoding.MalformedData:
            # Other programs may write to the same stream.
            continue
        if isinstance(line, dict) and "time" in line:
            yield line


def _concerns(line: dict[str, typing.Any], job: str) -> bool:
    named = str(line.get("path", "")).rpartition("/")[2]
    return job in (line.get("job"), named)


def _format_line(line: dict[str, typing.Any]) -> str:
    fields = " ".join(
        f"{key}={value}"
        for key, value in line.items()
        if key not in OMITTED_FIELDS
    )
    header = (
        f"{line['time']} {line.get('daemon', '-')} {line.get('event', '-')}"
    )
    message = line.get("message", "")
    return " ".join(part for part in (header, fields, message) if part)
