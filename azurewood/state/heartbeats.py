"""The recipients and the intervals of heartbeats.

A short heartbeat says that its sender is alive and how much of the log it
has applied. A full one adds what is long or seldom changes. Both are sent
at intervals that keep their bytes within a budget, whatever the number of
peers. Peers of the same zone get every heartbeat; a few peers in each other
zone get one in several.
"""

import dataclasses

from azurewood.policy import ownership
from azurewood.state import model

REMOTE_PEERS_PER_ZONE = 2
SMALL_ZONE_DAEMONS = 3
"""In another zone with up to this many daemons, all get heartbeats."""

BUDGET_BYTES_PER_S = 3600.0
HOST_BYTES_PER_S = 0.6
"""Deducted from the budget per host.

The platform's lists grow with the number of hosts and share the limit.
"""

MIN_BYTES_PER_S = 1400.0
SHORT_BUDGET_SHARE = 0.6
SHORT_BYTES = 240
FULL_BYTES = 330
SERVICE_BYTES = 25
"""Sizes on the wire, including TCP/IP headers and the ACK."""

FULL_INTERVAL_S = 1.0
MS_PER_S = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class Targets:
    """Addresses that get heartbeats, in this zone and in other zones."""

    near: list[str]
    far: list[str]
    zones: int

    @property
    def far_period(self) -> int:
        """Return N where one heartbeat in N goes to other zones."""
        return far_period(self.zones)

    @property
    def mean_recipients(self) -> float:
        """Return the mean number of recipients of a heartbeat."""
        return len(self.near) + len(self.far) / self.far_period


def far_period(zones: int) -> int:
    """Return N where one heartbeat in N goes to other zones."""
    return 2 + zones // 4


def known_zone_count(state: model.State) -> int:
    """Return the number of zones with known daemons, this one included."""
    zones = {peer.zone for peer in state.peers.values()}
    return len(zones | {state.me.zone})


def targets(state: model.State) -> Targets:
    """Return the recipients of heartbeats; unknown seeds count as near."""
    known = {peer.address for peer in state.peers.values()}
    near = set(state.seeds) - known - {state.me.address}
    by_zone: dict[str, list[model.PeerView]] = {}
    for peer in state.peers.values():
        by_zone.setdefault(peer.zone, []).append(peer)
    near.update(peer.address for peer in by_zone.pop(state.me.zone, ()))
    far = [
        peer.address
        for peers in by_zone.values()
        for peer in _choose_remote_peers(state, peers)
    ]
    return Targets(near=sorted(near), far=sorted(far), zones=1 + len(by_zone))


def _choose_remote_peers(
    state: model.State, peers: list[model.PeerView]
) -> list[model.PeerView]:
    """Choose some peers of another zone by rendezvous hashing.

    The choice stays the same while the peers do.
    """
    if len(peers) <= SMALL_ZONE_DAEMONS:
        return peers
    ranked = sorted(
        peers,
        key=lambda peer: ownership.weight(state.me.name, peer.name),
        reverse=True,
    )
    return ranked[:REMOTE_PEERS_PER_ZONE]


def _budget(state: model.State) -> float:
    """Return the bytes per second that this daemon's heartbeats may use."""
    hosts = len(state.agreed.hosts)
    left = BUDGET_BYTES_PER_S - hosts * HOST_BYTES_PER_S
    return max(left, MIN_BYTES_PER_S)


def interval_s(state: model.State, chosen: Targets) -> float:
    """Return the interval between heartbeats."""
    rate = SHORT_BUDGET_SHARE * _budget(state)
    return max(
        state.timing.heartbeat_s, chosen.mean_recipients * SHORT_BYTES / rate
    )


def full_interval_s(state: model.State, chosen: Targets) -> float:
    """Return the interval between full heartbeats."""
    size = FULL_BYTES + SERVICE_BYTES * len(state.services)
    rate = (1 - SHORT_BUDGET_SHARE) * _budget(state)
    return max(FULL_INTERVAL_S, chosen.mean_recipients * size / rate)


def timeout_s(
    state: model.State, peer: model.PeerView, interval_ms: int
) -> float:
    """Return the time without heartbeats after which a peer is dead.

    The peer may miss as many of the intervals that it announces as the
    settings allow at the configured interval.
    """
    timing = state.timing
    missed = timing.peer_timeout_s / timing.heartbeat_s
    silence = missed * interval_ms / MS_PER_S
    if peer.zone != state.me.zone:
        silence *= far_period(known_zone_count(state))
    return max(timing.peer_timeout_s, silence)
