"""What the leader knows of hosts: their lives, leases and lists.

A run counts against its host's room from before its start is sent until it
is known not to exist: its end is listed, a list sent after its start or
stop was answered does not have it, the host has begun another life, or all
leases of the host have lapsed.
"""

import typing

from azurewood.policy import host_health
from azurewood.policy import throttling
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import runs
from azurewood.scheduling import silence
from azurewood.scheduling import tasks

HOLD_WAIT_MS: typing.Final = 1000
"""How long a host keeps a hold open for an end to list."""
FIRST_HOLD_WAIT_MS: typing.Final = 0
HOLD_PAUSE_S: typing.Final = 0.01
"""Pause between two holds, so that ends are listed together."""
HOLD_RETRY_S: typing.Final = 0.2
GONE_RETRY_S: typing.Final = 1.0


def seen(
    state: scheduling.State, entry: messages.HostEntry, now: float
) -> None:
    """Take in a host's entry."""
    host = state.host(entry.id)
    known = host.entry
    if known is not None and known.born_ms != entry.born_ms:
        _begin_life(host)
    if known is None or known.state is not entry.state:
        state.note(
            "host.seen",
            host=entry.id,
            service=entry.service,
            state=entry.state.value,
        )
    host.describe(entry)
    host.present = True
    state.placing.add(entry.service)


def gone(state: scheduling.State, host_id: str) -> None:
    """Take in that a host's entry was removed."""
    host = state.hosts.get(host_id)
    if host is not None and host.present:
        host.present = False
        state.note("host.gone", host=host_id, runs=len(host.runs))


def _begin_life(host: scheduling.Host) -> None:
    """Take in that a host began anew.

    Its next list tells what it runs: a start may have reached the new life
    before anybody knew of it.
    """
    host.synced = False
    host.clock_ms = None
    host.listed = 0
    host.acknowledged = 0
    host.foreign = 0
    host.failed_tasks = set()


def look(state: scheduling.State, now: float) -> None:
    """Send the holds, starts and stops that are due."""
    for host in list(state.hosts.values()):
        if host.entry is None:
            _expire(state, host, now)
            continue
        if not host.holding and now >= host.hold_at:
            _hold(host, state, now)
        for run in list(host.runs.values()):
            if not run.calling and now >= run.retry_at:
                runs.call_again(state, host, run, now)
        silence.look(state, host, now)
        _expire(state, host, now)


def _hold(host: scheduling.Host, state: scheduling.State, now: float) -> None:
    if not host.present and not host.runs and now > host.bound_at:
        return
    clock = host.clock(now)
    calm = host.synced and host.silent_since is None
    lease = None
    if calm and clock is not None:
        # A silent host gets no lease, or its tasks could start nowhere else.
        lease = clock + runs.LEASE_MS
        host.bound_at = max(host.bound_at, now + runs.LEASE_BOUND_S)
    host.holding = True
    state.emit(
        messages.HoldHost(
            host=host.id,
            address=host.entry.address,
            # A silent host may have begun another life, which numbers its
            # ends anew and must not have them acknowledged unseen.
            acknowledged=host.acknowledged if calm else 0,
            lease_until_ms=lease,
            wait_ms=HOLD_WAIT_MS if calm else FIRST_HOLD_WAIT_MS,
        )
    )


def _expire(
    state: scheduling.State, host: scheduling.Host, now: float
) -> None:
    """Take all runs of a silent host for gone once its leases lapsed."""
    if now <= host.bound_at:
        return
    for run in list(host.runs.values()):
        tasks.lost(state, host, run, "all leases of the host lapsed", now)
    if not host.present and not host.holding:
        del state.hosts[host.id]


def hold_failed(
    state: scheduling.State, event: messages.HoldFailed, now: float
) -> None:
    """Take in that a host did not answer, or not as this life."""
    host = state.hosts.get(event.host)
    if host is None:
        return
    host.holding = False
    host.answered = False
    match event.reason:
        case messages.Refusal.FENCE:
            state.emit(messages.StepDown(reason=f"fenced by host {host.id}"))
        case messages.Refusal.OTHER_LIFE:
            runs.other_life(state, host, now)
    if host.silent_since is None:
        host.silent_since = now
        state.note("host.silent", host=host.id, reason=event.reason.value)
    host.hold_at = now + (HOLD_RETRY_S if host.present else GONE_RETRY_S)


