"""On which host a task runs.

Answers the load of tasks of uneven size on hosts that are lent, parked and
taken down for upkeep: timed tasks fill the hosts that are used most already,
so that others become free as a whole; the lasting tasks of a step share two
hosts, so that the loss of one leaves half of them at work and the pool's
other hosts can be lent.

A start must not cost more in a larger pool. So the hosts are kept sorted by
their free processor time: the best fit is the first host, from a task's
need on, that has the rest of what the task needs.
"""

import bisect
from collections import abc

from azurewood.jobs import model as jobs
from azurewood.scheduling import jobstates
from azurewood.scheduling import model


class Rooms:
    """The hosts that may take tasks now, sorted by what they have free.

    While it is in use, rooms change by its methods only.
    """

    __slots__ = ("_by_cpu", "_gpus", "_memory", "hosts")

    def __init__(self, *, hosts: list[model.Host]) -> None:
        self.hosts = hosts
        self._by_cpu = sorted((host.free.cpu, host.id, host) for host in hosts)
        self._memory = sorted(host.free.memory_mb for host in hosts)
        self._gpus = sorted(host.free.gpu for host in hosts)

    def most(self) -> jobs.Resources:
        """Return the most that any host has free of each resource.

        What does not fit into this fits on no host; so the long queue of a
        full pool is passed over without a look at its hosts.
        """
        if not self._by_cpu:
            return jobs.Resources()
        return jobs.Resources(
            self._by_cpu[-1][0], self._memory[-1], self._gpus[-1]
        )

    def choose(
        self,
        step: jobs.Step,
        task: jobstates.Task,
        among: abc.Container[str] | None = None,
    ) -> model.Host | None:
        """Return the best host with room for a task, or None.

        ``among`` has the ids of the hosts that are allowed, None for all.
        """
        fitting = self._fitting(step, task, among)
        if step.lasting:
            return min(
                fitting,
                key=lambda host: _lasting_rank(host, step, task),
                default=None,
            )
        best = None
        best_rank = (True, True)
        for host in fitting:
            rank = _rank(host, step, task)
            if rank == (False, False):
                return host
            if best is None or rank < best_rank:
                best, best_rank = host, rank
        return best

    def _fitting(
        self,
        step: jobs.Step,
        task: jobstates.Task,
        among: abc.Container[str] | None,
    ) -> abc.Iterator[model.Host]:
        """Return the hosts with room for a task, the fullest first."""
        start = bisect.bisect_left(self._by_cpu, (step.reserved.cpu,))
        for index in range(start, len(self._by_cpu)):
            host = self._by_cpu[index][2]
            allowed = among is None or host.id in among
            if allowed and suits(host, step, task):
                yield host

    def reserve(
        self, host: model.Host, step: jobs.Step, task: jobstates.Task
    ) -> None:
        """Take a task's room on a host."""
        self._drop(host)
        host.reserve(task.id, step)
        self._insert(host)

    def release(
        self, host: model.Host, step: jobs.Step, task: jobstates.Task
    ) -> None:
        """Give back what ``reserve`` took."""
        self._drop(host)
        host.release(task.id, step)
        self._insert(host)

    def add(self, host: model.Host, run: model.Run) -> None:
        """Add a run to a host."""
        self._drop(host)
        host.add(run)
        self._insert(host)

    def _drop(self, host: model.Host) -> None:
        free = host.free
        place = bisect.bisect_left(self._by_cpu, (free.cpu, host.id))
        del self._by_cpu[place]
        del self._memory[bisect.bisect_left(self._memory, free.memory_mb)]
        del self._gpus[bisect.bisect_left(self._gpus, free.gpu)]

    def _insert(self, host: model.Host) -> None:
        free = host.free
        bisect.insort(self._by_cpu, (free.cpu, host.id, host))
        bisect.insort(self._memory, free.memory_mb)
        bisect.insort(self._gpus, free.gpu)


def suits(host: model.Host, step: jobs.Step, task: jobstates.Task) -> bool:
    """Return whether a usable host may take one more task of a step."""
    if not step.reserved.fits(host.free):
        return False
    if step.label and step.label not in host.entry.labels:
        return False
    if not step.per_host:
        return True
    return host.step_runs.get(jobstates.step_key(task.id), 0) < step.per_host


def _rank(
    host: model.Host, step: jobs.Step, task: jobstates.Task
) -> tuple[bool, bool]:
    far = bool(step.data_rack) and step.data_rack not in host.entry.labels
    return (host.id in task.avoid, far)


def _lasting_rank(
    host: model.Host, step: jobs.Step, task: jobstates.Task
) -> tuple:
    """Rank for lasting tasks: two hosts a step, shared with other steps."""
    here = host.step_runs.get(jobstates.step_key(task.id), 0)
    half = here >= (step.count + 1) // 2
    rank = _rank(host, step, task)
    return (*rank, half, not host.lasting, -host.free.cpu, host.id)
