"""What a host's list of runs and run ends changes, and what is acknowledged.

A run whose host lists neither it nor its end is gone if the list was requested
after its start or stop was answered, and if its start can't take effect later.
"""

from azurewood.jobs import model
from azurewood.policy import host_health
from azurewood.policy import withheld_ends as policy
from azurewood.scheduling import crashes
from azurewood.scheduling import host_state
from azurewood.scheduling import latestarts
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import runs
from azurewood.scheduling import tasks
from azurewood.scheduling import withheld_ends


def handle_ends(
    state: scheduling.State,
    host: host_state.Host,
    event: messages.LeaseRenewed,
    now: float,
) -> set[tuple]:
    """Handle new run ends and acknowledge them once they are stored.

    Return the keys of all runs whose ends are listed.
    """
    keys = set()
    listed = host.incarnation.ends
    listed.listed = len(event.ended)
    for row in event.ended:
        keys.add((row.task, row.run))
        if row.number <= listed.last:
            continue
        listed.last = row.number
        job = state.jobs.get(row.task.job)
        if job is not None and not job.begun:
            # It ended before its start was answered.
            state.note_begun(row.task.job)
        if host.late_starts:
            latestarts.on_ended(state, host, (row.task, row.run), now)
        run = host.runs.get((row.task, row.run))
        if host.late_starts and run is not None:
            latestarts.on_listed(state, host, run)
        if host.late_starts or run is None or run.step.gang:
            withheld_ends.withhold(state, host, row, now)
        if run is None:
            _log_unknown_end(state, host, row)
            tasks.complete_by_unheld_run(state, row, now)
        else:
            host_health.record_run_end(host, row, now)
            tasks.handle_end(state, host, run, row, now)
    if listed.last > listed.stored:
        state.emit_after_save(
            _EndsStored(
                host=host,
                incarnation_ms=host.incarnation.began_ms,
                number=listed.last,
            )
        )
        host.renewing = True
    return keys


def _log_unknown_end(
    state: scheduling.State, host: host_state.Host, row: messages.EndedRow
) -> None:
    """Log an end of a run that this leader does not hold."""
    state.log_event(
        "run.ended_unknown",
        job=row.task.job,
        task=str(tuple(row.task[1:])),
        run=row.run,
        host=host.id,
        incarnation=host.incarnation.began_ms,
        how=row.how.value,
    )


class _EndsStored:
    """Internal effect: an incarnation's ends up to ``number`` are stored.

    The next lease renewal of the host acknowledges them.
    """

    __slots__ = ("host", "incarnation_ms", "number")

    def __init__(
        self, *, host: host_state.Host, incarnation_ms: int, number: int
    ) -> None:
        self.host = host
        self.incarnation_ms = incarnation_ms
        self.number = number


def apply_acknowledgements(
    effects: list[messages.Effect], now: float
) -> list[messages.Effect]:
    """Apply the acknowledgements among effects and return the others."""
    others = []
    for effect in effects:
        if isinstance(effect, _EndsStored):
            _acknowledge(effect, now)
        else:
            others.append(effect)
    return others


def _acknowledge(stored: _EndsStored, now: float) -> None:
    """Let the next renewal acknowledge ends of the host's incarnation."""
    host = stored.host
    if stored.incarnation_ms != host.incarnation.began_ms:
        return
    listed = host.incarnation.ends
    listed.stored = min(stored.number, listed.last)
    host.renewing = False
    if not listed.withheld:
        host.renew_at = now


