"""Limits of client accounts: what they allow, and what is logged of them.

Each check looks at the sum of one account, so that its cost depends neither
on the number of accounts nor on that of jobs.
"""

import collections
import typing

import msgspec

from azurewood.jobs import catalog as catalogs
from azurewood.jobs import model as jobs
from azurewood.scheduling import account_shares
from azurewood.scheduling import jobstates
from azurewood.scheduling import latestarts
from azurewood.scheduling import model

LOG_INTERVAL_S: typing.Final = 1.0
"""Pause between log lines about an account."""
NOTHING: typing.Final = jobs.Resources()


def limit_of(state: model.State, account: str) -> jobs.Resources | None:
    """Return an account's limit, or None if it has none."""
    accounts = state.catalog.accounts if state.catalog is not None else None
    if not account or not accounts:
        return None
    found = accounts.get(account)
    if found is None or found.limit == jobs.Resources():
        return None
    return found.limit


def has_room(
    state: model.State, job: jobs.Job, needs: jobs.Resources, count: int = 1
) -> bool:
    """Return whether a job's account has room for ``count`` more tasks."""
    limit = limit_of(state, job.account) if job.account else None
    if limit is None:
        return True
    needs = needs.times(count)
    if count and job.account in state.unlisted_usage:
        needs = needs.plus(state.unlisted_usage[job.account])
    return needs.fits(state.usage.room(job.account, limit))


def may_start(
    state: model.State,
    job: jobstates.JobState,
    task: jobstates.Task,
    now: float,
) -> bool:
    """Return whether a task's account has room for its next start.

    A start under the same number of run counts already.
    """
    if not job.job.account:
        return True
    counted = (
        task.late_starts
        and state.usage.holder((task.host, task.id, task.run))[0]
        and latestarts.is_repeated(state, task, now)
    )
    return has_room(state, job.job, job.step_of(task.id).needs, not counted)


def may_start_step(
    state: model.State, job: jobstates.JobState, step: jobs.Step
) -> bool:
    """Return whether there is room for one more task, or the whole gang."""
    return has_room(state, job.job, step.needs, step.count if step.gang else 1)


def most_at_once(
    state: model.State, job: jobstates.JobState, step: jobs.Step
) -> int:
    """Return how many tasks of a step the limit allows at the same time."""
    limit = limit_of(state, job.job.account) or jobs.Resources()
    needs = step.needs
    pairs = zip(
        msgspec.structs.astuple(limit),
        msgspec.structs.astuple(needs),
        strict=True,
    )
    return min(
        (most // need for most, need in pairs if most and need),
        default=step.count,
    )


def is_over(state: model.State, account: str) -> bool:
    """Return whether an account uses more than its limit."""
    limit = limit_of(state, account)
    if limit is None:
        return False
    return state.usage.is_over(account, limit)


def log_changes(
    state: model.State, before: catalogs.Catalog, after: catalogs.Catalog
) -> None:
    """Log the accounts whose limit a new catalog changes."""
    old = before.accounts or {}
    new = after.accounts or {}
    for name in sorted(old.keys() | new.keys()):
        limits = [
            accounts[name].limit.compact() if name in accounts else ""
            for accounts in (old, new)
        ]
        if limits[0] != limits[1]:
            state.log_event(
                "account.limit",
                account=name,
                version=after.version,
                before=limits[0],
                after=limits[1],
                used=state.usage.used(name).compact(),
                running=state.usage.running(name),
            )


def log_states(state: model.State, now: float) -> None:
    """Log what accounts have running and waiting, and their limits.

    An account that has neither any more is logged once with zeros, which
    resets its gauges.
    """
    if state.catalog is None or now < state.accounts_log_at:
        return
    if state.catalog.accounts is None and not state.accounts_logged:
        return
    state.accounts_log_at = now + LOG_INTERVAL_S
    waiting = _waiting_tasks(state)
    late, unseen = _uncertain_runs(state)
    shares = account_shares.shares_of(state, now)
    busy = (state.usage.accounts() | waiting.keys()) & (
        state.catalog.accounts or {}
    ).keys()
    for name in sorted(busy | state.accounts_logged):
        used = state.usage.used(name)
        limit = limit_of(state, name) or jobs.Resources()
        full = shares.get(name, ())
        state.log_event(
            "account.state",
            account=name,
            running=state.usage.running(name),
            running_cpu=used.cpu,
            running_memory_mb=used.memory_mb,
            running_gpu=used.gpu,
            late=late[name],
            refused_cpu=state.usage.refused(name).cpu,
            unseen=unseen[name],
            unlisted_cpu=state.unlisted_usage.get(name, NOTHING).cpu,
            waiting=waiting[name],
            limit_cpu=limit.cpu,
            limit_memory_mb=limit.memory_mb,
            limit_gpu=limit.gpu,
            share_cpu=sum(cpu for _, cpu in full),
            full_pools=" ".join(f"{pool}:{cpu}" for pool, cpu in full),
        )
    state.accounts_logged = busy


def _uncertain_runs(
    state: model.State,
) -> tuple[collections.Counter[str], collections.Counter[str]]:
    """Return how many places accounts hold without a run known to exist.

    The first are held by late starts alone, the second by runs of an earlier
    leader that this one has not seen.
    """
    late: collections.Counter[str] = collections.Counter()
    unseen: collections.Counter[str] = collections.Counter()
    for host in state.hosts.values():
        for key, start in host.late_starts.items():
            if key not in host.runs:
                late[start.account] += 1
        for run in host.runs.values():
            if run.inherited and run.confirmed_at is None:
                unseen[run.account] += 1
    return late, unseen


def _waiting_tasks(state: model.State) -> collections.Counter[str]:
    """Return how many tasks of each account wait for a host."""
    found: collections.Counter[str] = collections.Counter()
    for job in state.jobs.values():
        if job.job.account and not (job.cancelled or job.closing):
            for key in job.open_steps(state.unix_ms):
                if job.waiting[key]:
                    found[job.job.account] += job.waiting[key]
    return found
