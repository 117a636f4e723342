"""Restores a leader's state from the progress records of an earlier one."""

from azurewood.incarnations import late_starts
from azurewood.incarnations import limits
from azurewood.jobs import model
from azurewood.policy import restarts
from azurewood.scheduling import crashes
from azurewood.scheduling import host_state
from azurewood.scheduling import job_records
from azurewood.scheduling import jobstates
from azurewood.scheduling import machine_orders
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import progress


def restore_late_starts(
    state: scheduling.State,
    host_id: str,
    record: progress.LateStartsProgress,
    written_at: float,
    now: float,
) -> None:
    """Restore an earlier leader's starts without an answer.

    The record was written by ``written_at``, so counting the remaining time
    from then gives the latest time. A repeated start leaves after that.
    """
    repeated_until = _late_until(written_at, now)
    host = state.host(host_id)
    if record.machine:
        state.host_machines.setdefault(host_id, record.machine)
    if record.renewal_left_ms:
        left_s = record.renewal_left_ms / 1000
        host.late_starts.renewed_until = written_at + left_s
    for row in record.starts:
        task = model.TaskId(row.job, row.occurrence, row.step, row.index)
        late = late_starts.LateStart(
            host=host_id,
            run=row.run,
            incarnation_ms=row.host_born_ms,
            fence=0,
            possible_until=written_at + row.left_ms / 1000,
            gang=row.gang,
            account=row.account,
            needs=row.needs,
        )
        if not row.account:
            late.account, late.needs = state.account_of(task)
        if row.repeated:
            late.possible_until = max(late.possible_until, repeated_until)
        if row.ended:
            late.next_run_at = written_at + restarts.NEXT_RUN_PAUSE_S
        state.add_late_start(host, (task, row.run), late)


def _late_until(written_at: float, now: float) -> float:
    """Return when a start may be late that left once a record was stored."""
    sent_by = min(now, written_at + progress.MAX_SAVE_S)
    return sent_by + limits.MAX_START_DELAY_S


def restore_job(
    state: scheduling.State,
    job: jobstates.JobState,
    record: job_records.JobRecord,
    now: float,
) -> None:
    """Restore a job's tasks and runs from an earlier leader's record."""
    job.recorded = True
    job.in_parts = record.whole.in_parts
    tasks = list(job.tasks()) if record.parts else []
    for part in record.parts:
        job.stored_parts.add(part.first // jobstates.PART_TASKS)
        for place in job_records.done_places(part):
            _restore_done(job, tasks[place])
    for row, _ in job_records.rows_of(record):
        task = job.task(job_records.id_of(row, job.job.id))
        if task is not None:
            _restore_task(state, job, task, row, now)
    job.changed_parts.clear()
    # What has only been placed has not begun; its host's list tells.
    job.begun |= any(
        task.failures or task.phase is jobstates.TaskPhase.DONE
        for task in job.tasks()
    )


def _restore_done(job: jobstates.JobState, task: jobstates.Task) -> None:
    job.set_phase(task, jobstates.TaskPhase.DONE)
    task.run = 1


def _restore_task(
    state: scheduling.State,
    job: jobstates.JobState,
    task: jobstates.Task,
    row: job_records.TaskRow,
    now: float,
) -> None:
    job.set_phase(task, row.phase)
    task.run = row.run
    task.failures = row.failures
    task.failed_run = row.failed_run
    crashes.restore(state, task, row.crashes, row.crash, given_up=row.given_up)
    task.host = row.host
    task.host_incarnation_ms = row.host_born_ms
    # A start without an answer is on the record of its host from now on.
    task.confirmed = True
    task.saved = row.saved
    if task.phase is not jobstates.TaskPhase.OPEN:
        return
    step = job.step_of(task.id)
    run = host_state.Run(
        task=task.id,
        run=row.run,
        step=step,
        now=now,
        account=job.job.account,
    )
    run.inherited = True
    run.crashes = row.crashes
    run.incarnation_ms = row.host_born_ms
    run.phase = host_state.RunPhase.RUNNING
    run.saved = row.saved
    # The earlier leader may have limited its speed.
    run.speed_due_at = now
    state.host(row.host).add(run)


def restore_unanswered(
    state: scheduling.State,
    job: jobstates.JobState,
    row: job_records.TaskRow,
    written_at: float,
    now: float,
) -> None:
    """Restore a start that was under way when the leader changed.

    No one saw whether it got an answer. Those that got none in time are on
    the record of their host, which has to be restored before.
    """
    possible_until = _late_until(written_at, now)
    host = state.hosts.get(row.host)
    if possible_until < now or row.confirmed or host is None:
        return
    id = job_records.id_of(row, job.job.id)
    run = host.runs.get((id, row.run))
    if run is None:
        return
    known = host.late_starts.get(run.key)
    if known is not None:
        known.possible_until = max(known.possible_until, possible_until)
        return
    run.starts_sent = 1
    late = late_starts.LateStart(
        host=row.host,
        run=row.run,
        incarnation_ms=row.host_born_ms,
        fence=0,
        possible_until=possible_until,
        gang=run.step.gang,
        account=run.account,
        needs=run.step.needs,
    )
    state.add_late_start(host, run.key, late)


def restore_wave(
    wave: machine_orders.Wave, record: progress.WaveProgress
) -> None:
    """Restore a wave's progress from an earlier leader's record."""
    wave.ordered.update(record.ordered)
    wave.incarnations.update(record.born_ms)
