"""When heartbeats are sent, to whom, and how much they hold.

A short heartbeat says that its sender lives and how far it has come. A
whole one adds what changes seldom or is long. Both are spaced so that their
bytes stay within a budget, whatever the number of peers: peers in the zone
get every one, a few peers in each other zone get some.
"""

import dataclasses

from azurewood.policy import ownership
from azurewood.state import model

REMOTE_PEERS_PER_ZONE = 2
SMALL_ZONE_DAEMONS = 3
"""Up to so many daemons of another zone are all told."""

BUDGET_BYTES_PER_S = 3600.0
HOST_BYTES_PER_S = 0.6
"""What a host takes of the budget: the platform's lists are longer."""

MIN_BYTES_PER_S = 1400.0
SHORT_BUDGET_SHARE = 0.6
SHORT_BYTES = 240
FULL_BYTES = 330
SERVICE_BYTES = 25
"""Sizes on the wire, with the headers of TCP/IP and the ACK."""

FULL_INTERVAL_S = 1.0
MS_PER_S = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class Targets:
    """Addresses in the zone and in other zones."""

    near: list[str]
    far: list[str]
    zones: int

    @property
    def far_period(self) -> int:
        """Return of how many heartbeats one goes to other zones."""
        return far_period(self.zones)

    @property
    def mean_recipients(self) -> float:
        """Return to how many peers a heartbeat goes, on average."""
        return len(self.near) + len(self.far) / self.far_period


def far_period(zones: int) -> int:
    """Return of how many heartbeats one goes to other zones."""
    return 2 + zones // 4


def known_zone_count(state: model.State) -> int:
    """Return the number of zones with daemons that are known."""
    zones = {peer.zone for peer in state.peers.values()}
    return len(zones | {state.me.zone})


def targets(state: model.State) -> Targets:
    """Return where heartbeats go; seeds that are not known count as near."""
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
    """Choose some peers of another zone, the same ones every time."""
    if len(peers) <= SMALL_ZONE_DAEMONS:
        return peers
    ranked = sorted(
        peers,
        key=lambda peer: ownership.weight(state.me.name, peer.name),
        reverse=True,
    )
    return ranked[:REMOTE_PEERS_PER_ZONE]


def _budget(state: model.State) -> float:
    """Return the bytes a second that heartbeats may take when sent."""
    hosts = len(state.agreed.hosts)
    left = BUDGET_BYTES_PER_S - hosts * HOST_BYTES_PER_S
    return max(left, MIN_BYTES_PER_S)


def interval_s(state: model.State, chosen: Targets) -> float:
    """Return the time from one heartbeat to the next."""
    rate = SHORT_BUDGET_SHARE * _budget(state)
    return max(
        state.timing.heartbeat_s, chosen.mean_recipients * SHORT_BYTES / rate
    )


def full_interval_s(state: model.State, chosen: Targets) -> float:
    """Return the time from one whole heartbeat to the next."""
    size = FULL_BYTES + SERVICE_BYTES * len(state.services)
    rate = (1 - SHORT_BUDGET_SHARE) * _budget(state)
    return max(FULL_INTERVAL_S, chosen.mean_recipients * size / rate)


def timeout_s(
    state: model.State, peer: model.PeerView, interval_ms: int
) -> float:
    """Return the silence after which a peer is taken for dead.

    As many heartbeats are missed as the settings say for their own.
    """
    timing = state.timing
    missed = timing.peer_timeout_s / timing.heartbeat_s
    silence = missed * interval_ms / MS_PER_S
    if peer.zone != state.me.zone:
        silence *= far_period(known_zone_count(state))
    return max(timing.peer_timeout_s, silence)
