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
from azurewood.jobs import model as jobs
from azurewood.journal import appender
from azurewood.scheduling import host_state
from azurewood.scheduling import job_records
from azurewood.scheduling import machine_orders
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling

VERSION: typing.Final = 1
WAVE_PREFIX: typing.Final = "w/"
ORDERS_KEY: typing.Final = "o"
UNRESPONSIVE_KEY: typing.Final = "s"
LATE_STARTS_PREFIX: typing.Final = "l/"
HOST_PREFIX: typing.Final = "m/"
DURATIONS_KEY: typing.Final = "d"
MAX_SAVE_S: typing.Final = 8.0
"""Longest time from a run's record to its first start, which waits for it."""


ReadBy = abc.Callable[[int], float | None]
"""Returns a time by which the election's log was read up to an offset."""


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
    stamp: job_records.Stamp = job_records.Stamp()
    version: int = VERSION


class SilentProgress(msgspec.Struct, frozen=True, kw_only=True, tag="silent"):
    """The unresponsive hosts that have runs.

    ``left_ms`` is the time from the record until each host's last lease
    expires.
    """

    left_ms: dict[str, int]
    stamp: job_records.Stamp = job_records.Stamp()
    version: int = VERSION


class LateStartRow(msgspec.Struct, frozen=True, array_like=True):
    """A start without an answer; ``left_ms`` is how long it may be late.

    ``ended`` is whether the host has listed the end of its run. ``gang`` is
    whether the run is a member of a gang; an older record doesn't tell.
    ``repeated`` is whether a further start of the run may leave after it.
    ``account`` is the client account that it counts for and ``needs`` what it
    uses; an older record doesn't tell, nor does one of a job without account.
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
    account: str = ""
    needs: jobs.Resources = jobs.Resources()


class LateStartsProgress(
    msgspec.Struct, frozen=True, kw_only=True, tag="late"
):
    """The starts without an answer that a host may carry out late.

    ``machine`` is the machine that the host runs on; only a record of an
    earlier release has it, see ``HostProgress``.
    ``renewal_left_ms`` is how long a lease renewal may be late.
    """

    starts: tuple[LateStartRow, ...]
    machine: str = ""
    renewal_left_ms: int = 0
    stamp: job_records.Stamp = job_records.Stamp()
    version: int = VERSION


class HostProgress(msgspec.Struct, frozen=True, kw_only=True, tag="host"):
    """The machine of a host that has had a run."""

    machine: str
    version: int = VERSION


class DurationsProgress(
    msgspec.Struct, frozen=True, kw_only=True, tag="durations"
):
    """The learned durations: ``rows`` of ``width`` bytes each.

    See `azurewood.policy.durations`. A later release may append to a row.
    """

    rows: bytes
    width: int
    version: int = VERSION


Progress = (
    job_records.Whole
    | job_records.Part
    | WaveProgress
    | OrdersProgress
    | SilentProgress
    | LateStartsProgress
    | HostProgress
    | DurationsProgress
)
_decoder = msgspec.msgpack.Decoder(Progress)


def decode(data: bytes) -> Progress | None:
    """Return a record, or None if it is malformed or of a later version."""
    try:
        record = decoding.decode(_decoder.decode, data)
    except decoding.MalformedData:
        return None
    known = VERSION
    if isinstance(record, job_records.Whole):
        known = job_records.VERSION
    return record if record.version <= known else None


def stamp(state: scheduling.State, now: float) -> job_records.Stamp:
    """Return the stamp of a record that is written now."""
    if not state.fenced_at:
        return job_records.Stamp()
    age_ms = math.ceil((now - state.fenced_at) * 1000)
    return job_records.Stamp(fence=state.fence, age_ms=age_ms)


def written_by(
    written: job_records.Stamp, read_by: ReadBy, now: float
) -> float:
    """Return a time, ``now`` at the latest, by which a record was written."""
    read_at = read_by(written.fence) if written.fence else None
    if read_at is None:
        return now
    return min(now, read_at + written.age_ms / 1000)


def job_record(
    job_id: str, decoded: abc.Mapping[str, Progress | None]
) -> job_records.JobRecord | None:
    """Return the record of a job with its parts, None if any is malformed."""
    whole = decoded.get(job_records.key_of(job_id))
    if not isinstance(whole, job_records.Whole):
        return None
    if not whole.in_parts:
        return job_records.JobRecord(whole)
    parts = [
        record
        for key, record in decoded.items()
        if job_records.part_owner(key) == job_id
    ]
    if not all(isinstance(part, job_records.Part) for part in parts):
        return None
    return job_records.JobRecord(whole, tuple(parts))


def encode_wave(wave: machine_orders.Wave) -> bytes:
    """Return the encoded progress record of a wave."""
    return msgspec.msgpack.encode(
        WaveProgress(
            ordered=dict(wave.ordered), born_ms=dict(wave.incarnations)
        )
    )


def encode_host(machine: str) -> bytes:
    """Return the encoded record of a host on a machine."""
    return msgspec.msgpack.encode(HostProgress(machine=machine))


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
    state: scheduling.State, host: host_state.Host, now: float
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
            late.account,
            late.needs,
        )
        for (task, run), late in host.late_starts.items()
    )
    if not rows:
        return None
    return msgspec.msgpack.encode(
        LateStartsProgress(
            starts=rows,
            renewal_left_ms=_left_ms(host.late_starts.renewed_until, now),
            stamp=stamp(state, now),
        )
    )


def _is_repeated(host: host_state.Host, key: late_starts.RunKey) -> bool:
    run = host.runs.get(key)
    return run is not None and run.phase is host_state.RunPhase.STARTING


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
            records = dict(job_records.changed_records(job, written))
            if job.in_parts and not _fit(state, records):
                state.unstorable_jobs.add(job_id)
            else:
                values.update(records)
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


def _fit(state: scheduling.State, values: abc.Mapping[str, bytes]) -> bool:
    """Return whether the store takes records of these sizes."""
    return all(
        appender.Record(key=key, value=value).size <= state.max_record_bytes
        for key, value in values.items()
    )


def on_saved(state: scheduling.State) -> None:
    """Release the effects that waited for the batch that is now stored."""
    released, state.saving_effects = state.saving_effects, None
    state.effects.extend(released or ())
