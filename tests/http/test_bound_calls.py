"""Calls bound to the connections made by some time, over real sockets.

A process that is started anew at an address gets none of the calls that were
meant for its predecessor, also if libcurl repeats a call by itself.
"""

import contextlib
import socket
import struct
import threading
import time

import pytest

from azurewood.http import exchanges
from azurewood.http import known_connections
from azurewood.http import multiplex
from azurewood.http import sending
from azurewood.http import sockets

DEADLINE_S = 5.0
SLOW_S = 0.3
RESET = struct.pack("ii", 1, 0)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
END = b"\r\n\r\n"


class Process:
    """A server process: its connections end with it.

    Its ``requests`` are bodies of one byte each. It answers none of those in
    ``silent_at``, and those in ``slow_at`` after ``SLOW_S``. ``made`` counts
    the connections.
    """

    def __init__(self, port=0, *, silent_at=b"", slow_at=b""):
        self.silent_at = silent_at
        self.slow_at = slow_at
        self.requests = b""
        self.made = 0
        self._lock = threading.Lock()
        self._conns = []
        self._listener = socket.create_server(("127.0.0.1", port))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            thread = threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            )
            with self._lock:
                self.made += 1
                thread.start()
                self._conns.append((conn, thread))

    def _serve(self, conn):
        data = b""
        try:
            while found := conn.recv(4096):
                data += found
                head, end, body = data.partition(END)
                if end and body:
                    self.requests += body
                    data = b""
                    if body in self.slow_at:
                        time.sleep(SLOW_S)
                    if body not in self.silent_at:
                        conn.sendall(ANSWER)
        except OSError:
            return

    def close_connections(self, *, reset=False):
        """Close all connections and go on listening.

        A thread in ``recv`` keeps its socket open, and reads from it, until
        it has returned.
        """
        with self._lock:
            conns, self._conns = self._conns, []
        for conn, thread in conns:
            if reset:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            # The client may have closed the connection already.
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
            conn.close()
            thread.join(DEADLINE_S)
            assert not thread.is_alive()

    def end(self, *, reset=False):
        """Stop listening and close all connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.close_connections(reset=reset)


@pytest.fixture
def calls():
    """Return a multiplexer on the monotonic clock."""
    return multiplex.Multiplexer(clock=time.monotonic)


def submit(calls, process, body, *, timeout_ms=3000, **options):
    """Start a call and return the list that gets its reply."""
    found = []
    call = exchanges.Call(
        method="POST",
        url=f"http://127.0.0.1:{process.port}/",
        body=body,
        timeout_ms=timeout_ms,
        **options,
    )
    calls.submit(call, found.append)
    return found


def run_until(calls, condition):
    end = time.monotonic() + DEADLINE_S
    while not condition():
        assert time.monotonic() < end
        calls.run_once(0.01)


def _reply(calls, process, body, **options):
    found = submit(calls, process, body, **options)
    run_until(calls, lambda: found)
    return found[0]


def _is_answered(reply):
    return reply.outcome is exchanges.Outcome.ANSWERED


def _started_anew(calls, *, first=b"a"):
    """Return a process at a known one's address, and when that answered."""
    old = Process()
    reply = _reply(calls, old, first)
    old.end()
    return Process(old.port), reply.written_at


def test_it_goes_over_the_connection_that_brought_the_answer(calls):
    process = Process()
    at = _reply(calls, process, b"a").written_at
    assert _is_answered(_reply(calls, process, b"b", connected_by=at))
    assert (process.requests, process.made) == (b"ab", 1)
    process.end()


def test_it_does_not_reach_a_process_that_is_started_anew(calls):
    """A host would forget run ends that no leader has seen."""
    process, at = _started_anew(calls)
    assert _reply(calls, process, b"b", connected_by=at).disconnected
    assert (process.requests, process.made) == (b"", 0)
    unsent = _reply(calls, process, b"b", connected_by=at)
    assert unsent.disconnected
    assert unsent.outcome is exchanges.Outcome.NOT_SENT
    assert (process.requests, process.made) == (b"", 0)
    at = _reply(calls, process, b"c").written_at
    assert _is_answered(_reply(calls, process, b"d", connected_by=at))
    assert process.requests == b"cd"
    process.end()


def test_nor_over_a_connection_that_another_call_has_made_to_it(calls):
    process, at = _started_anew(calls)
    assert _is_answered(_reply(calls, process, b"b"))
    unsent = _reply(calls, process, b"c", connected_by=at)
    assert unsent.disconnected
    assert unsent.outcome is exchanges.Outcome.NOT_SENT
    assert process.requests == b"b"
    process.end()


def test_it_would_without_a_look_at_when_the_connection_was_made(
    calls, monkeypatch
):
    monkeypatch.setattr(
        known_connections.KnownConnections, "made_by", lambda *_: True
    )
    process, at = _started_anew(calls)
    assert _is_answered(_reply(calls, process, b"b"))
    assert _is_answered(_reply(calls, process, b"c", connected_by=at))
    assert process.requests == b"bc"
    process.end()


