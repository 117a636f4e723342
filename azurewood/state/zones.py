"""Assigns the hosts of each zone to the daemons responsible for them.

The live daemons of a zone are responsible for its hosts. For a zone without
any, rendezvous hashing chooses one other zone, whose daemons take over. Its
hosts thus stay in use, and no daemon relies on all the others to use them.
"""

from azurewood.policy import ownership
from azurewood.state import model

UNKNOWN_OWNERS = ("",)
"""Owners of a zone whose names are not needed, as this daemon is not one."""

ISOLATION_ZONES = 2


def members_by_zone(state: model.State) -> dict[str, tuple[str, ...]]:
    """Return the live daemons of each zone that this daemon can reach."""
    by_zone: dict[str, tuple[str, ...]] = {}
    if not state.stopping_until:
        by_zone[state.me.zone] = (state.me.name,)
    for name in state.alive:
        zone = state.peers[name].zone
        by_zone[zone] = (*by_zone.get(zone, ()), name)
    return by_zone


def directly_reachable_zones(state: model.State) -> tuple[str, ...]:
    """Return the other zones whose heartbeats reach this daemon directly."""
    zones = {state.peers[name].zone for name in state.alive}
    return tuple(sorted(zones - {state.me.zone}))


def zones_seen(state: model.State) -> tuple[str, ...]:
    """Return the other zones that reach any live daemon of this zone."""
    seen = set(directly_reachable_zones(state))
    for name in state.alive:
        peer = state.peers[name]
        if peer.zone == state.me.zone:
            seen.update(peer.zones)
    return tuple(sorted(seen))


def owners_by_zone(state: model.State) -> dict[str, tuple[str, ...]]:
    """Return the daemons responsible for the hosts of every zone."""
    owners = members_by_zone(state)
    for zone in zones_seen(state):
        owners.setdefault(zone, UNKNOWN_OWNERS)
    live = sorted(owners)
    for zone in state.agreed.fleet.zones:
        if zone.name not in owners:
            owners[zone.name] = _substitutes(state, zone.name, owners, live)
    return owners


def _substitutes(
    state: model.State,
    zone: str,
    owners: dict[str, tuple[str, ...]],
    live: list[str],
) -> tuple[str, ...]:
    """Return the daemons responsible for a zone without live daemons.

    A daemon that no longer hears from any other zone takes over no hosts:
    it is more likely that its own network is cut off than that all other
    daemons have failed.
    """
    if not live or _is_isolated(state):
        return UNKNOWN_OWNERS
    return owners[ownership.owner(zone, live)]


def _is_isolated(state: model.State) -> bool:
    """Return whether all of several other zones have become unresponsive."""
    if zones_seen(state):
        return False
    lost = {peer.zone for peer in state.peers.values()} - {state.me.zone}
    return len(lost) >= ISOLATION_ZONES
