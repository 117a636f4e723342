"""How much room the jobs that arrive now will need.

Answers the load of a queue whose turn begins: before its first jobs have
piled up, their pace alone shows what the pool will need. By Little's law
that is the pace of arrivals times the work of a job.
"""

import collections
import typing

from azurewood.jobs import model

NEWEST: typing.Final = 6
"""Arrivals that tell the pace: fewer would take chance for a turn."""
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
        if not job.lasting and job.schedule is None:
            self._newest.append((now, _work(job)))

    def needed(self, now: float) -> model.Resources:
        """Return the room that jobs at this pace take together."""
        if len(self._newest) < NEWEST:
            return model.Resources()
        since = self._newest[-NEWEST][0]
        pace = (NEWEST - 1) / max(0.05, now - since)
        count = len(self._newest)
        cpu = sum(work.cpu for _, work in self._newest) / count
        memory = sum(work.memory_mb for _, work in self._newest) / count
        return model.Resources(int(cpu * pace), int(memory * pace), 0)


def _work(job: model.Job) -> model.Resources:
    """Return a job's room times its estimated seconds."""
    cpu = 0.0
    memory = 0.0
    for step in job.steps:
        seconds = step.count * step.estimate_ms / 1000
        cpu += step.reserved.cpu * seconds
        memory += step.reserved.memory_mb * seconds
    return model.Resources(int(cpu), int(memory), 0)
