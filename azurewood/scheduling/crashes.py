"""Crashes of hosts, and the tasks that may have caused them.

A host has crashed when it has begun another incarnation, when its machine is
down or has another host, or when its address answers for another host, unless
it was draining or the leader had ordered its machine away. A cut or an expired
lease is no crash. Many hosts that crash at the same time count like single
ones: what ran there becomes suspect, and only further crashes tell more.

The crashes counted for a task are stored with its job before it starts again,
so they outlast the leader. They count for each task, whether it belongs to a
job with a schedule, to a lasting step or to a gang. Giving a task up ends its
whole job as failed.
"""

from collections import abc
import typing

from azurewood.jobs import model as jobs
from azurewood.policy import host_crashes
from azurewood.policy import reservations
from azurewood.policy import restarts
from azurewood.scheduling import account_limits
from azurewood.scheduling import advice
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import latestarts
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import tasks

MAX_LIST_AGE_S: typing.Final = 1.5
"""Age of the machine list from which it tells nothing of hosts."""


def record(
    state: model.State, host: host_state.Host, reason: str, now: float
) -> None:
    """Record that a host's present incarnation has crashed, once.

    It has to be called while the runs of that incarnation are still held.
    """
    if host.crashed_incarnation_ms != host.incarnation.began_ms:
        host.crashed_incarnation_ms = host.incarnation.began_ms
        runs = list(host.runs.values())
        _suspect_runs(
            state, host, runs, host.incarnation.began_ms, reason, now
        )


def record_earlier(
    state: model.State,
    host: host_state.Host,
    listed: abc.Container,
    now: float,
) -> None:
    """Record that a host has crashed before this leader's term.

    Inherited runs tell it that the host doesn't list and that were started
    in another incarnation. Crashes that this leader has found before were
    counted for them then.
    """
    _confirm_anew(state, host, listed, now)
    if host.crashed_incarnation_ms is not None:
        return
    runs = [
        run
        for run in host.runs.values()
        if run.inherited
        and run.key not in listed
        and run.incarnation_ms not in (0, host.incarnation.began_ms)
    ]
    if runs:
        before = max(run.incarnation_ms for run in runs)
        _suspect_runs(state, host, runs, before, "it had restarted", now)


def _confirm_anew(
    state: model.State,
    host: host_state.Host,
    listed: abc.Container,
    now: float,
) -> None:
    """Note the runs that have begun once more in a host's new incarnation.

    That goes on record, as such a run may crash the host once more under a
    later leader.
    """
    for run in host.runs.values():
        elsewhen = run.incarnation_ms != host.incarnation.began_ms
        running = run.phase is host_state.RunPhase.RUNNING
        if elsewhen and running and run.key in listed:
            run.confirmed_at = now
            task = tasks.current_task(state, run)
            if task is not None:
                task.host_incarnation_ms = host.incarnation.began_ms
                state.note_changed(run.task)


def _suspect_runs(
    state: model.State,
    host: host_state.Host,
    runs: list[host_state.Run],
    incarnation_ms: int,
    reason: str,
    now: float,
) -> None:
    if not runs or _is_expected(state, host):
        return
    suspects = host_crashes.suspects(host, runs)
    state.log_event(
        "host.crashed",
        host=host.id,
        incarnation=incarnation_ms,
        reason=reason,
        runs=len(runs),
        suspects=len(suspects),
    )
    for run in suspects:
        _suspect(state, host, run, incarnation_ms, now)


def _is_expected(state: model.State, host: host_state.Host) -> bool:
    """Return whether a host has left in another way than by a crash."""
    entry = host.entry
    if entry is not None and entry.state is not messages.HostState.READY:
        return True
    moved = any(move.host == host.id for move in state.moving.values())
    return moved or any(
        host.id in wave.ordered.values() for wave in state.waves.values()
    )


def _suspect(
    state: model.State,
    host: host_state.Host,
    run: host_state.Run,
    incarnation_ms: int,
    now: float,
) -> None:
    """Count a crash for a run's task, and give the task up if it must be."""
    task = tasks.current_task(state, run)
    if task is None or _is_counted(task, host.id, incarnation_ms):
        return
    if _may_not_have_begun(task, host.id, run):
        return
    task.crash_found_at = now
    task.crash = f"{host.id}@{incarnation_ms}"
    job = state.jobs[run.task.job]
    task.crashes = host_crashes.next_count(run, task.crashes, host.listed_at)
    task.crashed_hosts.append(host.id)
    task.avoid.add(host.id)
    _keep_apart(state, task)
    state.note_changed(run.task)
    state.log_run("task.suspected", host, run, crashes=task.crashes)
    if host_crashes.is_given_up(task.crashes):
        task.given_up = True
        tasks.give_up(state, job, task, now)


