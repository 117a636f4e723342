"""A daemon's processor in the simulation, which may be slow.

What a daemon does takes time in proportion to the function calls that it
makes. So the cost of a decision is the same in every run, whatever the
machine that plays it.
"""

import collections
from collections import abc
import sys
import types

from standins.fleet import clock as clocks


class Processor:
    """Runs one piece of work after the other.

    ``speed`` is in function calls a second; None takes no time and is not
    counted. ``total`` is the number of function calls counted so far,
    ``busy_s`` the time that all of them have taken.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_free_at",
        "_waiting",
        "busy_s",
        "speed",
        "total",
    )

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._waiting: collections.deque[abc.Callable[[], None]] = (
            collections.deque()
        )
        self._free_at = 0.0
        self._calls = 0
        self.busy_s = 0.0
        self.speed: float | None = None
        self.total = 0

    @property
    def spent_s(self) -> float:
        """How long the work that is being done has taken so far."""
        return self._calls / self.speed if self.speed else 0.0

    def charge(self, calls: int) -> None:
        """Count work that is done outside of the simulated code."""
        self._calls += calls

    def run(self, work: abc.Callable[[], None]) -> None:
        """Do a piece of work once all earlier ones are done."""
        if self.speed is None:
            work()
            return
        self._waiting.append(work)
        if len(self._waiting) == 1:
            self._wait()

    def _wait(self) -> None:
        self._clock.after(self._free_at - self._clock.now, self._next)

    def _next(self) -> None:
        work = self._waiting[0]
        self._calls = 0
        before = sys.getprofile()
        sys.setprofile(self._count)
        try:
            work()
        finally:
            sys.setprofile(before)
        self.total += self._calls
        self.busy_s += self.spent_s
        self._free_at = self._clock.now + self.spent_s
        self._calls = 0
        self._waiting.popleft()
        if self._waiting:
            self._wait()

    def _count(self, frame: types.FrameType, event: str, arg: object) -> None:
        if event in ("call", "c_call"):
            self._calls += 1
