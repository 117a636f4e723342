"""Throttles background runs that share a host with latency-bound runs.

Background runs on a host can raise the tail latency of the runs there that
serve users. The measured tail latency is compared with its target: the
background runs of that host are slowed step by step until the latency is
well below the target, then sped up again slowly.
"""

from collections import abc
import typing

from azurewood.scheduling import host_state

THROTTLE_ABOVE: typing.Final = 0.8
"""Share of a latency target above which background runs are slowed. The
margin allows for the normal variation of the tail within a measurement."""
SPEED_UP_BELOW: typing.Final = 0.5
"""Share of every target below which background runs are sped up."""
THROTTLE_INTERVAL_S: typing.Final = 0.5
"""Time between two steps down: a measurement covers the last half second.
Three steps stop a background run, well within the 4 s above the target that
count as harm to users."""
SPEED_UP_INTERVAL_S: typing.Final = 1.0
SPEEDS_PERCENT: typing.Final = (100, 50, 20, 0)
"""Allowed speeds in percent, from full speed to stopped."""


def speed_changes(host: host_state.Host, now: float) -> abc.Iterator[tuple]:
    """Yield the background runs whose speed is to be sent, with the speed.

    It changes, or is due to be sent again.
    """
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
        if wanted != run.speed or now >= run.speed_due_at:
            yield run, wanted


def _has_latency_target(run: host_state.Run) -> bool:
    running = run.phase is host_state.RunPhase.RUNNING
    return running and run.step.latency_target_ms > 0


def _is_background(run: host_state.Run) -> bool:
    return run.phase is host_state.RunPhase.RUNNING and run.step.background


def _next_speed(run: host_state.Run, latency_ratio: float, now: float) -> int:
    index = SPEEDS_PERCENT.index(run.speed)
    since = now - run.speed_changed_at
    if latency_ratio > THROTTLE_ABOVE and since >= THROTTLE_INTERVAL_S:
        return SPEEDS_PERCENT[min(index + 1, len(SPEEDS_PERCENT) - 1)]
    if latency_ratio < SPEED_UP_BELOW and since >= SPEED_UP_INTERVAL_S:
        return SPEEDS_PERCENT[max(index - 1, 0)]
    return run.speed
