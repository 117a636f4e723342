"""How fast the loop of a daemon that leads goes round.

A leader that is slower than its fleet looks, from outside, as if there were
no room: hosts stand idle while jobs wait. Its own lines tell the two apart.
"""

from collections import abc
import time
import typing

from loguru import logger

from azurewood.daemons import ports
from azurewood.scheduling import model

LOG_INTERVAL_S: typing.Final = 1.0
"""Pause between two lines ``leader.loop``."""
LATE_TICK_S: typing.Final = 0.25
"""Lateness from which a tick has a line of its own: five ticks' time."""
SATURATED_SHARE: typing.Final = 0.9
"""Share of a second without a wait from which the leader is at its limit:
answers then queue up even if ticks still come in time."""
MS_PER_S: typing.Final = 1000


class LoopMonitor:
    """Measures the loop in one term; logs a line a second.

    ``processor`` returns the processor time that the process has used, in
    seconds.
    """

    __slots__ = (
        "_busy_s",
        "_calls",
        "_longest_gap_s",
        "_longest_step_s",
        "_processor",
        "_processor_at",
        "_starts",
        "_stepped_at",
        "_steps",
        "_term",
        "_ticked_at",
        "_logged_at",
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
        self._begin(now)

    def _begin(self, now: float) -> None:
        """Measure anew from now on."""
        self._logged_at = now
        self._processor_at = self._processor()
        self._steps = 0
        self._starts = 0
        self._busy_s = 0.0
        self._longest_step_s = 0.0
        self._longest_gap_s = 0.0

    def step(self, state: model.State, now: float) -> None:
        """Note that the loop begins its next step."""
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
        """Note that a start was sent."""
        self._starts += 1

    def tick(self, state: model.State, *, due: float, now: float) -> None:
        """Note that a tick which was due at some time is made now."""
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
            ).warning("a tick of the leader came late")

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
            ).warning("the leader has no time left")


def _ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)
