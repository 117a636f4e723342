"""How fast background tasks work beside tasks that serve users.

Answers the load of serving tasks whose tail rises because of what fills the
rest of their host: the tail is watched against its target, and the
background of that host is slowed step by step until the tail is well under
the target, then sped up again slowly.
"""

from collections import abc
import typing

from azurewood.scheduling import model

STRAINED: typing.Final = 0.8
"""Share of a target from which the background is slowed: the rest is the
tail's own swing within a reading."""
CALM: typing.Final = 0.5
"""Share of all targets under which the background is sped up."""
SLOWER_EVERY_S: typing.Final = 0.5
"""Pause between two steps down: a reading covers the last half second. Four
steps stop the background, well within the 4 s that count as harm."""
FASTER_EVERY_S: typing.Final = 1.0
STEPS: typing.Final = (100, 50, 20, 0)
"""Paces in percent, from full to none."""


def paces(host: model.Host, now: float) -> abc.Iterator[tuple]:
    """Yield the background runs of a host with their new paces."""
    serving = [run for run in host.runs.values() if _serves(run)]
    background = [run for run in host.runs.values() if _fills(run)]
    if not background:
        return
    strain = max(
        (run.measure / run.step.latency_target_ms for run in serving),
        default=0.0,
    )
    for run in background:
        wanted = _next(run, strain, now)
        if wanted != run.speed:
            yield run, wanted


def _serves(run: model.Run) -> bool:
    running = run.phase is model.RunPhase.RUNNING
    return running and run.step.latency_target_ms > 0


def _fills(run: model.Run) -> bool:
    return run.phase is model.RunPhase.RUNNING and run.step.background


def _next(run: model.Run, strain: float, now: float) -> int:
    index = STEPS.index(run.speed)
    since = now - run.speed_changed_at
    if strain > STRAINED and since >= SLOWER_EVERY_S:
        return STEPS[min(index + 1, len(STEPS) - 1)]
    if strain < CALM and since >= FASTER_EVERY_S:
        return STEPS[max(index - 1, 0)]
    return run.speed