def _restart_during_call(calls, *, bound):
    """Return the reply and the process that is started during the call.

    Its predecessor reads the call and is killed before it answers.
    """
    old = Process(silent_at=b"b")
    at = _reply(calls, old, b"a").written_at
    found = submit(calls, old, b"b", connected_by=at if bound else None)
    run_until(calls, lambda: old.requests == b"ab")
    old.end()
    new = Process(old.port)
    run_until(calls, lambda: found)
    return found[0], new


def test_the_library_does_not_repeat_it_to_a_process_that_is_started_anew(
    calls,
):
    """Found on hosts that restart under their ids between two renewals."""
    reply, process = _restart_during_call(calls, bound=True)
    assert reply.disconnected
    assert reply.outcome is exchanges.Outcome.UNKNOWN
    assert (process.requests, process.made) == (b"", 0)
    process.end()


def test_nor_does_it_repeat_a_call_that_is_not_bound(calls):
    reply, process = _restart_during_call(calls, bound=False)
    assert not reply.disconnected
    assert reply.outcome is exchanges.Outcome.UNKNOWN
    assert reply.reason == sending.Trouble.RESET.value
    assert (process.requests, process.made) == (b"", 0)
    process.end()


def test_it_would_if_a_call_could_be_written_twice(calls, monkeypatch):
    monkeypatch.setattr(sending.Sending, "is_over", False)
    reply, process = _restart_during_call(calls, bound=False)
    assert _is_answered(reply)
    assert process.requests == b"b"
    process.end()


def test_a_call_is_not_written_on_connections_that_have_ended(calls):
    """Written on one, it would have an unknown outcome."""
    process = Process(silent_at=b"x")
    burst = [submit(calls, process, b"a") for _ in range(4)]
    run_until(calls, lambda: all(burst))
    process.close_connections()
    reply = _reply(calls, process, b"b")
    assert _is_answered(reply)
    assert reply.writes == 1
    assert process.requests == b"aaaab"
    assert process.made == 5
    process.end()


def test_no_handshake_is_made_for_it_only_as_new_sockets_are_refused(
    calls, monkeypatch
):
    monkeypatch.setattr(sockets, "refuse_connection", sockets.drop_unsent)
    process, at = _started_anew(calls)
    assert _reply(calls, process, b"b", connected_by=at).disconnected
    run_until(calls, lambda: process.made)
    assert process.requests == b""
    process.end()


@pytest.mark.parametrize("reset", [False, True])
def test_a_closed_connection_costs_one_call_that_is_not_bound(calls, reset):
    process = Process()
    at = _reply(calls, process, b"a").written_at
    process.close_connections(reset=reset)
    reply = _reply(calls, process, b"b", connected_by=at)
    assert reply.disconnected
    at = _reply(calls, process, b"c").written_at
    for _ in range(3):
        assert _is_answered(_reply(calls, process, b"d", connected_by=at))
    assert process.requests == b"acddd"
    process.end()


def test_the_first_of_several_idle_connections_is_used(calls):
    """Connections made since the newest list cost no extra call then."""
    process = Process(silent_at=b"x")
    at = _reply(calls, process, b"a").written_at
    burst = [submit(calls, process, b"b") for _ in range(4)]
    run_until(calls, lambda: all(burst))
    assert process.made == 4
    for _ in range(3):
        assert _is_answered(_reply(calls, process, b"c", connected_by=at))
    process.end()


def test_a_call_that_is_not_answered_in_time_is_not_disconnected(calls):
    process = Process(silent_at=b"b")
    at = _reply(calls, process, b"a").written_at
    reply = _reply(calls, process, b"b", connected_by=at, timeout_ms=100)
    assert reply.outcome is exchanges.Outcome.UNKNOWN
    assert not reply.disconnected
    process.end()


def test_a_new_connection_with_the_ports_of_a_closed_one_is_new():
    times = known_connections.KnownConnections()
    times.answered(("ports",), 1.0, is_new=True)
    times.answered(("ports",), 2.0, is_new=False)
    assert times.made_by(("ports",), 1.0)
    times.answered(("ports",), 3.0, is_new=True)
    assert not times.made_by(("ports",), 2.0)
    times.failed(("ports",), is_new=False)
    assert times.made_by(("ports",), 3.0)
    times.failed(("ports",), is_new=True)
    assert not times.made_by(("ports",), 3.0)


def test_connections_that_are_remembered_are_bounded():
    times = known_connections.KnownConnections()
    for number in range(known_connections.MAX_KNOWN + 1):
        times.answered((number,), 1.0, is_new=True)
        times.answered((0,), 2.0, is_new=False)
    assert times.made_by((0,), 1.0)
    assert not times.made_by((1,), 1.0)
