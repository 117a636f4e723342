"""The last look at starts before they leave, which may have waited.

A start waits while a record is stored. Meanwhile its run may have been
stopped or lost, or its host may have shrunk below what it runs.
"""

from collections import abc

from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import tasks


def wanted(
    state: model.State, effects: abc.Iterable[messages.Effect], now: float
) -> abc.Iterator[messages.Effect]:
    """Yield the effects that are still wanted, and count starts that leave."""
    for effect in effects:
        if not isinstance(effect, messages.StartRun):
            yield effect
            continue
        host = state.hosts.get(effect.host)
        run = host.runs.get((effect.task, effect.run)) if host else None
        if run is None or run.waiting_start is not effect:
            continue
        run.waiting_start = None
        if not _outdated(state, host, run, now):
            run.start_open = True
            run.starts_sent += 1
            yield effect


def _outdated(
    state: model.State, host: model.Host, run: model.Run, now: float
) -> bool:
    """Return whether a start must not leave."""
    if run.phase is model.RunPhase.STOPPING:
        _take_back(state, host, run, "not wanted before its start", now)
        return True
    if now < run.retry_at or host.unresponsive_since is not None:
        # While its record was stored, its host has listed another run that
        # has to end first, or has become silent. The start is due again then.
        return True
    if host.over_capacity:
        # It has shrunk, maybe under an earlier leader.
        _take_back(state, host, run, "its host has shrunk", now)
        return True
    return False


def _take_back(
    state: model.State,
    host: model.Host,
    run: model.Run,
    reason: str,
    now: float,
) -> None:
    """Drop a run that never started, or stop it, as it may still begin."""
    if run.never_started:
        tasks.mark_run_gone(state, host, run, reason, now)
    else:
        tasks.stop(run, now)
