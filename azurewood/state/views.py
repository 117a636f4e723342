"""The daemon's view of hosts and services, derived from the agreed state.

It is refreshed when hosts, peers or the host list change, not for each
request.
"""

from azurewood.fleet import model as fleet_model
from azurewood.policy import ownership
from azurewood.policy import slots as policy
from azurewood.state import agreed as agreed_state
from azurewood.state import events
from azurewood.state import model
from azurewood.state import slots
from azurewood.state import zones

LIVE = "live"
NOT_SEEN = -1
"""The ``seen`` revision of a host whose view must be rebuilt."""
MS_PER_S = 1000
ENDED = frozenset({"stopped", "failed"})
"""States of a task that is confirmed to have ended."""
OUT_OF_USE = frozenset({"stopping", events.LOST}) | ENDED
"""States of a task to which no new request may be sent."""


def handle_hosts_listed(state: model.State, event: events.HostsListed) -> None:
    """Handle the platform's host list."""
    listed = {host.name: host.state for host in event.hosts}
    for host in state.hosts.values():
        now_listed = listed.get(host.name, LIVE)
        if now_listed != host.listed:
            host.listed = now_listed
            host.seen = NOT_SEEN
            state.view_revision = -1


def handle_tasks_listed(state: model.State, event: events.TasksListed) -> None:
    """Handle changes of tasks at the task service."""
    for task in event.tasks:
        known = state.tasks.get(task.id, "")
        state.tasks[task.id] = task.state
        if (known in OUT_OF_USE) != (task.state in OUT_OF_USE):
            _invalidate_host(state, task.host)


def _invalidate_host(state: model.State, name: str) -> None:
    """Have the view of a host rebuilt at the next refresh."""
    state.view_revision = -1
    if name in state.hosts:
        state.hosts[name].seen = NOT_SEEN


def refresh(state: model.State, now: float) -> bool:
    """Refresh an outdated view; return whether it was outdated."""
    if state.view_revision == state.agreed.hosts_revision:
        return False
    if state.agreed.fleet is None:
        return False
    state.view_revision = state.agreed.hosts_revision
    state.view_generation += 1
    _refresh_services(state, state.agreed.fleet)
    state.lending.settle_s = _settle_s(state, state.agreed.fleet)
    _refresh_hosts(state, state.agreed.fleet, now)
    state.lending.is_viewed = True
    _count_hosts(state)
    _remove_ended_tasks(state)
    return True


def _refresh_services(state: model.State, fleet: fleet_model.Fleet) -> None:
    """Update the views of services to the configuration.

    A service that is no longer configured stays while requests are queued.
    """
    for service in fleet.services:
        view = state.services.get(service.name)
        if view is None:
            view = model.ServiceView(name=service.name, port=service.port)
            state.services[service.name] = view
        view.port = service.port
        view.quota = service.quota
    known = {service.name for service in fleet.services}
    for name in [name for name in state.services if name not in known]:
        if not state.services[name].waiting:
            del state.services[name]


def _count_hosts(state: model.State) -> None:
    """Count the usable hosts of each service."""
    for view in state.services.values():
        view.hosts = 0
    for host in state.hosts.values():
        if host.usable:
            state.services[host.service].hosts += 1


def _settle_s(state: model.State, fleet: fleet_model.Fleet) -> float:
    """Return how long a former owner or borrower may still use a slot."""
    match state.policies.slots:
        case policy.LentSlots(start_s=start_s, longest_s=longest_s):
            deadlines = (service.deadline_ms for service in fleet.services)
            run_s = max(deadlines, default=0) / MS_PER_S
            return start_s + min(longest_s, run_s)
        case _:
            return 0.0


