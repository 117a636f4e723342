"""Ejection of failing hosts, and their gradual return to service.

An ejected host is given no requests for a time. Afterwards the number of
concurrent requests on it is limited, and doubles with each answer.
"""

import collections.abc

from azurewood.peers import messages
from azurewood.policy import ejection as policy
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import slots

NOTIFY_INTERVAL_S = 1.0

Result = events.RequestResult
Effects = collections.abc.Iterator[effects.AnyEffect]


def record_result(
    state: model.State, host: model.HostView, result: Result, now: float
) -> Effects:
    """Record how an attempt ended, and eject its host if it fails."""
    match state.policies.ejection:
        case policy.OutlierEjection() as ejecting:
            pass
        case _:
            return
    match result:
        case Result.ANSWERED:
            _record_success(state, host)
        case Result.REFUSED:
            host.failures += 1
            _eject(state, host, ejecting, now)
            yield from _notify_peers(state, host, result, now)
        case Result.FAILED | Result.BROKEN | Result.TIMED_OUT:
            host.failures += 1
            if host.failures >= ejecting.failures:
                _eject(state, host, ejecting, now)
                if result == Result.BROKEN:
                    yield from _notify_peers(state, host, result, now)


def _record_success(state: model.State, host: model.HostView) -> None:
    """Reset the failures of a host that answered, and raise its limit."""
    host.failures = 0
    if host.ramp:
        host.ramp *= 2
        if host.ramp > len(host.owners):
            host.ramp = 0
            host.ejections = 0
        slots.update_ready(state, host)


def _eject(
    state: model.State,
    host: model.HostView,
    ejecting: policy.OutlierEjection,
    now: float,
) -> None:
    """Eject a host unless too many of its service are ejected already."""
    view = state.services.get(host.service)
    if view is None or host.ejected_until:
        return
    if len(view.ejected) + 1 > ejecting.max_share * view.hosts:
        return
    ejection_s = policy.ejection_s(ejecting, host.ejections)
    host.ejections += 1
    host.ejected_until = now + ejection_s * state.rng.uniform(0.8, 1.0)
    view.ejected.add(host.name)
    slots.update_ready(state, host)


def _notify_peers(
    state: model.State, host: model.HostView, result: Result, now: float
) -> Effects:
    """Notify the peers, at a limited rate, that a host seems to leave."""
    if now < host.told_at + NOTIFY_INTERVAL_S:
        return
    host.told_at = now
    message = messages.HostSuspected(host=host.name, reason=result.value)
    for name in state.alive:
        yield effects.SendPeer(
            address=state.peers[name].address, message=message
        )


def handle_message(
    state: model.State, message: messages.AnyMessage, now: float
) -> None:
    """Eject a host that a peer reports as suspected."""
    match (message, state.policies.ejection):
        case (messages.HostSuspected(), policy.OutlierEjection() as ejecting):
            host = state.hosts.get(message.host)
            if host is not None:
                _eject(state, host, ejecting, now)


def tick(state: model.State, now: float) -> None:
    """End ejections whose time is over or whose host has left the service."""
    for view in state.services.values():
        for name in tuple(view.ejected):
            host = state.hosts.get(name)
            if host is None or host.service != view.name:
                view.ejected.discard(name)
                if host is not None:
                    host.ejected_until = 0.0
                    slots.update_ready(state, host)
            elif host.ejected_until <= now:
                view.ejected.discard(name)
                host.ejected_until = 0.0
                host.ramp = 1
                slots.update_ready(state, host)
