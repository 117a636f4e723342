"""Start and stop calls for runs, and the hosts' answers.

A start is recorded before it is sent. If its outcome is unknown it is sent
again; hosts treat repeated starts as one. After ``MAX_START_ATTEMPTS``, or if
the host is over its capacity or the account over its limit, the run is
stopped, which also prevents a delayed start from taking effect.
"""

import typing

from azurewood.incarnations import late_starts
from azurewood.incarnations import limits
from azurewood.jobs import model
from azurewood.scheduling import account_limits
from azurewood.scheduling import advice
from azurewood.scheduling import host_ends
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import latestarts
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import tasks

CALL_RETRY_S: typing.Final = 0.25
"""Pause before a start or stop with an unknown outcome is sent again."""
MAX_START_ATTEMPTS: typing.Final = 8
"""Starts sent for a run before the leader stops it instead. Its task then
waits for ``limits.MAX_START_DELAY_S``, which is longer than most faults."""
UNHEALTHY_PAUSE_S: typing.Final = 1.0
NO_CAPACITY_PAUSE_S: typing.Final = 0.3
STOP_LIST_TIMEOUT_S: typing.Final = 1.0
"""Time after an accepted stop until it is sent again.

Within it the run should have left the host's list.
"""


def retry_call(
    state: scheduling.State,
    host: host_state.Host,
    run: host_state.Run,
    now: float,
) -> None:
    """Repeat a start or stop whose outcome is unknown.

    A stop doesn't wait for a start that waits for its record, unless that is
    the first one, which is dropped.
    """
    if run.waiting_start is not None and (
        run.never_started or run.phase is not host_state.RunPhase.STOPPING
    ):
        return
    match run.phase:
        case host_state.RunPhase.STARTING if run.confirmed_at is None:
            if (
                run.starts_sent >= MAX_START_ATTEMPTS
                or host.over_capacity
                or account_limits.is_over(state, run.account)
                or host.entry.state.value != "ready"
            ):
                tasks.stop(run, now)
            elif host.unresponsive_since is None and not state.waits_for_end(
                host, run.task
            ):
                # That there is more than one start is recorded first.
                send_start(state, host, run, now, saved_first=True)
        case host_state.RunPhase.STOPPING:
            _send_stop(state, host, run, now)


def may_repeat_inherited_start(
    state: scheduling.State, host: host_state.Host, run: host_state.Run
) -> bool:
    """Return whether an earlier leader's start can be sent again.

    It may have reached the host's present incarnation. A step that needs
    advice has no ticket yet.
    """
    if not run.inherited or run.incarnation_ms != host.incarnation.began_ms:
        return False
    job = state.jobs.get(run.task.job)
    if job is None or host.leaving:
        return False
    if account_limits.is_over(state, run.account):
        return False
    queue = state.catalog and state.catalog.queues.get(job.job.queue)
    return (
        queue is not None
        and queue.advice is None
        and queue.service == host.entry.service
        and host.entry.state is messages.HostState.READY
    )


def repeat_inherited_start(
    state: scheduling.State,
    host: host_state.Host,
    run: host_state.Run,
    now: float,
) -> None:
    """Repeat a start that an earlier leader may not have sent.

    The host treats both as one, however late the first is carried out.
    """
    run.inherited = False
    run.confirmed_at = None
    run.phase = host_state.RunPhase.STARTING
    run.began_at = now
    run.starts_sent = host_state.SEVERAL_STARTS
    late = late_starts.LateStart(
        host=host.id,
        run=run.run,
        incarnation_ms=run.incarnation_ms,
        fence=0,
        possible_until=now + limits.MAX_START_DELAY_S,
        gang=run.step.gang,
        account=run.account,
        needs=run.step.needs,
    )
    state.add_late_start(host, run.key, late)
    send_start(state, host, run, now, saved_first=True)


