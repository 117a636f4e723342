"""Applies the accounts' shares of a pool to its jobs and its demand.

The shares are decided by `azurewood.policy.shares`. Without accounts in the
configuration, nothing here changes the order of jobs or the demand.
"""

import collections
from collections import abc
import typing

from azurewood.jobs import model as jobs
from azurewood.policy import job_order
from azurewood.policy import shares
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import model
from azurewood.scheduling import waiting

DIVISION_VALID_S: typing.Final = 10.0
"""How long a pool's division is logged.

A pool without free room is divided again when a task ends there.
"""


def order(
    state: model.State,
    found: list[jobstates.JobState],
    pool: list[host_state.Host],
    *,
    service: str = "",
    now: float = 0.0,
) -> list[jobstates.JobState]:
    """Return a pool's jobs in the order in which they are placed.

    Jobs beyond their account's share come after the others of their kind.
    How the pool was divided is kept for log lines.
    """
    capacity = capacity_of(pool)
    beyond, cpu_of = divide(state, found, capacity)
    if cpu_of:
        state.divisions[service] = waiting.Division(
            beyond=beyond, cpu_of=cpu_of, at=now
        )
    elif state.divisions:
        state.divisions.pop(service, None)
    ordered = job_order.order_jobs(
        [job for job in found if job.job.id not in beyond],
        state.clock_ms,
        capacity.cpu,
    )
    if not beyond:
        return ordered
    rest = job_order.order_jobs(
        [job for job in found if job.job.id in beyond],
        state.clock_ms,
        capacity.cpu,
    )
    # The sort is stable: it moves long-lived jobs to the front only.
    return sorted(ordered + rest, key=lambda job: not job.long_lived)


def capacity_of(pool: abc.Iterable[host_state.Host]) -> jobs.Resources:
    """Return the total capacity of the hosts of a pool that are present."""
    total = jobs.Resources()
    for host in pool:
        if host.present and host.entry is not None:
            total = total.plus(host.entry.capacity)
    return total


def divide(
    state: model.State,
    found: list[jobstates.JobState],
    capacity: jobs.Resources,
) -> tuple[frozenset[str], dict[str, float]]:
    """Return a pool's jobs beyond their account's share, and the shares.

    The jobs are ids, and the shares are processors by account. Within its
    share, an account's jobs are chosen in the order of
    `azurewood.policy.job_order`. Both are empty without accounts, and while
    all jobs fit.
    """
    weights = _weights(state)
    if weights is None:
        return frozenset(), {}
    requests = {job.job.id: _request(state, job) for job in found}
    if _sum(requests.values()).fits(capacity):
        return frozenset(), {}
    claims = shares.claims_of(requests.values(), weights)
    parts = shares.granted_parts(claims, capacity)
    cpu_of = {
        name: parts[name] * claim.asked.cpu for name, claim in claims.items()
    }
    by_account = collections.defaultdict(list)
    for job in found:
        by_account[job.job.account].append(job)
    ordered = [
        requests[job.job.id]
        for account, own in by_account.items()
        for job in job_order.order_jobs(
            own, state.clock_ms, int(cpu_of[account])
        )
    ]
    return shares.beyond_share(ordered, claims, parts, capacity), cpu_of


def is_beyond(state: model.State, job: jobs.Job, now: float) -> bool:
    """Return whether a job was beyond its account's share lately."""
    if not state.divisions:
        return False
    found = state.divisions.get(state.service_of(job))
    if found is None or now - found.at > DIVISION_VALID_S:
        return False
    return job.id in found.beyond


def shares_of(
    state: model.State, now: float
) -> dict[str, list[tuple[str, int]]]:
    """Return the full pools of each account and its processors there."""
    found: dict[str, list[tuple[str, int]]] = collections.defaultdict(list)
    for service, division in sorted(state.divisions.items()):
        if now - division.at <= DIVISION_VALID_S:
            for account, cpu in division.cpu_of.items():
                found[account].append((service, int(cpu)))
    return found


def demand_within(
    state: model.State,
    asked: abc.Mapping[tuple[str, str], jobs.Resources],
) -> dict[str, jobs.Resources]:
    """Return what is asked of each pool within the accounts' shares.

    ``asked`` is by account and pool. The shares are those of all machines
    together, as any of them may be moved to any pool.
    """
    parts = _granted_parts(state, asked)
    within: dict[str, jobs.Resources] = collections.defaultdict(jobs.Resources)
    for (account, pool), amount in asked.items():
        part = parts[account]
        within[pool] = within[pool].plus(
            jobs.Resources(
                int(part * amount.cpu),
                int(part * amount.memory_mb),
                int(part * amount.gpu),
            )
        )
    return within


def _granted_parts(
    state: model.State,
    asked: abc.Mapping[tuple[str, str], jobs.Resources],
) -> dict[str, float]:
    """Return the part of what it asks of all pools that an account is due."""
    weights = _weights(state)
    if weights is None:
        return {account: 1.0 for account, _ in asked}
    total = jobs.Resources()
    for capacity in state.full_capacities.values():
        total = total.plus(capacity)
    requests = [
        shares.Request(
            id=pool, account=account, running=jobs.Resources(), waiting=amount
        )
        for (account, pool), amount in asked.items()
    ]
    return shares.granted_parts(shares.claims_of(requests, weights), total)


def _weights(state: model.State) -> dict[str, float] | None:
    accounts = state.catalog.accounts if state.catalog else None
    if accounts is None:
        return None
    return {name: account.weight for name, account in accounts.items()}


def _request(state: model.State, job: jobstates.JobState) -> shares.Request:
    running = waiting = jobs.Resources()
    for key in job.open_steps(state.unix_ms):
        one = job.job.steps[key[1]].reserved
        waits = job.waiting[key]
        running = running.plus(one.times(job.undone[key] - waits))
        waiting = waiting.plus(one.times(waits))
    return shares.Request(
        id=job.job.id,
        account=job.job.account,
        running=running,
        waiting=waiting,
    )


def _sum(requests: abc.Iterable[shares.Request]) -> jobs.Resources:
    total = jobs.Resources()
    for request in requests:
        total = total.plus(request.running).plus(request.waiting)
    return total
