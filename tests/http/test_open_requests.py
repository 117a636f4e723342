"""A request whose answer does not reach its caller is logged."""

import socket
import struct
import threading
import time

from loguru import logger
import pytest

from azurewood.http import server

REQUEST = b"POST /one/5c0e HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
RESET = struct.pack("ii", 1, 0)


class BlockingApplication:
    """An application that answers once it is released."""

    def __init__(self):
        self.begun = threading.Event()
        self.released = threading.Event()

    def __call__(self, environ, start_response):
        environ["wsgi.input"].read(2)
        self.begun.set()
        assert self.released.wait(10)
        body = b"x" * 1024
        start_response("200 OK", [("Content-Length", str(len(body) * 64))])
        # Writes fail after the first one has triggered the caller's reset.
        for _ in range(64):
            yield body
            time.sleep(0.005)


@pytest.fixture
def cut_fields():
    """Return a function that returns the ``request.cut`` log fields."""
    lines = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    yield lambda: [
        line for line in lines if line.get("event") == "request.cut"
    ]
    logger.remove(sink)


@pytest.fixture
def served():
    """Return an application and the server that runs it."""
    application = BlockingApplication()
    listener = server.make(
        host="127.0.0.1",
        port=0,
        application=application,
        threads=2,
        timeout_s=5.0,
        max_header_bytes=16384,
        max_body_bytes=1024,
    )
    thread = threading.Thread(target=listener.serve, daemon=True)
    thread.start()
    yield application, listener
    application.released.set()
    listener.stop()


def _send(listener, data):
    conn = socket.create_connection(listener.bind_addr, timeout=10)
    conn.sendall(data)
    return conn


def _wait_for(seconds, check):
    end = time.monotonic() + seconds
    while not check():
        assert time.monotonic() < end
        time.sleep(0.01)


def test_an_answer_that_did_not_reach_its_caller_is_logged(served, cut_fields):
    application, listener = served
    conn = _send(listener, REQUEST + b"ab")
    assert application.begun.wait(10)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    conn.close()
    application.released.set()
    _wait_for(10, cut_fields)
    (line,) = cut_fields()
    assert (line["method"], line["path"]) == ("POST", "/one/5c0e")
    assert line["reason"]


def test_open_requests_at_the_end_are_logged(served, cut_fields):
    application, listener = served
    _send(listener, REQUEST + b"ab")
    assert application.begun.wait(10)
    listener.open_requests.log_all_unanswered("the daemon ends")
    assert [line["reason"] for line in cut_fields()] == ["the daemon ends"]


def test_answered_requests_are_not_logged(served, cut_fields):
    application, listener = served
    application.released.set()
    conn = _send(listener, REQUEST + b"ab")
    size = 0
    while size < 64 * 1024:
        size += len(conn.recv(65536))
    _wait_for(10, lambda: not listener.open_requests._open)
    listener.open_requests.log_all_unanswered("the daemon ends")
    assert not cut_fields()


def test_requests_that_were_not_read_completely_are_not_logged(
    served, cut_fields
):
    application, listener = served
    conn = _send(listener, REQUEST + b"a")
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    conn.close()
    _wait_for(10, lambda: not listener.open_requests._open)
    assert not cut_fields()
