"""Starts without an answer, which a host may carry out seconds later.

In the incarnation that a start was sent to, the run is barred by a stop or by
its end, and the lease that the start carries expires on the host's clock. An
incarnation that begins later knows of neither, and its clock starts anew. So
a start without an answer is remembered until it can no longer take effect:

* When a host has restarted, its new incarnation refuses the start once it
  has got a call with a higher fencing token. Until then a run that it does
  not list may still begin.
* When a host is silent, it may have restarted unnoticed. The task of such a
  run starts elsewhere only once a lease that a late start obtained has
  expired too.

No call tells a host which incarnation it is for. A start that is carried out
in an incarnation that the leader has not reached yet is only found on its
list. So that its run is neither beside another one nor after the task's end:

* The task's next run begins once the start can no longer take effect. While
  the host is known to go on, the same run is started there again. If the
  host has listed its end, a long-lived task's next run begins there after
  some seconds, as its users wait for it.
* The end of the run is not acknowledged before that, see `withheld_ends`.
"""

from azurewood.incarnations import late_starts
from azurewood.incarnations import limits
from azurewood.policy import restarts
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import model


def may_be_late(host: host_state.Host, run: host_state.Run) -> bool:
    """Return whether a start of a run may still be carried out."""
    return run.key in host.late_starts


def on_listed(
    state: model.State, host: host_state.Host, run: host_state.Run
) -> None:
    """Forget the start of a run that exists or has ended, if it is the only.

    One of several starts may still be under way.
    """
    under_way = run.call_open or run.waiting_start is not None
    if run.starts_sent == 1 and not under_way:
        state.bar_late_start(host, run.key)


def on_dropped(
    state: model.State, host: host_state.Host, run: host_state.Run, now: float
) -> None:
    """Remember a start that is under way as its run is dropped.

    The host may be back under its id by the time it is carried out.
    """
    if not run.start_open:
        return
    late = late_starts.LateStart(
        host=host.id,
        run=run.run,
        incarnation_ms=run.incarnation_ms,
        fence=host.fence,
        possible_until=now + limits.MAX_START_DELAY_S,
        gang=run.step.gang,
        account=run.account,
        needs=run.step.needs,
    )
    state.add_late_start(host, run.key, late)


def where_to_start(
    state: model.State, task: jobstates.Task, now: float
) -> restarts.Where:
    """Return where a task may begin."""
    return restarts.strictest(
        _where_after(state, task, late, now) for late in task.late_starts
    )


def _where_after(
    state: model.State,
    task: jobstates.Task,
    late: late_starts.LateStart,
    now: float,
) -> restarts.Where:
    """Return where a task may begin beside one of its late starts."""
    host = state.hosts.get(late.host)
    if host is None:
        return restarts.Anywhere()
    step = state.jobs[task.id.job].step_of(task.id)
    newest = late.run == task.run
    next_run_at = late.next_run_at if not step.gang else None
    sent = restarts.SentStart(
        host=host.id,
        takes_tasks=_takes_tasks(host),
        draining=_is_draining(host),
        repeatable=newest and late.next_run_at is None and not step.gang,
        next_run_at=next_run_at,
        calm=state.unanswered_starts.is_calm(now),
        possible_until=late.possible_until,
        expires_at=host.late_starts.leases_expire_at,
        listed_at=host.listed_at,
    )
    return restarts.where_to_start(sent, now, long_lived=step.long_lived)


def bound_host(
    state: model.State, task: jobstates.Task, now: float
) -> str | None:
    """Return the host that is the only one on which a task may start."""
    match where_to_start(state, task, now):
        case restarts.Again(host=host) | restarts.Only(host=host):
            return host
    return None


def is_repeated(state: model.State, task: jobstates.Task, now: float) -> bool:
    """Return whether a task starts again under its newest run's number."""
    if not task.late_starts:
        return False
    return isinstance(where_to_start(state, task, now), restarts.Again)


def on_ended(
    state: model.State,
    host: host_state.Host,
    key: late_starts.RunKey,
    now: float,
) -> None:
    """Note that a host refuses further starts of a run, which has ended."""
    late = host.late_starts.get(key)
    if late is not None and late.next_run_at is None:
        late.next_run_at = now + restarts.NEXT_RUN_PAUSE_S
        state.dirty_late_starts.add(host.id)


def on_stop_unanswered(host: host_state.Host, run: host_state.Run) -> None:
    """Let the next calls bar a start that may be as late as its run's stop.

    The first call of any kind that arrives with a higher fencing token than
    the start's does. Calls have it already if it was raised since.
    """
    late = host.late_starts.get(run.key)
    if late is not None and host.fence <= late.fence:
        host.fence_due = True


def _is_draining(host: host_state.Host) -> bool:
    """Return whether a host that answers has announced its end."""
    if not (host.present and host.is_responsive):
        return False
    return host.entry.state is not messages.HostState.READY


def _takes_tasks(host: host_state.Host) -> bool:
    """Return whether a host goes on, as far as known, and takes tasks."""
    goes_on = host.present and host.is_responsive
    leaving = host.ordered_away or host.emptying
    return goes_on and not (leaving or _is_draining(host))


def on_renewal_lost(
    state: model.State, host: host_state.Host, now: float
) -> None:
    """Note that a renewal may be carried out late, if it grants a lease."""
    if host.renewing and host.renewal_grants:
        host.late_starts.renewed_until = now + limits.MAX_START_DELAY_S
        if host.late_starts:
            state.dirty_late_starts.add(host.id)


def raise_fence(state: model.State, host: host_state.Host) -> None:
    """Raise the fencing token of a host, if there is a higher one."""
    if state.fence > host.fence:
        host.fence = state.fence
        host.fence_due = False
