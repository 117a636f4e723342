"""A server whose handler may reset a connection instead of answering."""

import contextlib
import http.server
import socket
import struct
import threading

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    served = 0

    def do_GET(self):
        self._answer(b"")

    def do_POST(self):
        self._answer(self.rfile.read(int(self.headers["Content-Length"])))

    def _answer(self, body):
        answer = self.server.answer(self.path, body, self.served > 0)
        self.served += 1
        if answer is None:
            self._reset()
            return
        status, data = answer
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def _reset(self):
        self.close_connection = True
        self.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        # Without this the library's own shutdown would precede the reset.
        self.server.shutdown_request = self.server.close_request

    def log_message(self, *args):
        """Log nothing."""


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Pass over connections that clients end."""


@contextlib.contextmanager
def serving(answer):
    """Yield the URL of a server.

    ``answer`` receives a request's path, its body and whether its connection
    was used before. It returns a status and a body, or None to reset the
    connection.
    """
    server = _Server(("127.0.0.1", 0), _Handler)
    server.answer = answer
    thread = threading.Thread(target=server.serve_forever, args=(0.02,))
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
