"""Progress records, from which a later leader restores its state.

A run is recorded before its start is sent, and a run's end before it is
acknowledged to the host. So a later leader knows every run that may exist
and every end that a host may have discarded.
"""

import math
import typing

import msgspec

from azurewood.jobs import model
from azurewood.scheduling import crashes
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling

VERSION: typing.Final = 1
JOB_PREFIX: typing.Final = "j/"
WAVE_PREFIX: typing.Final = "w/"
ORDERS_KEY: typing.Final = "o"
UNRESPONSIVE_KEY: typing.Final = "s"


class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """The progress of a task that has had a run."""

    occurrence: int
    step: int
    index: int
    phase: jobstates.TaskPhase
    run: int
    failures: int
    host: str
    host_born_ms: int
    saved: str
    crashes: int = 0
    given_up: bool = False
    crash: str = ""


class JobProgress(msgspec.Struct, frozen=True, kw_only=True, tag="job"):
    """The progress of a job: its tasks that have had a run."""

    tasks: tuple[TaskRow, ...]
    version: int = VERSION


class WaveProgress(msgspec.Struct, frozen=True, kw_only=True, tag="wave"):
    """The machines whose maintenance a wave has decided, with their hosts."""

    ordered: dict[str, str]
    version: int = VERSION


class OrdersProgress(msgspec.Struct, frozen=True, kw_only=True, tag="orders"):
    """The machines to which leaders sent orders recently.

    ``ages_ms`` is the time from each machine's order to the record.
    """

    ages_ms: dict[str, int]
    version: int = VERSION


class SilentProgress(msgspec.Struct, frozen=True, kw_only=True, tag="silent"):
    """The unresponsive hosts that have runs.

    ``left_ms`` is the time from the record until each host's last lease
    expires.
    """

    left_ms: dict[str, int]
    version: int = VERSION


Progress = JobProgress | WaveProgress | OrdersProgress | SilentProgress
_decoder = msgspec.msgpack.Decoder(Progress)


def decode(data: bytes) -> Progress | None:
    """Return a record, or None if it is malformed or of a later version."""
    try:
        record = _decoder.decode(data)
    except msgspec.DecodeError:
        return None
    return record if record.version <= VERSION else None


def encode_job(job: jobstates.JobState) -> bytes:
    """Return the encoded progress record of a job."""
    rows = tuple(
        TaskRow(
            task.id.occurrence,
            task.id.step,
            task.id.index,
            task.phase,
            task.run,
            task.failures,
            task.host,
            task.host_incarnation_ms,
            task.saved,
            task.crashes,
            task.given_up,
            task.crash,
        )
        for tasks in job.steps.values()
        for task in tasks
        if task.run
    )
    return msgspec.msgpack.encode(JobProgress(tasks=rows))


def encode_wave(wave: scheduling.Wave) -> bytes:
    """Return the encoded progress record of a wave."""
    return msgspec.msgpack.encode(WaveProgress(ordered=dict(wave.ordered)))


def encode_orders(ordered_at: dict[str, float], now: float) -> bytes:
    """Return the encoded record of machines with recent orders."""
    ages_ms = {name: int((now - at) * 1000) for name, at in ordered_at.items()}
    return msgspec.msgpack.encode(OrdersProgress(ages_ms=ages_ms))


def encode_unresponsive(expiry_times: dict[str, float], now: float) -> bytes:
    """Return the encoded record of unresponsive hosts.

    ``expiry_times`` has the time when each host's last lease expires.
    """
    left_ms = {
        id: max(0, math.ceil((leases_expire_at - now) * 1000))
        for id, leases_expire_at in expiry_times.items()
    }
    return msgspec.msgpack.encode(SilentProgress(left_ms=left_ms))


def restore_job(
    state: scheduling.State,
    job: jobstates.JobState,
    record: JobProgress,
    now: float,
) -> None:
    """Restore a job's tasks and runs from an earlier leader's record."""
    for row in record.tasks:
        id = model.TaskId(job.job.id, row.occurrence, row.step, row.index)
        task = job.task(id)
        if task is not None:
            _restore_task(state, job, task, row, now)


def _restore_task(
    state: scheduling.State,
    job: jobstates.JobState,
    task: jobstates.Task,
    row: TaskRow,
    now: float,
) -> None:
    job.begun = True
    job.set_phase(task, row.phase)
    task.run = row.run
    task.failures = row.failures
    crashes.restore(state, task, row.crashes, row.crash, given_up=row.given_up)
    task.host = row.host
    task.host_incarnation_ms = row.host_born_ms
    task.saved = row.saved
    if task.phase is not jobstates.TaskPhase.OPEN:
        return
    step = job.step_of(task.id)
    run = scheduling.Run(task=task.id, run=row.run, step=step, now=now)
    run.inherited = True
    run.crashes = row.crashes
    run.incarnation_ms = row.host_born_ms
    run.phase = scheduling.RunPhase.RUNNING
    state.host(row.host).add(run)


def restore_wave(wave: scheduling.Wave, record: WaveProgress) -> None:
    """Restore a wave's progress from an earlier leader's record."""
    wave.ordered.update(record.ordered)


def flush(state: scheduling.State) -> None:
    """Store changed progress and release the effects that wait for it.

    Only one batch of records is under way at a time.
    """
    if state.saving_effects is not None:
        return
    values = state.values
    for job_id in state.dirty_jobs:
        job = state.jobs.get(job_id)
        if job is not None:
            values[JOB_PREFIX + job_id] = encode_job(job)
    state.dirty_jobs = set()
    state.values = {}
    deferred_effects, state.deferred_effects = state.deferred_effects, []
    if not values:
        state.effects.extend(deferred_effects)
        return
    state.saving_effects = deferred_effects
    state.emit(messages.SaveProgress(values=values))


def on_saved(state: scheduling.State) -> None:
    """Release the effects that waited for the batch that is now stored."""
    released, state.saving_effects = state.saving_effects, None
    state.effects.extend(released or ())
