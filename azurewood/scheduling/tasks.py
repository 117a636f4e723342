"""Changes of tasks and jobs: added, ended, failed and cancelled."""

from azurewood.jobs import model
from azurewood.policy import arrivals
from azurewood.scheduling import account_limits
from azurewood.scheduling import durations
from azurewood.scheduling import host_state
from azurewood.scheduling import job_records
from azurewood.scheduling import jobstates
from azurewood.scheduling import latestarts
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling

MAX_APPEND_MS = 2000
"""Longest time from a job's acceptance until its record is read."""
STOP_PAUSE_S = 1.0
"""Time in which a run that is stopped ends; hosts may take 0.9 s."""
RETRY_PAUSE_S = 0.02
"""Pause before a failed task's next run, which avoids the same host."""


def add_job(
    state: scheduling.State, job: model.Job, now: float
) -> jobstates.JobState | None:
    """Add a job that was just accepted; return it if it is new.

    Its time of acceptance is by the clock of another daemon, which may be
    wrong. Its record was just read, so it cannot be older than an append.
    """
    added = restore_job(state, job, now)
    if added is not None:
        earliest_ms = state.clock_ms - MAX_APPEND_MS
        added.set_accepted(max(added.accepted_ms, earliest_ms))
        service = state.service_of(job)
        found = state.arrivals.setdefault(service, arrivals.Arrivals())
        if account_limits.may_start_step(state, added, job.steps[0]):
            # Hosts for what an account may not run now would stay idle.
            found.record(job, now, added.durations_ms)
    return added


def restore_job(
    state: scheduling.State, job: model.Job, now: float
) -> jobstates.JobState | None:
    """Add a job that was accepted at any time; return it if it is new.

    It doesn't count for the arrival rate of jobs.
    """
    if job.id in state.jobs:
        return None
    added = jobstates.JobState(job=job, now=now)
    durations.predict(state, added)
    added.set_accepted(min(added.accepted_ms, state.clock_ms))
    state.jobs[job.id] = added
    state.placement_due.add(state.service_of(job))
    return added


def cancel(state: scheduling.State, job_id: str, now: float) -> None:
    """Cancel a job: stop its runs and start none again."""
    job = state.jobs.get(job_id)
    if job is None or job.cancelled:
        return
    job.cancelled = True
    stopped = _stop_all(state, job_id, now)
    state.log_event("job.cancelled", job=job_id, runs_stopped=stopped)
    close(state, job_id)


def close(state: scheduling.State, job_id: str) -> None:
    """Remove a job that is over; its hosts keep its runs until they end."""
    job = state.jobs.pop(job_id, None)
    if job is None:
        return
    state.dirty_jobs.discard(job_id)
    if job.recorded:
        state.values.update(dict.fromkeys(job_records.removed_keys(job)))


def _stop_all(state: scheduling.State, job_id: str, now: float) -> int:
    count = 0
    for host in state.hosts.values():
        for run in list(host.runs.values()):
            if run.task.job == job_id:
                count += 1
                stop(run, now)
    return count


def stop(run: host_state.Run, now: float) -> None:
    """Mark a run for stopping; the next check of its host sends the stop."""
    if run.phase is not host_state.RunPhase.STOPPING:
        run.phase = host_state.RunPhase.STOPPING
        run.confirmed_at = None
        run.retry_at = now


def wait_for_other_run(
    state: scheduling.State, id: model.TaskId, now: float
) -> None:
    """Start a task only after another run of it that is being stopped.

    A start without an answer isn't repeated before that either.
    """
    task = state.task(id)
    if task is None:
        return
    task.waits_until = max(task.waits_until, now + STOP_PAUSE_S)
    run = _open_run(state, task)
    if run is not None and run.phase is host_state.RunPhase.STARTING:
        run.retry_at = max(run.retry_at, now + STOP_PAUSE_S)


