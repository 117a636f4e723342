"""Calls that timed out or expired are not delivered later.

The tests use real sockets. By default the kernel goes on sending the bytes
that a closed connection has queued, so a call that timed out would still
reach its server and take effect.
"""

import contextlib
import select
import socket
import time

import pycurl
import pytest

from azurewood.http import exchanges
from azurewood.http import multiplex
from azurewood.http import sockets
from azurewood.provider import base as provider
from azurewood.provider import exceptions

BODY = b"x" * 50_000 + b"the end"
"""Larger than the server's receive window, smaller than the send buffer."""
DEADLINE_S = 10.0


class Server:
    """Listens with a small receive window and reads only on request."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.settimeout(DEADLINE_S)
        self.connections = []

    @property
    def url(self):
        """Return the server's URL."""
        return f"http://127.0.0.1:{self.listener.getsockname()[1]}/"

    def accept(self):
        """Accept a connection and return it."""
        conn, _ = self.listener.accept()
        conn.settimeout(DEADLINE_S)
        self.connections.append(conn)
        return conn

    def close(self):
        """Close the listener and all connections."""
        for sock in (self.listener, *self.connections):
            sock.close()


@pytest.fixture
def server():
    """Return a server that is closed after the test."""
    made = Server()
    yield made
    made.close()


@pytest.fixture
def calls():
    """Return a multiplexer on the monotonic clock."""
    return multiplex.Multiplexer(clock=time.monotonic)


def post(server, *, timeout_ms=200, body=BODY, send_by=None):
    """Return a POST call to the server."""
    return exchanges.Call(
        method="POST",
        url=server.url,
        body=body,
        timeout_ms=timeout_ms,
        send_by=send_by,
    )


def run_until(calls, condition):
    """Run calls until a condition holds; fail after ``DEADLINE_S``."""
    end = time.monotonic() + DEADLINE_S
    while not condition():
        assert time.monotonic() < end
        calls.run_once(0.01)


def readable(sock):
    """Return whether a socket has something to accept or to read."""
    return bool(select.select([sock], [], [], 0)[0])


def receive_all(conn):
    """Return what a connection delivers until it is closed or reset."""
    data = bytearray()
    with contextlib.suppress(ConnectionResetError):
        while found := conn.recv(1 << 16):
            data += found
    return bytes(data)


def answer(conn):
    """Read a small request and answer it."""
    assert conn.recv(1 << 16)
    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def time_out_call(calls, server):
    """Make a call that times out because the server reads nothing."""
    replies = []
    calls.submit(post(server), replies.append)
    run_until(calls, lambda: replies)
    assert replies[0].outcome is exchanges.Outcome.UNKNOWN


def test_call_that_timed_out_is_not_delivered_later(server, calls):
    time_out_call(calls, server)
    assert not receive_all(server.accept()).endswith(BODY)


def test_platform_call_that_timed_out_is_not_delivered_later(server):
    """The same failure, in the client of the project's platform."""
    conn = provider.Connection(url=server.url, zone="a")
    with pytest.raises(exceptions.OutcomeUnknown):
        conn.call("POST", "/", body=BODY, timeout_s=0.2)
    assert not receive_all(server.accept()).endswith(BODY)


def test_timed_out_call_on_a_reused_connection_is_not_delivered_later(
    server, calls
):
    replies = []
    calls.submit(post(server, timeout_ms=5000, body=b"1"), replies.append)
    run_until(calls, lambda: readable(server.listener))
    conn = server.accept()
    run_until(calls, lambda: readable(conn))
    answer(conn)
    run_until(calls, lambda: replies)
    time_out_call(calls, server)
    assert not readable(server.listener)
    assert not receive_all(conn).endswith(BODY)


def test_breaks_if_connections_are_closed_in_an_orderly_way(
    server, calls, monkeypatch
):
    monkeypatch.setattr(sockets, "drop_unsent", lambda *_: pycurl.SOCKOPT_OK)
    time_out_call(calls, server)
    assert receive_all(server.accept()).endswith(BODY)


def receive_from_paused_sender(server, calls, seconds):
    """Return the bytes that arrive from a process that is paused."""
    calls.submit(post(server, timeout_ms=9000), lambda reply: None)
    run_until(calls, lambda: readable(server.listener))
    conn = server.accept()
    run_until(calls, lambda: readable(conn))
    time.sleep(seconds)
    conn.settimeout(1.0)
    data = bytearray()
    with contextlib.suppress(ConnectionResetError, TimeoutError):
        while found := conn.recv(1 << 16):
            data += found
    return bytes(data)


def test_unsent_bytes_of_a_paused_process_are_dropped(
    server, calls, monkeypatch
):
    monkeypatch.setattr(sockets, "UNSENT_MS", 300)
    data = receive_from_paused_sender(server, calls, 1.5)
    assert not data.endswith(BODY)


def test_breaks_if_bytes_may_stay_unsent_for_longer(
    server, calls, monkeypatch
):
    monkeypatch.setattr(sockets, "UNSENT_MS", 30_000)
    data = receive_from_paused_sender(server, calls, 1.5)
    assert data.endswith(BODY)


def occupy_all_connections(calls, server, timeout_ms):
    """Open as many connections as one address may have."""
    for _ in range(multiplex.MAX_CONNECTIONS_PER_HOST):
        call = post(server, timeout_ms=timeout_ms, body=b"held")
        calls.submit(call, lambda reply: None)
    for _ in range(multiplex.MAX_CONNECTIONS_PER_HOST):
        run_until(calls, lambda: readable(server.listener))
        server.accept()


def wait_for_a_connection(calls, server, *, send_by):
    """Return the reply to a call that first waits for a connection."""
    occupy_all_connections(calls, server, 600)
    replies = []
    call = post(server, timeout_ms=3000, body=b"queued", send_by=send_by)
    calls.submit(call, replies.append)
    run_until(calls, lambda: replies or readable(server.listener))
    if not replies:
        conn = server.accept()
        run_until(calls, lambda: replies or readable(conn))
    if not replies:
        answer(conn)
        run_until(calls, lambda: replies)
    return replies[0]


def test_call_that_waited_too_long_for_a_connection_is_not_sent(server, calls):
    send_by = time.monotonic() + 0.3
    reply = wait_for_a_connection(calls, server, send_by=send_by)
    assert reply.outcome is exchanges.Outcome.NOT_SENT


def test_breaks_if_a_waiting_call_has_no_deadline(server, calls):
    reply = wait_for_a_connection(calls, server, send_by=None)
    assert reply.outcome is exchanges.Outcome.ANSWERED


def test_call_of_a_process_that_was_paused_is_not_sent(server):
    now = 100.0
    calls = multiplex.Multiplexer(clock=lambda: now)
    replies = []
    calls.submit(post(server, send_by=101.0), replies.append)
    now = 104.0
    run_until(calls, lambda: replies)
    assert replies[0].outcome is exchanges.Outcome.NOT_SENT


def test_deadline_of_one_call_does_not_bind_the_next(server, calls):
    replies = []
    late = post(server, body=b"1", send_by=time.monotonic())
    calls.submit(late, replies.append)
    run_until(calls, lambda: replies)
    calls.submit(post(server, timeout_ms=5000, body=b"2"), replies.append)
    server.accept()
    run_until(calls, lambda: readable(server.listener))
    conn = server.accept()
    run_until(calls, lambda: readable(conn))
    answer(conn)
    run_until(calls, lambda: len(replies) == 2)
    assert [reply.outcome for reply in replies] == [
        exchanges.Outcome.NOT_SENT,
        exchanges.Outcome.ANSWERED,
    ]
