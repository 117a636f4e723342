"""The reducer of a leader: it handles events and returns effects.

It uses no clock, thread, socket or randomness. The time is passed with each
event, and all actions are returned as data.
"""

from collections import abc

from azurewood.jobs import model as jobs
from azurewood.journal import appender
from azurewood.scheduling import account_limits
from azurewood.scheduling import advice
from azurewood.scheduling import durations
from azurewood.scheduling import host_records
from azurewood.scheduling import hosts
from azurewood.scheduling import job_records
from azurewood.scheduling import listings
from azurewood.scheduling import machine_orders
from azurewood.scheduling import maintenance
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import orders
from azurewood.scheduling import outgoing
from azurewood.scheduling import placement
from azurewood.scheduling import pools
from azurewood.scheduling import progress
from azurewood.scheduling import restoration
from azurewood.scheduling import runs
from azurewood.scheduling import speeds
from azurewood.scheduling import stopped_jobs
from azurewood.scheduling import stuck
from azurewood.scheduling import tasks
from azurewood.scheduling import unresponsive
from azurewood.scheduling import unseen


def begin(
    *,
    term: int,
    found: list[jobs.Job],
    begun: abc.Set[str] = frozenset(),
    unreadable: abc.Set[str] = frozenset(),
    stored: dict[str, bytes],
    leases_expire_at: float,
    order_pause_s: float,
    now: float,
    unix_ms: float = 0.0,
    read_by: progress.ReadBy = lambda end: None,
    max_record_bytes: int = appender.MAX_RECORD_BYTES,
    learned_durations: bool = True,
    known_job: abc.Callable[[str], jobs.Job | None] = lambda id: None,
    stopped: abc.Iterable[jobs.Job] = (),
) -> model.State:
    """Return the state of a leader whose term begins.

    ``found`` has the jobs that are not over, ``begun`` the ids of those that
    are known to have begun, ``unreadable`` those of jobs with a record that
    cannot be read, and ``stored`` the progress records of
    earlier leaders, all of whose leases have expired at
    ``leases_expire_at``. A machine to which they sent an order gets
    the next order no sooner than ``order_pause_s`` later. ``read_by`` tells
    when this daemon had read the election's log, see ``progress.written_by``.
    Without ``learned_durations`` the callers' estimates count. ``known_job``
    returns any known job by its id, also one that is over. ``stopped`` has the
    jobs that were cancelled or failed lately and may still have runs.
    """
    state = model.State(term=term, leases_expire_at=leases_expire_at)
    state.max_record_bytes = max_record_bytes
    state.known_job = known_job
    stopped_jobs.restore(state, stopped, now)
    state.clock_offset_ms = unix_ms - now * 1000
    state.clock_ms = unix_ms
    state.unanswered_starts.unanswered_at = now
    state.unreadable_jobs.update(unreadable)
    decoded = {key: progress.decode(data) for key, data in stored.items()}
    state.durations.used = learned_durations
    durations.restore(state, decoded)
    for job in found:
        _restore_job(state, job, decoded, now)
        if job.id in begun and job.id in state.jobs:
            state.jobs[job.id].begun = True
    for key, record in decoded.items():
        match record:
            case progress.WaveProgress():
                _restore_wave(state, key, record, now)
            case progress.OrdersProgress():
                at = progress.written_by(record.stamp, read_by, now)
                orders.restore(state, record, order_pause_s, at)
            case progress.SilentProgress():
                at = progress.written_by(record.stamp, read_by, now)
                unresponsive.restore(state, record, at, now)
            case progress.LateStartsProgress():
                at = progress.written_by(record.stamp, read_by, now)
                host_id = key.removeprefix(progress.LATE_STARTS_PREFIX)
                restoration.restore_late_starts(
                    state, host_id, record, at, now
                )
            case None:
                state.log_event("progress.unreadable", key=key)
    for job_id, job in state.jobs.items():
        record = progress.job_record(job_id, decoded)
        if record is None:
            continue
        for row, written in job_records.rows_of(record):
            at = progress.written_by(written, read_by, now)
            restoration.restore_unanswered(state, job, row, at, now)
    for key, record in decoded.items():
        if isinstance(record, progress.HostProgress):
            host_id = key.removeprefix(progress.HOST_PREFIX)
            host_records.restore(state, host_id, record)
    _remove_unowned_parts(state, decoded)
    if decoded.get(progress.ORDERS_KEY, True) is None:
        state.no_order_before = now + order_pause_s
    return state


def _restore_job(
    state: model.State,
    job: jobs.Job,
    decoded: dict[str, progress.Progress | None],
    now: float,
) -> None:
    """Restore a job and its progress.

    A job whose progress cannot be read may have runs anywhere. It is left as
    it is: nothing of it is started, and its runs are not stopped.
    """
    record = progress.job_record(job.id, decoded)
    if record is None and job_records.key_of(job.id) in decoded:
        state.unreadable_jobs.add(job.id)
    if job.id in state.unreadable_jobs:
        return
    added = tasks.restore_job(state, job, now)
    if added and record is not None:
        restoration.restore_job(state, added, record, now)
        tasks.announce_inherited_end(state, added)


