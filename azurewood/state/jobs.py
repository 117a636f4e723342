"""Actions of a host owner for one host.

They start, drain, stop and restart the host's job, and reboot the host.
"""

import collections.abc

from azurewood.fleet import model as fleet_model
from azurewood.policy import placement
from azurewood.state import agreed as agreed_state
from azurewood.state import duties
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import outbox
from azurewood.state import records
from azurewood.state import views

PROPOSAL_TIMEOUT_S = 5.0
CALL_CONFIRM_S = 5.0
RETRY_BASE_S = 0.2
RETRY_CAP_S = 5.0
CALL_TIMEOUT_S = 30.0
REBOOT_START_TIMEOUT_S = 2.0
REBOOT_ASSUMED_S = 60.0
GRACE_MARGIN_MS = 5000
MAX_CONCURRENT_STOPS = 16
MAX_CONCURRENT_STARTS = 32

RUNNING = "running"
ENDED = views.ENDED

HostPhase = agreed_state.HostPhase
TaskAction = events.TaskAction
Effects = collections.abc.Iterator[effects.AnyEffect]


def needs_action(state: model.State, host: agreed_state.HostState) -> bool:
    """Return whether a host may need an action."""
    if host.phase == HostPhase.SERVING:
        return state.tasks.get(host.task, "") in ENDED
    return True


def take_next_step(
    state: model.State, host: agreed_state.HostState, now: float
) -> Effects:
    """Take the next action for a host, if one is due."""
    task = state.tasks.get(host.task, "")
    match host.phase:
        case HostPhase.STARTING if task == RUNNING:
            yield from propose(state, host, records.MarkServing(), now)
        case HostPhase.STARTING | HostPhase.SERVING if task in ENDED:
            yield from _restart(state, host, task, now)
        case HostPhase.STARTING:
            yield from _start(state, host, now)
        case HostPhase.LEAVING | HostPhase.DRAINING:
            yield from _drain(state, host, task, now)
        case HostPhase.QUARANTINED if task not in ENDED:
            yield from _stop(state, host, task, now)
        case HostPhase.DOWN:
            yield from _reboot(state, host, now)


def try_begin_action(
    state: model.State, key: str, now: float, *, wait_s: float
) -> bool:
    """Return whether an action is due, and if so record it as begun.

    It is then not due again for ``wait_s``.
    """
    action = state.steward.acted.setdefault(key, duties.Action(until=0.0))
    if action.until > now:
        return False
    action.until = now + wait_s
    return True


def on_call_ended(
    state: model.State, event: events.TaskCallEnded, now: float
) -> None:
    """Record how a call ended and from when it may be repeated."""
    action = state.steward.acted.get(f"{event.action} {event.subject}")
    calls = state.steward.calls
    calls[event.action] = max(0, calls.get(event.action, 0) - 1)
    if action is not None:
        action.in_call = False
        action.done = event.done
        action.until = now + _pause_s(state, event, action.attempts)
    if event.state and not state.tasks.get(event.subject):
        state.tasks[event.subject] = event.state


def _pause_s(
    state: model.State, event: events.TaskCallEnded, attempts: int
) -> float:
    """Return how long to wait before a call is repeated.

    One that failed is repeated with back-off. A start or stop without a known
    outcome is too, as it takes effect once for its task's id. A reboot is
    not: it waits until the host list would have shown it.
    """
    if event.done:
        return CALL_CONFIRM_S
    if event.action == TaskAction.REBOOT and not event.not_done:
        return REBOOT_ASSUMED_S
    cap = min(RETRY_CAP_S, RETRY_BASE_S * 2 ** min(attempts, 8))
    return cap * state.rng.uniform(0.5, 1.0)