def listed(
    state: scheduling.State, event: messages.HostListed, now: float
) -> None:
    """Take in a host's list of runs and ends."""
    host = state.hosts.get(event.host)
    if host is None or host.entry is None:
        return
    host.holding = False
    if event.born_ms and event.born_ms != host.entry.born_ms:
        host.describe(_with_born(host.entry, event.born_ms))
        _begin_life(host)
    if host.silent_since is not None:
        state.note("host.heard", host=host.id, runs=len(host.runs))
    silence.heard(state, host, now)
    runs.set_clock(host, event.clock_ms, now)
    host.listed_at = event.sent_at
    ends = _take_ends(state, host, event, now)
    running = {(row.task, row.run): row for row in event.running}
    _take_running(state, host, event, running, ends, now)
    host.synced = True
    _pace(state, host, now)
    host.hold_at = now + HOLD_PAUSE_S
    state.placing.add(host.entry.service)


def _pace(state: scheduling.State, host: scheduling.Host, now: float) -> None:
    """Slow or speed up what runs in the background of a host."""
    for run, percent in throttling.speed_changes(host, now):
        state.note(
            "run.paced",
            job=run.task.job,
            task=str(tuple(run.task[1:])),
            run=run.run,
            host=host.id,
            percent=percent,
            before=run.pace,
        )
        run.pace = percent
        run.paced_at = now
        state.emit(
            messages.PaceRun(
                host=host.id,
                address=host.entry.address,
                task=run.task,
                run=run.run,
                percent=percent,
            )
        )


def _with_born(entry: messages.HostEntry, born_ms: int) -> messages.HostEntry:
    return messages.HostEntry(
        id=entry.id,
        address=entry.address,
        service=entry.service,
        zone=entry.zone,
        state=entry.state,
        room=entry.room,
        labels=entry.labels,
        born_ms=born_ms,
    )


def _take_ends(
    state: scheduling.State,
    host: scheduling.Host,
    event: messages.HostListed,
    now: float,
) -> set[tuple]:
    """Take in new ends; acknowledge them once they are stored."""
    keys = set()
    for row in event.ended:
        keys.add((row.task, row.run))
        if row.number <= host.listed:
            continue
        host.listed = row.number
        run = host.runs.get((row.task, row.run))
        if run is not None:
            host_health.record_run_end(host, row, now)
            tasks.ended(state, host, run, row, now)
    if host.listed > host.acknowledged:
        state.emit_saved(_Acknowledge(host=host, number=host.listed))
        host.holding = True
    return keys


class _Acknowledge:
    """Lets the next hold acknowledge ends that are stored now."""

    __slots__ = ("host", "number")

    def __init__(self, *, host: scheduling.Host, number: int) -> None:
        self.host = host
        self.number = number


def release_acknowledgements(
    effects: list[messages.Effect], now: float
) -> list[messages.Effect]:
    """Apply acknowledgements among effects; return the other effects."""
    others = []
    for effect in effects:
        if isinstance(effect, _Acknowledge):
            host = effect.host
            host.acknowledged = min(effect.number, host.listed)
            host.holding = False
            host.hold_at = now
        else:
            others.append(effect)
    return others


def _take_running(
    state: scheduling.State,
    host: scheduling.Host,
    event: messages.HostListed,
    running: dict[tuple, messages.RunningRow],
    ends: set[tuple],
    now: float,
) -> None:
    for run in list(host.runs.values()):
        row = running.get(run.key)
        if row is not None:
            _note_running(run, row, now)
        elif run.key not in ends and _settled(run, event.sent_at):
            tasks.lost(state, host, run, "not on the host's list", now)
    strangers = [row for row in event.running if _key(row) not in host.runs]
    host.foreign = len(strangers)
    for row in strangers:
        _stop_stranger(state, host, row)


def _key(row: messages.RunningRow) -> tuple:
    return (row.task, row.run)


def _note_running(
    run: scheduling.Run, row: messages.RunningRow, now: float
) -> None:
    run.percent = row.percent
    run.measure = row.measure
    run.saved = row.saved or run.saved
    if run.phase is scheduling.RunPhase.STARTING:
        run.phase = scheduling.RunPhase.RUNNING
        run.settled_at = now


def _settled(run: scheduling.Run, sent_at: float) -> bool:
    """Return whether a list sent then would have the run, did it exist."""
    if run.adopted:
        return True
    if run.calling or run.settled_at is None:
        return False
    return run.settled_at <= sent_at


def _stop_stranger(
    state: scheduling.State,
    host: scheduling.Host,
    row: messages.RunningRow,
) -> None:
    """Stop a run that this leader does not want."""
    state.note(
        "run.unwanted",
        job=row.task.job,
        task=str(tuple(row.task[1:])),
        run=row.run,
        host=host.id,
    )
    state.emit(
        messages.StopRun(
            host=host.id,
            address=host.entry.address,
            task=row.task,
            run=row.run,
        )
    )
