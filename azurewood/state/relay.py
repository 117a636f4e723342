"""Relays log records between peers when some cannot read the log."""

import collections.abc
import itertools

from azurewood.peers import messages
from azurewood.policy import ownership
from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import log_reader
from azurewood.state import model

REQUEST_INTERVAL_S = 0.5
TAIL_RECORDS = 256

Effects = collections.abc.Iterator[effects.AnyEffect]


def tick(state: model.State, now: float) -> Effects:
    """Ask a peer with newer records, while the log cannot be read."""
    if state.log.reachable or now < state.log.relay_at:
        return
    ahead = [
        peer
        for peer in state.peers.values()
        if peer.alive_until > now and _is_ahead(state, peer)
    ]
    if ahead:
        yield from _request_tail(state, state.rng.choice(ahead), now)


def request_tail_if_behind(
    state: model.State, peer: model.PeerView, now: float
) -> Effects:
    """Ask a peer for records if its heartbeat shows that it has newer ones.

    This is done only while this daemon cannot read the log.
    """
    if state.log.reachable or now < state.log.relay_at:
        return
    if _is_ahead(state, peer):
        yield from _request_tail(state, peer, now)


def _is_ahead(state: model.State, peer: model.PeerView) -> bool:
    mine = state.agreed
    if peer.incarnation == mine.incarnation:
        return peer.offset > mine.offset
    if not mine.incarnation:
        return peer.revision > 0
    return peer.log_reachable and peer.revision >= mine.revision


def _request_tail(
    state: model.State, peer: model.PeerView, now: float
) -> Effects:
    state.log.relay_at = now + REQUEST_INTERVAL_S
    followed = log_reader.followed_state(state)
    yield effects.SendPeer(
        address=peer.address,
        message=messages.TailRequest(
            incarnation=followed.incarnation, offset=followed.offset
        ),
    )


def forward_records(
    state: model.State, records: tuple[events.StoredRecord, ...]
) -> Effects:
    """Forward new records to the peers that cannot read the log.

    Rendezvous hashing chooses the one daemon that forwards to each peer. A
    peer that misses records asks for them after the next heartbeat.
    """
    cut_off = [
        name for name in state.alive if not state.peers[name].log_reachable
    ]
    if not cut_off or not records:
        return
    readers = [state.me.name, *sorted(set(state.alive) - set(cut_off))]
    for name in cut_off:
        if ownership.owner(name, readers) == state.me.name:
            yield effects.SendPeer(
                address=state.peers[name].address,
                message=messages.Tail(
                    incarnation=log_reader.followed_state(state).incarnation,
                    records=_relayed(records),
                ),
            )


def on_tail_request(
    state: model.State, sender: str, message: messages.TailRequest
) -> Effects:
    """Answer with the requested records, or with the whole agreed state."""
    peer = state.peers.get(sender)
    if peer is None or not state.agreed.revision:
        return
    tail = _tail(state, message)
    if tail:
        answer = messages.Tail(incarnation=message.incarnation, records=tail)
    else:
        answer = messages.SnapshotAnswer(
            incarnation=state.agreed.incarnation,
            log_reachable=is_current(state),
            state=agreed_state.pack(state.agreed),
        )
    yield effects.SendPeer(address=peer.address, message=answer)


def is_current(state: model.State) -> bool:
    """Return whether the log is readable and the agreed state follows it."""
    return state.log.reachable and state.incoming is None


def _tail(
    state: model.State, message: messages.TailRequest
) -> tuple[messages.RelayedRecord, ...]:
    """Return the records from the requested offset, if still kept."""
    recent = state.log.recent
    if message.incarnation != log_reader.followed_state(state).incarnation:
        return ()
    if not recent or recent[0].offset > message.offset:
        return ()
    wanted = (item for item in recent if item.offset >= message.offset)
    return _relayed(itertools.islice(wanted, TAIL_RECORDS))


def _relayed(
    records: collections.abc.Iterable[events.StoredRecord],
) -> tuple[messages.RelayedRecord, ...]:
    return tuple(
        messages.RelayedRecord(
            offset=record.offset, at_ms=record.at_ms, data=record.data
        )
        for record in records
    )


def on_tail(state: model.State, message: messages.Tail, now: float) -> Effects:
    """Fold the records received from a peer."""
    if message.incarnation != log_reader.followed_state(state).incarnation:
        return
    stored = (
        events.StoredRecord(
            offset=record.offset, at_ms=record.at_ms, data=record.data
        )
        for record in message.records
    )
    yield from log_reader.fold_records(state, stored, now)


def on_snapshot_answer(
    state: model.State, message: messages.SnapshotAnswer, now: float
) -> Effects:
    """Install a peer's agreed state, if the log cannot be read.

    If the peer follows another incarnation of the log, that one is the
    current one only if the peer can read the log at present.
    """
    mine = state.agreed.incarnation
    if state.log.reachable:
        return
    if mine and message.incarnation != mine and not message.log_reachable:
        return
    yield from log_reader.install_packed_snapshot(state, message.state, now)
