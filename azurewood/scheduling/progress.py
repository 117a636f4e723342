"""Progress records, from which a later leader restores its state.

A run is recorded before its start is sent, and a run's end before it is
acknowledged to the host. So a later leader knows every run that may exist
and every end that a host may have discarded.

Times are stored relative to their record, since daemons share no clock. What
they share is the log of the election. A record is therefore stamped with its
writer's newest election record, which each daemon reads as it is written: the
time at which a later leader read that is a bound for when the record was
written, and so for all times in it, however many leaders hand them on.
"""

from collections import abc
import math
import typing

import msgspec

from azurewood.conf import decoding
from azurewood.incarnations import late_starts
from azurewood.incarnations import limits
from azurewood.jobs import model
from azurewood.policy import restarts
from azurewood.scheduling import crashes
from azurewood.scheduling import jobstates
from azurewood.scheduling import machine_orders
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling

VERSION: typing.Final = 1
JOB_PREFIX: typing.Final = "j/"
WAVE_PREFIX: typing.Final = "w/"
ORDERS_KEY: typing.Final = "o"
UNRESPONSIVE_KEY: typing.Final = "s"
LATE_STARTS_PREFIX: typing.Final = "l/"
MAX_SAVE_S: typing.Final = 8.0
"""Longest time from a run's record to its first start, which waits for it."""


ReadBy = abc.Callable[[int], float | None]
"""Returns a time by which the election's log was read up to an offset."""


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """When a record was written, by the log of the election.

    ``fence`` is the offset after the writer's newest election record, 0 if
    unknown. That was written ``age_ms`` before this record or later.
    """

    fence: int = 0
    age_ms: int = 0


class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """The progress of a task that has had a run.

    ``confirmed`` is whether no start of its newest run may be late but those
    that are on the record of its host.
    """

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
    confirmed: bool = False


class JobProgress(msgspec.Struct, frozen=True, kw_only=True, tag="job"):
    """The progress of a job: its tasks that have had a run."""

    tasks: tuple[TaskRow, ...]
    stamp: Stamp = Stamp()
    version: int = VERSION


class WaveProgress(msgspec.Struct, frozen=True, kw_only=True, tag="wave"):
    """The machines whose maintenance a wave has decided, with their hosts.

    ``born_ms`` has the incarnations of these hosts, as far as known.
    """

    ordered: dict[str, str]
    born_ms: dict[str, int] = {}
    version: int = VERSION


class OrdersProgress(msgspec.Struct, frozen=True, kw_only=True, tag="orders"):
    """The machines to which leaders sent orders recently.

    ``ages_ms`` is the time from each machine's order to the record.
    """

    ages_ms: dict[str, int]
    stamp: Stamp = Stamp()
    version: int = VERSION


class SilentProgress(msgspec.Struct, frozen=True, kw_only=True, tag="silent"):
    """The unresponsive hosts that have runs.

    ``left_ms`` is the time from the record until each host's last lease
    expires.
    """

    left_ms: dict[str, int]
    stamp: Stamp = Stamp()
    version: int = VERSION


class LateStartRow(msgspec.Struct, frozen=True, array_like=True):
    """A start without an answer; ``left_ms`` is how long it may be late.

    ``ended`` is whether the host has listed the end of its run.
    """

    job: str
    occurrence: int
    step: int
    index: int
    run: int
    host_born_ms: int
    left_ms: int
    ended: bool = False


class LateStartsProgress(
    msgspec.Struct, frozen=True, kw_only=True, tag="late"
):
    """The starts without an answer that a host may carry out late.

    ``machine`` is the machine that the host runs on, empty if unknown.
    ``renewal_left_ms`` is how long a lease renewal may be late.
    """

    starts: tuple[LateStartRow, ...]
    machine: str = ""
    renewal_left_ms: int = 0
    stamp: Stamp = Stamp()
    version: int = VERSION


Progress = (
    JobProgress
    | WaveProgress
    | OrdersProgress
    | SilentProgress
    | LateStartsProgress
)
_decoder = msgspec.msgpack.Decoder(Progress)


def decode(data: bytes) -> Progress | None:
    """Return a record, or None if it is malformed or of a later version."""
    try:
        record = decoding.decode(_decoder.decode, data)
    except decoding.MalformedData:
        return None
    return record if record.version <= VERSION else None


def stamp(state: scheduling.State, now: float) -> Stamp:
    """Return the stamp of a record that is written now."""
    if not state.fenced_at:
        return Stamp()
    age_ms = math.ceil((now - state.fenced_at) * 1000)
    return Stamp(fence=state.fence, age_ms=age_ms)


def written_by(
    record: JobProgress | OrdersProgress | SilentProgress | LateStartsProgress,
    read_by: ReadBy,
    now: float,
) -> float:
    """Return a time, ``now`` at the latest, by which a record was written."""
    read_at = read_by(record.stamp.fence) if record.stamp.fence else None
    if read_at is None:
        return now
    return min(now, read_at + record.stamp.age_ms / 1000)


def encode_job(job: jobstates.JobState, written: Stamp) -> bytes:
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
            task.confirmed,
        )
        for tasks in job.steps.values()
        for task in tasks
        if task.run
    )
    return msgspec.msgpack.encode(JobProgress(tasks=rows, stamp=written))


