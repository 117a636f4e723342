"""Tracks which peers are alive, by sending and receiving heartbeats."""

import collections
import collections.abc
import heapq

import msgspec

from azurewood.peers import messages
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import heartbeats
from azurewood.state import model
from azurewood.state import relay
from azurewood.state import zones

PEER_RETENTION_S = 120.0
GREETING_INTERVAL_S = 2.0
GOSSIPED_ADDRESSES = 2
ANSWERED_ADDRESSES = 32
MAX_CHANGED_SERVICES = 2
MIN_CHANGED_SHARE = 0.25
MIN_CHANGED_REQUESTS = 2
"""A short heartbeat reports a service whose requests in progress changed by
more than both of these: a number of requests and a share of the last report.
"""

Effects = collections.abc.Iterator[effects.AnyEffect]


def tick(state: model.State, now: float) -> Effects:
    """Send heartbeats when due, and update the list of live peers."""
    if now >= state.heartbeat_at or _has_urgent_change(state):
        yield from send_heartbeats(state, now)
    _forget_old_peers(state, now)
    update_alive(state, now)


def _forget_old_peers(state: model.State, now: float) -> None:
    old = [
        peer.name
        for peer in state.peers.values()
        if peer.alive_until + PEER_RETENTION_S < now
    ]
    for name in old:
        del state.peers[name]
    greeted = state.beats.greeted
    for address in [key for key, until in greeted.items() if until <= now]:
        del greeted[address]


def update_alive(state: model.State, now: float) -> None:
    """Recompute the names of live peers that are not stopping.

    A change causes the view of hosts to be rebuilt. This runs once a tick so
    that many daemons starting together cause one rebuild instead of one
    each.
    """
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
    _update_zones(state)


def _update_zones(state: model.State) -> None:
    """Recompute which zones have live daemons."""
    seen = zones.zones_seen(state)
    if seen != state.zones_seen:
        state.zones_seen = seen
        state.view_revision = -1


def send_heartbeats(state: model.State, now: float) -> Effects:
    """Send heartbeats to peers of this zone and some of each other zone."""
    chosen = heartbeats.targets(state)
    interval_s = heartbeats.interval_s(state, chosen)
    state.heartbeat_at = now + interval_s
    near = far = _heartbeat(state, is_full=False, interval_s=interval_s)
    is_urgent = _has_urgent_change(state)
    is_far = is_urgent or state.beats.count % chosen.far_period == 0
    state.beats.count += 1
    if is_urgent or now >= state.beats.whole_at:
        near = _heartbeat(state, interval_s=interval_s)
        if is_urgent or state.beats.wholes % chosen.far_period == 0:
            far, is_far = near, True
        _record_full_heartbeat(
            state, now + heartbeats.full_interval_s(state, chosen)
        )
    yield from _send(chosen.near, near)
    if is_far:
        yield from _send(chosen.far, far)


def _record_full_heartbeat(state: model.State, next_at: float) -> None:
    beats = state.beats
    beats.wholes += 1
    beats.whole_at = next_at
    beats.incarnation = state.agreed.incarnation
    beats.log_reachable = relay.is_current(state)
    beats.stopping = bool(state.stopping_until)


def _has_urgent_change(state: model.State) -> bool:
    """Return whether all peers must learn of a change immediately."""
    beats = state.beats
    return (
        beats.incarnation != state.agreed.incarnation
        or beats.log_reachable != relay.is_current(state)
        or beats.stopping != bool(state.stopping_until)
    )


def _send(addresses: list[str], message: messages.Heartbeat) -> Effects:
    for address in addresses:
        yield effects.SendPeer(address=address, message=message)


def acknowledge(state: model.State, peer: str) -> Effects:
    """Send a short heartbeat to one known peer immediately."""
    if peer in state.peers:
        yield effects.SendPeer(
            address=state.peers[peer].address,
            message=_heartbeat(state, is_full=False),
        )


def _heartbeat(
    state: model.State, *, is_full: bool = True, interval_s: float = 0.0
) -> messages.Heartbeat:
    """Return a heartbeat.

    A short one leaves out what peers know from the last full one.
    """
    short = messages.Heartbeat(
        address=state.me.address,
        boot=state.me.boot,
        interval_ms=int(interval_s * heartbeats.MS_PER_S),
        offset=state.agreed.offset,
        revision=state.agreed.revision,
        log_reachable=relay.is_current(state),
        stopping=bool(state.stopping_until),
        draining=_draining(state),
    )
    if not is_full:
        return msgspec.structs.replace(
            short, counts=tuple(_counts(state, _changed(state)))
        )
    return msgspec.structs.replace(
        short,
        zone=state.me.zone,
        incarnation=state.agreed.incarnation,
        counts=tuple(_counts(state, state.services.values())),
        known=_gossip(state, GOSSIPED_ADDRESSES),
        zones=zones.directly_reachable_zones(state),
    )


