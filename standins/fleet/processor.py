"""Simulated processor of a daemon, which may be slow.

The work of a daemon takes simulated time in proportion to the function
calls that it makes. So a decision has the same cost in every run, on any
machine.
"""

import collections
from collections import abc
import gc
import sys
import types

from standins.fleet import clock as clocks


class Processor:
    """Runs pieces of work one at a time.

    ``speed`` is in function calls per second; if it is None, work takes no
    simulated time and is not counted. ``total`` is the number of function
    calls counted so far, and ``busy_s`` the time that they took.
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
        """The simulated time that the current piece of work has taken."""
        return self._calls / self.speed if self.speed else 0.0

    def charge(self, calls: int) -> None:
        """Add the cost of work done outside the simulated code."""
        self._calls += calls

    def run(self, work: abc.Callable[[], None]) -> None:
        """Run a piece of work after all earlier ones."""
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
        collects = gc.isenabled()
        # Callbacks of collections, such as those of hypothesis, are no work.
        gc.disable()
        sys.setprofile(self._count)
        try:
            work()
        finally:
            sys.setprofile(before)
            if collects:
                gc.enable()
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
