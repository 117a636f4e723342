"""How many hosts the pools want, by their jobs and by expected arrivals."""

import collections
import operator

from azurewood.jobs import model as jobs
from azurewood.policy import host_health
from azurewood.policy import pool_sizes
from azurewood.scheduling import account_demand
from azurewood.scheduling import account_limits
from azurewood.scheduling import account_shares
from azurewood.scheduling import jobstates
from azurewood.scheduling import model


def record(
    state: model.State, pools: list[pool_sizes.Pool], now: float
) -> None:
    """Record the hosts that each pool wants, in ``state.demands``."""
    asked = collections.defaultdict(jobs.Resources)
    least = collections.Counter()
    limits = account_demand.Limits(state)
    by_account = collections.defaultdict(jobs.Resources)
    has_accounts = state.catalog.accounts is not None
    for job in state.jobs.values():
        if job.cancelled or job.closing:
            continue
        service = state.service_of(job.job)
        requested = _requested(state, job)
        if has_accounts:
            requested = limits.capped(job, requested)
            owner = (job.job.account, service)
            by_account[owner] = by_account[owner].plus(requested)
        asked[service] = asked[service].plus(requested)
        least[service] = max(least[service], _min_hosts(state, job))
    for owner, missing in limits.missing_for_gangs().items():
        by_account[owner] = by_account[owner].plus(missing)
        asked[owner[1]] = asked[owner[1]].plus(missing)
    within = asked
    if has_accounts:
        within = account_shares.demand_within(state, by_account)
    for pool in pools:
        name = pool.name
        capacity = host_capacity(state, name)
        arrivals = state.arrivals.get(name)
        coming = arrivals.expected_needs(now) if arrivals else jobs.Resources()
        wanted = pool_sizes.limit_forecast(
            pool_sizes.wanted_hosts(asked[name], capacity, least[name]),
            pool_sizes.wanted_hosts(coming, capacity),
            idle=has_usable_idle(state, pool, now),
        )
        wanted += name in state.pools_in_the_way
        demand = state.demands.setdefault(name, pool_sizes.Demand())
        demand.record(wanted, now)
        demand.asked_cpu = asked[name].cpu
        demand.beyond_share = pool_sizes.hosts_beyond_share(
            wanted, asked[name], within[name]
        )


def has_usable_idle(
    state: model.State, pool: pool_sizes.Pool, now: float
) -> bool:
    """Return whether an idle host of a pool can take tasks.

    Suspended or draining ones are idle, but meet no rise of the load.
    """
    for machine in pool.idle:
        host = state.hosts.get(state.machines[machine].host)
        if host is not None and host_health.usable(host, now):
            return True
    return False


def _requested(state: model.State, job: jobstates.JobState) -> jobs.Resources:
    """Return the resources that a job's open and ready tasks need."""
    cpu = memory_mb = gpu = 0
    for key in job.open_steps(state.unix_ms):
        left = job.undone[key]
        one = job.job.steps[key[1]].reserved
        cpu += one.cpu * left
        memory_mb += one.memory_mb * left
        gpu += one.gpu * left
    return jobs.Resources(cpu, memory_mb, gpu)


def _min_hosts(state: model.State, job: jobstates.JobState) -> int:
    """Return how many hosts a job needs for its limits of tasks per host."""
    least = 0
    for key in job.open_steps(state.unix_ms):
        step = job.job.steps[key[1]]
        if step.per_host:
            count = account_limits.most_at_once(state, job, step)
            tasks = min(job.undone[key], count)
            least = max(least, -(-tasks // step.per_host))
    return least


def host_capacity(state: model.State, service: str) -> jobs.Resources:
    """Return the largest full capacity among a pool's hosts.

    Without known hosts in the pool, return that of all hosts. Hosts that
    have shrunk to nothing before this leader saw them don't tell it.
    """
    known = [
        host
        for host in state.hosts.values()
        if host.entry is not None and host.incarnation.full_capacity.cpu
    ]
    own = [
        h.incarnation.full_capacity
        for h in known
        if h.entry.service == service
    ]
    every = own or [host.incarnation.full_capacity for host in known]
    return max(every, key=operator.attrgetter("cpu"), default=jobs.Resources())
