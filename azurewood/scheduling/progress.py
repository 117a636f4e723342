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
    failed_run: int = 0


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

    ``ended`` is whether the host has listed the end of its run. ``gang`` is
    whether the run is a member of a gang; an older record doesn't tell.
    ``repeated`` is whether a further start of the run may leave after it.
    """

    job: str
    occurrence: int
    step: int
    index: int
    run: int
    host_born_ms: int
    left_ms: int
    ended: bool = False
    gang: bool = True
    repeated: bool = False


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
            task.failed_run,
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
            late.gang,
            _is_repeated(host, (task, run)),
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


def _is_repeated(host: scheduling.Host, key: late_starts.RunKey) -> bool:
    run = host.runs.get(key)
    return run is not None and run.phase is scheduling.RunPhase.STARTING


def _left_ms(until: float, now: float) -> int:
    return math.ceil(max(0.0, until - now) * 1000)


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
