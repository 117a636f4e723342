"""Encodes calls to hosts and decodes their entries and replies.

The platform calls a host a worker. ``clock_ms`` is the host's monotonic
clock. ``deadline_ms`` is the time on that clock at which the host's lease
expires; one lease covers all runs on the host.
"""

import dataclasses
import re
import typing

from loguru import logger
import msgspec

from azurewood.conf import decoding
from azurewood.conf import kinds
from azurewood.http import exchanges
from azurewood.jobs import model
from azurewood.platform import addresses
from azurewood.platform import exceptions
from azurewood.scheduling import messages

CALL_TIMEOUT_MS: typing.Final = 800
"""A call takes a few ms; a fault that delays it longer lasts seconds, so
a longer time-out would not help."""
RENEWAL_MARGIN_MS: typing.Final = 800
"""Added to a lease renewal's wait at the host to get its time-out."""
TARGET_HEADER: typing.Final = "X-Target-Instance"
JSON_HEADER: typing.Final = "Content-Type: application/json"
_ID: typing.Final = re.compile(r"[!-~]+")
"""What a header can hold as the id of a call's host."""

_Priority = exchanges.Priority

MAX_AMOUNT: typing.Final = 1 << 40
"""Bound of a capacity's figures: the sum of a million hosts has 60 bits."""
_Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class Capacity(msgspec.Struct):
    """Resources that a host offers; ``cpu`` is in thousandths of a core."""

    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0

    def resources(self) -> model.Resources:
        """Return the capacity as ``Resources``."""
        return model.Resources(self.cpu, self.mem_mb, self.gpu)


class _Entry(msgspec.Struct):
    """``born`` is the start of the host's incarnation, in Unix ms.

    It is not compared with the daemon's clock, which may step, as then the
    entries of good hosts would be refused.
    """

    service: str
    addr: str
    state: typing.Literal["ready", "draining"]
    capacity: Capacity
    zone: str = ""
    labels: list[str] = []
    born: decoding.Natural = 0


class _Answer(msgspec.Struct):
    clock_ms: decoding.Natural = 0
    reason: str = ""


class _RunningRow(msgspec.Struct, array_like=True):
    """``measure`` is missing on hosts that do not measure their load."""

    task: str
    run: decoding.Natural
    saved: str | None
    percent: decoding.Finite
    measure: decoding.Finite | None = None


class _EndedRow(msgspec.Struct, array_like=True):
    number: decoding.Natural
    task: str
    run: decoding.Natural
    how: messages.End
    saved: str | None


class _Listing(msgspec.Struct):
    clock_ms: decoding.Natural
    running: list[_RunningRow]
    ended_runs: list[_EndedRow]
    born: decoding.Natural = 0


_REFUSALS: typing.Final = {
    "fence": messages.Refusal.FENCE,
    "old": messages.Refusal.OLD,
    "late": messages.Refusal.LATE,
    "room": messages.Refusal.ROOM,
    "ticket": messages.Refusal.TICKET,
}


def decode_entry(key: str, data: bytes) -> messages.HostEntry:
    """Return a host's entry.

    Raise ``InvalidMessage`` if the entry is malformed.
    """
    try:
        entry = decoding.decode_json(data, _Entry)
    except decoding.MalformedData as exc:
        raise exceptions.InvalidMessage(
            f"malformed entry of host {key!r}: {exc}"
        ) from exc
    if not _ID.fullmatch(key):
        raise exceptions.InvalidMessage(f"{key!r} is not the id of a host")
    if not addresses.is_address(entry.addr):
        raise exceptions.InvalidMessage(
            f"entry of host {key!r} has the address {entry.addr[:80]!r}"
        )
    return messages.HostEntry(
        id=key,
        address=entry.addr,
        service=entry.service,
        zone=entry.zone,
        state=messages.HostState(entry.state),
        capacity=entry.capacity.resources(),
        labels=tuple(entry.labels),
        incarnation_ms=entry.born,
    )


