"""Callers that wait until what was stored before a time has been read."""

import collections
import dataclasses
import threading


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class _ReadWait:
    """A caller that waits for a read; it gives up at ``until``."""

    since: float
    until: float
    read: threading.Event


class ReadWaits:
    """The waiting callers, each of them in a thread of its own.

    Only the daemon's loop removes callers.
    """

    __slots__ = ("_waits",)

    def __init__(self) -> None:
        self._waits: collections.deque[_ReadWait] = collections.deque()

    def wait(self, now: float, timeout_s: float) -> bool:
        """Wait until what was stored before now is read; return whether."""
        wait = _ReadWait(
            since=now, until=now + timeout_s, read=threading.Event()
        )
        self._waits.append(wait)
        return wait.read.wait(timeout_s)

    def any_at(self, now: float) -> bool:
        """Return whether a caller waits, and forget those that gave up."""
        while self._waits and self._waits[0].until < now:
            self._waits.popleft()
        return bool(self._waits)

    def note_read(self, fresh_at: float) -> None:
        """Wake the callers that wait for what was stored before a time."""
        while self._waits and self._waits[0].since <= fresh_at:
            self._waits.popleft().read.set()
