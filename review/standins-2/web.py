"""A small HTTP/1.1 server for the stand-ins, with faults of its links."""

import http.server
import socket
import socketserver
import threading
import urllib.parse


class Listener:
    """Serves one address; ``answer`` maps a request to a reply.

    ``answer`` gets the method, the path, the query and the body, and returns
    a status and a body. While ``silent`` is set nothing that arrives is read
    or carried out, as on a cut link. ``delay_s`` is added to each answer.
    """

    def __init__(self, answer, *, ip="127.0.0.1", port=0):
        self.answer = answer
        self.silent = threading.Event()
        self.delay_s = 0.0
        self.closed = False
        self._sockets = set()
        self._lock = threading.Lock()
        self._server = _Server((ip, port), _Handler)
        self._server.listener = self
        self.address = "{}:{}".format(*self._server.server_address)
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def opened(self, conn):
        """Note a connection, so that ``close`` can reset it."""
        with self._lock:
            self._sockets.add(conn)

    def ended(self, conn):
        """Forget a connection."""
        with self._lock:
            self._sockets.discard(conn)

    def reset(self):
        """Close all connections, as the end of a process does."""
        with self._lock:
            found, self._sockets = self._sockets, set()
        for conn in found:
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def close(self):
        """Stop listening and close all connections."""
        self.closed = True
        self._server.shutdown()
        self._server.server_close()
        self.reset()


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Say nothing of connections that end."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.listener.opened(self.connection)

    def finish(self):
        self.server.listener.ended(self.connection)
        super().finish()

    def _serve(self):
        listener = self.server.listener
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size)
        if listener.silent.is_set() or listener.closed:
            # What a cut holds up is lost: nothing of it is carried out.
            while listener.silent.is_set() and not listener.closed:
                if listener.silent.wait(0.1):
                    threading.Event().wait(0.1)
            self.close_connection = True
            return
        path, _, query = self.path.partition("?")
        found = dict(urllib.parse.parse_qsl(query))
        if listener.delay_s:
            threading.Event().wait(listener.delay_s)
        reply = listener.answer(self.command, path, found, body, self.headers)
        if reply is None or listener.closed or listener.silent.is_set():
            self.close_connection = True
            return
        status, data = reply
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_DELETE = _serve  # noqa: N815

    def log_message(self, *args):
        """Write no log."""
