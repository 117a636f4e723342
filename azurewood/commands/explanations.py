"""Concludes from a job's log lines why it waited or was refused."""

from collections import abc
import dataclasses
import typing

from azurewood.scheduling import stuck

Line = dict[str, typing.Any]

LIMIT: typing.Final = "limit"
SHARE: typing.Final = "share"
ROOM: typing.Final = "room"
RACK: typing.Final = "rack"
OTHER: typing.Final = "other"
CAUSES: typing.Final = {
    stuck.Why.ACCOUNT_LIMIT.value: LIMIT,
    stuck.Why.SHARE.value: SHARE,
    stuck.Why.ROOM.value: ROOM,
    stuck.Why.NO_HOST.value: ROOM,
    stuck.Why.NOT_APPROVED.value: ROOM,
}
"""Causes of the reasons that ``task.stuck`` gives; the rest are OTHER."""
REFUSED: typing.Final = frozenset({"job.refused", "job.id_in_use"})
RESOURCES: typing.Final = ("cpu", "memory_mb", "gpu")
WAIT_MS: typing.Final = 1000
"""Shorter waits are not explained, as accounts are logged once a second."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Reason:
    """Why a job waited or was refused, and the line that says so.

    ``cause`` is one of limit, share, room, rack, refused or other.
    """

    cause: str
    text: str
    event: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Explanation:
    """What a job's lines say of its account and its waiting."""

    job: str
    account: str
    waited_ms: int | None
    reasons: list[Reason]

    def __str__(self) -> str:
        account = self.account or "none"
        lines = [f"job {self.job}: account {account}"]
        if self.waited_ms is not None:
            lines.append(f"  waited {self.waited_ms} ms for its first host")
        lines.extend(
            f"  {reason.cause}: {reason.text} ({reason.event})"
            for reason in self.reasons
        )
        return "\n".join(lines)


def account_of(job_lines: abc.Iterable[Line]) -> str:
    """Return the account that a job's lines name, "" without one."""
    found = (line.get("account") for line in job_lines)
    return next((str(name) for name in found if name), "")


def queues_of(job_lines: abc.Iterable[Line]) -> set[str]:
    """Return the queues that a job's lines name."""
    return {str(line["queue"]) for line in job_lines if line.get("queue")}


def waiting_until(job_lines: abc.Iterable[Line]) -> str:
    """Return the time of the last line about waiting, "" without one."""
    return max(
        (
            line["time"]
            for line in job_lines
            if line.get("event") in ("step.placed", "task.stuck")
        ),
        default="",
    )


def explain(
    job: str, job_lines: list[Line], states: abc.Iterable[Line]
) -> Explanation | None:
    """Return what a job's lines say, None if no account or refusal is named.

    ``states`` are the lines ``account.state`` from while the job waited. They
    count if nothing of the job was stuck for long enough to be logged.
    """
    account = account_of(job_lines)
    waits = list(_waits(job_lines))
    waited_ms = _waited_ms(job_lines)
    if waited_ms is not None and waited_ms >= WAIT_MS and not waits:
        waits.extend(_from_states(states))
    reasons = [*_refusals(job_lines), *waits, *_far(job_lines)]
    refused = any(reason.cause == "refused" for reason in reasons)
    if not (account or refused):
        return None
    return Explanation(
        job=job, account=account, waited_ms=waited_ms, reasons=reasons
    )


def _refusals(job_lines: list[Line]) -> abc.Iterator[Reason]:
    for line in job_lines:
        event = line.get("event")
        if event == "job.id_in_use":
            text = "its id is that of another account's job"
        elif event == "job.refused" or (
            event == "accepted" and line.get("verdict") == "Refused"
        ):
            text = str(line.get("reason", "refused"))
        else:
            continue
        if line.get("wait_ms"):
            text += f", expected wait {line['wait_ms']} ms"
        if line.get("retry_after_s"):
            text += f", retry after {line['retry_after_s']} s"
        yield Reason(cause="refused", text=text, event=event)


def _waits(job_lines: list[Line]) -> abc.Iterator[Reason]:
    longest: dict[str, int] = {}
    for line in job_lines:
        if line.get("event") == "task.stuck" and line.get("why"):
            why = str(line["why"])
            stuck_ms = _number(line, "stuck_ms")
            longest[why] = max(longest.get(why, 0), stuck_ms)
    for why, stuck_ms in longest.items():
        yield Reason(
            cause=CAUSES.get(why, OTHER),
            text=f"{why}, nothing had run for {stuck_ms} ms",
            event="task.stuck",
        )


def _waited_ms(job_lines: list[Line]) -> int | None:
    waits = [
        _number(line, "waited_ms")
        for line in job_lines
        if line.get("event") == "step.placed"
    ]
    return min(waits, default=None)


def _from_states(states: abc.Iterable[Line]) -> abc.Iterator[Reason]:
    """Yield what the account was at while the job waited."""
    lines = [line for line in states if _number(line, "waiting")]
    for name in RESOURCES:
        at_limit = [line for line in lines if _at_limit(line, name)]
        if at_limit:
            used = max(_number(line, f"running_{name}") for line in at_limit)
            most = _number(at_limit[0], f"limit_{name}")
            text = f"the account had {used} of {most} {name} running"
            yield Reason(cause=LIMIT, text=text, event="account.state")
            return
    full = [
        str(line["full_pools"]) for line in lines if line.get("full_pools")
    ]
    if full:
        text = f"pools were full, the account was due {full[-1]}"
        yield Reason(cause=SHARE, text=text, event="account.state")


def _at_limit(line: Line, name: str) -> bool:
    """Return whether an account's limit has no room for its mean task."""
    most = _number(line, f"limit_{name}")
    running = _number(line, "running")
    if not (most and running):
        return False
    used = _number(line, f"running_{name}")
    return used + used // running > most


def _far(job_lines: list[Line]) -> abc.Iterator[Reason]:
    far = sum(_number(line, "far") for line in job_lines)
    if far:
        text = f"{far} runs were placed outside the rack of their data"
        yield Reason(cause=RACK, text=text, event="step.placed")


def _number(line: Line, name: str) -> int:
    value = line.get(name)
    return int(value) if isinstance(value, int | float) else 0
