"""The HTTP server of the platform stand-in."""

import select
import socket

from cheroot import wsgi

from standins.platform import app

THREADS = 128
BACKLOG = 512


class _Gateway(wsgi.Gateway_10):
    """A gateway that lets the application close the connection."""

    def get_environ(self) -> dict:
        """Return the WSGI environment, with two functions of our own."""
        environ = super().get_environ()
        sock = self.req.conn.socket
        environ[app.ABORT_KEY] = lambda: _abort(sock)
        environ[app.ABANDONED_KEY] = lambda: _is_abandoned(sock)
        return environ


def make(
    *, address: str, port: int, application: app.App, threads: int = THREADS
) -> wsgi.Server:
    """Return a server that is bound but does not serve yet."""
    server = wsgi.Server(
        (address, port),
        application,
        numthreads=threads,
        max=threads,
        request_queue_size=BACKLOG,
        timeout=60,
    )
    server.gateway = _Gateway
    server.prepare()
    return server


def _abort(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller closed it first.
        return


def _is_abandoned(sock: socket.socket) -> bool:
    try:
        readable, _, _ = select.select([sock], [], [], 0)
        return bool(readable) and not sock.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True
