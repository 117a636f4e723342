"""Placement of waiting tasks on hosts.

The order of jobs and the choice of hosts are decided by `azurewood.policy`.
"""

import collections
from collections import abc

from azurewood.jobs import model as jobs
from azurewood.policy import host_choice
from azurewood.policy import host_crashes
from azurewood.policy import host_health
from azurewood.scheduling import account_limits
from azurewood.scheduling import account_shares
from azurewood.scheduling import advice
from azurewood.scheduling import crashes
from azurewood.scheduling import durations
from azurewood.scheduling import gang_placement
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import latestarts
from azurewood.scheduling import model
from azurewood.scheduling import placement_lines
from azurewood.scheduling import run_starts

MAX_STARTS_PER_PASS = 200
"""Limit on starts per scheduling pass, so that lease renewals go out."""


def place(state: model.State, now: float) -> None:
    """Place the waiting tasks of the services in which something changed."""
    due, state.placement_due = state.placement_due, set()
    if not due:
        return
    waiting: dict[str, list[jobstates.JobState]] = collections.defaultdict(
        list
    )
    for job in state.jobs.values():
        service = state.service_of(job.job)
        if service in due and not (job.cancelled or job.closing):
            waiting[service].append(job)
    advice.forget_notes(state, due)
    for service, found in waiting.items():
        _place_service(state, service, found, now)


def _place_service(
    state: model.State,
    service: str,
    found: list[jobstates.JobState],
    now: float,
) -> None:
    if not any(_waits(state, job) for job in found):
        return
    pool = [
        host
        for host in state.hosts.values()
        if host.entry is not None and host.entry.service == service
    ]
    usable = [host for host in pool if host_health.usable(host, now)]
    if not usable:
        return
    separation = crashes.separate(state, service, usable, now)
    host_index = host_choice.HostIndex(
        hosts=usable,
        separation=separation,
        avoid_waiting=state.unanswered_starts.avoids_hosts(now),
        slow=durations.slow_hosts(state, usable, now),
    )
    largest_free = host_index.largest_free()
    if not any(_could_start(state, job, largest_free) for job in found):
        return
    budget = MAX_STARTS_PER_PASS
    if [host for host in usable if host.late_starts]:
        budget -= _place_bound(state, host_index, found, now)
        largest_free = host_index.largest_free()
    if budget <= 0:
        state.placement_due.add(service)
        return
    for job in account_shares.order(
        state, found, pool, service=service, now=now
    ):
        for number, tasks in _open_steps(state, job):
            step = job.job.steps[number]
            if not step.reserved.fits(largest_free):
                continue
            if not account_limits.may_start_step(state, job, step):
                continue
            placed = _place_step(state, host_index, job, tasks, now)
            if placed:
                largest_free = host_index.largest_free()
            budget -= placed
            if budget <= 0:
                state.placement_due.add(service)
                return


def _place_bound(
    state: model.State,
    host_index: host_choice.HostIndex,
    found: list[jobstates.JobState],
    now: float,
) -> int:
    """Place the tasks that may start on one host only; return how many.

    They come before all others, of whatever job, as these could take the
    host's room or its place among the hosts of the step. Those that start
    alone come last, as nothing starts beside them for a while.
    """
    by_id = {job.job.id: job for job in found}
    late = {
        id
        for host in host_index.hosts
        for id, _ in host.late_starts
        if id.job in by_id
    }
    bound = [id for id in sorted(late) if _is_bound(state, by_id, id, now)]
    bound.sort(key=lambda id: _starts_alone(by_id[id.job], id))
    placed = 0
    for id in bound:
        if placed >= MAX_STARTS_PER_PASS:
            break
        job = by_id[id.job]
        key = jobstates.step_key(id)
        allowed = advice.approved_hosts(state, job, key, now)
        task = job.task(id)
        placed += _place_tasks(state, host_index, job, [task], allowed, now)
    return placed


def _is_bound(
    state: model.State,
    by_id: dict[str, jobstates.JobState],
    id: jobs.TaskId,
    now: float,
) -> bool:
    """Return whether a task is due and may start on one host only."""
    job = by_id[id.job]
    task = job.task(id)
    if task is None or task.phase is not jobstates.TaskPhase.WAITING:
        return False
    due = (id.occurrence, id.step) in job.open_steps(state.unix_ms)
    if not due or not state.may_begin(task, now):
        return False
    return latestarts.bound_host(state, task, now) is not None


def _starts_alone(job: jobstates.JobState, id: jobs.TaskId) -> bool:
    return host_crashes.starts_alone(job.step_of(id), job.task(id).crashes)


def _waits(state: model.State, job: jobstates.JobState) -> bool:
    """Return whether a task of a job is ready and waits for a host."""
    return any(job.waiting[key] for key in job.open_steps(state.unix_ms))


