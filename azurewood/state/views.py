"""The daemon's view of hosts and services, derived from what is agreed.

It is brought up to date when hosts, peers or the host list change, and not
for each request.
"""

from azurewood.fleet import model as fleet_model
from azurewood.policy import ownership
from azurewood.state import agreed as agreed_state
from azurewood.state import events
from azurewood.state import model
from azurewood.state import slots

LIVE = "live"
ENDED = frozenset({"stopped", "failed"})
"""States of a task that is confirmed not to run any more."""
OUT_OF_USE = frozenset({"stopping", events.LOST}) | ENDED
"""States of a task to which no new request may be sent."""


def list_hosts(state: model.State, event: events.HostsListed) -> None:
    """Take in the platform's host list."""
    listed = {host.name: host.state for host in event.hosts}
    for host in state.hosts.values():
        now_listed = listed.get(host.name, LIVE)
        if now_listed != host.listed:
            host.listed = now_listed
            state.changed_hosts[host.name] = True


def list_tasks(state: model.State, event: events.TasksListed) -> None:
    """Take in changes of the task service's tasks."""
    for task in event.tasks:
        known = state.tasks.get(task.id, "")
        state.tasks[task.id] = task.state
        if (known in OUT_OF_USE) != (task.state in OUT_OF_USE):
            state.changed_hosts[task.host] = True


def refresh(state: model.State, now: float) -> bool:
    """Bring the view up to date; tell whether anything was done.

    All of it, when daemons or the configuration have changed; otherwise
    only the hosts that have.
    """
    fleet, source = state.agreed.fleet, _source(state)
    if fleet is None:
        return False
    if state.view_revision < 0 or state.view_source != source:
        _refresh_services(state, fleet)
        _refresh_hosts(state, fleet)
    elif not _refresh_changed(state, fleet):
        return False
    state.changed_hosts.clear()
    state.view_source = source
    state.view_revision = state.agreed.hosts_revision
    state.view_generation += 1
    _forget_tasks(state)
    return True


def _source(state: model.State) -> str:
    """Name what the view as a whole is derived from."""
    return f"{state.agreed.incarnation}/{state.agreed.fleet_revision}"


def _refresh_changed(state: model.State, fleet: fleet_model.Fleet) -> bool:
    """Bring the changed hosts up to date; tell whether there are any."""
    if state.view_revision != state.agreed.hosts_revision:
        for host in state.agreed.hosts.values():
            if host.revision > state.view_revision:
                state.changed_hosts[host.name] = True
    elif not state.changed_hosts:
        return False
    service_of = {service.pool: service.name for service in fleet.services}
    for name in state.changed_hosts:
        view, agreed_host = state.hosts.get(name), state.agreed.hosts.get(name)
        if view is not None and agreed_host is not None:
            _place_host(state, view, agreed_host, service_of)
            slots.set_owned(state, view, view.owned)
    return True


def _refresh_services(state: model.State, fleet: fleet_model.Fleet) -> None:
    for service in fleet.services:
        view = state.services.get(service.name)
        if view is None:
            view = model.ServiceView(name=service.name, port=service.port)
            state.services[service.name] = view
        view.port = service.port
    known = {service.name for service in fleet.services}
    for name in [name for name in state.services if name not in known]:
        if not state.services[name].waiting:
            del state.services[name]


def _refresh_hosts(state: model.State, fleet: fleet_model.Fleet) -> None:
    service_of = {service.pool: service.name for service in fleet.services}
    members = members_by_zone(state)
    everyone = (*state.alive, state.me.name)
    for host in fleet.hosts:
        agreed_host = state.agreed.hosts.get(host.name)
        if agreed_host is None:
            continue
        view = _host_view(state, host)
        _place_host(state, view, agreed_host, service_of)
        owners = members.get(host.zone, everyone)
        slots.set_owned(state, view, _owned(state, host, owners))
    for name in [n for n in state.hosts if n not in state.agreed.hosts]:
        slots.withdraw(state, state.hosts[name])
        if not state.hosts[name].busy:
            del state.hosts[name]


def members_by_zone(state: model.State) -> dict[str, tuple[str, ...]]:
    """Return the live daemons of each zone that has any."""
    by_zone: dict[str, tuple[str, ...]] = {}
    if not state.stopping_until:
        by_zone[state.me.zone] = (state.me.name,)
    for name in state.alive:
        zone = state.peers[name].zone
        by_zone[zone] = (*by_zone.get(zone, ()), name)
    return by_zone


def hears_every_zone(state: model.State) -> bool:
    """Tell whether a live daemon is heard of each zone that has had one.

    A zone that has gone silent as a whole is more likely cut off from
    here than idle.
    """
    heard = {state.peers[name].zone for name in state.alive}
    heard.add(state.me.zone)
    return all(peer.zone in heard for peer in state.peers.values())


def preset_in_force(state: model.State) -> fleet_model.Preset | None:
    """Return the preset in force, if there is one."""
    found = state.agreed.presets.get(state.agreed.in_force)
    return found.preset if found and state.agreed.fleet else None


def _host_view(state: model.State, host: fleet_model.Host) -> model.HostView:
    view = state.hosts.get(host.name)
    if view is None:
        view = model.HostView(
            name=host.name,
            zone=host.zone,
            rack=host.rack,
            address=host.address,
        )
        state.hosts[host.name] = view
    view.slots = host.slots
    return view


def is_usable(view: model.HostView, host: agreed_state.HostState) -> bool:
    """Tell whether a host may be given new requests."""
    return host.phase == agreed_state.HostPhase.SERVING and (
        view.listed == LIVE
    )


def _place_host(
    state: model.State,
    view: model.HostView,
    host: agreed_state.HostState,
    service_of: dict[str, str],
) -> None:
    """Put a host where its pool, its phase and its job's state ask for."""
    usable = is_usable(view, host) and (
        state.tasks.get(host.task, "") not in OUT_OF_USE
    )
    _place(state, view, service_of.get(host.pool, ""), usable)


def _place(
    state: model.State, view: model.HostView, service: str, usable: bool
) -> None:
    """Put a host under its service, or take it out of use."""
    if view.service != service or not usable:
        slots.withdraw(state, view)
    view.service = service
    view.usable = usable and bool(service)


def _owned(
    state: model.State, host: fleet_model.Host, owners: tuple[str, ...]
) -> set[int]:
    me = state.me.name
    if me not in owners:
        return set()
    return {
        number
        for number in range(host.slots)
        if ownership.slot_owner(host.name, number, owners) == me
    }


def _forget_tasks(state: model.State) -> None:
    """Drop the states of ended jobs that are no longer present.

    A job that runs may be listed before the log has told of it.
    """
    present = {host.task for host in state.agreed.hosts.values()}
    state.tasks = {
        task: known
        for task, known in state.tasks.items()
        if task in present or known not in ENDED
    }