def _refresh_hosts(
    state: model.State, fleet: fleet_model.Fleet, now: float
) -> None:
    """Rebuild the views of the hosts that changed and remove gone hosts."""
    service_of = {service.pool: service.name for service in fleet.services}
    members = zones.owners_by_zone(state)
    same_zones = _unchanged_zones(state, fleet, members)
    for host in fleet.hosts:
        agreed_host = state.agreed.hosts.get(host.name)
        if agreed_host is None:
            continue
        view = _host_view(state, host)
        if view.seen == agreed_host.revision and host.zone in same_zones:
            continue
        view.seen = agreed_host.revision
        _update_host_use(state, view, agreed_host, service_of)
        owners = _owners(state, host, members[host.zone])
        slots.set_owners(state, view, owners, now)
    for name in [n for n in state.hosts if n not in state.agreed.hosts]:
        slots.mark_unusable(state, state.hosts[name])
        if not state.hosts[name].busy:
            del state.hosts[name]


def _unchanged_zones(
    state: model.State,
    fleet: fleet_model.Fleet,
    owners: dict[str, tuple[str, ...]],
) -> set[str]:
    """Return the zones whose slot owners are the same as at the last refresh.

    There are none after a change of the configuration or of the log.
    """
    agreed = state.agreed
    seeded = agreed.seeded_revision
    basis = f"{agreed.incarnation}/{seeded}/{agreed.fleet_revision}"
    last = state.view_members if state.view_basis == basis else {}
    state.view_basis = basis
    state.view_members = owners
    return {
        zone.name
        for zone in fleet.zones
        if last.get(zone.name) == owners[zone.name]
    }


def has_peers_in_every_zone(state: model.State) -> bool:
    """Return whether every zone with known daemons has a live one.

    A zone whose daemons are all unresponsive is more likely partitioned
    from this daemon than stopped.
    """
    live = {state.peers[name].zone for name in state.alive}
    live.add(state.me.zone)
    return all(peer.zone in live for peer in state.peers.values())


def preset_in_force(state: model.State) -> fleet_model.Preset | None:
    """Return the preset in force, if there is one."""
    found = state.agreed.presets.get(state.agreed.in_force)
    return found.preset if found and state.agreed.fleet else None


def _host_view(state: model.State, host: fleet_model.Host) -> model.HostView:
    """Return the view of a host with its configured fields updated."""
    view = state.hosts.get(host.name)
    if view is None:
        view = model.HostView(
            name=host.name,
            zone=host.zone,
            rack=host.rack,
            address=host.address,
        )
        state.hosts[host.name] = view
    view.zone = host.zone
    view.rack = host.rack
    view.address = host.address
    view.slots = host.slots
    return view


def is_usable(view: model.HostView, host: agreed_state.HostState) -> bool:
    """Return whether a host may be given new requests."""
    return host.phase == agreed_state.HostPhase.SERVING and (
        view.listed == LIVE
    )


def _update_host_use(
    state: model.State,
    view: model.HostView,
    host: agreed_state.HostState,
    service_of: dict[str, str],
) -> None:
    """Set a host's service and usability by its pool, phase and task."""
    usable = is_usable(view, host) and (
        state.tasks.get(host.task, "") not in OUT_OF_USE
    )
    _set_service(state, view, service_of.get(host.pool, ""), usable)


def _set_service(
    state: model.State, view: model.HostView, service: str, usable: bool
) -> None:
    """Set the service of a host and whether it may be used."""
    if view.service != service or not usable:
        slots.mark_unusable(state, view)
    view.service = service
    view.usable = usable and bool(service)


def _owners(
    state: model.State, host: fleet_model.Host, members: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the owner of each slot of a host."""
    me = state.me.name
    match state.policies.slots:
        case policy.FixedShare():
            known = tuple({*members, me})
            mine = policy.fixed_share(host.slots, known, me)
            return tuple(
                me if number in mine else "" for number in range(host.slots)
            )
        case _ if me not in members:
            return (slots.UNKNOWN_OWNER,) * host.slots
        case _:
            return tuple(
                ownership.slot_owner(host.name, number, members)
                for number in range(host.slots)
            )


def _remove_ended_tasks(state: model.State) -> None:
    """Remove the states of ended tasks that no host has any more.

    Other tasks are kept: a running task may be listed before the record
    that starts it has been read from the log.
    """
    present = {host.task for host in state.agreed.hosts.values()}
    state.tasks = {
        task: known
        for task, known in state.tasks.items()
        if task in present or known not in ENDED
    }
