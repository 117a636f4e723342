"""Chooses the host that a task runs on.

Tasks differ in size, and hosts are moved between pools, parked in the
standby pool and taken down for maintenance. Tasks that end by themselves
therefore go to the fullest host that fits them, so that other hosts become
completely free. The long-lived tasks of a step are spread over two hosts:
the loss of one leaves half of them running, and the other hosts of the pool
remain free to be moved. A task that may crash its host goes where it endangers
the fewest others, see `azurewood.policy.host_crashes`. A task that ends by
itself goes where its end is soon acknowledged, see
`azurewood.policy.withheld_ends`.

The cost of a start must not grow with the size of the pool. The hosts are
therefore kept sorted by their free processor time: the best fit is the first
host, starting from the processor time that a task needs, that also has the
other resources.
"""

import bisect
import collections
from collections import abc
import itertools
import typing

from azurewood.jobs import model as jobs
from azurewood.policy import host_crashes
from azurewood.policy import host_fit
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates

MAX_HOSTS_FOR_SUSPECT: typing.Final = 20
"""Limit on hosts that are compared for a task that may crash its host."""
MAX_HOSTS_TO_AVOID: typing.Final = 20
"""Limit on hosts that are passed over as run ends wait there."""


BEST_RANK: typing.Final = (False, False, False, False)
"""To be avoided, slow, far from the data, ends wait there."""
BEST_SLOW_RANK: typing.Final = (False, True, False, False)


