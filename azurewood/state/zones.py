"""Which daemons are responsible for the hosts of each zone.

The live daemons of a zone are. A zone without any is looked after by the
daemons of one other zone, chosen by rendezvous hashing, so that its hosts
are used and nobody counts on all the others.
"""

from azurewood.policy import ownership
from azurewood.state import model

UNKNOWN_OWNERS = ("",)
"""Daemons that this one need not know: they are not it."""

ISOLATION_ZONES = 2


def members_by_zone(state: model.State) -> dict[str, tuple[str, ...]]:
    """Return the live daemons of each zone that this one hears from."""
    by_zone: dict[str, tuple[str, ...]] = {}
    if not state.stopping_until:
        by_zone[state.me.zone] = (state.me.name,)
    for name in state.alive:
        zone = state.peers[name].zone
        by_zone[zone] = (*by_zone.get(zone, ()), name)
    return by_zone


def directly_reachable_zones(state: model.State) -> tuple[str, ...]:
    """Return the other zones that this daemon hears from itself."""
    zones = {state.peers[name].zone for name in state.alive}
    return tuple(sorted(zones - {state.me.zone}))


def zones_seen(state: model.State) -> tuple[str, ...]:
    """Return the zones that live daemons of this zone hear from."""
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
            owners[zone.name] = _substitute_owners(
                state, zone.name, owners, live
            )
    return owners


def _substitute_owners(
    state: model.State,
    zone: str,
    owners: dict[str, tuple[str, ...]],
    live: list[str],
) -> tuple[str, ...]:
    """Return who looks after a zone without live daemons.

    A daemon that hears from no other zone any more takes over nothing: it
    is more likely cut off itself than all the others are dead.
    """
    if not live or _is_isolated(state):
        return UNKNOWN_OWNERS
    return owners[ownership.owner(zone, live)]


def _is_isolated(state: model.State) -> bool:
    """Tell whether several other zones have gone silent, and none is left."""
    if zones_seen(state):
        return False
    lost = {peer.zone for peer in state.peers.values()} - {state.me.zone}
    return len(lost) >= ISOLATION_ZONES
