"""The leader's dealings with hosts: leases, lists, starts and stops.

A run counts against its host's room from before its start is sent until it
is known not to exist: its end is listed, a list sent after its start or
stop was answered does not have it, the host has begun another life, or all
leases of the host have lapsed.
"""

import typing

from azurewood.policy import host_health
from azurewood.policy import sharing
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import tasks

LEASE_MS: typing.Final = 5900
"""Length of a lease, just under the longest that hosts grant (6 s)."""
LEASE_BOUND_S: typing.Final = 6.4
"""A lease's length by our clock: a host's clock may be 2% slow."""
HOLD_WAIT_MS: typing.Final = 1000
"""How long a host keeps a hold open for an end to list."""
FIRST_HOLD_WAIT_MS: typing.Final = 0
HOLD_PAUSE_S: typing.Final = 0.01
"""Pause between two holds, so that ends are listed together."""
HOLD_RETRY_S: typing.Final = 0.2
GONE_RETRY_S: typing.Final = 1.0
CALL_RETRY_S: typing.Final = 0.25
"""Pause before a start or stop of unknown outcome is sent again."""
MAX_STARTS: typing.Final = 4
"""Starts sent for one run before it is given up and stopped."""
UNHEALTHY_PAUSE_S: typing.Final = 1.0
ROOM_PAUSE_S: typing.Final = 0.3


def seen(
    state: scheduling.State, entry: messages.HostEntry, now: float
) -> None:
    """Take in a host's entry."""
    host = state.host(entry.id)
    known = host.entry
    if known is not None and known.born_ms != entry.born_ms:
        _begin_life(state, host, entry.born_ms, now)
    if known is None or known.state is not entry.state:
        state.note(
            "host.seen",
            host=entry.id,
            service=entry.service,
            state=entry.state.value,
        )
    host.entry = entry
    host.present = True
    state.placing.add(entry.service)


def gone(state: scheduling.State, host_id: str) -> None:
    """Take in that a host's entry was removed."""
    host = state.hosts.get(host_id)
    if host is not None and host.present:
        host.present = False
        state.note("host.gone", host=host_id, runs=len(host.runs))


def _begin_life(
    state: scheduling.State,
    host: scheduling.Host,
    born_ms: int,
    now: float,
) -> None:
    """Take in that a host runs nothing of before ``born_ms``."""
    for run in list(host.runs.values()):
        if run.born_ms != born_ms:
            tasks.lost(state, host, run, "host began another life", now)
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
                _call(state, host, run, now)
        _expire(state, host, now)


def _hold(host: scheduling.Host, state: scheduling.State, now: float) -> None:
    if not host.present and not host.runs and now > host.bound_at:
        return
    clock = host.clock(now)
    calm = host.synced and host.silent_since is None
    lease = None
    if calm and clock is not None:
        # A silent host gets no lease, or its tasks could start nowhere else.
        lease = clock + LEASE_MS
        host.bound_at = max(host.bound_at, now + LEASE_BOUND_S)
    host.holding = True
    state.emit(
        messages.HoldHost(
            host=host.id,
            address=host.entry.address,
            acknowledged=host.acknowledged,
            lease_until_ms=lease,
            wait_ms=HOLD_WAIT_MS if calm else FIRST_HOLD_WAIT_MS,
        )
    )


def _call(
    state: scheduling.State,
    host: scheduling.Host,
    run: scheduling.Run,
    now: float,
) -> None:
    """Repeat a start or stop whose outcome is not known."""
    match run.phase:
        case scheduling.RunPhase.STARTING if run.settled_at is None:
            if run.tries >= MAX_STARTS or host.entry.state.value != "ready":
                tasks.stop(run, now)
            elif run.tries and host.silent_since is None:
                send_start(state, host, run, now)
        case scheduling.RunPhase.STOPPING:
            _send_stop(state, host, run, now)


def send_start(
    state: scheduling.State,
    host: scheduling.Host,
    run: scheduling.Run,
    now: float,
    *,
    saved_first: bool = False,
) -> None:
    """Send a start, after what is known is stored if that is asked for."""
    job = state.jobs.get(run.task.job)
    clock = host.clock(now)
    if job is None or clock is None:
        tasks.stop(run, now)
        return
    advised = job.tickets.get((run.task.occurrence, run.task.step))
    effect = messages.StartRun(
        host=host.id,
        address=host.entry.address,
        task=run.task,
        run=run.run,
        payload=job.job.payload,
        saved=run.saved,
        lease_until_ms=clock + LEASE_MS,
        ticket=advised.tickets.get(host.id, "") if advised else "",
    )
    run.calling = True
    run.tries += 1
    host.bound_at = max(host.bound_at, now + LEASE_BOUND_S)
    if saved_first:
        state.emit_saved(effect)
    else:
        state.emit(effect)


