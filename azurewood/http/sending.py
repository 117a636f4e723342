"""Lets libcurl write a call's request once.

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
    the call, -1 if none was.
    """

    __slots__ = ("descriptor", "may_repeat", "trouble", "writes")

    def __init__(self, *, may_repeat: bool) -> None:
        self.may_repeat = may_repeat
        self.descriptor = -1
        self.trouble: Trouble | None = None
        self.writes = 0

    @property
    def is_over(self) -> bool:
        """Whether the request was written and must not be written again."""
        return self.writes > 0 and not self.may_repeat

    def may_connect(self, descriptor: int) -> bool:
        """Return whether the call may make a connection, and note it."""
        self.descriptor = descriptor
        return self._may_write()

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