def _remove_unowned_parts(
    state: model.State, decoded: abc.Mapping[str, progress.Progress | None]
) -> None:
    """Remove the parts of jobs that an earlier release has removed."""
    for key in decoded:
        owner = job_records.part_owner(key)
        if owner is not None and job_records.key_of(owner) not in decoded:
            state.values[key] = None


def _restore_wave(
    state: model.State, key: str, record: progress.WaveProgress, now: float
) -> None:
    number = int(key.removeprefix(progress.WAVE_PREFIX))
    wave = machine_orders.Wave(number=number, now=now)
    restoration.restore_wave(wave, record)
    state.waves[number] = wave
    for name, host_id in wave.ordered.items():
        state.host_machines.setdefault(host_id, name)


def collect_effects(state: model.State, now: float) -> list[messages.Effect]:
    """Return the effects of the events handled since the last call."""
    if state.saving_effects is None:
        unresponsive.record(state, now)
    if state.durations.changed and now >= state.durations.store_at:
        durations.record(state, now)
    host_records.store(state)
    progress.flush(state, now)
    while state.unstorable_jobs:
        tasks.fail_unstorable(state, state.unstorable_jobs.pop(), now)
    effects, state.effects = state.effects, []
    effects = listings.apply_acknowledgements(effects, now)
    effects = unresponsive.apply_removals(state, effects, now)
    return [
        effect
        for effect in effects
        if not isinstance(effect, messages.StartRun)
        or outgoing.may_leave(state, effect, now)
    ]


def handle_event(
    state: model.State, event: messages.Event, now: float
) -> None:
    """Handle an event; ``collect_effects`` returns its effects."""
    match event:
        case messages.Tick():
            _tick(state, event, now)
        case messages.LeaseRenewed():
            hosts.on_lease_renewed(state, event, now)
        case messages.StartAnswered():
            runs.start_answered(state, event, now)
        case messages.StopAnswered():
            runs.stop_answered(state, event, now)
        case messages.SpeedAnswered():
            speeds.on_answered(state, event, now)
        case messages.RenewalFailed():
            hosts.renewal_failed(state, event, now)
        case messages.ProgressSaved():
            progress.on_saved(state)
        case messages.ProgressRefused(key=key):
            job_id = job_records.owner_of(key)
            if job_id is not None:
                state.unstorable_jobs.add(job_id)
        case messages.JobAdded(job=job):
            tasks.add_job(state, job, now)
        case messages.JobCancelled(id=job_id):
            state.unreadable_jobs.discard(job_id)
            tasks.cancel(state, job_id, now)
        case messages.JobClosed(id=job_id):
            tasks.close(state, job_id)
        case messages.HostSeen(entry=entry):
            hosts.on_entry(state, entry, now)
        case messages.HostGone(id=host_id):
            hosts.on_removed(state, host_id)
        case messages.CatalogChanged(catalog=catalog):
            if state.catalog is not None:
                account_limits.log_changes(state, state.catalog, catalog)
            state.catalog = catalog
            state.placement_due.update(catalog.pools)
        case messages.WaveRequested():
            maintenance.handle_request(state, event, now)
        case messages.MachinesListed():
            _on_machines_listed(state, event, now)
        case messages.OrderAnswered():
            maintenance.handle_order_answer(state, event, now)
            pools.handle_order_answer(state, event, now)
        case messages.Advised():
            advice.on_advised(state, event, now)
        case messages.AdviceFailed():
            advice.on_failed(state, event, now)


def _on_machines_listed(
    state: model.State, event: messages.MachinesListed, now: float
) -> None:
    """Handle a list of machines, unless a newer one was handled before."""
    if event.began_at <= state.machines_at:
        return
    maintenance.handle_list(state, event, now)
    pools.handle_list(state, now)
    unseen.handle_list(state, now)


def _tick(state: model.State, event: messages.Tick, now: float) -> None:
    state.unix_ms = event.unix_ms
    state.hosts_read_at = event.hosts_read_at
    state.store_slow = event.store_slow
    state.fence = event.fence
    state.fenced_at = event.fenced_at
    state.clock_ms = now * 1000 + state.clock_offset_ms
    hosts.send_due_calls(state, now)
    stopped_jobs.update_usage(state, now)
    maintenance.drive_waves(state, now, may_order=event.may_order)
    pools.plan_moves(state, now, may_order=event.may_order)
    account_limits.log_states(state, now)
    stuck.check(state, now)
    durations.check(state, now)
    if state.begun_job_ids:
        ids, state.begun_job_ids = tuple(state.begun_job_ids), []
        state.emit_after_save(messages.NotifyJobBegun(ids=ids))
    if state.catalog is not None:
        state.placement_due.update(state.catalog.pools)


def place(state: model.State, now: float) -> None:
    """Run a scheduling pass, after all available events were handled."""
    if state.catalog is not None:
        placement.place(state, now)
        advice.send_calls(state, now)
