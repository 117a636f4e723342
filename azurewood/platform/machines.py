"""Encodes and decodes messages about machines, waves and advice.

Machines are listed, moved between pools and taken down for maintenance,
which the platform calls upkeep. The advice service is asked which hosts may
run a step.
"""

import typing
import urllib.parse

import msgspec

from azurewood.conf import decoding
from azurewood.http import exchanges
from azurewood.platform import exceptions
from azurewood.platform import hosts
from azurewood.scheduling import messages

CALL_TIMEOUT_MS: typing.Final = 2000
HOLDER_HEADER: typing.Final = "X-Lease-Holder"
FENCE_HEADER: typing.Final = "X-Fencing-Token"


class _Machine(msgspec.Struct):
    """``id`` is the host that runs on the machine, if there is one."""

    machine: str
    pool: str
    state: typing.Literal["up", "moving", "upkeep", "down"]
    zone: str = ""
    id: str | None = None
    capacity: hosts.Capacity = msgspec.field(default_factory=hosts.Capacity)


class _Listing(msgspec.Struct):
    nodes: list[_Machine]
    next_token: str | int | None = None


class _Wave(msgspec.Struct):
    """A maintenance wave: ``tranche`` is its number, ``nodes`` the machines.

    At most ``max_count`` machines are down at once.
    """

    tranche: decoding.Natural
    nodes: list[str]
    max_count: decoding.Natural = 1
    finish_by_s: decoding.Finite = 0.0


class _Advice(msgspec.Struct):
    approved: list[tuple[str, str]]
    validity_ms: decoding.Natural = 0


class _Refused(msgspec.Struct):
    reason: str = ""


class MachinePage(msgspec.Struct, frozen=True):
    """A page of the machine list.

    ``token`` requests the next page; it is empty on the last one.
    """

    machines: tuple[messages.MachineEntry, ...]
    token: str


def list_call(url: str, token: str) -> exchanges.Call:
    """Return the call that reads a page of the machine list."""
    query = "?" + urllib.parse.urlencode({"page_token": token})
    return exchanges.Call(
        method="GET",
        url=f"{url}/api/machines{query if token else ''}",
        timeout_ms=CALL_TIMEOUT_MS,
    )


def list_page(reply: exchanges.Reply) -> MachinePage | None:
    """Return a page of the machine list; None if the read failed."""
    if reply.outcome is not exchanges.Outcome.ANSWERED or reply.status != 200:
        return None
    try:
        found = decoding.decode_json(reply.body, _Listing)
    except decoding.MalformedData:
        return None
    token = found.next_token
    return MachinePage(
        machines=tuple(
            messages.MachineEntry(
                name=entry.machine,
                pool=entry.pool,
                state=messages.MachineState(entry.state),
                host=entry.id or "",
                zone=entry.zone,
                capacity=entry.capacity.resources(),
            )
            for entry in found.nodes
        ),
        token="" if token is None else str(token),
    )


def order_call(
    url: str,
    order: messages.MoveMachine | messages.MaintainMachine,
    holder: str,
    fence: int,
) -> exchanges.Call:
    """Return the call that orders a machine's move or maintenance.

    ``holder`` is the name of the daemon that sends the order, ``fence`` the
    fencing token of its term.
    """
    match order:
        case messages.MoveMachine(machine=machine, pool=pool):
            path = "/api/machine-move"
            body = {"machine": machine, "pool": pool}
        case messages.MaintainMachine(machine=machine, wave=wave):
            path = "/api/machine-upkeep"
            body = {"machine": machine, "tranche": wave}
    return exchanges.Call(
        method="POST",
        url=url + path,
        headers=(
            hosts.JSON_HEADER,
            f"{HOLDER_HEADER}: {holder}",
            f"{FENCE_HEADER}: {fence}",
        ),
        body=msgspec.json.encode(body),
        timeout_ms=CALL_TIMEOUT_MS,
        send_by=order.send_by,
    )


def order_result(reply: exchanges.Reply) -> messages.OrderResult:
    """Return the result of an order."""
    match reply.outcome:
        case exchanges.Outcome.NOT_SENT:
            return messages.OrderResult.NOT_DONE
        case exchanges.Outcome.UNKNOWN:
            return messages.OrderResult.UNKNOWN
    match reply.status:
        case 200:
            return messages.OrderResult.DONE
        case 400:
            return messages.OrderResult.REFUSED
        case 409:
            return _conflict(reply.body)
        case 429 | 503:
            return messages.OrderResult.NOT_DONE
        case _:
            return messages.OrderResult.UNKNOWN


def _conflict(body: bytes) -> messages.OrderResult:
    try:
        reason = decoding.decode_json(body, _Refused).reason
    except decoding.MalformedData:
        reason = ""
    match reason:
        case "fence":
            return messages.OrderResult.FENCED
        case "wave":
            return messages.OrderResult.REFUSED
        case _:
            return messages.OrderResult.BUSY


def decode_wave(key: str, data: bytes) -> messages.WaveRequested:
    """Return a wave that operators requested.

    Raise ``InvalidMessage`` if the record is malformed.
    """
    try:
        wave = decoding.decode_json(data, _Wave)
    except decoding.MalformedData as exc:
        raise exceptions.InvalidMessage(
            f"malformed record {key}: {exc}"
        ) from exc
    return messages.WaveRequested(
        number=wave.tranche,
        machines=tuple(wave.nodes),
        max_down=wave.max_count,
        finish_by_s=wave.finish_by_s,
    )


def encode_report(report: messages.ReportWave) -> tuple[str, bytes]:
    """Return the key and value of a wave's progress report."""
    state = "completed" if report.completed else "running"
    value = {"tranche": report.number, "state": state}
    if report.waits_for:
        value["waits_for"] = report.waits_for
    return f"wave/{report.number}", msgspec.json.encode(value)


def advice_call(url: str, ask: messages.AskAdvice) -> exchanges.Call:
    """Return the call that asks which hosts may run a step."""
    body = {
        "phase": f"{ask.job}.{ask.occurrence}.{ask.step}",
        "workers": list(ask.hosts),
    }
    return exchanges.Call(
        method="POST",
        url=f"{url}/api/advise",
        headers=(hosts.JSON_HEADER,),
        body=msgspec.json.encode(body),
        timeout_ms=ask.wait_ms + CALL_TIMEOUT_MS,
    )


def advice_event(
    ask: messages.AskAdvice, reply: exchanges.Reply
) -> messages.Advised | messages.AdviceFailed:
    """Return the advice in a reply, or that the call failed."""
    if reply.outcome is not exchanges.Outcome.ANSWERED or reply.status != 200:
        return _no_advice(ask, reply)
    try:
        advice = decoding.decode_json(reply.body, _Advice)
    except decoding.MalformedData:
        return _no_advice(ask, reply)
    return messages.Advised(
        job=ask.job,
        occurrence=ask.occurrence,
        step=ask.step,
        tickets=dict(advice.approved),
        valid_until=reply.sent_at + advice.validity_ms / 1000,
    )


def _no_advice(
    ask: messages.AskAdvice, reply: exchanges.Reply
) -> messages.AdviceFailed:
    return messages.AdviceFailed(
        job=ask.job,
        occurrence=ask.occurrence,
        step=ask.step,
        status=reply.status,
    )
