"""Reads that the store holds open must not delay an append."""

import http.server
import threading
import time

import pytest

from azurewood.http import multiplex
from azurewood.policy import intake

HELD_S = 1.0
FOLLOWED_TOPICS = 4
"""Jobs, leader, operators and hosts."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        time.sleep(HELD_S)
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
    def handle_error(self, request, client_address):
        """Log nothing about connections that the client resets."""


@pytest.fixture
def address():
    server = _Server(("127.0.0.1", 0), _Handler)
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


def _append_s(address):
    """Return how long an append takes beside all reads of a leader."""
    calls = multiplex.Multiplexer(clock=time.monotonic)
    for _ in range(intake.MAX_PARTITIONS + FOLLOWED_TOPICS):
        read = multiplex.Call(method="GET", url=address, timeout_ms=5000)
        calls.submit(read, lambda reply: None)
    for _ in range(20):
        calls.run_once(0.01)
    replies = []
    append = multiplex.Call(
        method="POST", url=address, body=b"x", timeout_ms=5000
    )
    calls.submit(append, replies.append)
    began_at = time.monotonic()
    while not replies and time.monotonic() < began_at + 3.0:
        calls.run_once(0.01)
    took_s = replies[0].at - began_at
    assert replies[0].status == 200
    while calls.under_way and time.monotonic() < began_at + 10.0:
        calls.run_once(0.05)
    assert not calls.under_way
    return took_s


def test_an_append_does_not_wait_for_reads_that_are_held_open(address):
    assert _append_s(address) < HELD_S / 2


def test_it_waits_if_there_are_fewer_connections(address, monkeypatch):
    monkeypatch.setattr(multiplex, "MAX_CONNECTIONS_PER_HOST", 8)
    assert _append_s(address) > HELD_S / 2