def _try_begin_call(
    state: model.State, action: TaskAction, subject: str, now: float
) -> bool:
    """Return whether to make a call now, and if so record it as begun.

    The number of concurrent calls is limited for each kind of call.
    """
    key = f"{action} {subject}"
    limit = (
        MAX_CONCURRENT_STARTS
        if action == TaskAction.START
        else MAX_CONCURRENT_STOPS
    )
    calls = state.steward.calls
    if calls.get(action, 0) >= limit:
        return False
    if not try_begin_action(state, key, now, wait_s=CALL_TIMEOUT_S):
        return False
    action_state = state.steward.acted[key]
    action_state.attempts += 1
    action_state.in_call = True
    calls[action] = calls.get(action, 0) + 1
    return True


def propose(
    state: model.State,
    host: agreed_state.HostState,
    change: records.AnyChange,
    now: float,
) -> Effects:
    """Propose a change to a host."""
    yield from propose_for(
        state, records.host_object(host.name), host.revision, change, now
    )


def propose_for(
    state: model.State,
    name: str,
    base: int,
    change: records.AnyChange,
    now: float,
) -> Effects:
    """Propose a change to an object at its current revision.

    The proposal is repeated every ``PROPOSAL_TIMEOUT_S`` until the revision
    changes.
    """
    key = f"{type(change).__name__} {name}@{base}"
    if not try_begin_action(state, key, now, wait_s=PROPOSAL_TIMEOUT_S):
        return
    proposal = records.Proposal(object=name, base=base, change=change)
    entry = model.PendingProposals(
        ticket=outbox.UNTRACKED_TICKET,
        proposals=(proposal,),
        deadline=now + PROPOSAL_TIMEOUT_S,
    )
    yield from outbox.submit(state, entry, now)


def service_of(state: model.State, pool: str) -> fleet_model.Service | None:
    """Return the service whose jobs run on a pool's hosts."""
    services = state.agreed.fleet.services
    return next((item for item in services if item.pool == pool), None)


def _start(
    state: model.State, host: agreed_state.HostState, now: float
) -> Effects:
    """Start the host's job if the host is live and no retry delay applies."""
    if state.hosts[host.name].listed != views.LIVE:
        return
    if now < _earliest_start(state, host, now):
        return
    yield from _call_start(state, host, now)


def _earliest_start(
    state: model.State, host: agreed_state.HostState, now: float
) -> float:
    """Return when a job may start.

    The delay after failures is counted from the first call for its task.
    """
    starts = state.steward.starts
    if host.task not in starts:
        delay_s = placement.retry_delay_s(
            state.steward.placement_policy, host.failures
        )
        starts[host.task] = now + delay_s
    return starts[host.task]


def _call_start(
    state: model.State, host: agreed_state.HostState, now: float
) -> Effects:
    service = service_of(state, host.pool) or service_of(state, host.target)
    if service is None:
        return
    if not _try_begin_call(state, TaskAction.START, host.task, now):
        return
    yield effects.StartTask(
        id=host.task,
        host=host.name,
        service=service.name,
        address=state.hosts[host.name].address,
        port=service.port,
    )


def _restart(
    state: model.State,
    host: agreed_state.HostState,
    task: str,
    now: float,
) -> Effects:
    """Restart a job that has ended, or quarantine a host that fails jobs."""
    fault = placement.attribute_fault(
        state.steward.placement_policy,
        _facts(host),
        (
            _facts(other)
            for other in state.agreed.hosts.values()
            if other.pool == host.pool and other.name != host.name
        ),
    )
    if fault == placement.Fault.HOST:
        reason = f"{host.failures} jobs in a row have failed here only"
        change = records.QuarantineHost(reason=reason)
        yield from propose(state, host, change, now)
        return
    if fault == placement.Fault.JOB:
        yield from _report_failing_job(state, host, now)
    change = records.RestartJob(
        reason=f"its task had {task}", failed=task == "failed"
    )
    yield from propose(state, host, change, now)


def _facts(host: agreed_state.HostState) -> placement.JobFacts:
    return placement.JobFacts(
        host=host.name,
        serving=host.phase == HostPhase.SERVING,
        failures=host.failures,
    )


