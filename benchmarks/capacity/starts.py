"""Measure how a daemon catches up, from a snapshot or a tail of the log."""

import time
import typing

from azurewood.peers import messages
from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import records
from azurewood.state import reducer
from benchmarks.capacity import fleets
from benchmarks.capacity import results
from benchmarks.capacity import timing
from benchmarks.capacity import wire

TAIL_SIZES = (32, 64, 128, 256)
NOW = 1000.0
US_PER_MS = 1000


def measure() -> typing.Iterator[results.Table]:
    """Measure starts from a snapshot and catching up by a tail."""
    yield starts()
    yield returns()


def _peer_name(state: model.State) -> str:
    return next(
        name for name in state.peers if state.peers[name].zone == state.me.zone
    )


def _new_daemon(agreed: agreed_state.Agreed) -> model.State:
    """Return a daemon that knows its peers but has no agreed state."""
    state = fleets.daemon(agreed)
    fleets.deliver_heartbeats(state, daemons=110, zones=fleets.ZONES, now=NOW)
    state.agreed = agreed_state.Agreed()
    state.hosts.clear()
    state.services.clear()
    state.log.reachable = False
    state.view_revision = -1
    return state


def starts() -> results.Table:
    """Measure a start from the platform's snapshot and from a peer's."""
    rows = [_start_row(size) for size in fleets.SIZES]
    table = results.Table(
        name="starts",
        title=(
            "A new daemon's start: from a snapshot to a whole view, "
            "110 daemons in 11 zones"
        ),
        columns=[
            "hosts",
            "snapshot, B",
            "from the platform, ms",
            "peer's answer, B",
            "peer's work, ms",
            "from a peer, ms",
        ],
        rows=rows,
        note="CPU, without the network's time and the peers' greeting.",
    )
    for column in table.columns[1:]:
        table.add_fit("hosts", column)
    return table


def _start_row(size: int) -> list[results.Cell]:
    agreed = fleets.log(fleets.fleet(hosts=size)).state
    packed = agreed_state.pack(agreed)
    read = events.SnapshotRead(incarnation=fleets.INCARNATION, state=packed)
    new = _new_daemon(agreed)
    from_platform = timing.cpu_us(
        lambda: reducer.step(new, read, NOW), repeats=1
    )
    frame, work = _answer(agreed, "", 0)
    newer = _new_daemon(agreed)
    from_peer = timing.cpu_us(lambda: _receive(newer, frame), repeats=1)
    if not newer.agreed.revision or not newer.hosts:
        raise ValueError("the new daemon did not adopt the peer's snapshot")
    return [
        size,
        len(packed),
        from_platform / US_PER_MS,
        len(frame),
        work / US_PER_MS,
        from_peer / US_PER_MS,
    ]


def _answer(
    agreed: agreed_state.Agreed,
    incarnation: str,
    offset: int,
    recent: typing.Iterable[events.StoredRecord] = (),
) -> tuple[bytes, float]:
    """Return a peer's encoded answer to a tail request and its CPU, in µs."""
    peer = fleets.daemon(agreed)
    fleets.deliver_heartbeats(peer, daemons=110, zones=fleets.ZONES, now=NOW)
    peer.log.recent.extend(recent)
    request = messages.TailRequest(incarnation=incarnation, offset=offset)
    event = events.MessageReceived(sender=_peer_name(peer), message=request)
    reducer.step(peer, event, NOW)
    frames: list[bytes] = []

    def answer() -> None:
        for effect in reducer.step(peer, event, NOW):
            if isinstance(effect, effects.SendPeer):
                frames.append(wire.frame(effect.message, "peer"))

    spent = timing.cpu_us(answer, repeats=3)
    return frames[0], spent


def _receive(state: model.State, frame: bytes) -> None:
    envelope = messages.decode(frame, key=wire.KEY)
    event = events.MessageReceived(
        sender=_peer_name(state), message=envelope.message
    )
    reducer.step(state, event, NOW)


def returns() -> results.Table:
    """Measure catching up from a peer by a tail of host changes."""
    rows = [_return_row(size) for size in TAIL_SIZES]
    table = results.Table(
        name="returns",
        title="A tail relayed by a peer, 3,700 hosts",
        columns=["records", "bytes", "peer's work, ms", "folding, ms"],
        rows=rows,
        note="At most 256 records go into one answer.",
    )
    for column in table.columns[1:]:
        table.add_fit("records", column)
    return table


def _return_row(size: int) -> list[results.Cell]:
    log = fleets.log(fleets.fleet())
    behind = _new_daemon(log.state)
    behind.agreed = agreed_state.unpack(agreed_state.pack(log.state))
    reducer.step(behind, events.Tick(), NOW)
    first = log.state.offset
    stored = []
    for name in list(log.state.hosts)[:size]:
        change = records.DrainHost(reason="maintenance", drain_ms=30000)
        record = log.record(fleets.host_proposal(log.state, name, change))
        stored += log.stored(record).records
        log.fold_record(record)
    frame, work = _answer(log.state, fleets.INCARNATION, first, stored)
    started = time.thread_time()
    _receive(behind, frame)
    spent = time.thread_time() - started
    if behind.agreed.offset != log.state.offset:
        raise ValueError("the daemon did not apply all records of the tail")
    return [size, len(frame), work / US_PER_MS, spent * 1000]
