"""Reports the queues in which a new job would wait for a long time.

The wait is a low estimate, as daemons refuse jobs by it: running tasks count
as half done, jobs whose answer is worth nothing any more do not count, as
they come after new ones, and hosts that are on their way or idle in the
standby pool count as if they were there. Work of queues that come after a
queue and work of larger jobs do not count for its jobs.
"""

import collections
from collections import abc
import dataclasses
import operator
import typing

import msgspec

from azurewood.jobs import catalog
from azurewood.jobs import model as jobs
from azurewood.leadership import records
from azurewood.policy import load_shedding
from azurewood.scheduling import account_shares
from azurewood.scheduling import jobstates
from azurewood.scheduling import model
from azurewood.scheduling import pools

MIN_WAIT_MS: typing.Final = 500
"""Queues and accounts with a shorter wait are not reported."""
POINTS: typing.Final = 6
"""Sizes of jobs, at most, for which the wait of a queue is reported."""
MAX_ACCOUNTS: typing.Final = 24
"""Accounts reported for a queue, those with the longest waits. The limit keeps
a heartbeat to a few KB."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Work:
    """The remaining work of a job, in thousandths of a core times ms.

    ``size`` is by the caller's estimates, as the work of a new job is to the
    daemons that compare it, and ``amount`` the part that goes before new jobs,
    by the expected durations.
    """

    priority: int
    account: str
    size: int
    amount: float
    beyond: bool


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Pool:
    """The work of a pool, and the processors that serve it.

    ``cpu_of`` has the processors that each account with jobs beyond its
    share is due.
    """

    work: list[_Work]
    cpu: float
    cpu_of: dict[str, float]


def report(state: model.State, now: float) -> tuple[records.QueueLoad, ...]:
    """Return the queues in which new jobs wait for ``MIN_WAIT_MS`` or more."""
    if state.catalog is None or state.machines_at < 0:
        return ()
    by_pool = collections.defaultdict(list)
    for job in state.jobs.values():
        if not (job.cancelled or job.closing):
            by_pool[state.service_of(job.job)].append(job)
    capacities = pools.capacities(state, now)
    return tuple(
        load
        for name, found in by_pool.items()
        if name in capacities
        for load in loaded_queues(state, name, found, capacities[name])
    )


def loaded_queues(
    state: model.State,
    name: str,
    found: list[jobstates.JobState],
    capacity: jobs.Resources,
) -> abc.Iterator[records.QueueLoad]:
    """Yield the loaded queues of a pool."""
    cpu = capacity.cpu - sum(map(_long_lived_cpu, found))
    amounts = {job.job.id: _remaining_work(state, job) for job in found}
    if cpu <= 0 or sum(amounts.values()) < MIN_WAIT_MS * cpu:
        return
    beyond, cpu_of = account_shares.divide(state, found, capacity)
    pool = _Pool(
        work=[
            _Work(
                priority=job.job.priority,
                account=job.job.account,
                size=_estimated_work(job),
                amount=amounts[job.job.id],
                beyond=job.job.id in beyond,
            )
            for job in found
        ],
        cpu=cpu,
        cpu_of=cpu_of,
    )
    # Queues with the same priority have the same jobs before theirs.
    loads: dict[int, records.QueueLoad | None] = {}
    for queue in state.catalog.queues.values():
        if queue.service != name:
            continue
        if queue.priority not in loads:
            loads[queue.priority] = _queue_load(queue, pool)
        load = loads[queue.priority]
        if load is not None:
            yield msgspec.structs.replace(load, queue=queue.name)


def _queue_load(queue: catalog.Queue, pool: _Pool) -> records.QueueLoad | None:
    """Return the load of a queue, None if its jobs do not wait for long."""
    before = [work for work in pool.work if work.priority <= queue.priority]
    sizes = sorted(work.size for work in before)
    works = {
        sizes[(number * len(sizes) - 1) // POINTS]
        for number in range(1, POINTS + 1)
        if sizes
    }
    sums = list(_sums(before, sorted(works)))
    within = _listed((at.work, at.within / pool.cpu) for at in sums)
    accounts = []
    for account in {work.account for work in before if work.beyond}:
        cpu = max(1.0, pool.cpu_of[account])
        waits = _listed(
            (at.work, at.wait_ms(account, pool.cpu, cpu)) for at in sums
        )
        if waits:
            accounts.append(records.AccountLoad(account=account, waits=waits))
    if not within and not accounts:
        return None
    accounts.sort(key=lambda load: (-load.waits[-1].wait_ms, load.account))
    return records.QueueLoad(
        queue=queue.name, waits=within, beyond=tuple(accounts[:MAX_ACCOUNTS])
    )


class _Sums:
    """The work that goes before a job with ``work``.

    That of larger jobs does not: jobs that can't meet their objective are
    served in the order of their work, and the others are never far behind.
    """

    __slots__ = ("_own", "within", "_total", "work")

    def __init__(
        self, *, work: int, within: float, total: float, own: dict[str, float]
    ) -> None:
        self.work = work
        self.within = within
        self._total = total
        self._own = own

    def wait_ms(self, account: str, cpu: float, account_cpu: float) -> float:
        """Return the wait of a job of an account beyond its share.

        The account's backlog is served by the processors that it is due, and
        is over at the latest when that of all accounts is.
        """
        alone_ms = self._own.get(account, 0.0) / account_cpu
        return max(self.within / cpu, min(self._total / cpu, alone_ms))


def _sums(
    before: list[_Work], works: abc.Iterable[int]
) -> abc.Iterator[_Sums]:
    """Yield the sums of the work before jobs of each of ``works``, ascending.

    Each job is added once: this runs in the leader's loop for each heartbeat.
    """
    left = sorted(before, key=operator.attrgetter("size"), reverse=True)
    within = total = 0.0
    own: dict[str, float] = collections.defaultdict(float)
    for work in works:
        while left and left[-1].size <= work:
            other = left.pop()
            total += other.amount
            own[other.account] += other.amount
            within += 0.0 if other.beyond else other.amount
        yield _Sums(work=work, within=within, total=total, own=dict(own))


def _listed(
    waits: abc.Iterable[tuple[int, float]],
) -> tuple[records.Wait, ...]:
    return tuple(
        records.Wait(work=-(-work // 1000), wait_ms=int(wait_ms))
        for work, wait_ms in waits
        if wait_ms >= MIN_WAIT_MS
    )


def _long_lived_cpu(job: jobstates.JobState) -> int:
    """Return the processors that long-lived tasks keep from others."""
    if not job.long_lived:
        return 0
    return sum(
        step.reserved.cpu * step.count
        for step in job.job.steps
        if step.long_lived
    )


def _estimated_work(job: jobstates.JobState) -> int:
    """Return the remaining work of a job by its caller's estimates."""
    steps = job.job.steps
    return sum(
        steps[number].needs.cpu * steps[number].estimate_ms * left
        for (_, number), left in job.undone.items()
    )


def _remaining_work(state: model.State, job: jobstates.JobState) -> float:
    """Return the work of a job that goes before that of a new one."""
    if job.long_lived or all(step.background for step in job.job.steps):
        return 0.0
    ready = running = 0.0
    for key in job.open_steps(state.unix_ms):
        step = job.job.steps[key[1]]
        one = step.reserved.cpu * job.durations_ms[key[1]]
        ready += one * job.undone[key]
        running += one * (job.undone[key] - job.waiting[key])
    if _is_worthless(state, job):
        return running / 2
    if job.job.schedule is not None:
        return ready - running / 2
    return job.work() - running / 2


def _is_worthless(state: model.State, job: jobstates.JobState) -> bool:
    """Return whether a job's answer can no longer be of use."""
    length_ms = job.objective_at_ms - job.accepted_ms
    useful_ms = load_shedding.WORTHLESS_AFTER * length_ms
    end_ms = state.clock_ms + job.remaining_ms()
    return length_ms > 0 and end_ms > job.accepted_ms + useful_ms
