"""Which peers are alive: heartbeats sent, heard and missed."""

import collections.abc

from azurewood.peers import messages
from azurewood.policy import ownership
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import relay

FORGET_S = 120.0
REMOTE_PEERS_PER_ZONE = 3
GOSSIPED_ADDRESSES = 8

Effects = collections.abc.Iterator[effects.AnyEffect]


def tick(state: model.State, now: float) -> Effects:
    """Send a heartbeat when one is due, and note who has gone silent."""
    if now >= state.heartbeat_at:
        yield from beat(state, now)
    _forget(state, now)
    update_alive(state, now)


def _forget(state: model.State, now: float) -> None:
    old = [
        peer.name
        for peer in state.peers.values()
        if peer.alive_until + FORGET_S < now
    ]
    for name in old:
        del state.peers[name]


def update_alive(state: model.State, now: float) -> None:
    """Recompute the names of live peers that are not stopping."""
    alive = tuple(
        sorted(
            peer.name
            for peer in state.peers.values()
            if peer.alive_until > now and not peer.stopping
        )
    )
    if alive != state.alive:
        state.alive = alive
        state.view_revision = -1


def beat(state: model.State, now: float) -> Effects:
    """Send a heartbeat to the zone's peers and some of each other zone."""
    state.heartbeat_at = now + state.timing.heartbeat_s
    message = _heartbeat(state)
    for address in sorted(_addresses(state, now)):
        yield effects.SendPeer(address=address, message=message)


def acknowledge(state: model.State, peer: str) -> Effects:
    """Send a heartbeat to one live peer at once."""
    if peer in state.peers:
        yield effects.SendPeer(
            address=state.peers[peer].address, message=_heartbeat(state)
        )


def _addresses(state: model.State, now: float) -> set[str]:
    """Return where heartbeats go: seeds until they are known, and peers."""
    known = {peer.address for peer in state.peers.values()}
    targets = set(state.seeds) - known - {state.me.address}
    by_zone: dict[str, list[model.PeerView]] = {}
    for peer in state.peers.values():
        by_zone.setdefault(peer.zone, []).append(peer)
    for zone, peers in by_zone.items():
        if zone != state.me.zone:
            peers = _nearest(state, peers)
        targets.update(peer.address for peer in peers)
    return targets


def _nearest(
    state: model.State, peers: list[model.PeerView]
) -> list[model.PeerView]:
    """Choose some peers of another zone, the same ones every time."""
    if len(peers) <= REMOTE_PEERS_PER_ZONE:
        return peers
    ranked = sorted(
        peers,
        key=lambda peer: ownership.weight(state.me.name, peer.name),
        reverse=True,
    )
    return ranked[:REMOTE_PEERS_PER_ZONE]


def _heartbeat(state: model.State) -> messages.Heartbeat:
    return messages.Heartbeat(
        zone=state.me.zone,
        address=state.me.address,
        boot=state.me.boot,
        incarnation=state.agreed.incarnation,
        offset=state.agreed.offset,
        revision=state.agreed.revision,
        log_reachable=relay.is_current(state),
        stopping=bool(state.stopping_until),
        draining=_draining(state),
        counts=tuple(
            messages.ServiceCount(
                service=view.name,
                good=view.count.good,
                bad=view.count.bad,
                busy=view.in_flight,
                waiting=view.waiting,
            )
            for view in state.services.values()
            if view.count.good or view.count.bad or view.arrived
        ),
        known=_gossip(state),
    )


def _draining(state: model.State) -> tuple[str, ...]:
    """Return the hosts that must not serve on which requests still run."""
    return tuple(
        host.name
        for host in state.hosts.values()
        if host.busy and not host.usable
    )


def _gossip(state: model.State) -> tuple[str, ...]:
    """Draw some peers' addresses, so that all learn of all."""
    addresses = sorted(peer.address for peer in state.peers.values())
    if len(addresses) <= GOSSIPED_ADDRESSES:
        return tuple(addresses)
    return tuple(state.rng.sample(addresses, GOSSIPED_ADDRESSES))


def heard(state: model.State, event: events.PeerSaid, now: float) -> Effects:
    """Take in a peer's message."""
    match event.message:
        case messages.Heartbeat() as beat_message:
            yield from _heard_heartbeat(state, event.sender, beat_message, now)
        case messages.TailRequest():
            yield from relay.asked(state, event.sender, event.message)
        case messages.Tail():
            yield from relay.told(state, event.message, now)
        case messages.SnapshotAnswer():
            yield from relay.given(state, event.message, now)


def _heard_heartbeat(
    state: model.State,
    sender: str,
    message: messages.Heartbeat,
    now: float,
) -> Effects:
    if sender == state.me.name:
        return
    is_new = sender not in state.peers
    peer = state.peers.get(sender)
    if peer is None or peer.boot != message.boot:
        peer = _new_peer(sender, message)
        state.peers[sender] = peer
    peer.alive_until = now + state.timing.peer_timeout_s
    _update_peer(peer, message)
    update_alive(state, now)
    yield from _greet_known(state, message, is_new)
    yield from relay.compare(state, peer, now)


def _new_peer(sender: str, message: messages.Heartbeat) -> model.PeerView:
    return model.PeerView(
        name=sender,
        zone=message.zone,
        address=message.address,
        boot=message.boot,
        alive_until=0.0,
    )


def _update_peer(peer: model.PeerView, message: messages.Heartbeat) -> None:
    peer.address = message.address
    peer.incarnation = message.incarnation
    peer.offset = message.offset
    peer.revision = message.revision
    peer.log_reachable = message.log_reachable
    peer.stopping = message.stopping
    peer.draining = message.draining
    for count in message.counts:
        peer.counts[count.service] = model.Count(
            good=count.good,
            bad=count.bad,
            busy=count.busy,
            waiting=count.waiting,
        )


def _greet_known(
    state: model.State, message: messages.Heartbeat, is_new: bool
) -> Effects:
    """Answer a new peer, and greet the peers that it knows and we do not."""
    if is_new:
        yield effects.SendPeer(
            address=message.address, message=_heartbeat(state)
        )
    known = {peer.address for peer in state.peers.values()}
    known.add(state.me.address)
    for address in message.known:
        if address not in known:
            yield effects.SendPeer(address=address, message=_heartbeat(state))
