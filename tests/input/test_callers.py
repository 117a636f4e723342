"""Malformed, oversized and slow requests to the callers' interface."""

import concurrent.futures
import socket
import time

import pytest

from tests.input import conftest

ENDED_WITHIN_S = 5.0
MAX_BLOCKED_S = 15.0


def request(line, *headers, body=b""):
    head = "\r\n".join([line, "Host: x", *headers, "", ""])
    return head.encode("latin-1") + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\xfc\r\n\r\n", 400),
        (b"GET\r\n\r\n", 400),
        (b"GET /desk/ HTTP/9.9\r\n\r\n", 505),
        (b"GET /desk/ HTTP/x.y\r\n\r\n", 400),
        (request("GET /desk/ HTTP/1.1", "no colon here"), 400),
        (request("POST /desk/ HTTP/1.1", "Content-Length: ten"), 400),
        (request("POST /desk/ HTTP/1.1", "Content-Length: -5"), 400),
        (request("GET /desk/ HTTP/1.1", "X-Long: " + "x" * 40000), 413),
        (request("GET /" + "x" * 40000 + " HTTP/1.1"), 414),
        (request("POST /desk/ HTTP/1.1", "Content-Length: 20001"), 413),
        (
            request(
                "POST /desk/ HTTP/1.1",
                "Transfer-Encoding: chunked",
                body=b"zz\r\n\r\n",
            ),
            400,
        ),
        (
            request(
                "POST /desk/ HTTP/1.1",
                "Transfer-Encoding: chunked",
                body=b"5000\r\n" + b"x" * 0x5000 + b"\r\n0\r\n\r\n",
            ),
            413,
        ),
    ],
)
def test_malformed_and_oversized_requests_are_refused(daemon, data, status):
    answer = conftest.exchange(daemon.port, data)
    assert answer.status == status
    assert answer.json["reason"]
    assert answer.headers["azurewood-outcome"] == "not-run"


@pytest.mark.parametrize(
    ("path", "method", "headers", "status"),
    [
        ("/nobody/x", "GET", {}, 404),
        ("/", "GET", {}, 404),
        ("/desk/x", "DELETE", {}, 405),
        ("/crew/x", "TRACE", {}, 405),
        ("/desk/x", "GET", {"Azurewood-Deadline-Ms": "soon"}, 400),
        ("/desk/x", "POST", {"Idempotency-Key": "k" * 201}, 400),
    ],
)
def test_invalid_requests_are_refused_as_not_run(
    daemon, path, method, headers, status
):
    reply = daemon.call(path, method=method, headers=headers)
    assert reply.status == status
    assert reply.outcome == "not-run"
    assert b"reason" in reply.body


@pytest.mark.parametrize(
    "start",
    [
        b"GET /desk/ HT",
        request("POST /desk/ HTTP/1.1", "Content-Length: 9", body=b"x"),
    ],
    ids=["head", "body"],
)
def test_a_stalled_sender_is_answered_or_disconnected(daemon, start):
    begun = time.monotonic()
    answer = conftest.exchange(daemon.port, start)
    assert time.monotonic() - begun < ENDED_WITHIN_S
    assert answer is None or answer.headers["azurewood-outcome"] == "not-run"


def test_a_request_with_a_truncated_body_does_not_run(started, daemon):
    before = len(started.executions())
    head = request("POST /desk/cut HTTP/1.1", "Content-Length: 90", body=b"x")
    address = ("127.0.0.1", daemon.port)
    with socket.create_connection(address, 5.0) as sock:
        sock.sendall(head)
        sock.shutdown(socket.SHUT_WR)
        answer = conftest.read_answer(sock)
    assert answer.status == 400
    assert answer.headers["azurewood-outcome"] == "not-run"
    assert len(started.executions()) == before


def test_an_unread_chunked_body_is_not_parsed_as_a_request(daemon):
    hidden = request("GET /desk/hidden HTTP/1.1")
    data = request(
        "POST /nobody HTTP/1.1",
        "Transfer-Encoding: chunked",
        body=b"%x\r\n%s\r\n0\r\n\r\n" % (len(hidden), hidden),
    )
    with socket.create_connection(("127.0.0.1", daemon.port), 5.0) as sock:
        sock.sendall(data)
        assert conftest.read_answer(sock).status == 404
        assert conftest.read_answer(sock) is None


def test_slow_senders_do_not_occupy_the_threads(daemon):
    """More senders than threads each send one byte every 0.2 s.

    Without a deadline for reading a request they would hold every thread.
    """
    socks = [
        socket.create_connection(("127.0.0.1", daemon.port), 5.0)
        for _ in range(12)
    ]
    try:
        for sock in socks:
            sock.sendall(b"POST /desk/ HTTP/1.1\r\nHost: x\r\n")
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            fut = pool.submit(daemon.call, "/desk/other")
            deadline = time.monotonic() + MAX_BLOCKED_S
            while not fut.done() and time.monotonic() < deadline:
                _send_byte_each(socks)
                concurrent.futures.wait([fut], timeout=0.2)
            assert fut.done()
            assert fut.result().status == 200
    finally:
        for sock in socks:
            sock.close()


def _send_byte_each(socks):
    for sock in socks:
        try:
            sock.sendall(b"x")
        except OSError:
            continue
