"""What pycurl's calls leave on their sockets.

A call that is given up leaves nothing to be sent later.

By default the kernel goes on sending what a closed connection has queued,
so a call that timed out on a path that was cut arrives when the path is
back. Here closing resets the connection, which drops the queue; that also
holds when the process is killed.
"""

import socket
import struct
import typing

import pycurl

RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)
"""A ``struct linger``: on, with no time to send the rest."""
UNSENT_MS: typing.Final = 2000
"""How long bytes may stay unacknowledged before the kernel resets the
connection, whether or not the process runs."""


def drop_unsent(fd: int, purpose: int) -> int:
    """Set a new connection's options; an ``SOCKOPTFUNCTION`` of pycurl."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_MS)
    finally:
        # The library owns the descriptor.
        sock.detach()
    return pycurl.SOCKOPT_OK


def nothing_sent(curl: pycurl.Curl) -> bool:
    """Return whether a failed call certainly never left this process.

    The kind of error does not tell: if a connection that was used before is
    reset, the library repeats the request by itself, and may then fail to
    connect. What it has sent is counted over all repetitions.
    """
    return not curl.getinfo(pycurl.REQUEST_SIZE)
