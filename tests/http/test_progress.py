"""Calls that may take long as long as their answers make progress."""

import threading
import time

import pytest

from azurewood.http import exchanges
from azurewood.http import multiplex
from azurewood.http import progress
from tests.http import resetting

PROGRESS_MS = 800
SLICES = 10
SLICE_S = 0.2
SLICE = b"x" * 1000
SILENT_S = 5.0


def _reply(url, *, total_ms=5000, progress_ms=PROGRESS_MS):
    calls = multiplex.Multiplexer(clock=time.monotonic)
    replies = []
    call = exchanges.Call(
        method="GET",
        url=url,
        timeout_ms=total_ms,
        progress_timeout_ms=progress_ms,
    )
    calls.submit(call, replies.append)
    while not replies:
        calls.run_once(1.0)
    return replies[0]


class _Slices:
    """A body that is sent in slices; it stalls after some of them."""

    def __init__(self, until, stop):
        self._until = until
        self._stop = stop

    def __len__(self):
        return SLICES * len(SLICE)

    def __iter__(self):
        for number in range(SLICES):
            self._stop.wait(SLICE_S if number < self._until else SILENT_S)
            yield SLICE


@pytest.fixture
def server(monkeypatch):
    """Return a function that yields the URL of a server of slow answers."""
    stop = threading.Event()
    monkeypatch.setattr(
        resetting._Handler, "_answer", lambda self, body: _send(self)
    )

    def _send(handler):
        body = handler.server.answer(handler.path, b"", False)
        handler.send_response(200)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        for data in body:
            handler.wfile.write(data)

    yield lambda until: resetting.serving(lambda *_: _Slices(until, stop))
    stop.set()


def test_a_slow_answer_that_makes_progress_is_awaited(server):
    """Guards against listings that are cut and begin again on slow links."""
    with server(SLICES) as url:
        reply = _reply(url)
    assert reply.outcome is exchanges.Outcome.ANSWERED
    assert reply.body == SLICES * SLICE
    assert reply.at - reply.sent_at > 2 * PROGRESS_MS / 1000


def test_it_is_not_if_its_bytes_do_not_count(server, monkeypatch):
    monkeypatch.setattr(progress.ProgressWatch, "note", lambda self, key: None)
    with server(SLICES) as url:
        assert _reply(url).outcome is exchanges.Outcome.UNKNOWN


@pytest.mark.parametrize("until", (0, 4))
def test_an_answer_that_stalls_fails_in_time(server, until):
    """Guards against a silent store that is noticed late or not at all."""
    with server(until) as url:
        reply = _reply(url)
    assert reply.outcome is exchanges.Outcome.UNKNOWN
    assert "no byte" in reply.reason
    expected_s = until * SLICE_S + PROGRESS_MS / 1000
    assert expected_s <= reply.at - reply.sent_at < expected_s + 1.0


def test_progress_does_not_count_beyond_the_whole_time(server):
    with server(SLICES) as url:
        reply = _reply(url, total_ms=1000)
    assert reply.outcome is exchanges.Outcome.UNKNOWN
    assert reply.at - reply.sent_at < 1.8


def test_the_connection_of_a_stalled_call_is_closed(server):
    """Guards against the rest of an answer being read as another's."""
    with server(2) as url:
        calls = multiplex.Multiplexer(clock=time.monotonic)
        replies = []
        call = exchanges.Call(
            method="GET",
            url=url,
            timeout_ms=5000,
            progress_timeout_ms=PROGRESS_MS,
        )
        for _ in range(2):
            calls.submit(call, replies.append)
            while calls.under_way:
                calls.run_once(1.0)
    assert [r.outcome for r in replies] == [exchanges.Outcome.UNKNOWN] * 2
    assert not calls._progress._calls