def handle_running(
    state: scheduling.State,
    host: host_state.Host,
    event: messages.LeaseRenewed,
    running: dict[tuple, messages.RunningRow],
    ends: set[tuple],
    now: float,
) -> None:
    """Update the runs that a host lists; end or stop the others.

    ``running`` has the listed rows by key, ``ends`` the keys of listed ends.
    """
    if not host.incarnation.synced:
        crashes.record_earlier(state, host, running.keys() | ends, now)
    for run in list(host.runs.values()):
        row = running.get(run.key)
        if row is not None:
            if host.late_starts:
                latestarts.on_listed(state, host, run)
            _update_run(state, run, row, now)
        elif run.key in ends or not _is_gone(host, run, event):
            continue
        elif len(event.ended) >= policy.MAX_LISTED_ENDS:
            # The run's end may be among those that the list has no room for.
            continue
        elif runs.may_repeat_inherited_start(state, host, run):
            runs.repeat_inherited_start(state, host, run, now)
        else:
            tasks.mark_run_gone(
                state, host, run, "not on the host's list", now
            )
    unknown = [row for row in event.running if _key(row) not in host.runs]
    host.incarnation.unknown_runs = len(unknown)
    if unknown or host.listed_unknown:
        host.count_unknown(_counted(state, host, unknown))
    unwanted = [
        row for row in unknown if row.task.job not in state.unreadable_jobs
    ]
    if unwanted or host.unwanted:
        state.set_unwanted(host, frozenset(row.task for row in unwanted))
    if unwanted:
        _stop_unwanted_runs(state, host, unwanted, now)


def _counted(
    state: scheduling.State,
    host: host_state.Host,
    unknown: list[messages.RunningRow],
) -> dict[tuple, tuple[str, model.Resources]]:
    """Return the accounts of unknown runs and what these use, if known.

    The job of a run that counts already, as a late start perhaps, may be over.
    """
    found = {}
    for row in unknown:
        account, needs = state.usage.holder((host.id, *_key(row)))
        if not account:
            account, needs = state.account_of(row.task)
        if account:
            found[_key(row)] = (account, needs)
    return found


def _key(row: messages.RunningRow) -> tuple:
    return (row.task, row.run)


def _update_run(
    state: scheduling.State,
    run: host_state.Run,
    row: messages.RunningRow,
    now: float,
) -> None:
    run.percent = row.percent
    run.measure = row.measure
    run.saved = row.saved or run.saved
    if run.phase is host_state.RunPhase.STARTING:
        run.phase = host_state.RunPhase.RUNNING
        run.confirmed_at = now
        state.note_begun(run.task.job)
    elif run.phase is host_state.RunPhase.RUNNING and run.confirmed_at is None:
        # An earlier leader started it, and it has been at work since.
        run.confirmed_at = now
        state.note_begun(run.task.job)


def _is_gone(
    host: host_state.Host, run: host_state.Run, event: messages.LeaseRenewed
) -> bool:
    """Return whether a run that a host's list lacks no longer exists.

    It counts as existing while the host lists another run of its task, which
    has to end before the next one begins.
    """
    if not run.inherited:
        under_way = run.call_open or run.waiting_start is not None
        if under_way or run.confirmed_at is None:
            return False
        if run.confirmed_at > event.sent_at:
            return False
    if any(row.task == run.task for row in event.running):
        return False
    return host.late_starts.is_barred(
        run.key,
        incarnation_ms=host.incarnation.began_ms,
        fence=host.renewal_fence,
    )


def _stop_unwanted_runs(
    state: scheduling.State,
    host: host_state.Host,
    unwanted: list[messages.RunningRow],
    now: float,
) -> None:
    """Stop the unwanted runs that a host lists; starts wait for their end."""
    for row in unwanted:
        _stop_unwanted_run(state, host, row)
        state.note_begun(row.task.job)
        tasks.wait_for_other_run(state, row.task, now)


def _stop_unwanted_run(
    state: scheduling.State,
    host: host_state.Host,
    row: messages.RunningRow,
) -> None:
    """Stop a run that this leader did not start or no longer wants."""
    state.log_event(
        "run.unwanted",
        job=row.task.job,
        task=str(tuple(row.task[1:])),
        run=row.run,
        host=host.id,
        incarnation=host.incarnation.began_ms,
        percent=row.percent,
    )
    state.emit(runs.stop_call(host, row.task, row.run))
