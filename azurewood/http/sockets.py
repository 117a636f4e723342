"""Socket options that keep pycurl from sending abandoned calls later.

By default the kernel goes on sending the queued bytes of a closed
connection. A call that timed out during a network failure would then arrive
when the network is restored. With these options, closing resets the
connection and discards the queue, also when the process is killed.
"""

import errno
import select
import socket
import struct
import typing

import pycurl

RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)
"""A ``struct linger``: enabled, with 0 s to send the queued bytes."""
UNSENT_MS: typing.Final = 2000
"""How long sent bytes may stay unacknowledged before the kernel resets the
connection, whether or not the process still runs."""


def drop_unsent(fd: int, purpose: int) -> int:
    """Set a new connection's options; a ``SOCKOPTFUNCTION`` of pycurl."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_MS)
    finally:
        # libcurl owns the descriptor.
        sock.detach()
    return pycurl.SOCKOPT_OK


def refuse_connection(fd: int, purpose: int) -> int:
    """Let a call fail that needs a new connection, to repeat it or at all.

    A ``SOCKOPTFUNCTION`` of pycurl, called before the handshake.
    """
    return pycurl.SOCKOPT_ERROR


def has_ended(fd: int) -> bool:
    """Return whether the other end has closed an idle connection.

    It has if there is something to read: its end, or bytes that answer no
    call. The result is False for a negative descriptor.
    """
    if fd < 0:
        return False
    poll = select.poll()
    poll.register(fd, select.POLLIN)
    return any(not event & select.POLLNVAL for _, event in poll.poll(0))


def shut_down(fd: int, connection: tuple[object, ...]) -> None:
    """Tell the other end of an idle connection that it is over.

    libcurl closes the descriptor when it next looks at the connection. One
    that has become another connection's is left alone. ``connection`` has
    the addresses and ports as in `azurewood.http.known_connections`.
    """
    if fd < 0:
        return
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
    except OSError:
        return
    try:
        peer, own = sock.getpeername(), sock.getsockname()
        if (peer[0], own[0], peer[1], own[1]) == connection:
            sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It has ended already.
        return
    finally:
        # libcurl owns the descriptor.
        sock.detach()


def was_reset(curl: pycurl.Curl) -> bool:
    """Return whether the other end reset the connection of a failed call."""
    return curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNRESET


def nothing_sent(curl: pycurl.Curl) -> bool:
    """Return whether no byte of a failed call was sent.

    The error code does not show this: if a reused connection is reset,
    libcurl repeats the request by itself and may then fail to connect.
    REQUEST_SIZE counts the bytes sent over all repetitions.
    """
    return not curl.getinfo(pycurl.REQUEST_SIZE)
