"""Lets libcurl write a call's request once, and not after it is given up.

By itself libcurl repeats a request whose reused connection is reset before
the answer. The answer would then be that of the second copy, while the first
one may be processed as well, now or later.
"""

import enum

from azurewood.http import sockets


class Trouble(enum.Enum):
    """Why a call's request was not written to a connection."""

    ENDED = "the idle connection had ended before"
    RESET = "connection reset before the answer"


class Sending:
    """What libcurl's callbacks know and decide about one call.

    ``writes`` is how often the request was written, more than once only if it
    ``may_repeat``. ``descriptor`` is that of the connection that was made for
    the call, -1 if none was. None is made if ``needs_kept``: the call only
    goes over a connection that was kept.
    """

    __slots__ = (
        "descriptor",
        "may_repeat",
        "needs_kept",
        "trouble",
        "writes",
    )

    def __init__(self, *, may_repeat: bool, needs_kept: bool = False) -> None:
        self.may_repeat = may_repeat
        self.needs_kept = needs_kept
        self.descriptor = -1
        self.trouble: Trouble | None = None
        self.writes = 0

    @property
    def is_over(self) -> bool:
        """Whether the request was written and must not be written again."""
        return self.writes > 0 and not self.may_repeat

    def on_new_socket(self, fd: int, purpose: int) -> int:
        """Set a new connection's options, or refuse it to the call.

        A ``SOCKOPTFUNCTION`` of pycurl, called before the handshake.
        """
        self.descriptor = fd
        if not self._may_write() or self.needs_kept:
            return sockets.refuse_connection(fd, purpose)
        return sockets.drop_unsent(fd, purpose)

    def may_use(self, idle_descriptor: int) -> bool:
        """Return whether the request may be written to a connection.

        ``idle_descriptor`` is that of a connection that was not made for this
        call, -1 if it is not known.
        """
        if not self._may_write():
            return False
        if self.descriptor < 0 and sockets.has_ended(idle_descriptor):
            self.trouble = Trouble.ENDED
            return False
        return True

    def _may_write(self) -> bool:
        if self.is_over:
            self.trouble = Trouble.RESET
        return not self.is_over
