"""How fast background tasks work beside tasks that serve users.

Answers the load of serving tasks whose tail rises because of what fills the
rest of their host: the tail is watched against its target, and the
background of that host is slowed step by step until the tail is well under
the target, then sped up again slowly.
"""

from collections import abc
import typing

from azurewood.scheduling import model

THROTTLE_ABOVE: typing.Final = 0.8
"""Share of a target from which the background is slowed: the rest is the
tail's own swing within a reading."""
SPEED_UP_BELOW: typing.Final = 0.5
"""Share of all targets under which the background is sped up."""
THROTTLE_INTERVAL_S: typing.Final = 0.5
"""Pause between two steps down: a reading covers the last half second. Four
steps stop the background, well within the 4 s that count as harm."""
SPEED_UP_INTERVAL_S: typing.Final = 1.0
SPEEDS_PERCENT: typing.Final = (100, 50, 20, 0)
"""Paces in percent, from full to none."""


def speed_changes(host: model.Host, now: float) -> abc.Iterator[tuple]:
    """Yield the background runs of a host with their new paces."""
    serving = [run for run in host.runs.values() if _has_latency_target(run)]
    background = [run for run in host.runs.values() if _is_background(run)]
    if not background:
        return
    latency_ratio = max(
        (run.measure / run.step.latency_target_ms for run in serving),
        default=0.0,
    )
    for run in background:
        wanted = _next_speed(run, latency_ratio, now)
        if wanted != run.pace:
            yield run, wanted


def _has_latency_target(run: model.Run) -> bool:
    running = run.phase is model.RunPhase.RUNNING
    return running and run.step.latency_target_ms > 0


def _is_background(run: model.Run) -> bool:
    return run.phase is model.RunPhase.RUNNING and run.step.background


def _next_speed(run: model.Run, latency_ratio: float, now: float) -> int:
    index = SPEEDS_PERCENT.index(run.pace)
    since = now - run.paced_at
    if latency_ratio > THROTTLE_ABOVE and since >= THROTTLE_INTERVAL_S:
        return SPEEDS_PERCENT[min(index + 1, len(SPEEDS_PERCENT) - 1)]
    if latency_ratio < SPEED_UP_BELOW and since >= SPEED_UP_INTERVAL_S:
        return SPEEDS_PERCENT[max(index - 1, 0)]
    return run.pace
