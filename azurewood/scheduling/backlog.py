"""What waits for a host, pool by pool."""

from collections import abc

from azurewood.scheduling import model
from azurewood.scheduling import waiting

WAITING = model.TaskPhase.WAITING


def by_pool(state: model.State) -> dict[str, waiting.Backlog]:
    """Return the backlog of each pool that has one."""
    found: dict[str, waiting.Backlog] = {}
    for job in state.jobs.values():
        if job.cancelled or job.closing:
            continue
        steps = [
            (occurrence, count)
            for (occurrence, _), tasks in due_steps(state, job)
            if (count := len([t for t in tasks if t.phase is WAITING]))
        ]
        if steps:
            pool = state.service_of(job.job)
            due_ms = min(job.job.due_ms(number) for number, _ in steps)
            found.setdefault(pool, waiting.Backlog()).add(
                tasks=sum(count for _, count in steps),
                since_ms=max(job.job.accepted_ms, due_ms),
            )
    return found


def due_steps(
    state: model.State, job: model.JobState
) -> abc.Iterator[tuple[tuple[int, int], list[model.Task]]]:
    """Return the steps that are not done and whose turn has come."""
    for key in job.open_steps(state.unix_ms):
        yield key, job.steps[key]
