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
  the host is known to go on, that of a long-lived task begins on it, as its
  users wait for it, or on any host if that one is about to leave.
* The end of the run is not acknowledged before that, so the platform doesn't
  count it yet. The leader does.
"""

from collections import abc
import math
import typing

from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import runs

MAX_ENDS_TO_WITHHOLD: typing.Final = 250
"""Ends on a list beyond which none is withheld, as a list has 500 at most."""


def forget_impossible(
    state: model.State, host: model.Host, now: float
) -> None:
    """Forget the starts whose runs can no longer exist unseen.

    A run of a late start is on the host's first list after it, or ends with
    its lease.
    """
    known = len(host.late_starts)
    over = now > _late_leases_expire_at(host)
    host.late_starts = {
        key: late
        for key, late in host.late_starts.items()
        if not over and host.listed_at <= late.possible_until
    }
    if known and not host.late_starts:
        state.dirty_late_starts.add(host.id)


def expires_at(host: model.Host, run: model.Run) -> float:
    """Return when all leases under which a run may exist have expired.

    A run of a late start may be in an incarnation that no call has reached,
    where each further late start extends the lease of all runs.
    """
    if run.key not in host.late_starts:
        return host.leases_expire_at
    return max(host.leases_expire_at, _late_leases_expire_at(host))


def _late_leases_expire_at(host: model.Host) -> float:
    """Return when all leases that late starts may obtain have expired."""
    latest = max(
        (late.possible_until for late in host.late_starts.values()),
        default=-math.inf,
    )
    return latest + runs.MAX_LEASE_S


def is_barred(host: model.Host, run: model.Run) -> bool:
    """Return whether a run that the host does not list can't begin late.

    The host refuses it if the list was requested with a higher fence.
    """
    late = host.late_starts.get(run.key)
    if late is None or late.incarnation_ms == host.incarnation_ms:
        return True
    return late.fence < host.renewal_fence


def on_listed(state: model.State, host: model.Host, run: model.Run) -> None:
    """Forget the start of a run that exists or has ended, if it is the only.

    One of several starts may still be under way.
    """
    sent_once = run.tries == 1 and run.phase is not model.RunPhase.STOPPING
    if sent_once and not run.call_open:
        state.bar_late_start(host, run.key)


def required_host(
    state: model.State, task: jobstates.Task, now: float
) -> str | None:
    """Return the id of the only host that a task may start on.

    Return None if it may start on any host, "" if on none at present. A run
    of a late start is on the host's first list after it, or ends with its
    lease.
    """
    late = task.late_start
    host = state.hosts.get(late.host) if late is not None else None
    if host is None or host.listed_at > late.possible_until:
        return None
    if now > _late_leases_expire_at(host):
        return None
    if not state.jobs[task.id.job].step_of(task.id).long_lived:
        return ""
    if not _is_alive(host):
        return ""
    return None if _is_about_to_leave(host) else host.id


def _is_alive(host: model.Host) -> bool:
    """Return whether a host is known to go on in its incarnation."""
    return host.present and host.synced and host.unresponsive_since is None


def _is_about_to_leave(host: model.Host) -> bool:
    """Return whether a host takes no tasks and won't return under its id."""
    return host.leaving or host.entry.state is not messages.HostState.READY


def withhold_end(
    state: model.State, host: model.Host, row: messages.EndedRow, now: float
) -> None:
    """Don't acknowledge an end while a start of its run may be late.

    Ends that bar no further run need not be withheld.
    """
    if row.how not in (messages.End.DONE, messages.End.FAILED):
        return
    possible = tuple(
        late
        for late in _late_starts(state, host, row)
        if now <= late.possible_until
    )
    if not possible:
        return
    host.withheld_ends[row.number] = possible
    until = max(late.possible_until for late in possible)
    state.log_event(
        "end.withheld",
        job=row.task.job,
        task=str(tuple(row.task[1:])),
        run=row.run,
        host=host.id,
        incarnation=host.incarnation_ms,
        for_ms=int((until - now) * 1000),
    )


def limit_withheld_ends(
    state: model.State,
    host: model.Host,
    event: messages.LeaseRenewed,
    now: float,
) -> None:
    """Release a host's ends if too many of the fleet's or its own wait."""
    share = state.withheld_share
    if share.is_calm(now):
        counted = max(host.counted_ends, min(host.withheld_ends) - 1)
        share.withheld += host.last_end - counted
        host.counted_ends = host.last_end
    if len(event.ended) > MAX_ENDS_TO_WITHHOLD or not share.within_limit:
        host.withheld_ends = {}
        state.log_event("ends.released", host=host.id, number=host.last_end)


def _late_starts(
    state: model.State, host: model.Host, row: messages.EndedRow
) -> abc.Iterator[jobstates.LateStart]:
    """Yield the late starts of a task that ended and of its gang's members.

    Those on the host are known also if the job is over.
    """
    for (task, _), late in host.late_starts.items():
        if task == row.task:
            yield late
    job = state.jobs.get(row.task.job)
    task = job.task(row.task) if job is not None else None
    if task is None:
        return
    gang = job.step_of(task.id).gang
    for member in (task, *job.tasks_beside(task.id)) if gang else (task,):
        if member.late_start is not None:
            yield member.late_start


def acknowledgeable(host: model.Host, now: float) -> int:
    """Return the number up to which a host's ends may be acknowledged."""
    host.withheld_ends = {
        number: lates
        for number, lates in host.withheld_ends.items()
        if any(now <= late.possible_until for late in lates)
    }
    first = min(host.withheld_ends, default=host.acknowledged + 1)
    return min(host.acknowledged, first - 1)


def raise_fence(state: model.State, host: model.Host) -> None:
    """Raise the fencing token of a host that has restarted, if possible."""
    if state.fence > host.fence:
        host.fence = state.fence
        host.fence_due = False
