"""How the end of an attempt is classified, over faulty connections."""

import socket
import threading
import time

import pycurl
import pytest

from azurewood.http import endpoints
from azurewood.state import events
from tests.http import resetting

Result = events.RequestResult
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Sends a list of answers; ``None`` reads a request and closes."""

    def __init__(self, *answers, stays=True):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.answers = list(answers)
        self.requests = 0
        self.stays = stays
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while self.answers:
            conn, _ = self.listener.accept()
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()
            if not self.stays:
                self.listener.close()
                return

    def _serve(self, conn):
        with conn:
            while self.answers and conn.recv(65536):
                self.requests += 1
                answer = self.answers.pop(0)
                conn.sendall(answer or b"")
                if answer != WHOLE:
                    return


@pytest.fixture
def client():
    made = endpoints.EndpointClient()
    yield made
    made.close()


def send(client, port, *, method="GET", body=b"", **options):
    outgoing = endpoints.OutgoingRequest(
        method=method, path="/x", headers=["Expect:"], body=body
    )
    return client.send("127.0.0.1", port, outgoing, timeout_s=3, **options)


@pytest.mark.parametrize(
    ("answer", "result"),
    [
        (WHOLE, Result.ANSWERED),
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Result.FAILED),
        (b"HTTP/1.1 204 No Content\r\n\r\n", Result.ANSWERED),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\n\r\n",
            Result.ANSWERED,
        ),
        # Truncated in each of the three framings, and no answer at all.
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", Result.BROKEN),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n",
            Result.BROKEN,
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nok", Result.BROKEN),
        (b"HTTP/1.1 200", Result.BROKEN),
        (None, Result.BROKEN),
    ],
)
def test_only_complete_answers_count(client, answer, result):
    server = Server(answer)
    reply = send(client, server.port)
    assert reply.result == result
    assert bool(reply.status) == (result != Result.BROKEN)
    assert server.requests == 1


def test_refused_only_if_no_byte_left(client):
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    listener.close()
    assert send(client, port).result == Result.REFUSED


@pytest.mark.parametrize("body", [b"", b"a reading"])
def test_not_refused_once_bytes_were_sent_on_a_used_connection(client, body):
    """The client retries by itself and finds the port closed."""
    server = Server(WHOLE, None, stays=False)
    method = "POST" if body else "GET"
    assert send(client, server.port).result == Result.ANSWERED
    reply = send(client, server.port, method=method, body=body)
    assert server.requests == 2
    assert reply.result == Result.BROKEN


def test_a_request_on_a_fresh_connection_is_sent_once(client):
    server = Server(WHOLE, None, WHOLE)
    assert send(client, server.port).result == Result.ANSWERED
    reply = send(client, server.port, fresh=True)
    assert reply.result == Result.BROKEN
    assert server.requests == 2


def test_an_idle_connection_that_ended_is_not_used(client, monkeypatch):
    monkeypatch.setattr(endpoints.links, "CHECKED_AFTER_S", 0.0)
    server = Server(WHOLE, WHOLE)
    assert send(client, server.port).result == Result.ANSWERED
    ((link,),) = client._idle.values()
    link.sock.shutdown(socket.SHUT_RD)
    assert link.is_closed_by_endpoint(time.monotonic())
    assert client._acquire_link(("127.0.0.1", server.port)) is not link


def test_idle_connections_expire(client):
    server = Server(WHOLE, WHOLE)
    assert send(client, server.port).result == Result.ANSWERED
    ((link,),) = client._idle.values()
    link.idle_since -= endpoints.links.IDLE_CONNECTION_S
    assert client._acquire_link(("127.0.0.1", server.port)) is not link


@pytest.mark.parametrize("status", (429, 503))
def test_not_refused_if_a_repetition_of_a_reset_request_is(client, status):
    processed = []

    def answer(path, body, reused):
        if reused and not processed:
            processed.append(path)
            return None
        return (status if processed else 200), b"{}"

    with resetting.serving(answer) as url:
        port = int(url.rpartition(":")[2])
        assert send(client, port).result == Result.ANSWERED
        reply = send(client, port)
    assert processed
    assert reply.status == status
    assert reply.result in (Result.ANSWERED, Result.FAILED)


def _refuse_late(purpose, address):
    time.sleep(0.3)
    return pycurl.SOCKET_BAD


def _send_hedged(client, server):
    """Send over a connection that has ended and cannot be made again."""
    assert send(client, server.port).result == Result.ANSWERED
    ((link,),) = client._idle.values()
    link.sock.shutdown(socket.SHUT_RDWR)
    link.curl.setopt(pycurl.OPENSOCKETFUNCTION, _refuse_late)
    return send(client, server.port, hedge_at=time.monotonic())


def test_not_refused_if_a_hedge_was_sent(client):
    """The endpoint may have processed it, so "not run" would be false."""
    server = Server(WHOLE, None)
    assert _send_hedged(client, server).result == Result.BROKEN
    assert server.requests == 2


def test_refused_if_no_byte_of_a_hedge_left(client):
    server = Server(WHOLE, None, stays=False)
    assert _send_hedged(client, server).result == Result.REFUSED
    assert server.requests == 1