class HostIndex:
    """The usable hosts of a pool, sorted by their free resources.

    While an index is in use, only its methods may change what the hosts
    have free, as the sort order would otherwise be wrong. With
    ``avoid_waiting``, tasks that end by themselves avoid the hosts on which
    ends wait for late starts, or will. ``slow`` has the slow hosts, which are
    chosen last, and whether each is to be probed with a single task.
    """

    __slots__ = (
        "_by_cpu",
        "_gpus",
        "_memory",
        "_separation",
        "_slow",
        "_sound_cpu",
        "_waiting",
        "hosts",
    )

    def __init__(
        self,
        *,
        hosts: list[host_state.Host],
        separation: host_crashes.Separation | None = None,
        avoid_waiting: bool = False,
        slow: abc.Mapping[str, bool] | None = None,
    ) -> None:
        self.hosts = hosts
        self._slow = self._limits_of_slow(slow or {})
        self._waiting = {
            host.id
            for host in hosts
            if avoid_waiting
            and (host.late_starts or host.incarnation.ends.withheld)
        }
        self._separation = separation
        # Lists cost fewer calls than generators, and each pass does this.
        self._by_cpu = sorted(
            [(host.free.cpu, host.id, host) for host in hosts]
        )
        self._sound_cpu = [
            cpu
            for cpu, _, host in self._by_cpu
            if not (self._slow and self._comes_last(host))
        ]
        self._memory = sorted([host.free.memory_mb for host in hosts])
        self._gpus = sorted([host.free.gpu for host in hosts])

    def _limits_of_slow(self, slow: abc.Mapping[str, bool]) -> dict[str, int]:
        """Return the slow hosts with the tasks up to which they are probed.

        If all hosts are slow, none is passed over for another one.
        """
        if len(slow) == len(self.hosts):
            return {}
        return {
            host.id: sum(host.step_runs.values()) + 1 if slow[host.id] else 0
            for host in self.hosts
            if host.id in slow
        }

    def _is_slow(self, host: host_state.Host, step: jobs.Step) -> bool:
        """Return whether a host is slow and not for a probe by a step."""
        limit = self._slow.get(host.id)
        if limit is None or step.long_lived or step.gang:
            return limit is not None
        return sum(host.step_runs.values()) >= limit

    def _comes_last(self, host: host_state.Host) -> bool:
        """Return whether a host is slow and not to be probed by any task."""
        return self._slow.get(host.id) == 0

    def _best_rank_left(self, step: jobs.Step) -> tuple[bool, ...]:
        """Return the best rank that a host may have for a step.

        If no other host has the processor time, it is that of a slow host, so
        that the slow ones of a large pool are not all examined.
        """
        if self._slow and not (
            self._sound_cpu and self._sound_cpu[-1] >= step.reserved.cpu
        ):
            return BEST_SLOW_RANK
        return BEST_RANK

    def largest_free(self) -> jobs.Resources:
        """Return the largest free amount of each resource on any host.

        A task that needs more fits on no host. The long queue of a full
        pool is thus skipped without examining its hosts.
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
    ) -> host_state.Host | None:
        """Return the best host that can run a task, or None.

        ``among`` contains the ids of the allowed hosts, None allows all.
        """
        fitting = self._fitting(step, task, among)
        if step.long_lived:
            return min(
                fitting,
                key=lambda host: _long_lived_rank(
                    host, step, task, self._is_slow(host, step)
                ),
                default=None,
            )
        if task.crashes:
            return self._best_for_suspect(step, task, among)
        best = None
        best_rank = (True, True, True, True)
        avoided = 0
        best_left = self._best_rank_left(step)
        for host in fitting:
            waits = host.id in self._waiting
            slow = host.id in self._slow and self._is_slow(host, step)
            rank = (*_rank(host, step, task, slow), waits)
            if best is None or rank < best_rank:
                best, best_rank = host, rank
            avoided += waits
            if best_rank == best_left:
                break
            if avoided > MAX_HOSTS_TO_AVOID and not any(best_rank[:3]):
                break
        return best

    def only_host(
        self, step: jobs.Step, task: jobstates.Task, host_id: str
    ) -> host_state.Host | None:
        """Return the one host on which a task may start if it can run it."""
        found = [host for host in self.hosts if host.id == host_id]
        if not found or not suits(found[0], step, task):
            return None
        separation = self._separation
        if separation is None or separation.allows(
            found[0], step, task.crashes, task.id, only_here=True
        ):
            return found[0]
        return None

    def _best_for_suspect(
        self,
        step: jobs.Step,
        task: jobstates.Task,
        among: abc.Container[str] | None,
    ) -> host_state.Host | None:
        """Return the best host for a task that may crash it, or None."""
        emptiest = self._fitting(step, task, among, emptiest_first=True)
        return min(
            itertools.islice(emptiest, MAX_HOSTS_FOR_SUSPECT),
            key=lambda host: (
                *_rank(host, step, task, self._is_slow(host, step)),
                *host_crashes.danger(host),
            ),
            default=None,
        )

    def _fitting(
        self,
        step: jobs.Step,
        task: jobstates.Task,
        among: abc.Container[str] | None,
        *,
        emptiest_first: bool = False,
    ) -> abc.Iterator[host_state.Host]:
        """Yield the hosts that can run a task, usually the fullest first."""
        separation = self._separation
        start = bisect.bisect_left(self._by_cpu, (step.reserved.cpu,))
        indices = range(start, len(self._by_cpu))
        for index in reversed(indices) if emptiest_first else indices:
            host = self._by_cpu[index][2]
            allowed = among is None or host.id in among
            if allowed and separation is not None:
                allowed = separation.allows(host, step, task.crashes, task.id)
            if not allowed or not suits(host, step, task):
                continue
            if not host_fit.is_left_to_others(host, step, task.id):
                yield host

    def reserve(
        self, host: host_state.Host, step: jobs.Step, task: jobstates.Task
    ) -> None:
        """Reserve the resources of a task on a host."""
        self._remove(host)
        host.reserve(task.id, step)
        self._insert(host)

    def release(
        self, host: host_state.Host, step: jobs.Step, task: jobstates.Task
    ) -> None:
        """Release the resources that ``reserve`` reserved."""
        self._remove(host)
        host.release(task.id, step)
        self._insert(host)

    def add(self, host: host_state.Host, run: host_state.Run) -> None:
        """Add a run to a host and update the index."""
        self._remove(host)
        host.add(run)
        self._insert(host)
        if self._separation is not None:
            self._separation.add(host, run)

    def _remove(self, host: host_state.Host) -> None:
        free = host.free
        place = bisect.bisect_left(self._by_cpu, (free.cpu, host.id))
        del self._by_cpu[place]
        if not self._comes_last(host):
            del self._sound_cpu[bisect.bisect_left(self._sound_cpu, free.cpu)]
        del self._memory[bisect.bisect_left(self._memory, free.memory_mb)]
        del self._gpus[bisect.bisect_left(self._gpus, free.gpu)]

    def _insert(self, host: host_state.Host) -> None:
        free = host.free
        bisect.insort(self._by_cpu, (free.cpu, host.id, host))
        if not self._comes_last(host):
            bisect.insort(self._sound_cpu, free.cpu)
        bisect.insort(self._memory, free.memory_mb)
        bisect.insort(self._gpus, free.gpu)


def suits(
    host: host_state.Host, step: jobs.Step, task: jobstates.Task
) -> bool:
    """Return whether a usable host can run one more task of a step."""
    return step.reserved.fits(host.free) and host_fit.suits_beside(
        host, step, task.id
    )


def gang_candidates(
    hosts: list[host_state.Host],
    step: jobs.Step,
    allowed: abc.Container[str] | None,
) -> abc.Iterator[abc.Container[str] | None]:
    """Yield the sets of host ids that a gang may be placed on.

    A gang that prefers one rack gets the hosts of each rack first and then
    all allowed hosts; other gangs get only the latter.
    """
    if step.same_rack:
        racks = collections.defaultdict(set)
        for host in hosts:
            if allowed is None or host.id in allowed:
                for label in host.entry.labels[1:]:
                    racks[label].add(host.id)
        yield from racks.values()
    yield allowed


def _rank(
    host: host_state.Host, step: jobs.Step, task: jobstates.Task, slow: bool
) -> tuple[bool, bool, bool]:
    """Rank a host for a task, the lowest rank being the best.

    A slow host takes five times as long, remote data one and a half to three.
    """
    far = bool(step.data_rack) and step.data_rack not in host.entry.labels
    return (host.id in task.avoid, slow, far)


def _long_lived_rank(
    host: host_state.Host, step: jobs.Step, task: jobstates.Task, slow: bool
) -> tuple:
    """Rank a host for a long-lived task, the lowest rank being the best.

    Each step gets two hosts, which it shares with other steps.
    """
    here = host.step_runs.get(jobstates.step_key(task.id), 0)
    half = here >= (step.count + 1) // 2
    rank = _rank(host, step, task, slow)
    return (*rank, half, not host.long_lived, -host.free.cpu, host.id)
