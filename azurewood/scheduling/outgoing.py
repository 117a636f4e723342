"""The last look at starts before they leave, which may have waited.

A start waits while a record is stored. Meanwhile its run may have been
stopped or lost, its host may have shrunk below what it runs, or its account's
limit may have been lowered. Such a start is taken back.
"""

from azurewood.scheduling import account_limits
from azurewood.scheduling import host_state
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import tasks


def may_leave(
    state: model.State, effect: messages.StartRun, now: float
) -> bool:
    """Return whether a start leaves now, and count it if it does.

    If it doesn't, its run has been dropped or stopped, or is to start later.
    """
    host = state.hosts.get(effect.host)
    run = host.runs.get((effect.task, effect.run)) if host else None
    if run is None or run.waiting_start is not effect:
        return False
    run.waiting_start = None
    if _outdated(state, host, run, now):
        return False
    run.start_open = True
    run.starts_sent += 1
    return True


def _outdated(
    state: model.State, host: host_state.Host, run: host_state.Run, now: float
) -> bool:
    """Return whether a start must not leave."""
    if run.phase is host_state.RunPhase.STOPPING:
        _take_back(state, host, run, "not wanted before its start", now)
        return True
    waits = now < run.retry_at or state.waits_for_end(host, run.task)
    if waits or host.unresponsive_since is not None:
        # While its record was stored, its host has listed another run that
        # has to end first, or has become silent. The start is due again then.
        return True
    if host.over_capacity:
        # It has shrunk, maybe under an earlier leader.
        _take_back(state, host, run, "its host has shrunk", now)
        return True
    if account_limits.is_over(state, run.account):
        _take_back(state, host, run, "its account is over its limit", now)
        return True
    return False


def _take_back(
    state: model.State,
    host: host_state.Host,
    run: host_state.Run,
    reason: str,
    now: float,
) -> None:
    """Drop a run that never started, or stop it, as it may still begin."""
    if run.never_started:
        tasks.mark_run_gone(state, host, run, reason, now)
    else:
        tasks.stop(run, now)