def _report_failing_job(
    state: model.State, host: agreed_state.HostState, now: float
) -> Effects:
    if try_begin_action(
        state, f"report {host.pool}", now, wait_s=REBOOT_ASSUMED_S
    ):
        yield effects.Report(
            level="ERROR",
            name="job_failing",
            text=f"the job of pool {host.pool} fails on several hosts",
        )


def _drain(
    state: model.State,
    host: agreed_state.HostState,
    task: str,
    now: float,
) -> Effects:
    """Stop the job once the host is drained, then propose the next phase.

    The baseline hand-over ``AtOnce`` does both without waiting.
    """
    is_baseline = isinstance(state.steward.hand_over, placement.AtOnce)
    if task in ENDED or is_baseline:
        yield from propose(state, host, _change_after_stop(host), now)
    if task in ENDED:
        return
    if is_baseline or is_drained(state, host, now):
        yield from _stop(state, host, task, now)


def _stop(
    state: model.State,
    host: agreed_state.HostState,
    task: str,
    now: float,
) -> Effects:
    """Stop the host's job gracefully.

    A task unknown to the platform is started first. Its id is then used up,
    so a delayed start call cannot start the task after it was stopped.
    """
    if not task:
        yield from _call_start(state, host, now)
        return
    if not _try_begin_call(state, TaskAction.STOP, host.task, now):
        return
    service = service_of(state, host.pool)
    deadline_ms = service.deadline_ms if service else 0
    yield effects.StopTask(
        id=host.task, grace_ms=deadline_ms + GRACE_MARGIN_MS
    )


def _change_after_stop(host: agreed_state.HostState) -> records.AnyChange:
    if host.phase == HostPhase.LEAVING:
        return records.ReleaseHost()
    return records.MarkDown()


def is_drained(
    state: model.State, host: agreed_state.HostState, now: float
) -> bool:
    """Return whether no daemon uses the host any more.

    Every live daemon must have seen the drain and have no request running on
    the host. A host is also drained once its deadline has passed.
    """
    if now >= _drain_until(state, host, now):
        return True
    if state.hosts[host.name].busy:
        return False
    return all(
        peer.revision >= host.revision and host.name not in peer.draining
        for peer in state.peers.values()
        if peer.alive_until > now
    )


def _drain_until(
    state: model.State, host: agreed_state.HostState, now: float
) -> float:
    """Return a drain's deadline on this daemon's clock.

    It is computed once, from the append time of the newest record read. That
    time is never ahead of the present, so the drain is never cut short.
    """
    key = f"{host.name}@{host.revision}"
    if key not in state.steward.drains:
        left_ms = max(0, host.deadline_ms - state.agreed.at_ms)
        state.steward.drains[key] = now + left_ms / 1000
    return state.steward.drains[key]


def _reboot(
    state: model.State, host: agreed_state.HostState, now: float
) -> Effects:
    """Reboot a host that is down for a reboot, then return it to service.

    The reboot is complete when the host list has shown the host as not live
    and then as live again. If it shows the host as live all along, the
    reboot is assumed complete ``REBOOT_ASSUMED_S`` after the call. One whose
    outcome is unknown is ordered again then.
    """
    if not host.reboot:
        return
    key = f"{TaskAction.REBOOT} {host.name}"
    if state.hosts[host.name].listed != views.LIVE:
        state.steward.away[host.name] = True
    elif host.name in state.steward.away:
        change = records.ReturnHost(reason="rebooted")
        yield from propose(state, host, change, now)
    elif key not in state.steward.acted or not _is_call_pending_or_done(
        state, key
    ):
        if _try_begin_call(state, TaskAction.REBOOT, host.name, now):
            yield effects.RebootHost(
                host=host.name, not_after=now + REBOOT_START_TIMEOUT_S
            )
    elif now >= state.steward.acted[key].until + REBOOT_ASSUMED_S:
        state.steward.away[host.name] = True


def _is_call_pending_or_done(state: model.State, key: str) -> bool:
    """Return whether a call is in progress or has succeeded."""
    action = state.steward.acted[key]
    return action.in_call or action.done