def current_task(
    state: scheduling.State, run: host_state.Run
) -> jobstates.Task | None:
    """Return the task of a run if the run is its current one, or None."""
    job = state.jobs.get(run.task.job)
    task = job.task(run.task) if job else None
    if task is None or task.phase is not jobstates.TaskPhase.OPEN:
        return None
    return task if task.run == run.run else None


def handle_end(
    state: scheduling.State,
    host: host_state.Host,
    run: host_state.Run,
    row: messages.EndedRow,
    now: float,
) -> None:
    """Handle the listed end of a run and remove it from its host."""
    host.remove(run)
    task = current_task(state, run)
    if task is None:
        return
    job = state.jobs[run.task.job]
    state.dirty_jobs.add(run.task.job)
    match row.how:
        case messages.End.DONE:
            durations.on_done(state, host, run, job, now)
            _complete_task(state, job, task)
        case messages.End.FAILED:
            _fail_task(state, host, job, task, now)
        case _:
            _requeue(state, job, task, row.saved or run.saved, now)
            state.log_run("task.ended", host, run, how=row.how.value)


def mark_run_gone(
    state: scheduling.State,
    host: host_state.Host,
    run: host_state.Run,
    reason: str,
    now: float,
    *,
    may_return: bool = True,
) -> None:
    """Remove a run that certainly no longer exists; requeue its task.

    A start of it that is under way may be carried out if its host
    ``may_return`` under its id.
    """
    host.remove(run)
    if may_return:
        latestarts.on_dropped(state, host, run, now)
    task = current_task(state, run)
    state.log_run(
        "run.gone",
        host,
        run,
        reason=reason,
        phase=run.phase.value,
        inherited=run.inherited,
        starts=run.starts_sent,
        late=run.key in host.late_starts,
        age_ms=int((now - run.began_at) * 1000),
    )
    if task is not None:
        state.dirty_jobs.add(run.task.job)
        _requeue(state, state.jobs[run.task.job], task, run.saved, now)


def _requeue(
    state: scheduling.State,
    job: jobstates.JobState,
    task: jobstates.Task,
    saved: str,
    now: float,
) -> None:
    job.set_phase(task, jobstates.TaskPhase.WAITING)
    task.saved = saved or task.saved
    task.waits_until = now
    state.placement_due.add(state.service_of(job.job))


def _complete_task(
    state: scheduling.State,
    job: jobstates.JobState,
    task: jobstates.Task,
) -> None:
    step = job.step_of(task.id)
    if step.long_lived:
        task.crashes = 0
        job.set_phase(task, jobstates.TaskPhase.WAITING)
        state.placement_due.add(state.service_of(job.job))
        return
    key = (task.id.occurrence, task.id.step)
    members = job.steps[key] if step.gang else [task]
    for member in members:
        if member.phase is not jobstates.TaskPhase.DONE:
            job.set_phase(member, jobstates.TaskPhase.DONE)
            member.saved = ""
    if job.undone[key] == 0:
        state.placement_due.add(state.service_of(job.job))
    finish_if_done(state, job)


def complete_by_unheld_run(
    state: scheduling.State, row: messages.EndedRow, now: float
) -> None:
    """Complete a task by a run that was taken for gone but ended as done.

    Another run of the task is stopped.
    """
    job = state.jobs.get(row.task.job)
    task = job.task(row.task) if job else None
    if row.how is not messages.End.DONE or task is None:
        return
    step = job.step_of(task.id)
    if task.phase is jobstates.TaskPhase.DONE or step.long_lived:
        return
    for member in (task, *job.tasks_beside(task.id)) if step.gang else (task,):
        _stop_open_run(state, member, now)
    state.dirty_jobs.add(job.job.id)
    _complete_task(state, job, task)


def _stop_open_run(
    state: scheduling.State, task: jobstates.Task, now: float
) -> None:
    run = _open_run(state, task)
    if run is not None:
        stop(run, now)


