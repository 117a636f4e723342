"""Calls that cannot be made: each gets the reply that nothing was sent."""

import time

import pytest

from azurewood.http import exchanges
from azurewood.http import multiplex

DEADLINE_S = 5.0
URLS = [
    "",
    "http://",
    "http://:0/",
    "http://:80/",
    "http://x:99999/",
    "http://10.0.0.1:99999/",
    "http://10.0.0.1:-1/",
    "http://10.0.0.1:8 0/",
    "http://10.0.0.1:80\x00/",
    "http://10.0.0.1:80\r\n/",
    "http://\u00e9:80/",
    "http://\ud800:80/",
    "http://[::1/",
    "nothing://10.0.0.1:80/",
]


def _run(calls, found):
    end = time.monotonic() + DEADLINE_S
    while not found and time.monotonic() < end:
        calls.run_once(0.05)


@pytest.mark.parametrize(
    "call",
    [
        *(exchanges.Call(method="GET", url=u, timeout_ms=900) for u in URLS),
        exchanges.Call(
            method="POST",
            url="http://127.0.0.1:1/",
            headers=("X-Name: \u00e9",),
            body=b"{}",
            timeout_ms=900,
        ),
        exchanges.Call(
            method="GET", url="http://127.0.0.1:1/", timeout_ms=1 << 70
        ),
    ],
    ids=repr,
)
def test_nothing_is_sent_and_the_loop_goes_on(call):
    calls = multiplex.Multiplexer(clock=time.monotonic)
    found = []
    calls.submit(call, found.append)
    assert not found, "an answer inside submit surprises its caller"
    assert calls.under_way == 1
    _run(calls, found)
    (reply,) = found
    assert reply.outcome is exchanges.Outcome.NOT_SENT
    assert calls.under_way == 0


def test_an_unusable_call_is_answered_without_a_wait():
    calls = multiplex.Multiplexer(clock=time.monotonic)
    found = []
    calls.submit(
        exchanges.Call(method="GET", url="http://\x00/", timeout_ms=900),
        found.append,
    )
    began_at = time.monotonic()
    calls.run_once(DEADLINE_S)
    assert found
    assert time.monotonic() - began_at < DEADLINE_S / 2
