"""What is made of calls that are carried out and reset, over real sockets.

Each server carries a call out, resets its reused connection, and would turn
away a repetition of it.
"""

import time

import pytest

from azurewood.http import multiplex
from azurewood.jobs import model
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.platform import hosts
from azurewood.platform import machines
from azurewood.platform import store
from azurewood.scheduling import messages
from tests.http import resetting

DEADLINE_S = 5.0
TASK = model.TaskId("j", 0, 0, 0)
RECORD = appender.Record(key="j/job", value=b"v")
HOST_REFUSALS = (
    (409, b'{"reason":"fence"}'),
    (409, b'{"reason":"room"}'),
    (409, b'{"reason":"old"}'),
    (429, b"{}"),
    (503, b"{}"),
)
ORDER_REFUSALS = (
    (409, b'{"reason":"fence"}'),
    (409, b'{"reason":"wave"}'),
    (409, b"{}"),
    (429, b"{}"),
    (503, b"{}"),
)
APPEND_REFUSALS = (
    (409, b'{"reason":"fenced"}'),
    (409, b'{"reason":"seq"}'),
    (412, b'{"end":8}'),
    (429, b"{}"),
    (503, b"{}"),
)


class _Server:
    """Resets the first call on a reused connection, refuses all later ones."""

    def __init__(self, refusal):
        self._refusal = refusal
        self.carried_out = []

    def answer(self, path, body, reused):
        if self.carried_out:
            return self._refusal
        if not reused:
            return 200, b"{}"
        self.carried_out.append(body)
        return None


def _reply(calls, call):
    replies = []
    calls.submit(call, replies.append)
    end = time.monotonic() + DEADLINE_S
    while not replies and time.monotonic() < end:
        calls.run_once(0.05)
    return replies[0]


def _reply_to_reset(make_call, refusal):
    """Return the reply to a call that was carried out and reset."""
    server = _Server(refusal)
    calls = multiplex.Multiplexer(clock=time.monotonic)
    with resetting.serving(server.answer) as url:
        assert _reply(calls, make_call(url)).status == 200
        reply = _reply(calls, make_call(url))
    assert server.carried_out
    return reply


def _address(url):
    return url.removeprefix("http://")


def _start(address):
    return messages.StartRun(
        host="h",
        address=address,
        fence=1,
        incarnation_ms=1,
        task=TASK,
        run=1,
        payload="",
        saved="",
        lease_until_ms=1000,
        ticket="",
    )


def _stop(address):
    return messages.StopRun(
        host="h",
        address=address,
        fence=1,
        incarnation_ms=1,
        task=TASK,
        run=1,
    )


def _speed(address):
    return messages.SetRunSpeed(
        host="h", address=address, fence=1, task=TASK, run=1, percent=50
    )


def _renewal(address):
    return messages.RenewLease(
        host="h",
        address=address,
        fence=1,
        number=1,
        lease_until_ms=1000,
        acknowledged=0,
        wait_ms=0,
    )


def _host_event(effect_of, refusal):
    reply = _reply_to_reset(
        lambda url: hosts.call(effect_of(_address(url))), refusal
    )
    return hosts.event(effect_of(""), reply)


@pytest.mark.parametrize("refusal", HOST_REFUSALS)
@pytest.mark.parametrize("effect_of", (_start, _stop, _speed))
def test_a_call_that_a_host_carried_out_is_not_refused(effect_of, refusal):
    event = _host_event(effect_of, refusal)
    assert event.refusal is messages.Refusal.UNKNOWN


@pytest.mark.parametrize("refusal", HOST_REFUSALS)
def test_a_renewal_that_granted_a_lease_is_not_refused(refusal):
    event = _host_event(_renewal, refusal)
    assert event.reason is messages.Refusal.UNKNOWN


@pytest.mark.parametrize("refusal", ORDER_REFUSALS)
@pytest.mark.parametrize(
    "order",
    (
        messages.MoveMachine(machine="m", pool="p"),
        messages.MaintainMachine(machine="m", wave=1),
    ),
)
def test_an_order_that_was_carried_out_is_not_refused(order, refusal):
    reply = _reply_to_reset(
        lambda url: machines.order_call(url, order, "d", 1), refusal
    )
    assert machines.order_result(reply) is messages.OrderResult.UNKNOWN


def _append(url):
    request = appender.Request(
        records=(RECORD,), epoch=1, sequence=0, timeout_s=3.0
    )
    return store.append(url, pages.Topic.JOBS, request, "p")


def _append_at(url):
    return store.append_at(url, pages.Topic.LEADER, b"v", 7, 3000)


@pytest.mark.parametrize("refusal", APPEND_REFUSALS)
@pytest.mark.parametrize("append", (_append, _append_at))
def test_an_append_that_was_carried_out_is_not_refused(append, refusal):
    reply = _reply_to_reset(append, refusal)
    assert isinstance(store.append_result(reply), appender.Unknown)
