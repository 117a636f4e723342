"""The queues of requests that wait for a slot: limits, order, shedding."""

from azurewood.policy import admission as policy
from azurewood.state import effects
from azurewood.state import model

MEAN_TIME_WEIGHT = 0.1
LOG_RETRY_AFTER_S = 3

Refusal = effects.Refusal
Urgency = policy.Urgency

NOT_RETRYABLE = frozenset(
    {Refusal.KEY_REQUIRED, Refusal.KEY_REUSED, Refusal.UNKNOWN_SERVICE}
)


def refusal(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
    now: float,
) -> Refusal | None:
    """Return why a request may not be queued, None if it may."""
    match state.policies.admission:
        case policy.NoQueues():
            return Refusal.QUEUE_FULL
        case policy.OneQueue():
            return _limits_refusal(state, request)
        case policy.ClassQueues() as queues:
            return (
                _limits_refusal(state, request)
                or _quota_refusal(state, view)
                or _shed_refusal(state, request, queues)
                or _late_refusal(view, request, now)
            )


def _limits_refusal(
    state: model.State, request: model.RequestView
) -> Refusal | None:
    """Refuse a request beyond the daemon's limits on count or bytes."""
    limits = state.limits
    is_full = state.waiting >= limits.waiting_requests
    too_large = state.waiting_bytes + request.size > limits.waiting_bytes
    return Refusal.QUEUE_FULL if is_full or too_large else None


def _quota_refusal(
    state: model.State, view: model.ServiceView
) -> Refusal | None:
    """Refuse a request beyond its service's share of the queue."""
    places = max(1, int(view.quota * state.limits.waiting_requests))
    return Refusal.QUEUE_FULL if view.waiting >= places else None


def _shed_refusal(
    state: model.State,
    request: model.RequestView,
    queues: policy.ClassQueues,
) -> Refusal | None:
    """Shed deferrable requests if the preset in force asks for it."""
    if request.urgency != Urgency.DEFERRABLE:
        return None
    preset = state.agreed.presets.get(state.agreed.in_force)
    if preset is None or not preset.preset.shed_deferrable:
        return None
    taken = state.waiting >= queues.shed_share * state.limits.waiting_requests
    return Refusal.SHED if taken else None


def _late_refusal(
    view: model.ServiceView, request: model.RequestView, now: float
) -> Refusal | None:
    """Shed a request that is expected to start after its deadline."""
    wait_s = expected_wait_s(view, request.urgency)
    return Refusal.SHED if now + wait_s > request.deadline else None


def expected_wait_s(view: model.ServiceView, urgency: Urgency) -> float:
    """Return the expected time until a new request is started.

    It follows from the requests ahead of it and the mean service time, and
    is zero until the first answer has been measured.
    """
    ahead = sum(
        len(view.queues[other])
        for other in Urgency
        if other not in policy.LESS_URGENT[urgency]
    )
    return policy.expected_wait_s(
        ahead=ahead, slots=view.in_flight, mean_s=view.mean_s
    )


def retry_after_s(
    state: model.State, request: model.RequestView, reason: Refusal
) -> int:
    """Return the seconds after which a refused request may be retried."""
    if reason in NOT_RETRYABLE:
        return 0
    if reason == Refusal.LOG_UNAVAILABLE:
        return LOG_RETRY_AFTER_S
    view = state.services[request.service]
    return policy.retry_after_s(expected_wait_s(view, request.urgency))


def eviction_candidate(
    state: model.State, view: model.ServiceView, request: model.RequestView
) -> model.RequestView | None:
    """Return the queued request to evict for a more urgent one, if any.

    It is the newest of the least urgent requests of the same service.
    """
    match state.policies.admission:
        case policy.ClassQueues():
            pass
        case _:
            return None
    for urgency in policy.LESS_URGENT[request.urgency]:
        queue = view.queues[urgency]
        if queue:
            last = state.requests[queue[-1]]
            held = state.waiting_bytes - last.size + request.size
            return last if held <= state.limits.waiting_bytes else None
    return None


def enqueue(
    state: model.State, view: model.ServiceView, request: model.RequestView
) -> None:
    """Add a request to its queue."""
    queue = policy.queue_of(state.policies.admission, request.urgency)
    view.queues[queue].append(request.id)
    view.waiting += 1
    state.waiting += 1
    state.waiting_bytes += request.size


def remove(
    state: model.State, view: model.ServiceView, request: model.RequestView
) -> None:
    """Remove a request from its queue."""
    queue = policy.queue_of(state.policies.admission, request.urgency)
    view.queues[queue].remove(request.id)
    _count_removed(state, view, request)


def pop_next(state: model.State, view: model.ServiceView) -> model.RequestView:
    """Remove and return the next request; at least one must be queued."""
    view.turn += 1
    for urgency in policy.order(state.policies.admission, view.turn):
        queue = view.queues[urgency]
        if queue:
            request = state.requests[queue.popleft()]
            _count_removed(state, view, request)
            return request
    raise LookupError(f"no request of service {view.name} is queued")


def is_too_late(
    state: model.State,
    view: model.ServiceView,
    request: model.RequestView,
    now: float,
) -> bool:
    """Return whether a request has less time left than the mean takes.

    It would occupy a slot and most likely be cut off at its deadline.
    """
    match state.policies.admission:
        case policy.ClassQueues():
            return now + view.mean_s > request.deadline
        case _:
            return False


def _count_removed(
    state: model.State, view: model.ServiceView, request: model.RequestView
) -> None:
    """Update the counters for a request that left its queue."""
    view.waiting -= 1
    state.waiting -= 1
    state.waiting_bytes -= request.size


def record_elapsed(view: model.ServiceView, elapsed_s: float) -> None:
    """Update the moving mean of the service's answer times."""
    if not view.mean_s:
        view.mean_s = elapsed_s
    view.mean_s += MEAN_TIME_WEIGHT * (elapsed_s - view.mean_s)
