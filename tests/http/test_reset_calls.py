"""What is known of a call whose connection is reset: over real sockets."""

import socket
import struct
import threading
import time

from azurewood.http import multiplex

DEADLINE_S = 5.0
RESET = struct.pack("ii", 1, 0)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _read_request(conn):
    """Return when a request and its body of one byte are there."""
    data = b""
    while not data.endswith(b"\r\n\r\nx"):
        data += conn.recv(4096)


def _serve(listener):
    """Answer one request; take a second one, then reset and go away."""
    conn, _ = listener.accept()
    _read_request(conn)
    conn.sendall(ANSWER)
    _read_request(conn)
    listener.close()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    conn.close()


def _reply(calls, url):
    found = []
    call = multiplex.Call(method="POST", url=url, body=b"x", timeout_ms=3000)
    calls.submit(call, found.append)
    end = time.monotonic() + DEADLINE_S
    while not found and time.monotonic() < end:
        calls.run_once(0.05)
    return found[0]


def test_a_call_that_arrived_is_not_said_to_be_unsent():
    """Guards against REFUSED and TWICE: the library tries anew by itself."""
    listener = socket.create_server(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
    server = threading.Thread(target=_serve, args=(listener,), daemon=True)
    server.start()
    calls = multiplex.Multiplexer(clock=time.monotonic)
    assert _reply(calls, url).outcome is multiplex.Outcome.ANSWERED
    assert _reply(calls, url).outcome is multiplex.Outcome.UNKNOWN
    server.join(DEADLINE_S)


def test_a_call_that_nobody_could_take_is_unsent():
    listener = socket.create_server(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
    listener.close()
    calls = multiplex.Multiplexer(clock=time.monotonic)
    assert _reply(calls, url).outcome is multiplex.Outcome.NOT_SENT
