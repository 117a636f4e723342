"""Speed limits of background runs, and the hosts' answers to them.

A limit that may not be in force is sent again with the host's next list. One
without an answer may take effect late, in place of a newer one: the newest is
sent once more when that is over. Two that are under way at once may be
carried out in either order: the newest is sent once more when all have their
answers.
"""

import math
import typing

from azurewood.incarnations import limits
from azurewood.policy import throttling
from azurewood.scheduling import host_state
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling

SPEED_RETRY_S: typing.Final = 0.25
"""Pause before a speed limit that may not be in force is sent again."""


def send_changes(
    state: scheduling.State, host: host_state.Host, now: float
) -> None:
    """Send the speed limits of a host's background runs that are due."""
    for run, percent in throttling.speed_changes(host, now):
        state.log_run(
            "run.paced", host, run, percent=percent, before=run.speed
        )
        if percent != run.speed:
            run.speed = percent
            run.speed_changed_at = now
        run.speed_due_at = math.inf
        run.speeds_overlap = run.speeds_overlap or run.speed_calls > 0
        run.speed_calls += 1
        state.emit(
            messages.SetRunSpeed(
                host=host.id,
                address=host.entry.address,
                fence=host.fence,
                task=run.task,
                run=run.run,
                percent=percent,
            )
        )


def on_answered(
    state: scheduling.State, event: messages.SpeedAnswered, now: float
) -> None:
    """Handle the answer to a speed limit, or that there is none."""
    host = state.hosts.get(event.host)
    run = host.runs.get((event.task, event.run)) if host else None
    if run is None:
        return
    match event.refusal:
        case None if now < run.late_speed_until:
            run.speed_due_at = min(run.speed_due_at, run.late_speed_until)
        case messages.Refusal.UNKNOWN:
            run.late_speed_until = now + limits.MAX_START_DELAY_S
            run.speed_due_at = now + SPEED_RETRY_S
        case messages.Refusal.NOT_SENT | messages.Refusal.UNHEALTHY:
            run.speed_due_at = now + SPEED_RETRY_S
    _close_call(run, now)


def _close_call(run: host_state.Run, now: float) -> None:
    """Note an answer; after overlapping calls the newest limit is due."""
    run.speed_calls = max(0, run.speed_calls - 1)
    if run.speeds_overlap and not run.speed_calls:
        run.speeds_overlap = False
        run.speed_due_at = min(run.speed_due_at, now)
