"""Request handling: admission, queueing, host choice, retries, outcome."""

import collections.abc

from azurewood.policy import hedging
from azurewood.policy import retries
from azurewood.state import admission
from azurewood.state import effects
from azurewood.state import ejection
from azurewood.state import events
from azurewood.state import lending
from azurewood.state import model
from azurewood.state import records
from azurewood.state import settlements
from azurewood.state import slots

HOSTS_SAMPLED = 2
FAILURE_COST = 4
"""A consecutive failure of a host counts as this many busy slots."""

ClaimPhase = records.ClaimPhase
Refusal = effects.Refusal
Result = events.RequestResult
Effects = collections.abc.Iterator[effects.AnyEffect]


def refusal(
    state: model.State, event: events.RequestArrived, now: float
) -> Refusal | None:
    """Return why an arriving request is refused, None if it is accepted."""
    if state.agreed.fleet is None:
        return Refusal.NOT_READY
    if event.service not in state.services:
        return Refusal.UNKNOWN_SERVICE
    if state.stopping_until:
        return Refusal.STOPPING
    if event.deadline <= now:
        return Refusal.TOO_LATE
    return None


def refuse(request_id: str, reason: Refusal) -> effects.RefuseRequest:
    """Return the effect that refuses a request that has not run."""
    return effects.RefuseRequest(
        id=request_id,
        reason=reason,
        retry_after_s=0 if reason in admission.NOT_RETRYABLE else 1,
    )


def create(
    state: model.State, event: events.RequestArrived
) -> model.RequestView:
    """Add a request to the state; it is not queued for a slot yet."""
    request = model.RequestView(
        id=event.id,
        service=event.service,
        urgency=event.urgency,
        deadline=event.deadline,
        size=event.size,
        repeatable=event.repeatable,
        key=event.key,
        digest=event.digest,
    )
    state.requests[event.id] = request
    state.services[event.service].arrived += 1
    return request


def drop(state: model.State, request: model.RequestView) -> None:
    """Remove a request that is being answered from the state."""
    del state.requests[request.id]


def give_up(
    state: model.State,
    request: model.RequestView,
    reason: Refusal,
    now: float,
) -> Effects:
    """Refuse a request as not run, and release its claim.

    If an earlier attempt broke or timed out, the request may have run; it
    is then answered with an unknown outcome instead.
    """
    drop(state, request)
    state.services[request.service].count.bad += 1
    if request.may_have_run:
        yield effects.AnswerUnknown(id=request.id, reason=reason.value)
        return
    yield from settlements.settle_request(
        state, request, ClaimPhase.NOT_RUN, now
    )
    yield effects.RefuseRequest(
        id=request.id,
        reason=reason,
        retry_after_s=admission.retry_after_s(state, request, reason),
    )


def admit(
    state: model.State, request: model.RequestView, now: float
) -> Effects:
    """Start a request, queue it, or refuse it as not run."""
    view = state.services[request.service]
    if _was_paused_since_claim(state, request):
        yield from give_up(state, request, Refusal.PAUSED, now)
    elif has_ready_host(view) and not view.waiting:
        yield from _start(state, view, request, now)
    else:
        yield from _enqueue_or_refuse(state, view, request, now)


def _enqueue_or_refuse(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
    now: float,
) -> Effects:
    """Queue a request, evicting a less urgent one if the queue is full."""
    reason = admission.refusal(state, view, request, now)
    if reason == Refusal.QUEUE_FULL:
        other = admission.eviction_candidate(state, view, request)
        if other is not None:
            admission.remove(state, view, other)
            yield from give_up(state, other, Refusal.SHED, now)
            reason = admission.refusal(state, view, request, now)
    if reason is not None:
        yield from give_up(state, request, reason, now)
        return
    admission.enqueue(state, view, request)
    yield from lending.borrow(state, view, now)


def _was_paused_since_claim(
    state: model.State, request: model.RequestView
) -> bool:
    """Return whether this daemon was paused since it requested the claim.

    Its peers may have declared it dead meanwhile and settled the claim.
    """
    return request.claimed and request.claim_asked_at < state.woken_at


