"""Backlog of tasks that wait for a host, for each pool."""

from collections import abc
import math

from azurewood.scheduling import jobstates
from azurewood.scheduling import model
from azurewood.scheduling import waiting


def by_pool(state: model.State) -> dict[str, waiting.Backlog]:
    """Return the backlog of each pool that has waiting tasks."""
    found: dict[str, waiting.Backlog] = {}
    for job in state.jobs.values():
        if job.cancelled or job.closing:
            continue
        count = 0
        due_ms = math.inf
        for key in job.open_steps(state.unix_ms):
            if job.waiting[key]:
                count += job.waiting[key]
                due_ms = min(due_ms, job.job.due_ms(key[0]))
        if count:
            pool = state.service_of(job.job)
            backlog = found.setdefault(pool, waiting.Backlog())
            since_ms = max(job.accepted_ms, due_ms)
            backlog.add(tasks=count, since_ms=since_ms)
    return found


def due_steps(
    state: model.State, job: jobstates.JobState
) -> abc.Iterator[tuple[tuple[int, int], list[jobstates.Task]]]:
    """Yield the steps of a job that are ready to run and not done."""
    for key in job.open_steps(state.unix_ms):
        yield key, job.steps[key]
