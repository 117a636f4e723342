"""Simulated time: callbacks in the order of their times."""

from collections import abc
import heapq
import itertools


class Clock:
    """Seconds since the start, and what is to happen later."""

    __slots__ = ("_heap", "_order", "now")

    def __init__(self) -> None:
        self.now = 1000.0
        self._heap: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, seconds: float, what: abc.Callable[[], None]) -> None:
        """Do something after so many seconds."""
        at = self.now + max(0.0, seconds)
        heapq.heappush(self._heap, (at, next(self._order), what))

    def run_until(self, end: float) -> None:
        """Let time pass until ``end``."""
        while self._heap and self._heap[0][0] <= end:
            at, _, what = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            what()
        self.now = max(self.now, end)
