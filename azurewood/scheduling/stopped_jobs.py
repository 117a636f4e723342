"""Runs of jobs that were cancelled or failed before this term.

No progress record tells which tasks of such a job still run. Until each host
has listed its runs to this leader, or its leases have expired, all tasks of
the job may, and they count for the limit of its account.
"""

from collections import abc

from azurewood.jobs import model as jobs
from azurewood.scheduling import model


def restore(state: model.State, stopped: abc.Iterable[jobs.Job]) -> None:
    """Count the tasks of jobs that were stopped before this term."""
    for job in stopped:
        if not job.account:
            continue
        used = state.unlisted_usage.get(job.account, jobs.Resources())
        for step in job.steps:
            used = used.plus(step.needs.times(step.count))
        state.unlisted_usage[job.account] = used


def forget_if_listed(state: model.State, now: float) -> None:
    """Stop counting stopped jobs once no host can have an unlisted run."""
    if not state.unlisted_usage or not state.hosts_read_at:
        return
    if now > state.leases_expire_at or all(
        host.incarnation.synced or now > host.leases_expire_at
        for host in state.hosts.values()
    ):
        state.unlisted_usage.clear()
        if state.catalog is not None:
            state.placement_due.update(state.catalog.pools)