def send_start(
    state: scheduling.State,
    host: host_state.Host,
    run: host_state.Run,
    now: float,
    *,
    saved_first: bool = False,
) -> None:
    """Send a start call.

    With ``saved_first`` it is sent once the current progress is stored.
    """
    job = state.jobs.get(run.task.job)
    if job is None:
        tasks.stop(run, now)
        return
    clock = host.incarnation.clock(now)
    if clock is None:
        # The host's first list tells its clock.
        run.retry_at = now + CALL_RETRY_S
        return
    effect = messages.StartRun(
        host=host.id,
        address=host.entry.address,
        fence=host.fence,
        incarnation_ms=host.incarnation.began_ms,
        task=run.task,
        run=run.run,
        payload=job.job.payload,
        saved=run.saved,
        lease_until_ms=clock + limits.LEASE_MS,
        ticket=advice.ticket(job, jobstates.step_key(run.task), host),
    )
    run.waiting_start = effect
    host.leases_expire_at = max(
        host.leases_expire_at, now + limits.MAX_LEASE_S
    )
    if saved_first:
        state.emit_after_save(effect)
    else:
        state.emit(effect)


def _send_stop(
    state: scheduling.State,
    host: host_state.Host,
    run: host_state.Run,
    now: float,
) -> None:
    run.stop_open = True
    run.retry_at = now + CALL_RETRY_S
    state.emit(stop_call(host, run.task, run.run))


def stop_call(
    host: host_state.Host, task: model.TaskId, run: int
) -> messages.StopRun:
    """Return the call that stops a run on a host."""
    return messages.StopRun(
        host=host.id,
        address=host.entry.address,
        fence=host.fence,
        incarnation_ms=host.incarnation.began_ms,
        task=task,
        run=run,
    )


def start_answered(
    state: scheduling.State, event: messages.StartAnswered, now: float
) -> None:
    """Handle the answer to a start call."""
    host = state.hosts.get(event.host)
    if host is None:
        return
    if event.refusal is messages.Refusal.UNKNOWN:
        _record_late_start(state, host, event, now)
    run = host.runs.get((event.task, event.run))
    if run is None:
        return
    run.start_open = False
    current = event.incarnation_ms == host.incarnation.began_ms
    if event.clock_ms and current:
        host.incarnation.set_clock(event.clock_ms, now)
    if run.phase is host_state.RunPhase.STOPPING:
        run.retry_at = now
        return
    resent = run.starts_sent > 1
    match event.refusal:
        case messages.Refusal.FENCE if event.fence >= host.fence:
            state.emit(messages.StepDown(reason=f"fenced by host {host.id}"))
            return
        case messages.Refusal.FENCE:
            # The host has this leader's own higher token.
            run.retry_at = now
            return
        case messages.Refusal.UNKNOWN:
            run.retry_at = max(run.retry_at, now + CALL_RETRY_S)
            return
        case _ if not current:
            # The run ended with the incarnation it was sent to, if it began.
            run.retry_at = now
            return
        case None:
            run.phase = host_state.RunPhase.RUNNING
            run.confirmed_at = now
            state.note_confirmed(run, now)
            return
        case messages.Refusal.OTHER_LIFE:
            address_reused(state, host, now)
            return
        case messages.Refusal.LATE:
            run.retry_at = now
            return
        case messages.Refusal.OLD:
            latestarts.on_ended(state, host, run.key, now)
        # A stop would bar the run on the only host for its task.
        case messages.Refusal.UNHEALTHY if resent:
            host.suspended_until = now + UNHEALTHY_PAUSE_S
            run.retry_at = host.suspended_until
            return
        case messages.Refusal.ROOM | messages.Refusal.NOT_SENT if resent:
            host.suspended_until = now + NO_CAPACITY_PAUSE_S
            run.retry_at = host.suspended_until
            return
        case messages.Refusal.UNHEALTHY:
            host.suspended_until = now + UNHEALTHY_PAUSE_S
        case messages.Refusal.TICKET:
            key = jobstates.step_key(run.task)
            advice.drop_ticket(state, key, host.id)
        case messages.Refusal.ROOM | messages.Refusal.NOT_SENT:
            host.suspended_until = now + NO_CAPACITY_PAUSE_S
    state.log_run(
        "start.refused",
        host,
        run,
        refusal=event.refusal.value,
        tries=run.starts_sent,
    )
    if resent:
        tasks.stop(run, now)
    else:
        tasks.mark_run_gone(
            state, host, run, f"refused: {event.refusal.value}", now
        )