def encode_wave(wave: machine_orders.Wave) -> bytes:
    """Return the encoded progress record of a wave."""
    return msgspec.msgpack.encode(
        WaveProgress(
            ordered=dict(wave.ordered), born_ms=dict(wave.incarnations)
        )
    )


def encode_orders(state: scheduling.State, now: float) -> bytes:
    """Return the encoded record of machines with recent orders."""
    ages_ms = {
        name: int((now - at) * 1000) for name, at in state.ordered_at.items()
    }
    return msgspec.msgpack.encode(
        OrdersProgress(ages_ms=ages_ms, stamp=stamp(state, now))
    )


def encode_unresponsive(
    state: scheduling.State, expiry_times: dict[str, float], now: float
) -> bytes:
    """Return the encoded record of unresponsive hosts.

    ``expiry_times`` has the time when each host's last lease expires.
    """
    left_ms = {
        id: max(0, math.ceil((leases_expire_at - now) * 1000))
        for id, leases_expire_at in expiry_times.items()
    }
    return msgspec.msgpack.encode(
        SilentProgress(left_ms=left_ms, stamp=stamp(state, now))
    )


def encode_late_starts(
    state: scheduling.State, host: scheduling.Host, now: float
) -> bytes | None:
    """Return the encoded record of a host's late starts; None without any."""
    rows = tuple(
        LateStartRow(
            *task,
            run,
            late.incarnation_ms,
            _left_ms(late.possible_until, now),
            late.next_run_at is not None,
        )
        for (task, run), late in host.late_starts.items()
    )
    if not rows:
        return None
    return msgspec.msgpack.encode(
        LateStartsProgress(
            starts=rows,
            machine=state.host_machines.get(host.id, ""),
            renewal_left_ms=_left_ms(host.late_starts.renewed_until, now),
            stamp=stamp(state, now),
        )
    )


def _left_ms(until: float, now: float) -> int:
    return math.ceil(max(0.0, until - now) * 1000)


def restore_late_starts(
    state: scheduling.State,
    host_id: str,
    record: LateStartsProgress,
    written_at: float,
) -> None:
    """Restore an earlier leader's starts without an answer.

    The record was written by ``written_at``, so counting the remaining time
    from then gives the latest time.
    """
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
        )
        if row.ended:
            late.next_run_at = written_at + restarts.NEXT_RUN_PAUSE_S
        state.add_late_start(host, (task, row.run), late)


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
    # A start without an answer is on the record of its host from now on.
    task.confirmed = True
    task.saved = row.saved
    if task.phase is not jobstates.TaskPhase.OPEN:
        return
    step = job.step_of(task.id)
    run = scheduling.Run(task=task.id, run=row.run, step=step, now=now)
    run.inherited = True
    run.crashes = row.crashes
    run.incarnation_ms = row.host_born_ms
    run.phase = scheduling.RunPhase.RUNNING
    run.saved = row.saved
    # The earlier leader may have limited its speed.
    run.speed_due_at = now
    state.host(row.host).add(run)


def restore_unanswered(
    state: scheduling.State,
    job: jobstates.JobState,
    record: JobProgress,
    written_at: float,
    now: float,
) -> None:
    """Restore the starts that were under way when the leader changed.

    No one saw whether they got an answer. Those that got none in time are on
    the record of their host, which has to be restored before.
    """
    sent_by = min(now, written_at + MAX_SAVE_S)
    possible_until = sent_by + limits.MAX_START_DELAY_S
    if possible_until < now:
        return
    for row in record.tasks:
        id = model.TaskId(job.job.id, row.occurrence, row.step, row.index)
        host = state.hosts.get(row.host)
        run = host.runs.get((id, row.run)) if host is not None else None
        if row.confirmed or run is None:
            continue
        known = host.late_starts.get(run.key)
        if known is not None:
            known.possible_until = max(known.possible_until, possible_until)
            continue
        run.tries = 1
        late = late_starts.LateStart(
            host=row.host,
            run=row.run,
            incarnation_ms=row.host_born_ms,
            fence=0,
            possible_until=possible_until,
        )
        state.add_late_start(host, run.key, late)


def restore_wave(wave: machine_orders.Wave, record: WaveProgress) -> None:
    """Restore a wave's progress from an earlier leader's record."""
    wave.ordered.update(record.ordered)
    wave.incarnations.update(record.born_ms)


def flush(state: scheduling.State, now: float) -> None:
    """Store changed progress and release the effects that wait for it.

    Only one batch of records is under way at a time.
    """
    if state.saving_effects is not None:
        return
    values = state.values
    for host_id in state.dirty_late_starts:
        host = state.hosts.get(host_id)
        values[LATE_STARTS_PREFIX + host_id] = (
            encode_late_starts(state, host, now) if host is not None else None
        )
    if state.confirmed_jobs and now >= state.confirmed_due:
        state.dirty_jobs |= state.confirmed_jobs
        state.confirmed_jobs = set()
    written = stamp(state, now)
    for job_id in state.dirty_jobs:
        job = state.jobs.get(job_id)
        if job is not None:
            values[JOB_PREFIX + job_id] = encode_job(job, written)
    state.confirmed_jobs -= state.dirty_jobs
    state.dirty_jobs = set()
    state.dirty_late_starts = set()
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
