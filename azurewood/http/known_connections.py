"""The kept connections of a multiplexer: when each was made, its descriptor.

A connection ends with the process at its other end. A call that goes only
over a connection made by some time hence reaches the process that had the
address then, or none.
"""

import typing

MAX_KNOWN: typing.Final = 4096
"""Connections remembered; more than are kept open."""

Connection = tuple[object, ...]
"""Both addresses and ports of a connection."""


class KnownConnections:
    """The descriptors of connections, and when those that answered were made.

    A time may be later than the real one and never earlier. A connection
    that is closed stays until a new one has its ports or others displace it.
    """

    __slots__ = ("_descriptors", "_limited", "_made_at")

    def __init__(self) -> None:
        self._made_at: dict[Connection, float] = {}
        self._descriptors: dict[Connection, int] = {}
        self._limited: set[Connection] = set()

    def opened(
        self, connection: Connection, descriptor: int, *, limited: bool
    ) -> None:
        """Record the descriptor of a connection that was made.

        A ``limited`` one is among the few that its address may have.
        """
        self._descriptors.pop(connection, None)
        self._descriptors[connection] = descriptor
        if limited:
            self._limited.add(connection)
        if len(self._descriptors) > MAX_KNOWN:
            self.take_descriptor(next(iter(self._descriptors)))

    @property
    def limited(self) -> frozenset[Connection]:
        """The connections to addresses that may have few of them."""
        return frozenset(self._limited)

    def take_descriptor(self, connection: Connection) -> int:
        """Forget a connection; return its descriptor, -1 if not known."""
        self._made_at.pop(connection, None)
        self._limited.discard(connection)
        return self._descriptors.pop(connection, -1)

    def descriptor(self, connection: Connection) -> int:
        """Return the descriptor of a connection, -1 if it is not known."""
        return self._descriptors.get(connection, -1)

    def answered(
        self, connection: Connection, written_at: float, *, is_new: bool
    ) -> None:
        """Record an answer to a call that was written at a time."""
        made_at = self._made_at.pop(connection, None)
        if made_at is None or is_new:
            made_at = written_at
        self._made_at[connection] = made_at
        if len(self._made_at) > MAX_KNOWN:
            del self._made_at[next(iter(self._made_at))]

    def failed(self, connection: Connection, *, is_new: bool) -> None:
        """Record a call that failed.

        libcurl may keep the connection, and a new one may have the ports of
        one that was closed.
        """
        if is_new:
            self._made_at.pop(connection, None)

    def made_by(self, connection: Connection, time: float) -> bool:
        """Return whether a connection is known to be made by ``time``."""
        made_at = self._made_at.get(connection)
        return made_at is not None and made_at <= time
