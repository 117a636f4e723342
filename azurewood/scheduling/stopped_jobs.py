"""Runs of jobs that were cancelled or failed before this term.

No progress record tells which tasks of such a job still run. Until each host
has listed its runs to this leader, has ended or its leases have expired, as
many tasks of the job may run as fit on the others, and they count for the
limit of its account.
"""

from collections import abc

from azurewood.jobs import model as jobs
from azurewood.policy import unlisted_runs
from azurewood.scheduling import host_state
from azurewood.scheduling import maintenance
from azurewood.scheduling import messages
from azurewood.scheduling import model


def restore(
    state: model.State, stopped: abc.Iterable[jobs.Job], now: float
) -> None:
    """Count the tasks of jobs that were stopped before this term."""
    state.began_at = now
    for job in stopped:
        if not job.account:
            continue
        tasks = state.stopped_tasks.get(job.account, unlisted_runs.Tasks())
        for step in job.steps:
            tasks = tasks.with_step(step)
        state.stopped_tasks[job.account] = tasks
        state.unlisted_usage[job.account] = tasks.needs


def update_usage(state: model.State, now: float) -> None:
    """Count stopped jobs by the hosts that may have unlisted runs of them."""
    if not state.stopped_tasks or not state.hosts_read_at:
        return
    waiting = _unlisted_hosts(state, now)
    over = now > state.leases_expire_at or not waiting
    count = 0 if over else len(waiting) + len(state.unseen_since)
    if count != state.unlisted_hosts:
        _log_hosts(state, waiting, count, now)
        state.unlisted_hosts = count
    if not over:
        for account, tasks in state.stopped_tasks.items():
            state.unlisted_usage[account] = unlisted_runs.most_used(
                tasks, count, state.largest_capacity
            )
        return
    state.stopped_tasks.clear()
    state.unlisted_usage.clear()
    if state.catalog is not None:
        state.placement_due.update(state.catalog.pools)


def _unlisted_hosts(state: model.State, now: float) -> list[host_state.Host]:
    """Return the hosts that may have runs that they have not listed."""
    shown_at = state.machines_at - maintenance.LIST_LAG_S
    machines_known = bool(state.machines) and shown_at >= state.began_at
    on_machines = {
        machine.host
        for machine in state.machines.values()
        if machine.state is not messages.MachineState.DOWN
    }
    return [
        host
        for host in state.hosts.values()
        if unlisted_runs.may_have_runs(
            unlisted_runs.HostView(
                listed=host.incarnation.synced,
                leases_expire_at=host.leases_expire_at,
                silent=host.is_silent,
                on_machine=host.id in on_machines,
            ),
            now,
            machines_known=machines_known,
        )
    ]


def _log_hosts(
    state: model.State,
    waiting: abc.Sequence[host_state.Host],
    count: int,
    now: float,
) -> None:
    """Log for how many hosts, and for which first, stopped jobs count."""
    left_s = max(0.0, state.leases_expire_at - now)
    state.log_event(
        "stopped.unlisted",
        hosts=count,
        first=waiting[0].id if count else "",
        for_ms=int(left_s * 1000) if count else 0,
        accounts=len(state.stopped_tasks),
    )
