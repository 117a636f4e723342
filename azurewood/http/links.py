"""A pycurl handle that keeps one connection to an endpoint."""

import socket
import time

import pycurl

from azurewood.http import sockets

CONNECT_TIMEOUT_MS = 1000
IDLE_CONNECTION_S = 30
CHECKED_AFTER_S = 1.0
UNACKNOWLEDGED_MS = 3000
KEEPALIVE_S = 5
KEEPALIVE_PROBES = 3


class Link:
    """A pycurl handle with one connection, used by one thread at a time.

    ``sock`` is the socket of the current connection, None before the first
    one; ``idle_since`` is when the link was last used.
    """

    __slots__ = ("curl", "idle_since", "sock")

    def __init__(self) -> None:
        self.sock: socket.socket | None = None
        self.idle_since = 0.0
        self.curl = pycurl.Curl()
        for option, value in _OPTIONS.items():
            self.curl.setopt(option, value)
        self.curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open)

    def _open(self, purpose: int, address: tuple) -> socket.socket:
        """Open the socket of a new connection; pycurl duplicates it."""
        family, kind, protocol, _ = address
        sock = socket.socket(family, kind, protocol)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES
        )
        if self.sock is not None:
            self.sock.close()
        self.sock = sock
        return sock

    def is_expired(self, now: float) -> bool:
        """Return whether the link has been idle for too long to be reused."""
        return self.idle_since + IDLE_CONNECTION_S <= now

    def is_closed_by_endpoint(self, now: float) -> bool:
        """Return whether the endpoint has closed the idle connection.

        Checked only after ``CHECKED_AFTER_S`` of idle time, as the check
        costs a system call.
        """
        if self.sock is None or self.idle_since + CHECKED_AFTER_S > now:
            return False
        return sockets.has_ended(self.sock.fileno())

    def close(self) -> None:
        """Close the connection."""
        self.curl.close()
        if self.sock is not None:
            self.sock.close()


_OPTIONS = {
    pycurl.NOSIGNAL: 1,
    pycurl.PROXY: "",
    pycurl.MAXCONNECTS: 1,
    pycurl.CONNECTTIMEOUT_MS: CONNECT_TIMEOUT_MS,
    pycurl.MAXAGE_CONN: IDLE_CONNECTION_S,
    pycurl.TCP_NODELAY: 1,
    pycurl.PATH_AS_IS: 1,
}


def new_link() -> Link:
    """Return a link that is not connected yet and counts as idle from now."""
    link = Link()
    link.idle_since = time.monotonic()
    return link