def task_name(task: model.TaskId) -> str:
    """Return the platform's name of a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def task_id(name: str) -> model.TaskId:
    """Return the task that the platform's name stands for.

    Raise ``InvalidMessage`` if the name is malformed.
    """
    job, *numbers = name.split(".")
    if len(numbers) != 3 or not all(map(kinds.NUMBER.fullmatch, numbers)):
        raise exceptions.InvalidMessage(f"{name!r} is not a task name")
    return model.TaskId(job, *map(int, numbers))


def call(effect: messages.Effect) -> exchanges.Call:
    """Return the call that carries out an effect on a host."""
    match effect:
        case messages.StartRun():
            body = {
                "task": task_name(effect.task),
                "run": effect.run,
                "spec": effect.payload,
                "deadline_ms": effect.lease_until_ms,
                "fence": effect.fence,
            }
            if effect.saved:
                body["last_checkpoint"] = effect.saved
            if effect.ticket:
                body["ticket"] = effect.ticket
            return _post(effect, "/api/run-start", body)
        case messages.StopRun():
            body = {
                "task": task_name(effect.task),
                "run": effect.run,
                "fence": effect.fence,
            }
            return _post(
                effect, "/api/run-stop", body, priority=_Priority.URGENT
            )
        case messages.SetRunSpeed():
            body = {
                "task": task_name(effect.task),
                "run": effect.run,
                "pct": effect.percent,
                "fence": effect.fence,
            }
            return _post(effect, "/api/pace", body)
        case messages.RenewLease():
            body = {"fence": effect.fence, "ack_cursor": effect.acknowledged}
            if effect.lease_until_ms is not None:
                body["deadline_ms"] = effect.lease_until_ms
            if effect.wait_ms:
                body["wait_ms"] = effect.wait_ms
            made = _post(
                effect,
                "/api/hold",
                body,
                timeout_ms=effect.wait_ms + RENEWAL_MARGIN_MS,
                priority=_Priority.LONG_POLL
                if effect.wait_ms
                else _Priority.URGENT,
            )
            if not effect.acknowledged and not effect.connected_by:
                return made
            return dataclasses.replace(made, connected_by=effect.connected_by)
        case _:
            raise TypeError(
                f"effect cannot be carried out on a host: {effect!r}"
            )


def _post(
    effect: typing.Any,
    path: str,
    body: dict[str, object],
    *,
    timeout_ms: int = CALL_TIMEOUT_MS,
    priority: exchanges.Priority = _Priority.NORMAL,
) -> exchanges.Call:
    return exchanges.Call(
        method="POST",
        url=f"http://{effect.address}{path}",
        headers=(JSON_HEADER, f"{TARGET_HEADER}: {effect.host}"),
        body=msgspec.json.encode(body),
        timeout_ms=timeout_ms,
        priority=priority,
    )


def event(
    effect: messages.Effect, reply: exchanges.Reply
) -> messages.Event | None:
    """Return the event that a host's reply stands for.

    Return None if the reply to this kind of effect is not used.
    """
    match effect:
        case messages.StartRun():
            return messages.StartAnswered(
                host=effect.host,
                incarnation_ms=effect.incarnation_ms,
                fence=effect.fence,
                task=effect.task,
                run=effect.run,
                refusal=_refusal(reply),
                clock_ms=_answer(reply).clock_ms,
            )
        case messages.StopRun():
            return messages.StopAnswered(
                host=effect.host,
                incarnation_ms=effect.incarnation_ms,
                fence=effect.fence,
                task=effect.task,
                run=effect.run,
                refusal=_refusal(reply),
            )
        case messages.SetRunSpeed():
            return messages.SpeedAnswered(
                host=effect.host,
                task=effect.task,
                run=effect.run,
                refusal=_refusal(reply),
            )
        case messages.RenewLease():
            return _listing(effect, reply)
        case _:
            return None


def _refusal(reply: exchanges.Reply) -> messages.Refusal | None:
    match reply.outcome:
        case exchanges.Outcome.NOT_SENT:
            return messages.Refusal.NOT_SENT
        case exchanges.Outcome.UNKNOWN:
            return messages.Refusal.UNKNOWN
    match reply.status:
        case 200:
            return None
        case 400:
            return messages.Refusal.MALFORMED
        case 409:
            reason = _answer(reply).reason
            return _REFUSALS.get(reason, messages.Refusal.UNKNOWN)
        case 421:
            return messages.Refusal.OTHER_LIFE
        case 429 | 503:
            return messages.Refusal.UNHEALTHY
        case _:
            return messages.Refusal.UNKNOWN


def _answer(reply: exchanges.Reply) -> _Answer:
    """Decode a reply's body; a malformed one counts as empty."""
    try:
        return decoding.decode_json(reply.body or b"{}", _Answer)
    except decoding.MalformedData:
        return _Answer()


def _listing(
    effect: messages.RenewLease, reply: exchanges.Reply
) -> messages.Event:
    refusal = _refusal(reply)
    if reply.disconnected:
        refusal = messages.Refusal.DISCONNECTED
    if refusal is not None:
        return _renewal_failed(effect, refusal)
    try:
        found = decoding.decode_json(reply.body, _Listing)
        running = tuple(_running(row) for row in found.running)
        ended = tuple(_ended(row) for row in found.ended_runs)
    except (decoding.MalformedData, exceptions.InvalidMessage) as exc:
        logger.bind(event="host.unreadable", host=effect.host).warning(
            "malformed list of runs: {}", exc
        )
        return _renewal_failed(effect, messages.Refusal.MALFORMED)
    return messages.LeaseRenewed(
        host=effect.host,
        number=effect.number,
        incarnation_ms=found.born,
        clock_ms=found.clock_ms,
        sent_at=reply.sent_at,
        running=running,
        ended=ended,
        connected_by=reply.written_at,
    )


def _renewal_failed(
    effect: messages.RenewLease, reason: messages.Refusal
) -> messages.RenewalFailed:
    return messages.RenewalFailed(
        host=effect.host, number=effect.number, reason=reason
    )


def _running(row: _RunningRow) -> messages.RunningRow:
    return messages.RunningRow(
        task=task_id(row.task),
        run=row.run,
        saved=row.saved or "",
        percent=int(row.percent),
        measure=int(row.measure or 0),
    )


def _ended(row: _EndedRow) -> messages.EndedRow:
    return messages.EndedRow(
        number=row.number,
        task=task_id(row.task),
        run=row.run,
        how=row.how,
        saved=row.saved or "",
    )