def has_ready_host(view: model.ServiceView) -> bool:
    """Return whether a host of the service is listed with an idle slot."""
    return bool(view.near.names or view.far.names)


def _start(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
    now: float,
) -> Effects:
    """Send a request to a host, or queue it if no slot is usable."""
    if _was_paused_since_claim(state, request):
        yield from give_up(state, request, Refusal.PAUSED, now)
        return
    number = None
    while number is None and has_ready_host(view):
        host = state.hosts[_choose_host(state, view, request)]
        number = slots.acquire(state, host, now)
    if number is None:
        admission.enqueue(state, view, request)
        return
    request.host = host.name
    request.slot = number
    if not request.attempts:
        _add_retry_tokens(state, view)
    request.attempts += 1
    view.in_flight += 1
    yield effects.StartRequest(
        id=request.id,
        host=host.name,
        address=host.address,
        port=view.port,
        deadline=request.deadline,
        start_by=_start_by(state, request, host, now),
        fresh=not request.repeatable,
        hedge_at=_hedge_at(state, view, request, now),
    )


def _hedge_at(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
    now: float,
) -> float:
    """Return when to hedge the request, 0 if it may not be repeated."""
    if not request.repeatable:
        return 0.0
    return hedging.hedge_at(state.policies.hedging, now, view.mean_s)


def _start_by(
    state: model.State,
    request: model.RequestView,
    host: model.HostView,
    now: float,
) -> float:
    """Return the latest time at which the request may be sent.

    A daemon that is paused for longer than the peer time-out has lost its
    slots and claims to its peers. A borrowed slot ends with its loan.
    """
    start_by = min(request.deadline, now + state.timing.peer_timeout_s)
    borrowed = host.borrowed.get(request.slot)
    return min(start_by, borrowed.until) if borrowed else start_by


def _choose_host(
    state: model.State, view: model.ServiceView, request: model.RequestView
) -> str:
    """Return the cheaper of two ready hosts drawn at random.

    Hosts of other zones are considered only if this zone has none ready,
    and hosts that the request was tried on only if there is no other.
    """
    ready = view.near.names or view.far.names
    if request.tried:
        ready = _untried_hosts(view, request) or ready
    if len(ready) == 1:
        return ready[0]
    drawn = (
        ready[int(state.rng.random() * len(ready))]
        for _ in range(HOSTS_SAMPLED)
    )
    return min(drawn, key=lambda name: _host_cost(state.hosts[name]))


def _untried_hosts(
    view: model.ServiceView, request: model.RequestView
) -> list[str]:
    """Return the ready hosts not tried yet, of this zone if there are any."""
    for ready in (view.near, view.far):
        untried = [name for name in ready.names if name not in request.tried]
        if untried:
            return untried
    return []


def _host_cost(host: model.HostView) -> int:
    """Return the load of a host, with its recent failures as extra load.

    A host that fails quickly is seldom busy; without the extra cost it
    would attract most requests.
    """
    return len(host.busy) + FAILURE_COST * host.failures


def handle_attempt_ended(
    state: model.State, event: events.RequestEnded, now: float
) -> Effects:
    """Release the slot, then retry the request or answer its caller."""
    request = state.requests.get(event.id)
    if request is None or not request.host:
        return
    view = state.services[request.service]
    yield from _release_slot(state, view, request, event.result, now)
    if event.result == Result.ANSWERED:
        admission.record_elapsed(view, event.elapsed_s)
    if _may_retry(state, view, request, event.result, now):
        admission.enqueue(state, view, request)
    else:
        yield from _answer(state, view, request, event, now)
    yield from dispatch(state, view, now)


def _release_slot(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
    result: Result,
    now: float,
) -> Effects:
    """Release the slot of an attempt and record how the attempt ended."""
    host = state.hosts[request.host]
    slots.release(state, host, request.slot, now)
    request.tried.append(request.host)
    request.host = ""
    if result in (Result.BROKEN, Result.TIMED_OUT):
        request.may_have_run = True
    view.in_flight -= 1
    yield from ejection.record_result(state, host, result, now)