def _record_late_start(
    state: scheduling.State,
    host: host_state.Host,
    event: messages.StartAnswered,
    now: float,
) -> None:
    """Record that a start got no answer, so that it may take effect later."""
    key = (event.task, event.run)
    run = host.runs.get(key)
    if run is None and key not in host.late_starts:
        return
    state.unanswered_starts.unanswered_at = now
    late = late_starts.LateStart(
        host=host.id,
        run=event.run,
        incarnation_ms=event.incarnation_ms,
        fence=event.fence,
        possible_until=now + limits.MAX_START_DELAY_S,
        gang=run is not None and run.step.gang,
        account=run.account if run is not None else "",
        needs=run.step.needs if run is not None else model.Resources(),
    )
    _log_other_late_run(state, late, event, now)
    state.add_late_start(host, key, late)
    if run is not None:
        run.unanswered = True
        state.log_run("start.unanswered", host, run, tries=run.starts_sent)


def _log_other_late_run(
    state: scheduling.State,
    late: late_starts.LateStart,
    event: messages.StartAnswered,
    now: float,
) -> None:
    """Log that two runs of a task may both be carried out late."""
    task = state.task(event.task)
    others = task.late_starts if task is not None else ()
    possible = (
        other
        for other in others
        if other.run != late.run and now <= other.possible_until
    )
    other = next(possible, None)
    if other is None:
        return
    state.log_event(
        "task.late_twice",
        job=event.task.job,
        task=str(tuple(event.task[1:])),
        run=late.run,
        host=late.host,
        incarnation=late.incarnation_ms,
        other_run=other.run,
        other_host=other.host,
        other_incarnation=other.incarnation_ms,
        for_ms=int((other.possible_until - now) * 1000),
    )


def stop_answered(
    state: scheduling.State, event: messages.StopAnswered, now: float
) -> None:
    """Handle the answer to a stop call."""
    host = state.hosts.get(event.host)
    run = host.runs.get((event.task, event.run)) if host else None
    if host is None or run is None:
        return
    run.stop_open = False
    current = event.incarnation_ms == host.incarnation.began_ms
    match event.refusal:
        case messages.Refusal.FENCE if event.fence >= host.fence:
            state.emit(messages.StepDown(reason=f"fenced by host {host.id}"))
        case messages.Refusal.FENCE:
            run.retry_at = now
        case _ if not current:
            run.retry_at = now
        case None:
            # The first accepted stop bars the run permanently. A repeated
            # stop must not move ``confirmed_at``: an idle host answers a
            # renewal as rarely as stops are repeated, so no list would ever
            # be newer than the latest stop.
            if run.confirmed_at is None:
                run.confirmed_at = now
            run.retry_at = now + STOP_LIST_TIMEOUT_S
            host.renew_at = min(host.renew_at, now)
        case messages.Refusal.OTHER_LIFE:
            address_reused(state, host, now)
        case _:
            run.retry_at = now + CALL_RETRY_S
            latestarts.on_stop_unanswered(host, run)
            state.log_run(
                "stop.unanswered",
                host,
                run,
                refusal=event.refusal.value,
                late=run.key in host.late_starts,
            )


def address_reused(
    state: scheduling.State, host: host_state.Host, now: float
) -> None:
    """Mark a host as ended, since another host has its address now."""
    host_ends.end(state, host, host_ends.AddressReused(), now)
    host.incarnation.synced = False
    host.late_starts.note_unknown()
    host.present = False