def _could_start(
    state: model.State, job: jobstates.JobState, largest_free: jobs.Resources
) -> bool:
    """Return whether a waiting step of a job may fit on some host.

    ``largest_free`` is the most that any host has free of each resource.
    """
    return any(
        job.job.steps[number].reserved.fits(largest_free)
        for number, _ in _open_steps(state, job)
    )


def _open_steps(
    state: model.State, job: jobstates.JobState
) -> abc.Iterator[tuple[int, list[jobstates.Task]]]:
    """Yield the steps of a job with waiting tasks: number and all tasks."""
    for key in job.open_steps(state.unix_ms):
        if job.waiting[key]:
            yield key[1], job.steps[key]


def _place_step(
    state: model.State,
    host_index: host_choice.HostIndex,
    job: jobstates.JobState,
    tasks: list[jobstates.Task],
    now: float,
) -> int:
    """Place a step's waiting tasks; return how many were placed."""
    ready = _ready(state, tasks, now)
    if not ready:
        return 0
    step = job.step_of(ready[0].id)
    key = jobstates.step_key(ready[0].id)
    allowed = advice.approved_hosts(state, job, key, now)
    if step.gang:
        placed = gang_placement.place_gang(
            state, host_index, job, tasks, allowed, now
        )
    else:
        placed = _place_tasks(state, host_index, job, ready, allowed, now)
    has_room = account_limits.may_start_step(state, job, step)
    if allowed is not None and placed < len(ready) and has_room:
        hosts = _hosts_for(state, host_index.hosts, job, ready, now)
        advice.note_step(state, job, key, hosts, now)
    return placed


def _place_tasks(
    state: model.State,
    host_index: host_choice.HostIndex,
    job: jobstates.JobState,
    ready: list[jobstates.Task],
    allowed: abc.Container[str] | None,
    now: float,
) -> int:
    """Place waiting tasks of a step one by one; return how many.

    Those that start alone come last and by themselves: hosts may be held for
    them that the others may not use, so that these find none before.
    """
    alone = _suspects(state, job, ready)
    others = ready
    if alone:
        others = [task for task in ready if task not in alone]
    placed = _place_in_order(state, host_index, job, others, allowed, now)
    if alone:
        placed += _place_in_order(state, host_index, job, alone, allowed, now)
    placement_lines.log_placed(state, job, placed, len(ready))
    return len(placed)


def _suspects(
    state: model.State,
    job: jobstates.JobState,
    ready: list[jobstates.Task],
) -> list[jobstates.Task]:
    """Return the tasks that start alone; there are few, if any."""
    if not state.suspects:
        return []
    return [
        task
        for task in ready
        if task.id in state.suspects and _starts_alone(job, task.id)
    ]


def _place_in_order(
    state: model.State,
    host_index: host_choice.HostIndex,
    job: jobstates.JobState,
    tasks: list[jobstates.Task],
    allowed: abc.Container[str] | None,
    now: float,
) -> list[jobstates.Task]:
    """Place tasks until one that may go anywhere finds no host; return them.

    The further ones would not find any either. A task that starts alone may
    find none as the hosts are bound to others of its step.
    """
    placed = []
    step = job.step_of(tasks[0].id) if tasks else None
    for task in tasks:
        if not account_limits.may_start(state, job, task, now):
            if task.late_starts:
                continue
            break
        among = run_starts.among(state, task, allowed, now)
        if among is not allowed and among:
            host = host_index.only_host(step, task, among[0])
        else:
            host = host_index.choose(step, task, among)
        alone = host_crashes.starts_alone(step, task.crashes)
        if host is None and (alone or among is not allowed):
            continue
        if host is None:
            break
        run_starts.open_run(state, host_index, host, job, task, now)
        placed.append(task)
    return placed


def _hosts_for(
    state: model.State,
    hosts: list[host_state.Host],
    job: jobstates.JobState,
    ready: list[jobstates.Task],
    now: float,
) -> abc.Iterator[host_state.Host]:
    """Yield the hosts that could run one of a step's waiting tasks.

    The tasks of a step differ by their late starts only. One without is
    chosen, if there is any.
    """
    task = min(_waiting(ready), key=lambda task: bool(task.late_starts))
    step = job.step_of(task.id)
    among = run_starts.among(state, task, None, now)
    for host in hosts:
        allowed = among is None or host.id in among
        if allowed and host_choice.suits(host, step, task):
            yield host


def _waiting(tasks: list[jobstates.Task]) -> abc.Iterator[jobstates.Task]:
    return (
        task for task in tasks if task.phase is jobstates.TaskPhase.WAITING
    )


def _ready(
    state: model.State, tasks: list[jobstates.Task], now: float
) -> list[jobstates.Task]:
    """Return the tasks that wait and may begin, as `model.State.may_begin`.

    Calls for each task would be a large part of the cost of long queues.
    """
    waiting, unwanted = jobstates.TaskPhase.WAITING, state.unwanted
    return [
        task
        for task in tasks
        if task.phase is waiting
        and now >= task.waits_until
        and task.id not in unwanted
    ]
