"""The reducer: one function that applies every event to the state.

It returns what is to be done as effects, reads no clock and draws random
numbers only from the state's own generator. The same events at the same
times therefore lead to the same state.
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
    """Apply one event to the state and return the resulting effects.

    ``now`` is a monotonic time in seconds and never falls.
    """
    if not state.stepped_at:
        state.born_at = now
    elif now > state.stepped_at + _max_gap_s(state):
        state.woken_at = now
        slots.settle_all_owned(state, now)
    state.stepped_at = now
    return list(_reduce(state, event, now))


def _max_gap_s(state: model.State) -> float:
    """Return the pause after which peers declare this daemon dead."""
    return state.timing.peer_timeout_s


def _reduce(state: model.State, event: events.AnyEvent, now: float) -> Effects:
    """Apply one event: request events directly, others with a refresh."""
    match event:
        case events.RequestArrived():
            yield from claims.handle_arrival(state, event, now)
        case events.RequestEnded():
            request = state.requests.get(event.id)
            host = request.host if request else ""
            yield from requests.handle_attempt_ended(state, event, now)
            yield from host_owners.on_request_ended(state, host, now)
        case events.RequestAbandoned():
            yield from claims.abandon(state, event, now)
        case _:
            wanted = _reduce_control(state, event, now)
            yield from claims.handle_claim_answers(state, wanted, now)
            wanted = _update(state, now)
            yield from claims.handle_claim_answers(state, wanted, now)
            yield from host_owners.on_event(state, event, now)


def _reduce_control(
    state: model.State, event: events.AnyEvent, now: float
) -> Effects:
    """Apply one event of the log, the peers, the platform or the clock."""
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
        case events.MessageReceived():
            yield from membership.on_peer_message(state, event, now)
            yield from lending.handle_message(
                state, event.sender, event.message, now
            )
            ejection.handle_message(state, event.message, now)
        case events.HostsListed():
            views.handle_hosts_listed(state, event)
        case events.TasksListed():
            views.handle_tasks_listed(state, event)
        case events.StopRequested():
            state.stopping_until = event.deadline
            state.view_revision = -1
            yield from membership.send_heartbeats(state, now)


def _tick(state: model.State, now: float) -> Effects:
    """Run the periodic work of all modules; exit if a stop is complete."""
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


def _update(state: model.State, now: float) -> Effects:
    """Refresh the view, start queued requests and update claims."""
    views.refresh(state, now)
    yield from requests.dispatch_all(state, now)
    yield from claims.update(state, now)


def _is_idle(state: model.State) -> bool:
    """Return whether no request, claim or record is still open."""
    sent = state.outbox.sent
    return (
        not state.requests
        and not state.claims.settling
        and (sent is None or not sent.entries)
    )
