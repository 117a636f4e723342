"""On which host a task runs.

Answers the load of tasks of uneven size on hosts that are lent, parked and
taken down for upkeep: timed tasks fill the hosts that are used most already,
so that others become free as a whole; the lasting tasks of a step share two
hosts, so that the loss of one leaves half of them at work and the pool's
other hosts can be lent.
"""

from collections import abc

from azurewood.jobs import model as jobs
from azurewood.policy import host_health
from azurewood.scheduling import model


def most_room(hosts: abc.Iterable[model.Host]) -> jobs.Resources:
    """Return the most that any host has free of each resource.

    What does not fit into this fits on no host; so the long queue of a full
    pool is passed over without a look at its hosts.
    """
    return jobs.most(host.room for host in hosts)


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
    return min(
        fitting, key=lambda host: _rank(host, step, task, counts), default=None
    )


def suits(
    host: model.Host,
    step: jobs.Step,
    counts: abc.Mapping[str, int],
    now: float,
) -> bool:
    """Return whether a host may take one more task of a step."""
    if not step.reserved.fits(host.room):
        return False
    if not host_health.usable(host, now):
        return False
    if step.label and step.label not in host.entry.labels:
        return False
    return not step.per_host or counts.get(host.id, 0) < step.per_host


def _rank(
    host: model.Host,
    step: jobs.Step,
    task: model.Task,
    counts: abc.Mapping[str, int],
) -> tuple:
    failed_there = host.id in task.avoid
    far = bool(step.data_rack) and step.data_rack not in host.entry.labels
    free = host.room.cpu
    if step.lasting:
        return (failed_there, far, *_lasting_rank(host, step, counts))
    return (failed_there, far, free, host.id)


def _lasting_rank(
    host: model.Host, step: jobs.Step, counts: abc.Mapping[str, int]
) -> tuple:
    """Rank for lasting tasks: two hosts a step, shared with other steps."""
    half = counts.get(host.id, 0) >= (step.count + 1) // 2
    lasting = any(run.step.lasting for run in host.runs.values())
    return (half, not lasting, -host.room.cpu, host.id)
