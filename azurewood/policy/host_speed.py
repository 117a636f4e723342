"""Tells slow hosts from sound ones by the times of their runs.

The load: some hosts take five times as long while their health is reported
good, on sound hosts 3% of the tasks take seven times as long, and the
expected times are uncertain themselves.

For each run the likelihood that its host takes ``SLOW_MULTIPLE`` squared
times as long is compared with that of a sound host. Runs that take more than
``SLOW_MULTIPLE`` times the expected time speak for a slow host, others
against it. The logarithms of these ratios are summed, never below zero
(cumulative sum test: E. S. Page, Biometrika 41, 1954). What a single step of
a job tells is bounded, as its estimate may be wrong and it may be a straggler.
"""

import math
import typing

SLOW_MULTIPLE: typing.Final = 2.0
"""Multiple of the expected time at which a run speaks for neither."""
SLOW_LOG_RATIO: typing.Final = math.log(SLOW_MULTIPLE)
SHIFT: typing.Final = 2 * SLOW_LOG_RATIO
"""Logarithm of a slow host's time over a sound host's, in the test."""
MAX_SCORE: typing.Final = 2.7
"""Most that a step of a job counts, so that three have to be slow."""
SLOW_SUM: typing.Final = 8.0
"""Sum from which on a host is slow. Wald's bound for a false alarm is
exp(-8), 1 in 3000 runs."""
SOUND_SUM: typing.Final = 4.0
"""Sum below which a slow host has recovered, after two good probes."""
MIN_VARIANCE: typing.Final = 0.15
"""Least variance of a run's time that is assumed."""
FIRST_PROBE_S: typing.Final = 3.0
"""Pause before a slow host is probed with a single task. It doubles with
each probe that is slow."""
MAX_PROBE_S: typing.Final = 24.0
MAX_STEPS: typing.Final = 32
"""Steps of jobs that are remembered to bound what each counts."""


class HostSpeed:
    """The speed of one incarnation of a host by its runs.

    ``slow`` is whether it gets tasks last. From ``probe_at`` on it gets a
    single task. It is ``suspected`` if some of its runs have been slow.
    """

    __slots__ = (
        "_pause_s",
        "_steps",
        "_sum",
        "probe_at",
        "slow",
        "suspected",
    )

    def __init__(self) -> None:
        self._sum = 0.0
        self._steps: dict[typing.Hashable, float] = {}
        self._pause_s = FIRST_PROBE_S
        self.slow = False
        self.suspected = False
        self.probe_at = math.inf

    def on_overdue(
        self, step: typing.Hashable, log_ratio: float, variance: float
    ) -> None:
        """Record that a run has taken that long already and goes on."""
        score = _score(log_ratio, variance)
        if score > 0:
            self._count(step, score)

    def on_ended(
        self,
        step: typing.Hashable,
        log_ratio: float,
        variance: float,
        now: float,
    ) -> None:
        """Record a run's time over the expected one, as a logarithm."""
        score = _score(log_ratio, variance)
        if score > 0:
            self._count(step, score)
        else:
            self._sum = max(0.0, self._sum + score)
            self.suspected = self.slow or self._sum > 0
        if self.slow:
            if score > 0:
                self._pause_s = min(2 * self._pause_s, MAX_PROBE_S)
            self.probe_at = now + (self._pause_s if score > 0 else 0.0)

    def _count(self, step: typing.Hashable, score: float) -> None:
        """Count what a step tells, if its runs here have not told so much."""
        self.suspected = True
        counted = self._steps.pop(step, 0.0)
        self._steps[step] = max(counted, score)
        if len(self._steps) > MAX_STEPS:
            del self._steps[next(iter(self._steps))]
        self._sum = min(SLOW_SUM, self._sum + max(0.0, score - counted))

    def judge(self, now: float) -> bool:
        """Decide whether the host is slow; return whether that changed."""
        if not self.slow and self._sum >= SLOW_SUM:
            self.slow = True
            self.probe_at = now + self._pause_s
            return True
        if self.slow and self._sum < SOUND_SUM:
            self.slow = False
            self._pause_s = FIRST_PROBE_S
            return True
        return False


def _score(log_ratio: float, variance: float) -> float:
    """Return the log-likelihood ratio of slow over sound for one run."""
    variance = max(variance, MIN_VARIANCE)
    score = SHIFT * (log_ratio - SLOW_LOG_RATIO) / variance
    return min(max(score, -MAX_SCORE), MAX_SCORE)
