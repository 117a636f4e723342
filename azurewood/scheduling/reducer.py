"""The one reducer of a leader: an event in, effects out.

It has no clock, thread, socket or randomness: the time comes with each
event, and all that is to happen is returned as data.
"""

from azurewood.jobs import model as jobs
from azurewood.scheduling import hosts
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import orders
from azurewood.scheduling import placing
from azurewood.scheduling import pools
from azurewood.scheduling import progress
from azurewood.scheduling import runs
from azurewood.scheduling import silence
from azurewood.scheduling import stuck
from azurewood.scheduling import tasks
from azurewood.scheduling import upkeep


def begin(
    *,
    term: int,
    found: list[jobs.Job],
    stored: dict[str, bytes],
    lease_bound_at: float,
    order_pause_s: float,
    now: float,
) -> model.State:
    """Return the state of a leader whose term begins.

    ``found`` are the jobs that are not over, ``stored`` the progress
    records of earlier leaders, and ``lease_bound_at`` is when all leases
    that these gave have lapsed. ``order_pause_s`` has to pass before a
    machine that they ordered about is ordered again.
    """
    state = model.State(term=term, lease_bound_at=lease_bound_at)
    for job in found:
        added = tasks.adopt_job(state, job, now)
        record = _decode(stored, progress.JOB_PREFIX + job.id)
        if added and isinstance(record, progress.JobProgress):
            progress.adopt_job(state, added, record, now)
            tasks.settle_adopted(state, added)
    for key, data in stored.items():
        record = progress.decode(data)
        match record:
            case progress.WaveProgress():
                _adopt_wave(state, key, record, now)
            case progress.OrdersProgress():
                orders.adopt(state, record, order_pause_s, now)
            case progress.SilentProgress():
                silence.adopt(state, record, now)
    return state


def _decode(stored: dict[str, bytes], key: str) -> progress.Progress | None:
    data = stored.get(key)
    return None if data is None else progress.decode(data)


def _adopt_wave(
    state: model.State, key: str, record: progress.WaveProgress, now: float
) -> None:
    number = int(key.removeprefix(progress.WAVE_PREFIX))
    request = messages.WaveRequested(
        number=number,
        machines=tuple(record.ordered),
        max_down=1,
        finish_by_s=0.0,
    )
    wave = model.Wave(request=request, now=now)
    progress.adopt_wave(wave, record)
    state.waves[number] = wave


def finish(state: model.State, now: float) -> list[messages.Effect]:
    """Return what is to be done after events that were taken in."""
    if state.saving is None:
        silence.record(state, now)
    progress.flush(state)
    effects, state.effects = state.effects, []
    effects = hosts.release_acknowledgements(effects, now)
    effects = silence.release(state, effects, now)
    return [e for e in effects if not _outdated(state, e, now)]


def _outdated(state: model.State, effect: messages.Effect, now: float) -> bool:
    """Drop a start that waited for the store and is not wanted any more."""
    if not isinstance(effect, messages.StartRun):
        return False
    host = state.hosts.get(effect.host)
    run = host.runs.get((effect.task, effect.run)) if host else None
    if run is None:
        return True
    if run.phase is model.RunPhase.STOPPING and run.tries == 0:
        tasks.lost(state, host, run, "not wanted before its start", now)
        return True
    return False


def take(state: model.State, event: messages.Event, now: float) -> None:
    """Take an event in; ``finish`` returns what is to be done."""
    match event:
        case messages.Tick():
            _tick(state, event, now)
        case messages.HostListed():
            hosts.listed(state, event, now)
        case messages.StartAnswered():
            runs.start_answered(state, event, now)
        case messages.StopAnswered():
            runs.stop_answered(state, event, now)
        case messages.HoldFailed():
            hosts.hold_failed(state, event, now)
        case messages.ProgressSaved():
            progress.saved(state)
        case messages.JobAdded(job=job):
            tasks.add_job(state, job, now)
        case messages.JobCancelled(id=job_id):
            tasks.cancel(state, job_id, now)
        case messages.JobClosed(id=job_id):
            tasks.close(state, job_id)
        case messages.HostSeen(entry=entry):
            hosts.seen(state, entry, now)
        case messages.HostGone(id=host_id):
            hosts.gone(state, host_id)
        case messages.CatalogChanged(catalog=catalog):
            state.catalog = catalog
            state.placing.update(catalog.pools)
        case messages.WaveRequested():
            upkeep.requested(state, event, now)
        case messages.MachinesListed():
            upkeep.listed(state, event, now)
            pools.listed(state, now)
        case messages.OrderAnswered():
            upkeep.answered(state, event, now)
            pools.answered(state, event, now)
        case messages.Advised():
            _advised(state, event)


def _advised(state: model.State, event: messages.Advised) -> None:
    job = state.jobs.get(event.job)
    if job is not None:
        job.tickets[(event.occurrence, event.step)] = event
        state.placing.add(state.service_of(job.job))


def _tick(state: model.State, event: messages.Tick, now: float) -> None:
    state.unix_ms = event.unix_ms
    hosts.look(state, now)
    upkeep.step(state, now, may_order=event.may_order)
    pools.step(state, now, may_order=event.may_order)
    stuck.look(state, now)
    if state.began_ids:
        ids, state.began_ids = tuple(state.began_ids), []
        state.emit_saved(messages.JobBegun(ids=ids))
    if state.catalog is not None:
        state.placing.update(state.catalog.pools)


def place(state: model.State, now: float) -> None:
    """Place what waits, after all events at hand were taken in."""
    if state.catalog is not None:
        placing.place(state, now)
