"""Where a task may begin its next run, and its beginning there."""

from collections import abc

from azurewood.policy import host_choice
from azurewood.policy import restarts
from azurewood.scheduling import durations
from azurewood.scheduling import host_records
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import latestarts
from azurewood.scheduling import model
from azurewood.scheduling import runs


def among(
    state: model.State,
    task: jobstates.Task,
    allowed: abc.Container[str] | None,
    now: float,
) -> abc.Container[str] | None:
    """Return those of the allowed hosts that a task may start on.

    None means all hosts.
    """
    if not task.late_starts:
        return allowed
    match latestarts.where_to_start(state, task, now):
        case restarts.Anywhere():
            return allowed
        case restarts.Again(host=host) | restarts.Only(host=host):
            return (host,) if allowed is None or host in allowed else ()
        case restarts.Nowhere():
            return ()


def open_run(
    state: model.State,
    host_index: host_choice.HostIndex,
    host: host_state.Host,
    job: jobstates.JobState,
    task: jobstates.Task,
    now: float,
) -> None:
    """Begin a task's next run on a host, or its newest one again.

    Its start call is sent once the run is recorded.
    """
    job.set_phase(task, jobstates.TaskPhase.OPEN)
    late = task.late_starts
    repeated = bool(late) and latestarts.is_repeated(state, task, now)
    if not repeated:
        task.run += 1
    task.confirmed = False
    task.host = host.id
    task.host_incarnation_ms = host.entry.incarnation_ms
    step = job.step_of(task.id)
    run = host_state.Run(
        task=task.id,
        run=task.run,
        step=step,
        now=now,
        account=job.job.account,
    )
    run.incarnation_ms = host.entry.incarnation_ms
    run.saved = task.saved
    run.crashes = task.crashes
    if repeated:
        # The starts before may still be carried out.
        run.starts_sent = host_state.SEVERAL_STARTS
    durations.expect(host, run, job, task)
    host_index.add(host, run)
    host_records.note_run(state, host)
    state.dirty_jobs.add(job.job.id)
    if not job.recorded:
        job.recorded = True
        job.first_run_ms = state.clock_ms
    runs.send_start(state, host, run, now, saved_first=True)
