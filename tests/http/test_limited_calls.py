"""Calls with a priority, over real sockets, to a host with few connections.

LOST: leaders that lost power held all connections of the hosts.
"""

import socket
import threading
import time

import pytest

from azurewood.http import exchanges
from azurewood.http import multiplex
from tests.http import test_bound_calls

Process = test_bound_calls.Process
Priority = exchanges.Priority
CONNECTIONS = 8
BURST = 20


class _Host(Process):
    """Resets connections beyond those that it accepts."""

    def _serve(self, conn):
        if self.made > CONNECTIONS:
            conn.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, test_bound_calls.RESET
            )
            conn.close()
            return
        super()._serve(conn)


def _submit(calls, host, body, priority, **options):
    """Start a call with a priority; return the list that gets its reply."""
    return test_bound_calls.submit(
        calls, host, body, priority=priority, **options
    )


def _lead(host, priorities):
    """Let a new leader send a burst; return it and how many were answered.

    It keeps its connections, like a leader that has lost power.
    """
    calls = multiplex.Multiplexer(clock=time.monotonic)
    found = [
        _submit(calls, host, b"x", priority)
        for priority in priorities
        for _ in range(BURST)
    ]
    test_bound_calls.run_until(calls, lambda: all(found))
    answered = exchanges.Outcome.ANSWERED
    return calls, sum(reply[0].outcome is answered for reply in found)


def test_leaders_reach_a_host_after_others_have_died():
    host = _Host()
    priorities = (Priority.NORMAL, Priority.LONG_POLL)
    leaders = [_lead(host, priorities) for _ in range(CONNECTIONS // 2)]
    assert [answered for _, answered in leaders] == [2 * BURST] * len(leaders)
    host.end()


def test_they_do_not_if_each_call_gets_a_connection():
    host = _Host()
    leaders = [_lead(host, (None, None)) for _ in range(2)]
    assert leaders[1][1] == 0
    host.end()


def test_a_reset_of_a_new_connection_shows_in_the_reply():
    host = _Host()
    kept = [_lead(host, (None,)) for _ in range(2)]
    calls = multiplex.Multiplexer(clock=time.monotonic)
    found = _submit(calls, host, b"x", Priority.NORMAL)
    test_bound_calls.run_until(calls, lambda: found)
    assert found[0].new_reset
    assert kept
    host.end()


@pytest.mark.parametrize("priority", [Priority.URGENT, Priority.NORMAL])
def test_a_silent_start_does_not_block_the_queue(priority):
    host = Process(silent_at=b"s")
    calls = multiplex.Multiplexer(clock=time.monotonic)
    began_at = time.monotonic()
    silent = _submit(calls, host, b"s", Priority.NORMAL)
    found = _submit(calls, host, b"x", priority)
    test_bound_calls.run_until(calls, lambda: found)
    assert found[0].outcome is exchanges.Outcome.ANSWERED
    # The silent call's own time-out is 2 s.
    assert time.monotonic() < began_at + 1.5
    if priority is Priority.URGENT:
        assert not silent
    else:
        test_bound_calls.run_until(calls, lambda: silent)
        assert silent[0].outcome is exchanges.Outcome.UNKNOWN
    host.end()


def test_a_slow_call_makes_way_and_its_connection_ends_with_it():
    host = Process(slow_at=b"s")
    calls = multiplex.Multiplexer(clock=time.monotonic)
    slow = _submit(calls, host, b"s", Priority.NORMAL)
    found = _submit(calls, host, b"x", Priority.NORMAL)
    test_bound_calls.run_until(calls, lambda: found)
    assert not slow
    assert host.made == 2
    test_bound_calls.run_until(calls, lambda: slow)
    assert slow[0].outcome is exchanges.Outcome.ANSWERED
    test_bound_calls.run_until(
        calls, lambda: len(_open_connections(host)) == 1
    )
    host.end()


def test_calls_that_find_no_connection_in_time_are_not_sent():
    host = Process(silent_at=b"sx")
    calls = multiplex.Multiplexer(clock=time.monotonic)
    _submit(calls, host, b"s", Priority.LONG_POLL)
    found = _submit(calls, host, b"x", Priority.LONG_POLL, timeout_ms=200)
    test_bound_calls.run_until(calls, lambda: found)
    assert found[0].outcome is exchanges.Outcome.NOT_SENT
    assert host.requests in (b"", b"s")
    assert calls.under_way == 1
    host.end()


def test_closing_frees_the_connections_and_ends_the_queue():
    host = Process(silent_at=b"s")
    calls = multiplex.Multiplexer(clock=time.monotonic)
    idle = _submit(calls, host, b"x", Priority.NORMAL)
    test_bound_calls.run_until(calls, lambda: idle)
    held = _submit(calls, host, b"s", Priority.LONG_POLL, timeout_ms=500)
    waiting = _submit(calls, host, b"y", Priority.LONG_POLL)
    test_bound_calls.run_until(calls, lambda: b"s" in host.requests)
    calls.close_limited()
    test_bound_calls.run_until(calls, lambda: waiting)
    assert waiting[0].outcome is exchanges.Outcome.NOT_SENT
    assert not held
    test_bound_calls.run_until(calls, lambda: held)
    test_bound_calls.run_until(calls, lambda: not _open_connections(host))
    assert b"y" not in host.requests
    again = _submit(calls, host, b"z", Priority.NORMAL)
    test_bound_calls.run_until(calls, lambda: again)
    assert again[0].outcome is exchanges.Outcome.ANSWERED
    host.end()


def _open_connections(host):
    threads = [thread for _, thread in host._conns]
    assert all(isinstance(thread, threading.Thread) for thread in threads)
    return [thread for thread in threads if thread.is_alive()]
