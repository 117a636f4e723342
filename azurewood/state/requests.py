"""The path of a request: admission, waiting, slots, retries, outcome."""

import collections.abc

from azurewood.fleet import model as fleet_model
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import slots

CHOICES = 2
MAX_ATTEMPTS = 3

Effects = collections.abc.Iterator[effects.AnyEffect]


def arrive(
    state: model.State, event: events.RequestArrived, now: float
) -> Effects:
    """Start a request, let it wait, or refuse it as not run."""
    reason = _refusal(state, event, now)
    if reason is not None:
        yield effects.RefuseRequest(id=event.id, reason=reason)
        return
    request = model.RequestView(
        id=event.id,
        service=event.service,
        urgency=event.urgency,
        deadline=event.deadline,
        size=event.size,
        repeatable=event.repeatable,
        key=event.key,
    )
    state.requests[event.id] = request
    view = state.services[event.service]
    view.arrived += 1
    if view.waiting or not view.ready:
        _enqueue(state, view, request)
    else:
        yield _start(state, view, request)


def _refusal(
    state: model.State, event: events.RequestArrived, now: float
) -> effects.Refusal | None:
    if state.agreed.fleet is None:
        return effects.Refusal.NOT_READY
    if event.service not in state.services:
        return effects.Refusal.UNKNOWN_SERVICE
    if state.stopping_until:
        return effects.Refusal.STOPPING
    if event.deadline <= now:
        return effects.Refusal.TOO_LATE
    if state.waiting >= state.limits.waiting_requests:
        return effects.Refusal.QUEUE_FULL
    return None


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
) -> effects.StartRequest:
    host = state.hosts[_choose(state, view)]
    request.host = host.name
    request.slot = slots.take(state, host)
    request.attempts += 1
    view.in_flight += 1
    return effects.StartRequest(
        id=request.id,
        host=host.name,
        address=host.address,
        port=view.port,
        deadline=request.deadline,
    )


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
        yield from _finish(state, view, request, event.result)
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
    result: events.RequestResult,
) -> Effects:
    del state.requests[request.id]
    match result:
        case events.RequestResult.ANSWERED:
            view.count.good += 1
            yield effects.AnswerCaller(id=request.id)
        case events.RequestResult.FAILED:
            view.count.bad += 1
            yield effects.AnswerCaller(id=request.id)
        case events.RequestResult.REFUSED:
            view.count.bad += 1
            yield effects.RefuseRequest(
                id=request.id, reason=effects.Refusal.ENDPOINT_REFUSED
            )
        case _:
            view.count.bad += 1
            yield effects.AnswerUnknown(id=request.id, reason=result.value)


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
    view.count.bad += 1
    del state.requests[request.id]
    yield effects.RefuseRequest(id=request.id, reason=effects.Refusal.TOO_LATE)


def dispatch(
    state: model.State, view: model.ServiceView, now: float
) -> Effects:
    """Start waiting requests on idle slots, urgent ones first."""
    while view.waiting and view.ready:
        request = state.requests[_next(view)]
        _dequeued(state, view, request)
        yield _start(state, view, request)


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


def tick(state: model.State, now: float) -> Effects:
    """Refuse the waiting requests whose deadline has passed."""
    late = [
        request.id
        for request in state.requests.values()
        if not request.host and request.deadline <= now
    ]
    for name in late:
        yield from abandon(state, events.RequestAbandoned(id=name), now)
