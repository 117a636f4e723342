"""Whether a host can run a task, apart from the room that is free now."""

from azurewood.jobs import model as jobs
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates


def suits_beside(
    host: host_state.Host, step: jobs.Step, task: jobs.TaskId
) -> bool:
    """Return whether a host with enough room can run one more task."""
    waits = host.late_starts or host.incarnation.ends.withheld
    if waits and not (step.long_lived or host.has_room_for_end):
        return False
    if step.label and step.label not in host.entry.labels:
        return False
    if not step.per_host:
        return True
    return host.step_runs.get(jobstates.step_key(task), 0) < step.per_host


def room_beside_lasting(host: host_state.Host) -> jobs.Resources:
    """Return a host's room once its runs that end by themselves have ended.

    Those that are being stopped end as well.
    """
    stopping = host_state.RunPhase.STOPPING
    room = host.entry.capacity
    for run in host.runs.values():
        if run.step.long_lived and run.phase is not stopping:
            room = room.minus(run.step.reserved)
    return room


def is_left_to_others(
    host: host_state.Host, step: jobs.Step, task: jobs.TaskId
) -> bool:
    """Return whether a step's last places on a host are for other tasks.

    A start of theirs may still be late there, so that they may start on no
    other host, and they have no run now.
    """
    if not (step.per_host and step.long_lived and host.late_starts):
        return False
    key = jobstates.step_key(task)
    late = {
        other
        for other, _ in host.late_starts
        if jobstates.step_key(other) == key and other != task
    }
    late.difference_update(run.task for run in host.runs.values())
    return host.step_runs.get(key, 0) + len(late) >= step.per_host
