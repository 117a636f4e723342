"""Finds calls of which no byte of the answer has arrived for some time.

libcurl's own limit on slow transfers counts in whole seconds and averages the
speed over several of them, so that it would notice a silent peer late.
"""

from collections import abc
import math
import typing


class ProgressWatch:
    """The times of calls' newest progress, and their timeouts without any.

    Progress is a byte of the answer. Before the first one, the time counts
    from the call's submission. ``stalled`` costs nothing until a call may be
    due.
    """

    __slots__ = ("_calls", "_clock", "due_at")

    def __init__(self, *, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._calls: dict[typing.Hashable, list[float]] = {}
        self.due_at = math.inf
        """The earliest time at which a call may have stalled."""

    def add(self, key: typing.Hashable, timeout_s: float) -> None:
        """Watch a call that has just been submitted."""
        now = self._clock()
        self._calls[key] = [now, timeout_s]
        self.due_at = min(self.due_at, now + timeout_s)

    def note(self, key: typing.Hashable) -> None:
        """Note that bytes of a watched call's answer have arrived."""
        self._calls[key][0] = self._clock()

    def remove(self, key: typing.Hashable) -> None:
        """Stop watching a call; it need not be watched."""
        self._calls.pop(key, None)

    def stalled(self) -> list[typing.Hashable]:
        """Return the calls that have made no progress for their time."""
        now = self._clock()
        if now < self.due_at:
            return []
        due = {key: at + limit for key, (at, limit) in self._calls.items()}
        found = [key for key, at in due.items() if at <= now]
        self.due_at = min(
            (at for at in due.values() if at > now), default=math.inf
        )
        return found
