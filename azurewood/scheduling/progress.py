"""Progress records: what a later leader has to know of jobs and waves.

A run is recorded before its start is sent, and an end before it is
acknowledged to its host. So a later leader knows every run that may exist
and every end that a host may have forgotten.
"""

import math
import typing

import msgspec

from azurewood.jobs import model
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling

VERSION: typing.Final = 1
JOB_PREFIX: typing.Final = "j/"
WAVE_PREFIX: typing.Final = "w/"
ORDERS_KEY: typing.Final = "o"
UNRESPONSIVE_KEY: typing.Final = "s"


class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """A task that has had a run."""

    occurrence: int
    step: int
    index: int
    phase: int
    run: int
    failures: int
    host: str
    host_incarnation_ms: int
    saved: str


class JobProgress(msgspec.Struct, frozen=True, kw_only=True, tag="job"):
    """The tasks of a job that have had a run."""

    tasks: tuple[TaskRow, ...]
    version: int = VERSION


class WaveProgress(msgspec.Struct, frozen=True, kw_only=True, tag="wave"):
    """The machines of a wave whose upkeep was decided, with their hosts."""

    ordered: dict[str, str]
    version: int = VERSION


class OrdersProgress(msgspec.Struct, frozen=True, kw_only=True, tag="orders"):
    """The machines that a leader ordered about last, and when.

    ``ages_ms`` is how long before the record each was ordered.
    """

    ages_ms: dict[str, int]
    version: int = VERSION


class SilentProgress(msgspec.Struct, frozen=True, kw_only=True, tag="silent"):
    """The silent hosts with runs, and when their leases have lapsed.

    ``left_ms`` is how long after the record each host's last lease ends.
    """

    left_ms: dict[str, int]
    version: int = VERSION


Progress = JobProgress | WaveProgress | OrdersProgress | SilentProgress
_decoder = msgspec.msgpack.Decoder(Progress)


def decode(data: bytes) -> Progress | None:
    """Return a record, or None if it is of a later version or damaged."""
    try:
        record = _decoder.decode(data)
    except msgspec.DecodeError:
        return None
    return record if record.version <= VERSION else None


def encode_job(job: jobstates.JobState) -> bytes:
    """Return a job's progress record."""
    rows = tuple(
        TaskRow(
            task.id.occurrence,
            task.id.step,
            task.id.index,
            int(task.phase),
            task.run,
            task.failures,
            task.host,
            task.host_incarnation_ms,
            task.saved,
        )
        for tasks in job.steps.values()
        for task in tasks
        if task.run
    )
    return msgspec.msgpack.encode(JobProgress(tasks=rows))


def encode_wave(wave: scheduling.Wave) -> bytes:
    """Return a wave's progress record."""
    return msgspec.msgpack.encode(WaveProgress(ordered=dict(wave.ordered)))


def encode_orders(ordered_at: dict[str, float], now: float) -> bytes:
    """Return the record of the machines ordered about last."""
    ages_ms = {name: int((now - at) * 1000) for name, at in ordered_at.items()}
    return msgspec.msgpack.encode(OrdersProgress(ages_ms=ages_ms))


def encode_unresponsive(bounds: dict[str, float], now: float) -> bytes:
    """Return the record of silent hosts, whose leases lapse at ``bounds``."""
    left_ms = {
        id: max(0, math.ceil((leases_expire_at - now) * 1000))
        for id, leases_expire_at in bounds.items()
    }
    return msgspec.msgpack.encode(SilentProgress(left_ms=left_ms))


def restore_job(
    state: scheduling.State,
    job: jobstates.JobState,
    record: JobProgress,
    now: float,
) -> None:
    """Take in what an earlier leader recorded of a job."""
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
    job.set_phase(task, jobstates.TaskPhase(row.phase))
    task.run = row.run
    task.failures = row.failures
    task.host = row.host
    task.host_incarnation_ms = row.host_incarnation_ms
    task.saved = row.saved
    if task.phase is not jobstates.TaskPhase.OPEN:
        return
    step = job.step_of(task.id)
    run = scheduling.Run(task=task.id, run=row.run, step=step, now=now)
    run.inherited = True
    run.incarnation_ms = row.host_incarnation_ms
    run.phase = scheduling.RunPhase.RUNNING
    state.host(row.host).add(run)


def restore_wave(wave: scheduling.Wave, record: WaveProgress) -> None:
    """Take in what an earlier leader recorded of a wave."""
    wave.ordered.update(record.ordered)


def flush(state: scheduling.State) -> None:
    """Store what changed, and let go what had to wait for it.

    One record batch is under way at a time.
    """
    if state.saving is not None:
        return
    values = state.values
    for job_id in state.dirty:
        job = state.jobs.get(job_id)
        if job is not None:
            values[JOB_PREFIX + job_id] = encode_job(job)
    state.dirty = set()
    state.values = {}
    deferred_effects, state.deferred_effects = state.deferred_effects, []
    if not values:
        state.effects.extend(deferred_effects)
        return
    state.saving = deferred_effects
    state.emit(messages.SaveProgress(values=values))


def on_saved(state: scheduling.State) -> None:
    """Let go what waited for the batch that is stored now."""
    deferred_effects, state.saving = state.saving, None
    state.effects.extend(deferred_effects or ())
