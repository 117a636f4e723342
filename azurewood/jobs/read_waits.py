"""Callers that wait until what was stored before a time has been read."""

import collections
from collections import abc
import dataclasses
import threading


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, eq=False)
class _ReadWait:
    """A caller that waits until what was stored before a time is read.

    It gives up at ``until``.
    """

    since: float
    until: float
    read: threading.Event


class ReadWaits:
    """The waiting callers, in the order in which they began to wait.

    Callers' threads add themselves; the loop alone removes them.
    """

    __slots__ = ("_clock", "_waits")

    def __init__(self, *, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._waits: collections.deque[_ReadWait] = collections.deque()

    def any_waits(self, now: float) -> bool:
        """Return whether a caller waits that has not given up."""
        while self._waits and self._waits[0].until < now:
            self._waits.popleft()
        return bool(self._waits)

    def note_read(self, fresh_at: float) -> None:
        """Note that all records stored before a time have been read."""
        while self._waits and self._waits[0].since <= fresh_at:
            self._waits.popleft().read.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait until what was stored before now is read; return whether."""
        now = self._clock()
        wait = _ReadWait(
            since=now, until=now + timeout_s, read=threading.Event()
        )
        self._waits.append(wait)
        return wait.read.wait(timeout_s)
