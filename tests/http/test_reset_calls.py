"""Outcomes of calls whose connection is reset, over real sockets.

If a reused connection is reset after the request was sent, libcurl by itself
repeats the request, which may then fail to connect or be refused. Such a call
must not be reported as unsent or as refused, as the server may have processed
its first copy.
"""

import contextlib
import socket
import struct
import threading
import time

import pytest

from azurewood.http import exchanges
from azurewood.http import multiplex
from azurewood.provider import base as provider
from azurewood.provider import exceptions
from tests.http import resetting

DEADLINE_S = 5.0
RESET = struct.pack("ii", 1, 0)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _read_request(conn):
    """Read one request, whose body is one byte."""
    data = b""
    while not data.endswith(b"\r\n\r\nx"):
        data += conn.recv(4096)


def _serve(listener):
    """Answer one request, read a second one, then reset and stop."""
    conn, _ = listener.accept()
    _read_request(conn)
    conn.sendall(ANSWER)
    _read_request(conn)
    listener.close()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    conn.close()


@contextlib.contextmanager
def _server():
    """Yield the URL of a server that resets its second call and stops."""
    listener = socket.create_server(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    thread = threading.Thread(target=_serve, args=(listener,), daemon=True)
    thread.start()
    yield url
    thread.join(DEADLINE_S)


def _reply(calls, url, method="POST"):
    found = []
    body = None if method == "GET" else b"x"
    call = exchanges.Call(method=method, url=url, body=body, timeout_ms=3000)
    calls.submit(call, found.append)
    end = time.monotonic() + DEADLINE_S
    while not found and time.monotonic() < end:
        calls.run_once(0.05)
    return found[0]


def test_a_call_that_arrived_is_not_reported_as_unsent():
    """A call reported as not sent would be repeated and could run twice."""
    calls = multiplex.Multiplexer(clock=time.monotonic)
    with _server() as url:
        assert _reply(calls, url).outcome is exchanges.Outcome.ANSWERED
        assert _reply(calls, url).outcome is exchanges.Outcome.UNKNOWN


def test_a_change_that_arrived_is_not_reported_as_not_done():
    """The same failure, in the client of the project's platform."""
    with _server() as url:
        conn = provider.Connection(url=url, zone="a")
        assert conn.call("POST", "/", body=b"x").status == 200
        with pytest.raises(exceptions.OutcomeUnknown):
            conn.call("POST", "/", body=b"x")


def test_a_call_to_a_closed_port_is_not_sent():
    listener = socket.create_server(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    calls = multiplex.Multiplexer(clock=time.monotonic)
    assert _reply(calls, url).outcome is exchanges.Outcome.NOT_SENT
    conn = provider.Connection(url=url, zone="a")
    with pytest.raises(exceptions.NotDone):
        conn.call("POST", "/", body=b"x")


def _first_reset(status, carried_out):
    """Return a handler that resets one request on a reused connection.

    All later ones get ``status``.
    """

    def answer(path, body, reused):
        if reused and not carried_out:
            carried_out.append(body)
            return None
        return (status, b"{}") if carried_out else (200, b"{}")

    return answer


@pytest.mark.parametrize("status", (200, 409, 412, 429, 503))
def test_an_answer_to_a_repetition_is_not_taken_for_that_of_the_call(status):
    calls = multiplex.Multiplexer(clock=time.monotonic)
    carried_out = []
    with resetting.serving(_first_reset(status, carried_out)) as url:
        assert _reply(calls, url).outcome is exchanges.Outcome.ANSWERED
        reply = _reply(calls, url)
    assert carried_out
    assert reply.outcome is exchanges.Outcome.UNKNOWN
    assert reply.writes == 1


def test_a_read_is_repeated():
    calls = multiplex.Multiplexer(clock=time.monotonic)
    carried_out = []
    with resetting.serving(_first_reset(200, carried_out)) as url:
        assert _reply(calls, url).outcome is exchanges.Outcome.ANSWERED
        reply = _reply(calls, url, method="GET")
    assert carried_out
    assert reply.outcome is exchanges.Outcome.ANSWERED
    assert reply.writes == 2


@pytest.mark.parametrize("status", (409, 429, 503))
def test_a_change_answered_when_repeated_is_not_reported_as_not_done(status):
    """The same failure, in the client of the project's platform."""
    carried_out = []
    with resetting.serving(_first_reset(status, carried_out)) as url:
        conn = provider.Connection(url=url, zone="a")
        assert conn.call("POST", "/", body=b"x").status == 200
        with pytest.raises(exceptions.OutcomeUnknown):
            provider.check_status(conn.call("POST", "/", body=b"x"), 201)
    assert carried_out


def _answer_and_close(listener, bodies):
    """Answer one request on each connection, then close it."""
    while True:
        try:
            conn, _ = listener.accept()
        except OSError:
            return
        with conn:
            _read_request(conn)
            bodies.append(b"x")
            conn.sendall(ANSWER)


@contextlib.contextmanager
def _closing_server(bodies):
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    listener.settimeout(DEADLINE_S)
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    thread = threading.Thread(
        target=_answer_and_close, args=(listener, bodies), daemon=True
    )
    thread.start()
    try:
        yield url
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join(DEADLINE_S)


def test_a_waiting_call_is_not_written_to_a_connection_that_ended():
    """Calls that wait for a connection get it before its reply is handled."""
    calls = multiplex.Multiplexer(clock=time.monotonic)
    count = multiplex.MAX_CONNECTIONS_PER_HOST + 8
    bodies = []
    found = []
    with _closing_server(bodies) as url:
        for _ in range(count):
            call = exchanges.Call(
                method="POST", url=url, body=b"x", timeout_ms=3000
            )
            calls.submit(call, found.append)
        end = time.monotonic() + DEADLINE_S
        while len(found) < count and time.monotonic() < end:
            calls.run_once(0.02)
            # The answers and the ends of their connections arrive meanwhile.
            time.sleep(0.05)
    assert {reply.outcome for reply in found} == {exchanges.Outcome.ANSWERED}
    assert len(bodies) == count


def test_a_change_is_not_written_to_a_platform_connection_that_ended():
    """The same failure, in the client of the project's platform."""
    bodies = []
    with _closing_server(bodies) as url:
        conn = provider.Connection(url=url, zone="a")
        for _ in range(3):
            assert conn.call("POST", "/", body=b"x").status == 200
            time.sleep(0.1)
    assert len(bodies) == 3
