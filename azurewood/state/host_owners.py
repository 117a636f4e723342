"""Host owners: the daemons that carry out what is agreed for the hosts.

Rendezvous hashing over the live daemons of a host's zone chooses its owner.
Two owners at the same time do no harm: tasks have ids, and the fold accepts
only one proposal for a revision of a host.

The hosts that a daemon owns are recomputed when hosts or daemons change, and
those that need an action when a host or a task changes. Every other event
checks only the hosts that need an action.
"""

import collections.abc

from azurewood.policy import ownership
from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import jobs
from azurewood.state import membership
from azurewood.state import model
from azurewood.state import zones

RENEW_INTERVAL_S = 5.0
ACTION_RETENTION_S = 60.0

HostPhase = agreed_state.HostPhase
DRAINING_PHASES = (HostPhase.LEAVING, HostPhase.DRAINING)
Effects = collections.abc.Iterator[effects.AnyEffect]


def tick(state: model.State, now: float) -> Effects:
    """Renew the leases of the owned hosts' tasks and drop old actions."""
    if state.agreed.fleet is None:
        return
    if now >= state.steward.renew_at:
        state.steward.renew_at = now + RENEW_INTERVAL_S
        yield from _renew(state)
        _forget_old_actions(state, now)


def on_event(
    state: model.State, event: events.AnyEvent, now: float
) -> Effects:
    """Take the next actions for owned hosts after a control-path event."""
    if state.agreed.fleet is None or state.view_revision < 0:
        return
    if isinstance(event, events.TaskCallEnded):
        jobs.on_call_ended(state, event, now)
    _refresh(state, event)
    yield from _acknowledge(state)
    for name in tuple(state.steward.active):
        yield from jobs.take_next_step(state, state.agreed.hosts[name], now)


def on_request_ended(state: model.State, host: str, now: float) -> Effects:
    """Act immediately after the last request on a draining host.

    If another daemon owns the host, a heartbeat tells it at once.
    """
    view = state.hosts.get(host)
    if view is None or view.usable or view.busy:
        return
    agreed_host = state.agreed.hosts.get(host)
    if agreed_host is None or agreed_host.phase not in DRAINING_PHASES:
        return
    if host in state.steward.active:
        yield from jobs.take_next_step(state, agreed_host, now)
    else:
        yield from membership.acknowledge(state, owner_of(state, host))


def owner_of(state: model.State, host: str) -> str:
    """Return the daemon that owns a host."""
    owners = zones.owners_by_zone(state)
    return ownership.owner(host, owners[state.hosts[host].zone])


def _refresh(state: model.State, event: events.AnyEvent) -> None:
    """Update which hosts this daemon owns and which need an action."""
    host_duties = state.steward
    members_key = (
        f"{state.agreed.incarnation}/{state.agreed.fleet_revision}",
        str(bool(state.stopping_until)),
        *state.alive,
        *state.zones_seen,
    )
    if members_key != host_duties.members_key:
        host_duties.members_key = members_key
        host_duties.mine = tuple(_owned_hosts(state))
        host_duties.hosts_revision = -1
    if host_duties.hosts_revision != state.agreed.hosts_revision:
        host_duties.hosts_revision = state.agreed.hosts_revision
        _select_active(state)
    elif isinstance(event, events.TasksListed | events.TaskCallEnded):
        _select_active(state)


def _owned_hosts(state: model.State) -> collections.abc.Iterator[str]:
    owners = zones.owners_by_zone(state)
    me = state.me.name
    for name in state.agreed.hosts:
        members = owners[state.hosts[name].zone]
        if me in members and ownership.owner(name, members) == me:
            yield name


def _select_active(state: model.State) -> None:
    """Select the hosts that need an action.

    Also drop the reboot state of hosts that are no longer down.
    """
    host_duties = state.steward
    hosts = state.agreed.hosts
    host_duties.active = {
        name: True
        for name in host_duties.mine
        if jobs.needs_action(state, hosts[name])
    }
    for name in [
        n for n in host_duties.away if _is_no_longer_down(hosts.get(n))
    ]:
        del host_duties.away[name]
        host_duties.acted.pop(f"{events.TaskAction.REBOOT} {name}", None)


def _is_no_longer_down(host: agreed_state.HostState | None) -> bool:
    return host is None or host.phase != HostPhase.DOWN


def _acknowledge(state: model.State) -> Effects:
    """Notify the owners of newly draining hosts that the drain was seen.

    Only daemons of the host's zone do so. Daemons of other zones leave it to
    their next heartbeat.
    """
    seen = state.steward.acknowledged
    if seen >= state.agreed.hosts_revision:
        return
    state.steward.acknowledged = state.agreed.hosts_revision
    owners_to_notify = {
        owner_of(state, host.name)
        for host in state.agreed.hosts.values()
        if host.revision > seen
        and host.phase in DRAINING_PHASES
        and state.hosts[host.name].zone == state.me.zone
    }
    for name in sorted(owners_to_notify - {state.me.name}):
        yield from membership.acknowledge(state, name)


def _renew(state: model.State) -> Effects:
    hosts = (state.agreed.hosts.get(name) for name in state.steward.mine)
    ids = tuple(
        host.task
        for host in hosts
        if host is not None and host.phase != HostPhase.DOWN
    )
    if ids:
        yield effects.RenewLeases(ids=ids)


def _forget_old_actions(state: model.State, now: float) -> None:
    """Drop deadlines and actions that are no longer needed."""
    host_duties = state.steward
    hosts = state.agreed.hosts.values()
    keys = {f"{host.name}@{host.revision}" for host in hosts}
    tasks = {host.task for host in hosts}
    host_duties.drains = {
        k: v for k, v in host_duties.drains.items() if k in keys
    }
    host_duties.starts = {
        k: v for k, v in host_duties.starts.items() if k in tasks
    }
    host_duties.acted = {
        key: action
        for key, action in host_duties.acted.items()
        if action.in_call or action.until + ACTION_RETENTION_S > now
    }
