"""The reducer: one function over all events, with effects as data.

It reads no clock and draws randomness only from the state's own generator,
so that the same events at the same times lead to the same state.
"""

import collections.abc

from azurewood.state import budgets
from azurewood.state import claims
from azurewood.state import effects
from azurewood.state import ejection
from azurewood.state import events
from azurewood.state import host_owners
from azurewood.state import lending
from azurewood.state import log_reader
from azurewood.state import membership
from azurewood.state import model
from azurewood.state import move_planning
from azurewood.state import outbox
from azurewood.state import relay
from azurewood.state import requests
from azurewood.state import slots
from azurewood.state import views
from azurewood.state import waves

Effects = collections.abc.Iterator[effects.AnyEffect]


def step(
    state: model.State, event: events.AnyEvent, now: float
) -> list[effects.AnyEffect]:
    """Change the state by one event and return what is to be done.

    ``now`` is a monotonic time in seconds and never falls.
    """
    if not state.stepped_at:
        state.born_at = now
    elif now > state.stepped_at + _pause_s(state):
        state.woken_at = now
        slots.distrust(state, now)
    state.stepped_at = now
    return list(_reduce(state, event, now))


def _pause_s(state: model.State) -> float:
    """Return the gap between events after which peers gave us up."""
    return state.timing.peer_timeout_s


def _reduce(state: model.State, event: events.AnyEvent, now: float) -> Effects:
    match event:
        case events.RequestArrived():
            yield from claims.arrive(state, event, now)
        case events.RequestEnded():
            request = state.requests.get(event.id)
            host = request.host if request else ""
            yield from requests.end(state, event, now)
            yield from host_owners.on_request_ended(state, host, now)
        case events.RequestAbandoned():
            yield from claims.abandon(state, event, now)
        case _:
            wanted = _reduce_control(state, event, now)
            yield from claims.take_answers(state, wanted, now)
            wanted = _settle(state, now)
            yield from claims.take_answers(state, wanted, now)
            yield from host_owners.on_event(state, event, now)


def _reduce_control(
    state: model.State, event: events.AnyEvent, now: float
) -> Effects:
    match event:
        case events.Tick():
            yield from _tick(state, now)
        case events.RecordsRead():
            yield from log_reader.on_records_read(state, event, now)
            yield from relay.forward_records(state, event.records)
        case events.LogTrimmed():
            yield from log_reader.on_log_trimmed(state, event, now)
        case events.SnapshotRead():
            yield from log_reader.on_snapshot_read(state, event, now)
        case events.LogUnreachable():
            yield from log_reader.on_log_unreachable(state, event, now)
        case events.AppendEnded():
            outbox.on_append_ended(state, event, now)
        case events.Proposed():
            yield from outbox.propose(state, event, now)
        case events.PeerSaid():
            yield from membership.on_peer_message(state, event, now)
            yield from lending.heard(state, event.sender, event.message, now)
            ejection.heard(state, event.message, now)
        case events.HostsListed():
            views.list_hosts(state, event)
        case events.TasksListed():
            views.list_tasks(state, event)
        case events.StopAsked():
            state.stopping_until = event.deadline
            state.view_revision = -1
            yield from membership.send_heartbeats(state, now)


def _tick(state: model.State, now: float) -> Effects:
    yield from membership.tick(state, now)
    yield from relay.tick(state, now)
    yield from outbox.tick(state, now)
    yield from host_owners.tick(state, now)
    yield from move_planning.tick(state, now)
    budgets.tick(state, now)
    yield from waves.tick(state, now)
    yield from log_reader.tick(state, now)
    yield from claims.tick(state, now)
    yield from lending.tick(state, now)
    ejection.tick(state, now)
    if state.stopping_until and _is_idle(state):
        yield effects.Exit()


def _settle(state: model.State, now: float) -> Effects:
    """Bring the view up to date and start what can start now."""
    views.refresh(state, now)
    yield from requests.dispatch_all(state, now)
    yield from claims.settle(state, now)


def _is_idle(state: model.State) -> bool:
    sent = state.outbox.sent
    return (
        not state.requests
        and not state.claims.settling
        and (sent is None or not sent.entries)
    )
