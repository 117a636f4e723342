"""Predicts the resources that arriving jobs will need.

When the load of a queue begins to rise, the arrival rate shows the coming
demand before a backlog has formed. By Little's law, the demand is the
arrival rate times the work of a job. While the rate is rising, it is
extrapolated to the time at which a host that is requested now can start
tasks.
"""

import collections
from collections import abc
import typing

from azurewood.jobs import model

RATE_SAMPLES: typing.Final = 6
"""Arrivals that the rate is computed from: fewer give random peaks."""
HOST_LEAD_S: typing.Final = 2.0
"""Time until a requested host is usable: a move takes 1.5 s, then the host
registers and its runs are listed."""
MAX_RATE_GROWTH: typing.Final = 2.0
"""Limit on the predicted rate over the present one, because random variation
can look like a rise."""
MIN_INTERVAL_S: typing.Final = 0.05
"""Shortest time over which a rate is computed."""
WORK_SAMPLES: typing.Final = 16
"""Arrivals averaged for the work of a job, whose estimates are rough."""


class Arrivals:
    """The newest arrivals of one service, with the work of each."""

    __slots__ = ("_newest",)

    def __init__(self) -> None:
        self._newest: collections.deque[tuple[float, model.Resources]] = (
            collections.deque(maxlen=WORK_SAMPLES)
        )

    def record(
        self,
        job: model.Job,
        now: float,
        durations_ms: abc.Sequence[int] | None = None,
    ) -> None:
        """Record the arrival of a job and how long its steps' tasks take.

        Without ``durations_ms`` the caller's estimates count.

        Long-lived and scheduled jobs are ignored.
        """
        if not job.long_lived and job.schedule is None:
            if durations_ms is None:
                durations_ms = [step.estimate_ms for step in job.steps]
            self._newest.append((now, _work(job, durations_ms)))

    def expected_needs(self, now: float) -> model.Resources:
        """Return the resources that jobs need at the expected rate."""
        if len(self._newest) < RATE_SAMPLES:
            return model.Resources()
        rate = self._expected_rate(now)
        count = len(self._newest)
        cpu = sum(work.cpu for _, work in self._newest) / count
        memory = sum(work.memory_mb for _, work in self._newest) / count
        return model.Resources(int(cpu * rate), int(memory * rate), 0)

    def _expected_rate(self, now: float) -> float:
        """Return the expected arrivals per second."""
        since = self._newest[-RATE_SAMPLES][0]
        rate = (RATE_SAMPLES - 1) / max(MIN_INTERVAL_S, now - since)
        if len(self._newest) < 2 * RATE_SAMPLES:
            return rate
        before = self._newest[-2 * RATE_SAMPLES][0]
        earlier = RATE_SAMPLES / max(MIN_INTERVAL_S, since - before)
        rise = max(0.0, rate - earlier) / max(
            MIN_INTERVAL_S, (now - before) / 2
        )
        return min(MAX_RATE_GROWTH * rate, rate + rise * HOST_LEAD_S)


def _work(job: model.Job, durations_ms: abc.Sequence[int]) -> model.Resources:
    """Return the resources of a job's tasks times their expected seconds."""
    cpu = 0.0
    memory = 0.0
    for step, duration_ms in zip(job.steps, durations_ms, strict=True):
        seconds = step.count * duration_ms / 1000
        cpu += step.reserved.cpu * seconds
        memory += step.reserved.memory_mb * seconds
    return model.Resources(int(cpu), int(memory), 0)
