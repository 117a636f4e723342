"""The path of a request: admission, waiting, slots, retries, outcome."""

import collections.abc

from azurewood.fleet import model as fleet_model
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import records
from azurewood.state import settlements
from azurewood.state import slots

CHOICES = 2
MAX_ATTEMPTS = 3

ClaimPhase = records.ClaimPhase
Refusal = effects.Refusal
Result = events.RequestResult
Effects = collections.abc.Iterator[effects.AnyEffect]


def refusal(
    state: model.State, event: events.RequestArrived, now: float
) -> Refusal | None:
    """Say why a request that arrives is refused; None if it is not."""
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
    """Return the refusal of a request that did not run."""
    return effects.RefuseRequest(id=request_id, reason=reason)


def create(
    state: model.State, event: events.RequestArrived
) -> model.RequestView:
    """Take a request in hand; it does not wait for a slot yet."""
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
    """Forget a request that is being answered."""
    del state.requests[request.id]


def give_up(
    state: model.State,
    request: model.RequestView,
    reason: Refusal,
    now: float,
) -> Effects:
    """Refuse a request in hand as not run, and release its claim."""
    drop(state, request)
    state.services[request.service].count.bad += 1
    yield from settlements.settle_request(
        state, request, ClaimPhase.NOT_RUN, now
    )
    yield refuse(request.id, reason)


def admit(
    state: model.State, request: model.RequestView, now: float
) -> Effects:
    """Start a request, let it wait, or refuse it as not run."""
    view = state.services[request.service]
    if view.ready and not view.waiting:
        yield from _start(state, view, request, now)
    elif state.waiting >= state.limits.waiting_requests:
        yield from give_up(state, request, Refusal.QUEUE_FULL, now)
    else:
        _enqueue(state, view, request)


def _enqueue(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
) -> None:
    view.queues[request.urgency].append(request.id)
    view.waiting += 1
    state.waiting += 1
    state.waiting_bytes += request.size


def _dequeued(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
) -> None:
    view.waiting -= 1
    state.waiting -= 1
    state.waiting_bytes -= request.size


def _start(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
    now: float,
) -> Effects:
    if request.claimed and request.claim_asked_at < state.woken_at:
        yield from give_up(state, request, Refusal.PAUSED, now)
        return
    host = state.hosts[_choose(state, view)]
    request.host = host.name
    request.slot = slots.take(state, host)
    request.attempts += 1
    view.in_flight += 1
    yield effects.StartRequest(
        id=request.id,
        host=host.name,
        address=host.address,
        port=view.port,
        deadline=request.deadline,
        start_by=_start_by(state, request, now),
        fresh=not request.repeatable,
    )


def _start_by(
    state: model.State, request: model.RequestView, now: float
) -> float:
    """Return until when the request may be sent after all."""
    if request.claimed:
        return min(request.deadline, now + state.timing.peer_timeout_s)
    return request.deadline


def _choose(state: model.State, view: model.ServiceView) -> str:
    """Return the better of two ready hosts, drawn at random."""
    ready = view.ready
    if len(ready) == 1:
        return ready[0]
    drawn = (
        ready[int(state.rng.random() * len(ready))] for _ in range(CHOICES)
    )
    return min(
        drawn,
        key=lambda name: (
            state.hosts[name].zone != state.me.zone,
            len(state.hosts[name].busy) * (state.hosts[name].mean_s + 1e-3),
        ),
    )


def end(state: model.State, event: events.RequestEnded, now: float) -> Effects:
    """Free the slot, retry what may be retried, answer the rest."""
    request = state.requests.get(event.id)
    if request is None or not request.host:
        return
    view = state.services[request.service]
    _free(state, view, request)
    if _may_retry(request, event.result, now):
        _enqueue(state, view, request)
    else:
        yield from _finish(state, view, request, event, now)
    yield from dispatch(state, view, now)


def _free(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
) -> None:
    host = state.hosts[request.host]
    slots.give_back(state, host, request.slot)
    request.tried.append(request.host)
    request.host = ""
    view.in_flight -= 1


def _may_retry(
    request: model.RequestView, result: events.RequestResult, now: float
) -> bool:
    if request.attempts >= MAX_ATTEMPTS or request.deadline <= now:
        return False
    match result:
        case events.RequestResult.REFUSED:
            return True
        case events.RequestResult.BROKEN:
            return request.repeatable
        case _:
            return False


def _finish(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
    event: events.RequestEnded,
    now: float,
) -> Effects:
    match event.result:
        case Result.ANSWERED | Result.FAILED:
            drop(state, request)
            if event.result == Result.ANSWERED:
                view.count.good += 1
            else:
                view.count.bad += 1
            yield from _settle_as_run(state, request, event, now)
            yield effects.AnswerCaller(id=request.id)
        case Result.REFUSED:
            yield from give_up(state, request, _unsent(request, now), now)
        case _:
            drop(state, request)
            view.count.bad += 1
            yield from settlements.settle_request(
                state, request, ClaimPhase.UNKNOWN, now
            )
            yield effects.AnswerUnknown(
                id=request.id, reason=event.result.value
            )


def _unsent(request: model.RequestView, now: float) -> Refusal:
    if request.deadline <= now:
        return Refusal.TOO_LATE
    return Refusal.ENDPOINT_REFUSED


def _settle_as_run(
    state: model.State,
    request: model.RequestView,
    event: events.RequestEnded,
    now: float,
) -> Effects:
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
    """Refuse a waiting request whose time is up."""
    request = state.requests.get(event.id)
    if request is None or request.host:
        return
    view = state.services[request.service]
    view.queues[request.urgency].remove(request.id)
    _dequeued(state, view, request)
    yield from give_up(state, request, Refusal.TOO_LATE, now)


def dispatch(
    state: model.State, view: model.ServiceView, now: float
) -> Effects:
    """Start waiting requests on idle slots, urgent ones first."""
    while view.waiting and view.ready:
        request = state.requests[_next(view)]
        _dequeued(state, view, request)
        yield from _start(state, view, request, now)


def _next(view: model.ServiceView) -> str:
    for urgency in fleet_model.Urgency:
        queue = view.queues[urgency]
        if queue:
            return queue.popleft()
    raise LookupError(f"no request waits for {view.name}")


def dispatch_all(state: model.State, now: float) -> Effects:
    """Start what can start, for every service."""
    for view in state.services.values():
        yield from dispatch(state, view, now)