def _open_run(
    state: scheduling.State, task: jobstates.Task
) -> host_state.Run | None:
    host = state.hosts.get(task.host)
    return host.runs.get((task.id, task.run)) if host is not None else None


def finish_if_done(state: scheduling.State, job: jobstates.JobState) -> None:
    """Announce the end of a job whose tasks are all done."""
    if job.done and not job.closing and not job.long_lived:
        _announce(state, job, model.Phase.COMPLETED)


def announce_inherited_end(
    state: scheduling.State, job: jobstates.JobState
) -> None:
    """Announce an end that an earlier leader recorded but didn't announce."""
    finish_if_done(state, job)
    for tasks in job.steps.values():
        for task in tasks:
            long_lived = job.step_of(task.id).long_lived
            if task.given_up:
                _announce(state, job, model.Phase.FAILED)
                return
            if task.failures >= job.job.attempts and not long_lived:
                _announce(state, job, model.Phase.FAILED)
                return


def give_up(
    state: scheduling.State,
    job: jobstates.JobState,
    task: jobstates.Task,
    now: float,
) -> None:
    """Fail the job of a task that crashes the hosts that start it."""
    state.log_event(
        "task.given_up",
        job=job.job.id,
        task=str(tuple(task.id[1:])),
        crashes=task.crashes,
        hosts=" ".join(task.crashed_hosts),
    )
    _announce(state, job, model.Phase.FAILED)
    _stop_all(state, job.job.id, now)


def fail_unstorable(state: scheduling.State, job_id: str, now: float) -> None:
    """Fail a job whose progress the store doesn't take.

    A later leader would not know of its runs and start them again.
    """
    job = state.jobs.get(job_id)
    if job is None or job.closing:
        return
    state.log_event("job.unstorable", job=job_id, parts=job.part_count)
    _announce(state, job, model.Phase.FAILED)
    _stop_all(state, job_id, now)


def _fail_task(
    state: scheduling.State,
    host: host_state.Host,
    job: jobstates.JobState,
    task: jobstates.Task,
    now: float,
) -> None:
    step = job.step_of(task.id)
    beside = job.tasks_beside(task.id) if step.gang else ()
    if not (step.gang and task.failed_run == task.run):
        for member in (task, *beside):
            member.failures += 1
            member.failed_run = task.run
            state.note_changed(member.id)
    failures = task.failures
    task.avoid.add(host.id)
    job.set_phase(task, jobstates.TaskPhase.WAITING)
    task.waits_until = now + RETRY_PAUSE_S
    state.placement_due.add(state.service_of(job.job))
    state.log_event(
        "task.failed",
        job=job.job.id,
        task=str(tuple(task.id[1:])),
        run=task.run,
        host=host.id,
        failures=failures,
        attempts=job.job.attempts,
    )
    if failures >= job.job.attempts and not step.long_lived:
        _announce(state, job, model.Phase.FAILED)
        _stop_all(state, job.job.id, now)


def _announce(
    state: scheduling.State, job: jobstates.JobState, phase: model.Phase
) -> None:
    """Announce how a job ended, once its progress is stored."""
    if job.closing:
        return
    job.closing = True
    state.emit_after_save(messages.NotifyJobEnded(id=job.job.id, phase=phase))
    # What is reported is by the caller's estimates, as the caller knows them.
    allowed_ms = job.job.objective_at_ms() - job.job.accepted_ms
    after_ms = state.clock_ms - job.accepted_ms
    state.log_event(
        "job.ended",
        job=job.job.id,
        account=job.job.account,
        queue=job.job.queue,
        phase=phase.value,
        after_ms=int(after_ms),
        late_ms=int(after_ms - allowed_ms),
        wait_ms=_wait_ms(job),
    )


def _wait_ms(job: jobstates.JobState) -> int | None:
    """Return the time from a job's acceptance to its first placed task.

    Return None if an earlier leader placed it or no task was placed.
    """
    if job.first_run_ms is None:
        return None
    return max(0, int(job.first_run_ms - job.accepted_ms))
