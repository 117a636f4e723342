"""Simulated clock that runs scheduled callbacks in time order."""

from collections import abc
import heapq
import itertools


class Clock:
    """The current simulated time in seconds, and the scheduled callbacks."""

    __slots__ = ("_heap", "_order", "now")

    def __init__(self) -> None:
        self.now = 1000.0
        self._heap: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, seconds: float, what: abc.Callable[[], None]) -> None:
        """Schedule a callback to run after ``seconds``."""
        at = self.now + max(0.0, seconds)
        heapq.heappush(self._heap, (at, next(self._order), what))

    def run_until(self, end: float) -> None:
        """Advance the time to ``end`` and run the callbacks due by then."""
        while self._heap and self._heap[0][0] <= end:
            at, _, what = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            what()
        self.now = max(self.now, end)