def _changed(state: model.State) -> list[model.ServiceView]:
    """Return the services whose demand changed most since last reported."""

    def change(view: model.ServiceView) -> int:
        reported = state.beats.told.get(view.name, 0)
        difference = abs(view.in_flight + view.waiting - reported)
        return (
            difference
            if difference
            > max(MIN_CHANGED_REQUESTS, reported * MIN_CHANGED_SHARE)
            else 0
        )

    changed = [view for view in state.services.values() if change(view)]
    return heapq.nlargest(MAX_CHANGED_SERVICES, changed, key=change)


def _counts(
    state: model.State, views: collections.abc.Iterable[model.ServiceView]
) -> collections.abc.Iterator[messages.ServiceCount]:
    for view in views:
        if view.count.good or view.count.bad or view.arrived:
            state.beats.told[view.name] = view.in_flight + view.waiting
            yield messages.ServiceCount(
                service=view.name,
                good=view.count.good,
                bad=view.count.bad,
                busy=view.in_flight,
                waiting=view.waiting,
            )


def _draining(state: model.State) -> tuple[str, ...]:
    """Return the hosts out of service on which requests still run."""
    return tuple(
        host.name
        for host in state.hosts.values()
        if host.busy and not host.usable
    )


def _gossip(state: model.State, count: int) -> tuple[messages.KnownPeer, ...]:
    """Return a random sample of live peers.

    Gossiping them lets all daemons of a zone discover each other.
    """
    live = [
        peer
        for peer in state.peers.values()
        if peer.alive_until > state.stepped_at
    ]
    if len(live) > count:
        live = state.rng.sample(live, count)
    return tuple(
        messages.KnownPeer(zone=peer.zone, address=peer.address)
        for peer in live
    )


def on_peer_message(
    state: model.State, event: events.MessageReceived, now: float
) -> Effects:
    """Handle a message from a peer."""
    match event.message:
        case messages.Heartbeat() as beat_message:
            yield from _on_heartbeat(state, event.sender, beat_message, now)
        case messages.TailRequest():
            yield from relay.on_tail_request(
                state, event.sender, event.message
            )
        case messages.Tail():
            yield from relay.on_tail(state, event.message, now)
        case messages.SnapshotAnswer():
            yield from relay.on_snapshot_answer(state, event.message, now)


def _on_heartbeat(
    state: model.State,
    sender: str,
    message: messages.Heartbeat,
    now: float,
) -> Effects:
    if sender == state.me.name:
        return
    peer = state.peers.get(sender)
    is_new = peer is None or peer.boot != message.boot
    if is_new and not message.zone:
        yield from _request_full_heartbeat(state, message.address, now)
        return
    if is_new:
        peer = _new_peer(sender, message)
        state.peers[sender] = peer
    timeout_s = heartbeats.timeout_s(state, peer, message.interval_ms)
    peer.alive_until = max(peer.alive_until, now + timeout_s)
    _update_peer(peer, message)
    if is_new or message.asks:
        yield effects.SendPeer(address=message.address, message=_answer(state))
    yield from _greet_known_peers(state, message, now)
    yield from relay.request_tail_if_behind(state, peer, now)


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
    if message.zone:
        peer.incarnation = message.incarnation
        peer.zones = message.zones
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


def _answer(state: model.State) -> messages.Heartbeat:
    """Return a full heartbeat that names more peers than a periodic one."""
    return msgspec.structs.replace(
        _heartbeat(state), known=_gossip(state, ANSWERED_ADDRESSES)
    )


def _greet_known_peers(
    state: model.State, message: messages.Heartbeat, now: float
) -> Effects:
    """Contact unknown peers that the sender knows and this daemon needs.

    It needs all peers of its zone and a few of each other zone.
    """
    if not message.known:
        return
    addresses = {peer.address for peer in state.peers.values()}
    addresses.add(state.me.address)
    per_zone = collections.Counter(peer.zone for peer in state.peers.values())
    for known in message.known:
        is_needed = (
            known.zone == state.me.zone
            or per_zone[known.zone] < heartbeats.SMALL_ZONE_DAEMONS
        )
        if is_needed and known.address not in addresses:
            per_zone[known.zone] += 1
            yield from _request_full_heartbeat(state, known.address, now)


def _request_full_heartbeat(
    state: model.State, address: str, now: float
) -> Effects:
    """Ask for a full heartbeat, once per ``GREETING_INTERVAL_S`` at most."""
    greeted = state.beats.greeted
    if greeted.get(address, 0.0) > now:
        return
    greeted[address] = now + GREETING_INTERVAL_S
    yield effects.SendPeer(
        address=address,
        message=msgspec.structs.replace(_heartbeat(state), asks=True),
    )
