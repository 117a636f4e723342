"""Requests whose answer did not reach their caller have a line."""

import socket
import struct
import threading
import time

from loguru import logger
import pytest

from azurewood.http import server

REQUEST = b"POST /one/5c0e HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
RESET = struct.pack("ii", 1, 0)


class Held:
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
        # Later writes fail once the first has met the caller's reset.
        for _ in range(64):
            yield body
            time.sleep(0.005)


@pytest.fixture
def cut():
    """Return a function: the lines about requests that were cut."""
    lines = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    yield lambda: [
        line for line in lines if line.get("event") == "request.cut"
    ]
    logger.remove(sink)


@pytest.fixture
def served():
    """Return an application and its server, which listens."""
    held = Held()
    listener = server.make(
        host="127.0.0.1",
        port=0,
        application=held,
        threads=2,
        timeout_s=5.0,
        max_header_bytes=16384,
        max_body_bytes=1024,
    )
    thread = threading.Thread(target=listener.serve, daemon=True)
    thread.start()
    yield held, listener
    held.released.set()
    listener.stop()


def _ask(listener, data):
    conn = socket.create_connection(listener.bind_addr, timeout=10)
    conn.sendall(data)
    return conn


def _within(seconds, check):
    end = time.monotonic() + seconds
    while not check():
        assert time.monotonic() < end
        time.sleep(0.01)


def test_an_answer_that_did_not_reach_its_caller_has_a_line(served, cut):
    held, listener = served
    conn = _ask(listener, REQUEST + b"ab")
    assert held.begun.wait(10)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    conn.close()
    held.released.set()
    _within(10, cut)
    (line,) = cut()
    assert (line["method"], line["path"]) == ("POST", "/one/5c0e")
    assert line["reason"]


def test_requests_in_hand_at_the_end_have_a_line(served, cut):
    held, listener = served
    _ask(listener, REQUEST + b"ab")
    assert held.begun.wait(10)
    listener.open_requests.log_all_unanswered("the daemon ends")
    assert [line["reason"] for line in cut()] == ["the daemon ends"]


def test_answered_requests_have_none(served, cut):
    held, listener = served
    held.released.set()
    conn = _ask(listener, REQUEST + b"ab")
    size = 0
    while size < 64 * 1024:
        size += len(conn.recv(65536))
    _within(10, lambda: not listener.open_requests._open)
    listener.open_requests.log_all_unanswered("the daemon ends")
    assert not cut()


def test_requests_that_were_not_read_whole_have_none(served, cut):
    held, listener = served
    conn = _ask(listener, REQUEST + b"a")
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    conn.close()
    _within(10, lambda: not listener.open_requests._open)
    assert not cut()