def _may_retry(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
    result: Result,
    now: float,
) -> bool:
    """Return whether to retry; if so, charge the retry budget."""
    policy = state.policies.retries
    if request.attempts >= policy.attempts or request.deadline <= now:
        return False
    match result:
        case Result.REFUSED | Result.UNSENT:
            return _take_retry_token(state, view)
        case Result.BROKEN | Result.TIMED_OUT:
            return request.repeatable and _take_retry_token(state, view)
        case _:
            return False


def _add_retry_tokens(state: model.State, view: model.ServiceView) -> None:
    """Credit the retry budgets for a first attempt."""
    match state.policies.retries:
        case retries.RetryBudget(share=share, burst=burst):
            view.retry_tokens = min(burst, view.retry_tokens + share)
            state.retry_tokens = min(burst, state.retry_tokens + share)


def _take_retry_token(state: model.State, view: model.ServiceView) -> bool:
    """Charge one retry to the budgets; return False if one is empty."""
    match state.policies.retries:
        case retries.RetryBudget():
            pass
        case _:
            return True
    if view.retry_tokens < 1.0 or state.retry_tokens < 1.0:
        return False
    view.retry_tokens -= 1.0
    state.retry_tokens -= 1.0
    return True


def _answer(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
    event: events.RequestEnded,
    now: float,
) -> Effects:
    """Answer the caller of a request that is not retried."""
    match event.result:
        case Result.ANSWERED | Result.FAILED:
            drop(state, request)
            if event.result == Result.ANSWERED:
                view.count.good += 1
            else:
                view.count.bad += 1
            yield from _settle_as_run(state, request, event, now)
            yield effects.AnswerCaller(id=request.id)
        case Result.REFUSED | Result.UNSENT:
            yield from give_up(
                state, request, _unsent_refusal(request, now), now
            )
        case _:
            drop(state, request)
            view.count.bad += 1
            yield from settlements.settle_request(
                state, request, ClaimPhase.UNKNOWN, now
            )
            yield effects.AnswerUnknown(
                id=request.id, reason=event.result.value
            )


def _unsent_refusal(request: model.RequestView, now: float) -> Refusal:
    """Return why a request that reached no endpoint is refused."""
    if request.deadline <= now:
        return Refusal.TOO_LATE
    return Refusal.ENDPOINT_REFUSED


def _settle_as_run(
    state: model.State,
    request: model.RequestView,
    event: events.RequestEnded,
    now: float,
) -> Effects:
    """Settle the request's claim, if any, with the endpoint's answer."""
    if not request.claimed:
        return
    change = records.SettleClaim(
        phase=ClaimPhase.RAN,
        status=event.status,
        content_type=event.content_type,
        answer=event.answer,
    )
    yield from settlements.settle(
        state, request.claim, request.id, change, now
    )


def abandon(
    state: model.State, event: events.RequestAbandoned, now: float
) -> Effects:
    """Refuse a queued request that expired or whose caller left."""
    request = state.requests.get(event.id)
    if request is None or request.host:
        return
    view = state.services[request.service]
    admission.remove(state, view, request)
    yield from give_up(state, request, Refusal.TOO_LATE, now)


def dispatch(
    state: model.State, view: model.ServiceView, now: float
) -> Effects:
    """Start queued requests on idle slots, urgent ones first."""
    while view.waiting and has_ready_host(view):
        request = admission.pop_next(state, view)
        if admission.is_too_late(state, view, request, now):
            yield from give_up(state, request, Refusal.TOO_LATE, now)
            continue
        yield from _start(state, view, request, now)
    if view.waiting:
        yield from lending.borrow(state, view, now)


def dispatch_all(state: model.State, now: float) -> Effects:
    """Start queued requests of every service on idle slots."""
    for view in state.services.values():
        yield from dispatch(state, view, now)
