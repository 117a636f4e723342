"""Reads that the store holds open must not delay an append."""

import http.server
import threading
import time

import pytest

from azurewood.http import exchanges
from azurewood.http import multiplex
from azurewood.policy import intake

FOLLOWED_TOPICS = 4
"""Jobs, leader, operators and hosts."""
TIMEOUT_MS = 60_000


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.server.release.wait()
        self._answer()

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        self._answer()

    def _answer(self):
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *args):
        """Log nothing."""


class _Server(http.server.ThreadingHTTPServer):
    """Holds reads open until ``release`` is set."""

    daemon_threads = True
    request_queue_size = 64

    def __init__(self):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.release = threading.Event()

    def handle_error(self, request, client_address):
        """Log nothing about connections that the client resets."""


@pytest.fixture
def server():
    made = _Server()
    thread = threading.Thread(target=made.serve_forever, daemon=True)
    thread.start()
    yield made
    made.release.set()
    made.shutdown()
    made.server_close()


def _append_beside_reads(server):
    """Submit all reads of a leader, then an append.

    Return the calls and the list that gets the append's reply. A call that
    gets no connection is given up after the time for a TCP handshake.
    """
    url = f"http://127.0.0.1:{server.server_port}"
    calls = multiplex.Multiplexer(clock=time.monotonic)
    for _ in range(intake.MAX_PARTITIONS + FOLLOWED_TOPICS):
        read = exchanges.Call(method="GET", url=url, timeout_ms=TIMEOUT_MS)
        calls.submit(read, lambda reply: None)
    replies = []
    append = exchanges.Call(
        method="POST", url=url, body=b"x", timeout_ms=TIMEOUT_MS
    )
    calls.submit(append, replies.append)
    return calls, replies


def _finish(server, calls):
    server.release.set()
    while calls.under_way:
        calls.run_once(0.05)


def test_an_append_does_not_wait_for_reads_that_are_held_open(server):
    calls, replies = _append_beside_reads(server)
    while not replies:
        calls.run_once(0.05)
    assert replies[0].status == 200
    assert calls.under_way == intake.MAX_PARTITIONS + FOLLOWED_TOPICS
    _finish(server, calls)


def test_it_waits_if_there_are_fewer_connections(server, monkeypatch):
    monkeypatch.setattr(multiplex, "MAX_CONNECTIONS_PER_HOST", 8)
    calls, replies = _append_beside_reads(server)
    while not replies:
        calls.run_once(0.05)
    assert replies[0].outcome is exchanges.Outcome.NOT_SENT
    _finish(server, calls)