def _send_stop(
    state: scheduling.State,
    host: scheduling.Host,
    run: scheduling.Run,
    now: float,
) -> None:
    run.calling = True
    run.tries += 1
    run.retry_at = now + CALL_RETRY_S
    state.emit(
        messages.StopRun(
            host=host.id,
            address=host.entry.address,
            task=run.task,
            run=run.run,
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


def start_answered(
    state: scheduling.State, event: messages.StartAnswered, now: float
) -> None:
    """Take in what a host says of a start."""
    host = state.hosts.get(event.host)
    run = host.runs.get((event.task, event.run)) if host else None
    if host is None or run is None:
        return
    run.calling = False
    if event.clock_ms:
        _set_clock(host, event.clock_ms, now)
    if run.phase is scheduling.RunPhase.STOPPING:
        run.retry_at = now
        return
    doubtful = run.tries > 1
    match event.refusal:
        case None:
            run.phase = scheduling.RunPhase.RUNNING
            run.settled_at = now
            return
        case messages.Refusal.UNKNOWN:
            run.retry_at = now + CALL_RETRY_S
            return
        case messages.Refusal.FENCE:
            state.emit(messages.StepDown(reason=f"fenced by host {host.id}"))
            return
        case messages.Refusal.OTHER_LIFE:
            _other_life(state, host, now)
            return
        case messages.Refusal.LATE:
            run.retry_at = now
            return
        case messages.Refusal.UNHEALTHY:
            host.suspended_until = now + UNHEALTHY_PAUSE_S
        case messages.Refusal.ROOM | messages.Refusal.NOT_SENT:
            host.suspended_until = now + ROOM_PAUSE_S
    state.note(
        "start.refused",
        job=run.task.job,
        task=str(tuple(run.task[1:])),
        run=run.run,
        host=host.id,
        refusal=event.refusal.value,
        tries=run.tries,
    )
    if doubtful:
        tasks.stop(run, now)
    else:
        tasks.lost(state, host, run, f"refused: {event.refusal.value}", now)


def stop_answered(
    state: scheduling.State, event: messages.StopAnswered, now: float
) -> None:
    """Take in what a host says of a stop."""
    host = state.hosts.get(event.host)
    run = host.runs.get((event.task, event.run)) if host else None
    if host is None or run is None:
        return
    run.calling = False
    match event.refusal:
        case None:
            run.settled_at = now
            run.retry_at = now + HOLD_RETRY_S * 5
            host.hold_at = min(host.hold_at, now)
        case messages.Refusal.FENCE:
            state.emit(messages.StepDown(reason=f"fenced by host {host.id}"))
        case messages.Refusal.OTHER_LIFE:
            _other_life(state, host, now)
        case _:
            run.retry_at = now + CALL_RETRY_S


def hold_failed(
    state: scheduling.State, event: messages.HoldFailed, now: float
) -> None:
    """Take in that a host did not answer, or not as this life."""
    host = state.hosts.get(event.host)
    if host is None:
        return
    host.holding = False
    match event.reason:
        case messages.Refusal.FENCE:
            state.emit(messages.StepDown(reason=f"fenced by host {host.id}"))
        case messages.Refusal.OTHER_LIFE:
            _other_life(state, host, now)
    if host.silent_since is None:
        host.silent_since = now
        state.note("host.silent", host=host.id, reason=event.reason.value)
    host.hold_at = now + (HOLD_RETRY_S if host.present else GONE_RETRY_S)


def _other_life(
    state: scheduling.State, host: scheduling.Host, now: float
) -> None:
    """Take in that another host has this one's address: it has ended."""
    for run in list(host.runs.values()):
        tasks.lost(state, host, run, "another host has its address", now)
    host.synced = False
    host.present = False


def _set_clock(host: scheduling.Host, clock_ms: int, now: float) -> None:
    host.clock_ms = clock_ms
    host.clock_at = now


def listed(
    state: scheduling.State, event: messages.HostListed, now: float
) -> None:
    """Take in a host's list of runs and ends."""
    host = state.hosts.get(event.host)
    if host is None or host.entry is None:
        return
    host.holding = False
    if event.born_ms and event.born_ms != host.entry.born_ms:
        host.entry = _with_born(host.entry, event.born_ms)
        _begin_life(state, host, event.born_ms, now)
    if host.silent_since is not None:
        state.note("host.heard", host=host.id, runs=len(host.runs))
        host.silent_since = None
    _set_clock(host, event.clock_ms, now)
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
    for run, percent in sharing.paces(host, now):
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
            host_health.ended(host, row, now)
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
