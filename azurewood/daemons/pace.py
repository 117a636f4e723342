"""Monitoring of the leader's main loop.

A leader that cannot keep up with its fleet looks from outside like a lack of
capacity: hosts are idle while jobs wait. The log lines of this module
distinguish the two.
"""

from collections import abc
import time
import typing

from loguru import logger

from azurewood.daemons import ports
from azurewood.scheduling import model

LOG_INTERVAL_S: typing.Final = 1.0
"""Interval between two ``leader.loop`` log lines."""
LATE_TICK_S: typing.Final = 0.25
"""Lateness from which a tick is logged separately: five tick intervals."""
SATURATED_SHARE: typing.Final = 0.9
"""Share of busy time from which the leader counts as saturated: answers then
queue up even if ticks are still on time."""
MS_PER_S: typing.Final = 1000


class LoopMonitor:
    """Measures the leader's loop during a term; logs one line a second.

    ``processor`` returns the processor time of the process in seconds.
    """

    __slots__ = (
        "_busy_s",
        "_calls",
        "_logged_at",
        "_longest_gap_s",
        "_longest_step_s",
        "_previous_longest_step_s",
        "_processor",
        "_processor_at",
        "_starts",
        "_stepped_at",
        "_steps",
        "_term",
        "_ticked_at",
        "_waited_s",
    )

    def __init__(
        self,
        *,
        term: int,
        calls: ports.Calls,
        now: float,
        processor: abc.Callable[[], float] = time.process_time,
    ) -> None:
        self._term = term
        self._calls = calls
        self._processor = processor
        self._stepped_at = now
        self._ticked_at = now
        self._waited_s = calls.waited_s
        self._longest_step_s = 0.0
        self._begin(now)

    @property
    def longest_step_s(self) -> float:
        """The longest step of this and the previous measuring interval."""
        return max(self._longest_step_s, self._previous_longest_step_s)

    def _begin(self, now: float) -> None:
        """Start a new measuring interval."""
        self._logged_at = now
        self._processor_at = self._processor()
        self._steps = 0
        self._starts = 0
        self._busy_s = 0.0
        self._previous_longest_step_s = self._longest_step_s
        self._longest_step_s = 0.0
        self._longest_gap_s = 0.0

    def step(self, state: model.State, now: float) -> None:
        """Record that the loop begins its next iteration."""
        waited_s = self._calls.waited_s
        took_s = now - self._stepped_at - (waited_s - self._waited_s)
        self._stepped_at = now
        self._waited_s = waited_s
        self._steps += 1
        self._busy_s += took_s
        if took_s > self._longest_step_s:
            self._longest_step_s = took_s
        if now >= self._logged_at + LOG_INTERVAL_S:
            self._log_loop(state, now)

    def started(self) -> None:
        """Record that a run's start was sent."""
        self._starts += 1

    def tick(self, state: model.State, *, due: float, now: float) -> None:
        """Record a tick that was due at ``due`` and is made now."""
        gap_s = now - self._ticked_at
        self._ticked_at = now
        self._longest_gap_s = max(self._longest_gap_s, gap_s)
        late_s = now - due
        if due and late_s >= LATE_TICK_S:
            logger.bind(
                event="leader.late",
                term=self._term,
                late_ms=_ms(late_s),
                busy_ms=_ms(self._busy_s),
                calls=self._calls.under_way,
                starts=self._starts,
                jobs=len(state.jobs),
            ).warning("leader tick is late")

    def _log_loop(self, state: model.State, now: float) -> None:
        backlogs = state.backlogs.values()
        logger.bind(
            event="leader.loop",
            term=self._term,
            over_ms=_ms(now - self._logged_at),
            steps=self._steps,
            longest_step_ms=_ms(self._longest_step_s),
            longest_gap_ms=_ms(self._longest_gap_s),
            busy_ms=_ms(self._busy_s),
            processor_ms=_ms(self._processor() - self._processor_at),
            calls=self._calls.under_way,
            jobs=len(state.jobs),
            jobs_waiting=sum(found.jobs for found in backlogs),
            tasks_waiting=sum(found.tasks for found in backlogs),
            starts=self._starts,
        ).info("leader.loop")
        self._log_saturated(now)
        self._begin(now)

    def _log_saturated(self, now: float) -> None:
        over_s = now - self._logged_at
        if self._busy_s >= SATURATED_SHARE * over_s:
            logger.bind(
                event="leader.saturated",
                term=self._term,
                over_ms=_ms(over_s),
                busy_ms=_ms(self._busy_s),
                calls=self._calls.under_way,
            ).warning("leader loop is saturated")


def _ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)