def _may_not_have_begun(
    task: jobstates.Task, host_id: str, run: host_state.Run
) -> bool:
    """Return whether the crashes that a run may have caused are counted."""
    return not host_crashes.may_be_blamed(
        run, host_id, task.crash, task.crash_found_at
    )


def _is_counted(
    task: jobstates.Task, host_id: str, incarnation_ms: int
) -> bool:
    """Return whether a crash was counted, by an earlier leader perhaps."""
    return host_crashes.is_counted(task.crash, host_id, incarnation_ms)


def record_if_gone(
    state: model.State, host: host_state.Host, now: float
) -> None:
    """Record a crash if a host with expired leases has left the platform.

    It may have ended before this leader's term, or before any list of
    machines named it.
    """
    fresh = now - state.machines_at <= MAX_LIST_AGE_S
    listed = any(entry.host == host.id for entry in state.machines.values())
    if fresh and not listed:
        record(state, host, "no machine has it", now)


def restore(
    state: model.State,
    task: jobstates.Task,
    count: int,
    crash: str,
    *,
    given_up: bool,
) -> None:
    """Restore what an earlier leader recorded of a task."""
    task.crashes = count
    task.crash = crash
    task.given_up = given_up
    _keep_apart(state, task)


def _keep_apart(state: model.State, task: jobstates.Task) -> None:
    """Have a task start alone, if it must."""
    if task.crashes >= host_crashes.MIN_CRASHES_ALONE:
        state.suspects.add(task.id)


def separate(
    state: model.State, service: str, hosts: list[host_state.Host], now: float
) -> host_crashes.Separation | None:
    """Return which hosts of a service are for tasks that start alone.

    Return None if no task has to.
    """
    if not state.suspects:
        return None
    usable = {host.id: host for host in hosts}
    occupied, waiting = set(), []
    for job, task in _suspects(state, service):
        step = job.step_of(task.id)
        if not host_crashes.starts_alone(step, task.crashes):
            continue
        if task.phase is jobstates.TaskPhase.WAITING:
            waiting.extend(_waiting_suspect(state, job, task, step, now))
            continue
        host = usable.get(task.host)
        run = host.runs.get((task.id, task.run)) if host else None
        if run is not None and host_crashes.occupies(run, host, now):
            occupied.add(host.id)
    _end_reservations(state, hosts, occupied, now)
    found = host_crashes.Separation(
        open_hosts=(
            host.id for host in hosts if host.reservation.is_open(now)
        ),
    )
    for host_id in occupied:
        found.occupy(host_id)
    if waiting:
        found.hold(hosts, waiting)
    for host in hosts:
        held = host.id in found.held and host.id not in occupied
        host.reservation.note_held(held=held, now=now)
    return found


def _end_reservations(
    state: model.State,
    hosts: abc.Iterable[host_state.Host],
    occupied: abc.Container[str],
    now: float,
) -> None:
    """End the reservations that are over, and log those given up."""
    for host in hosts:
        change = host.reservation.begin_pass(
            occupied=host.id in occupied, now=now
        )
        if change is reservations.Change.GIVEN_UP:
            state.log_event(
                "host.hold_given_up",
                host=host.id,
                service=host.entry.service,
                held_ms=int(reservations.MAX_HELD_S * 1000),
                runs=len(host.runs),
                free=host.free.compact(),
            )


def _waiting_suspect(
    state: model.State,
    job: jobstates.JobState,
    task: jobstates.Task,
    step: jobs.Step,
    now: float,
) -> abc.Iterator[host_crashes.WaitingSuspect]:
    """Yield a waiting task if it may start in this pass on some host.

    No host is held for a task whose turn has not come, or whose account has
    no room.
    """
    key = jobstates.step_key(task.id)
    if job.cancelled or not state.may_begin(task, now):
        return
    if key[1:] not in job.open_steps(state.unix_ms):
        return
    if not account_limits.may_start(state, job, task, now):
        return
    match latestarts.where_to_start(state, task, now):
        case restarts.Again(host=host) | restarts.Only(host=host):
            only = host
        case restarts.Anywhere():
            only = None
        case _:
            return
    if only is None and not account_limits.may_start_step(state, job, step):
        return
    yield host_crashes.WaitingSuspect(
        task=task.id,
        step=step,
        host=only,
        allowed=advice.approved_hosts(state, job, key, now),
    )


def _suspects(
    state: model.State, service: str
) -> abc.Iterator[tuple[jobstates.JobState, jobstates.Task]]:
    """Yield the suspects of a service that may still be started."""
    for id in list(state.suspects):
        job = state.jobs.get(id.job)
        task = job.task(id) if job is not None and not job.closing else None
        if task is None or task.phase is jobstates.TaskPhase.DONE:
            state.suspects.discard(id)
        elif state.service_of(job.job) == service:
            yield job, task
