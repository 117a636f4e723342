"""How much room the jobs that arrive now will need.

Answers the load of a queue whose turn begins: before its first jobs have
piled up, their pace alone shows what the pool will need. By Little's law
that is the pace of arrivals times the work of a job. While the pace rises,
what counts is the one at which jobs will come when a host that is ordered
now can take them.
"""

import collections
import typing

from azurewood.jobs import model

NEWEST: typing.Final = 6
"""Arrivals that tell the pace: fewer would take chance for a turn."""
AHEAD_S: typing.Final = 2.0
"""How long a host is on its way: a move of 1.5 s, its entry, its list."""
RISE_MOST: typing.Final = 2.0
"""Bound on the pace to come over that of now: chance may look like a rise."""
LEAST_S: typing.Final = 0.05
"""Shortest time over which a pace is told."""
KEPT: typing.Final = 16
"""Arrivals that tell the work of a job, whose estimates are rough."""


class Arrivals:
    """The newest arrivals of one service, with the work of each."""

    __slots__ = ("_newest",)

    def __init__(self) -> None:
        self._newest: collections.deque[tuple[float, model.Resources]] = (
            collections.deque(maxlen=KEPT)
        )

    def note(self, job: model.Job, now: float) -> None:
        """Take in a job that arrived."""
        if not job.long_lived and job.schedule is None:
            self._newest.append((now, _work(job)))

    def needed(self, now: float) -> model.Resources:
        """Return the room that jobs at this pace take together."""
        if len(self._newest) < NEWEST:
            return model.Resources()
        pace = self._pace(now)
        count = len(self._newest)
        cpu = sum(work.cpu for _, work in self._newest) / count
        memory = sum(work.memory_mb for _, work in self._newest) / count
        return model.Resources(int(cpu * pace), int(memory * pace), 0)

    def _pace(self, now: float) -> float:
        """Return the jobs a second that are to be expected."""
        since = self._newest[-NEWEST][0]
        pace = (NEWEST - 1) / max(LEAST_S, now - since)
        if len(self._newest) < 2 * NEWEST:
            return pace
        before = self._newest[-2 * NEWEST][0]
        earlier = NEWEST / max(LEAST_S, since - before)
        rise = max(0.0, pace - earlier) / max(LEAST_S, (now - before) / 2)
        return min(RISE_MOST * pace, pace + rise * AHEAD_S)


def _work(job: model.Job) -> model.Resources:
    """Return a job's room times its estimated seconds."""
    cpu = 0.0
    memory = 0.0
    for step in job.steps:
        seconds = step.count * step.estimate_ms / 1000
        cpu += step.reserved.cpu * seconds
        memory += step.reserved.memory_mb * seconds
    return model.Resources(int(cpu), int(memory), 0)
