"""Calls to the advice service, which approves the hosts of a step.

A scheduling pass notes the steps that wait for advice, in the order in which
their jobs are placed. Calls are sent from these notes, and only while few are
open: see `azurewood.policy.advice`. What the service says of a host is kept
with the job, so that a step's next call names hosts that nothing is known of.
"""

from collections import abc
import typing

from azurewood.jobs import catalog
from azurewood.policy import advice as policy
from azurewood.scheduling import advice_queue
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import model

MAX_STEPS_NOTED: typing.Final = 8
"""Limit on the steps noted for a pool, which the next pass notes anew."""


def approved_hosts(
    state: model.State,
    job: jobstates.JobState,
    key: jobstates.StepKey,
    now: float,
) -> abc.Container[str] | None:
    """Return the ids of the hosts that are approved for a step.

    Return None, which means all hosts, if the queue has no advice service.
    """
    if _service_of(state, job) is None:
        return None
    return {
        id
        for id, found in job.advice.get(key[1:], {}).items()
        if found.ticket
        and id in state.hosts
        and found.is_known(state.hosts[id].incarnation.began_ms, now)
    }


def all_known(
    job: jobstates.JobState,
    key: jobstates.StepKey,
    hosts: abc.Iterable[host_state.Host],
    now: float,
) -> bool:
    """Return whether there is advice on all hosts, so none is asked for."""
    return not any(_unknown(job, key, hosts, now))


def _unknown(
    job: jobstates.JobState,
    key: jobstates.StepKey,
    hosts: abc.Iterable[host_state.Host],
    now: float,
) -> abc.Iterator[host_state.Host]:
    """Yield the hosts on which the advice is missing or has expired."""
    advised = job.advice.get(key[1:], {})
    for host in hosts:
        found = advised.get(host.id)
        if found is None or not found.is_known(host.incarnation.began_ms, now):
            yield host


def ticket(
    job: jobstates.JobState, key: jobstates.StepKey, host: host_state.Host
) -> str:
    """Return the latest ticket of a host for a step, empty without any."""
    found = job.advice.get(key[1:], {}).get(host.id)
    if found is None or found.incarnation_ms != host.incarnation.began_ms:
        return ""
    return found.ticket


def drop_ticket(
    state: model.State, key: jobstates.StepKey, host_id: str
) -> None:
    """Drop a ticket that a host refused, so that it is asked about again."""
    job = state.jobs.get(key[0])
    if job is not None:
        job.advice.get(key[1:], {}).pop(host_id, None)


def _service_of(
    state: model.State, job: jobstates.JobState
) -> catalog.Advice | None:
    """Return the times of the advice service of a job's queue, if any."""
    queue = state.catalog and state.catalog.queues.get(job.job.queue)
    return queue.advice if queue else None


def forget_notes(state: model.State, pools: abc.Iterable[str]) -> None:
    """Forget the waiting steps of pools, before a pass notes them anew."""
    for pool in pools:
        state.advice.waiting.pop(pool, None)


def note_step(
    state: model.State,
    job: jobstates.JobState,
    key: jobstates.StepKey,
    hosts: abc.Iterable[host_state.Host],
    now: float,
) -> None:
    """Note that a step waits for advice on some of the ``hosts``.

    These are hosts that could run a task of it. It waits only if the advice
    on any of them is missing or has expired.
    """
    waiting = state.advice.waiting.setdefault(state.service_of(job.job), {})
    if len(waiting) >= MAX_STEPS_NOTED or key in state.advice.open_calls:
        return
    unknown = list(_unknown(job, key, hosts, now))
    expired = [host for host in unknown if ticket(job, key, host)]
    if unknown:
        first = key[1:] not in job.advice
        limit = policy.max_hosts(_service_of(state, job), first=first)
        waiting[key] = _emptiest(expired or unknown, limit)


def _emptiest(
    hosts: list[host_state.Host], limit: int
) -> advice_queue.Incarnations:
    """Return the hosts with the most free processor time."""
    hosts = sorted(hosts, key=lambda host: -host.free.cpu)
    return {host.id: host.incarnation.began_ms for host in hosts[:limit]}


def send_calls(state: model.State, now: float) -> None:
    """Ask for advice on the noted steps, as far as calls may be open."""
    queue = state.advice
    while (
        len(queue.open_calls) < policy.MAX_OPEN_CALLS
        and now >= queue.paused_until
    ):
        pools = [pool for pool, steps in queue.waiting.items() if steps]
        if not pools:
            return
        pool = policy.next_pool(pools, queue.asked_at)
        steps = queue.waiting[pool]
        key = next(iter(steps))
        incarnations = steps.pop(key)
        if _still_waits(state, key):
            queue.asked_at[pool] = now
            _ask(state, key, incarnations)


def _still_waits(state: model.State, key: jobstates.StepKey) -> bool:
    job = state.jobs.get(key[0])
    if job is None or job.cancelled or job.closing:
        return False
    return job.waiting[key[1:]] > 0 and _service_of(state, job) is not None


def _ask(
    state: model.State,
    key: jobstates.StepKey,
    incarnations: advice_queue.Incarnations,
) -> None:
    job_id, occurrence, step = key
    service = _service_of(state, state.jobs[job_id])
    open_calls = state.advice.open_calls
    ahead_ms = sum(call.answer_ms for call in open_calls.values())
    own_ms = policy.answer_ms(service, len(incarnations))
    open_calls[key] = advice_queue.OpenCall(
        answer_ms=own_ms, incarnations=incarnations
    )
    state.emit(
        messages.AskAdvice(
            job=job_id,
            occurrence=occurrence,
            step=step,
            hosts=tuple(incarnations),
            wait_ms=ahead_ms + own_ms,
        )
    )


def on_advised(
    state: model.State, event: messages.Advised, now: float
) -> None:
    """Handle advice on the hosts that a step's open call names."""
    key = (event.job, event.occurrence, event.step)
    call = state.advice.open_calls.pop(key, None)
    if call is None:
        return
    state.advice.failures = 0
    job = state.jobs.get(event.job)
    if job is not None:
        job.advice.setdefault(key[1:], {}).update(_advice_on(call, event))
        state.placement_due.add(state.service_of(job.job))
    send_calls(state, now)


def _advice_on(
    call: advice_queue.OpenCall, event: messages.Advised
) -> dict[str, jobstates.HostAdvice]:
    return {
        id: jobstates.HostAdvice(
            ticket=event.tickets.get(id, ""),
            incarnation_ms=incarnation_ms,
            valid_until=event.valid_until,
        )
        for id, incarnation_ms in call.incarnations.items()
    }


def on_failed(
    state: model.State, event: messages.AdviceFailed, now: float
) -> None:
    """Handle a call without advice: pause before the next call."""
    queue = state.advice
    queue.open_calls.pop((event.job, event.occurrence, event.step), None)
    queue.failures += 1
    queue.paused_until = now + policy.pause_s(queue.failures)
    state.log_event(
        "advice.failed",
        job=event.job,
        occurrence=event.occurrence,
        step=event.step,
        status=event.status,
        failures=queue.failures,
        open=len(queue.open_calls),
        waiting=sum(len(steps) for steps in queue.waiting.values()),
    )
