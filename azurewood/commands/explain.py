"""``azurewood explain``: show from logs what was decided about a job."""

from collections import abc
import typing

import click
import msgspec

from azurewood.commands import base as commands_base
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
OMITTED_FIELDS: typing.Final = frozenset(
    {"time", "level", "logger", "zone", "daemon", "event", "message", "job"}
)


@click.command(
    help=commands_base.help_of(
        "Print what all daemons decided about JOB, in order of time."
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
    shown = [
        line
        for line in lines
        if _concerns(line, job)
        or (
            line.get("event") in CONTEXT_EVENTS
            and first <= line["time"] <= last
        )
    ]
    shown.sort(key=lambda line: line["time"])
    if commands_base.Output(options["output"]) is commands_base.Output.JSON:
        output.json(shown)
        return
    for line in shown:
        click.echo(_format_line(line))


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
