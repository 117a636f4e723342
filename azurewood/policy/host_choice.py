"""On which host a task runs.

Answers the load of tasks of uneven size on hosts that are lent, parked and
taken down for upkeep: timed tasks fill the hosts that are used most already,
so that others become free as a whole; lasting tasks spread over hosts, so
that the loss of one host takes few of them away.
"""

from collections import abc

from azurewood.jobs import model as jobs
from azurewood.policy import host_health
from azurewood.scheduling import model


def choose(
    hosts: abc.Iterable[model.Host],
    step: jobs.Step,
    task: model.Task,
    counts: abc.Mapping[str, int],
    now: float,
) -> model.Host | None:
    """Return the best host with room for a task, or None.

    ``counts`` has the runs of the task's step by host.
    """
    fitting = (host for host in hosts if suits(host, step, counts, now))
    return min(fitting, key=lambda host: _rank(host, step, task), default=None)


def suits(
    host: model.Host,
    step: jobs.Step,
    counts: abc.Mapping[str, int],
    now: float,
) -> bool:
    """Return whether a host may take one more task of a step."""
    if not host_health.usable(host, now):
        return False
    if step.label and step.label not in host.entry.labels:
        return False
    if step.per_host and counts.get(host.id, 0) >= step.per_host:
        return False
    return step.reserved.fits(host.room)


def _rank(host: model.Host, step: jobs.Step, task: model.Task) -> tuple:
    failed_there = host.id in task.avoid
    far = bool(step.data_rack) and step.data_rack not in host.entry.labels
    free = host.room.cpu
    return (failed_there, far, -free if step.lasting else free, host.id)
