"""Reads the platform's log, and handles its trims, resets and snapshots."""

import collections.abc

from azurewood.conf import decoding
from azurewood.policy import ownership
from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import fold
from azurewood.state import model
from azurewood.state import outbox
from azurewood.state import records

RETRY_BASE_S = 0.1
RETRY_CAP_S = 5.0
SEED_INTERVAL_S = 2.0
SNAPSHOT_INTERVAL_S = 600.0
SNAPSHOT_INTERVAL_RECORDS = 2000

Effects = collections.abc.Iterator[effects.AnyEffect]


def retry_delay_s(state: model.State, failures: int) -> float:
    """Return the delay in seconds before a retry.

    It grows exponentially with the number of failures up to a cap, of which
    a random share between a half and one is taken.
    """
    cap = min(RETRY_CAP_S, RETRY_BASE_S * 2 ** min(failures, 16))
    return cap * state.rng.uniform(0.5, 1.0)


def start(state: model.State, now: float) -> list[effects.AnyEffect]:
    """Return the first effects of a daemon, which read the last snapshot."""
    state.log.quiet_since = now
    state.log.snapshot_due = now + SNAPSHOT_INTERVAL_S
    return [effects.ReadSnapshot(not_before=now)]


def followed_state(state: model.State) -> agreed_state.Agreed:
    """Return the state that records of the log are folded into.

    After a reset of the log this is the incoming state, not the agreed one.
    """
    return state.agreed if state.incoming is None else state.incoming


def on_records_read(
    state: model.State, event: events.RecordsRead, now: float
) -> Effects:
    """Handle records read from the log, then request the next ones."""
    _record_log_answer(state, now)
    if event.incarnation != followed_state(state).incarnation:
        yield from _follow_incarnation(state, event.incarnation, now)
        return
    yield from fold_records(state, event.records, now)
    yield effects.ReadLog(offset=followed_state(state).offset, not_before=now)


def _record_log_answer(state: model.State, now: float) -> None:
    state.log.reachable = True
    state.log.quiet_since = now
    state.log.failures = 0


def _follow_incarnation(
    state: model.State, incarnation: str, now: float
) -> Effects:
    """Start to read a new incarnation of the log.

    If this daemon has an agreed state, it seeds the new log with it. That
    state stays in force until the new log has caught up with it.
    """
    state.log.recent.clear()
    if state.agreed.revision:
        state.incoming = agreed_state.Agreed(incarnation=incarnation)
        yield effects.Report(
            level="WARNING",
            name="log_reset",
            text=f"the log has a new incarnation {incarnation}",
        )
        yield _seed(state, now)
    else:
        fold.start_incarnation(state.agreed, incarnation)
    yield effects.ReadLog(offset=0, not_before=now)


def _seed(state: model.State, now: float) -> effects.AppendSeed:
    state.log.seed_at = now + SEED_INTERVAL_S
    record = records.Seed(
        writer=state.me.writer,
        revision=state.agreed.revision,
        state=agreed_state.pack(state.agreed),
    )
    return effects.AppendSeed(data=records.encode(record))


def fold_records(
    state: model.State,
    stored: collections.abc.Iterable[events.StoredRecord],
    now: float,
) -> Effects:
    """Fold records in order; skip those already folded and stop at a gap."""
    for record in stored:
        offset = followed_state(state).offset
        if record.offset < offset:
            continue
        if record.offset > offset:
            break
        state.log.recent.append(record)
        yield from _fold_one(state, record, now)
        yield from _replace_when_caught_up(state, now)
    yield from _report_in_force(state)


def _report_in_force(state: model.State) -> Effects:
    """Report a preset or a configuration that has newly come into force."""
    agreed = state.agreed
    if state.log.reported_in_force != agreed.in_force_revision:
        state.log.reported_in_force = agreed.in_force_revision
        yield effects.Report(
            level="INFO",
            name="preset_in_force",
            text=f"preset {agreed.in_force} is in force",
            revision=agreed.in_force_revision,
        )
    if state.log.reported_fleet != agreed.fleet_revision:
        state.log.reported_fleet = agreed.fleet_revision
        yield effects.Report(
            level="INFO",
            name="configuration_in_force",
            text="a configuration is in force",
            revision=agreed.fleet_revision,
        )


def _replace_when_caught_up(state: model.State, now: float) -> Effects:
    """Put the state of a new log in force once it has caught up.

    It has caught up when its revision is no lower than that of the agreed
    state. If it is lower but proposals have been accepted since the seeding,
    the log takes precedence all the same, and the accepted proposals that it
    lacks are reported as lost.
    """
    incoming = state.incoming
    if incoming is None:
        return
    is_behind = incoming.revision < state.agreed.revision
    if is_behind and not fold.is_past_seeding(incoming):
        return
    yield from _replace_agreed(state, incoming, now)


def _replace_agreed(
    state: model.State, newer: agreed_state.Agreed, now: float
) -> Effects:
    """Replace the agreed state, and report accepted proposals it loses."""
    lost = sorted(_lost_proposals(state.agreed, newer))
    if lost:
        yield effects.Report(
            level="ERROR",
            name="changes_lost",
            text=f"the log went on without {', '.join(lost)}",
        )
    state.agreed = newer
    state.incoming = None
    state.view_revision = -1
    yield from outbox.on_state_replaced(state, now)
    yield from _report_in_force(state)


def _lost_proposals(
    mine: agreed_state.Agreed, incoming: agreed_state.Agreed
) -> collections.abc.Iterator[str]:
    """Yield the ids of accepted proposals that a newer state lacks."""
    for name, verdict in mine.verdicts.items():
        writer = incoming.writers.get(verdict.writer)
        is_forgotten = writer and verdict.sequence <= writer.forgotten
        is_known = name in incoming.verdicts or is_forgotten
        if verdict.accepted and not is_known:
            yield name


def _fold_one(
    state: model.State, stored: events.StoredRecord, now: float
) -> Effects:
    try:
        record = records.decode(stored.data)
    except decoding.MalformedData as exc:
        followed_state(state).offset = stored.offset + 1
        yield effects.Report(
            level="ERROR",
            name="record_malformed",
            text=f"record {stored.offset} is skipped: {exc}",
        )
        return
    verdicts = fold.apply(
        followed_state(state),
        offset=stored.offset,
        at_ms=stored.at_ms,
        record=record,
    )
    if isinstance(record, records.Proposals):
        yield from outbox.on_record_read_back(state, record, verdicts, now)


def on_log_trimmed(
    state: model.State, event: events.LogTrimmed, now: float
) -> Effects:
    """Handle a trimmed log: read a snapshot or follow the reset log."""
    _record_log_answer(state, now)
    is_other = event.incarnation != followed_state(state).incarnation
    if is_other and event.first == 0:
        yield from _follow_incarnation(state, event.incarnation, now)
        return
    yield effects.ReadSnapshot(not_before=now + retry_delay_s(state, 2))


def on_snapshot_read(
    state: model.State, event: events.SnapshotRead, now: float
) -> Effects:
    """Install a snapshot if it is newer, then read the rest of the log."""
    _record_log_answer(state, now)
    if event.state:
        yield from install_packed_snapshot(state, event.state, now)
    yield effects.ReadLog(offset=followed_state(state).offset, not_before=now)


def install_packed_snapshot(
    state: model.State, packed: bytes, now: float
) -> Effects:
    """Install a packed agreed state, or report that it is malformed."""
    try:
        snapshot = agreed_state.unpack(packed)
    except ValueError as exc:
        yield effects.Report(
            level="ERROR", name="snapshot_malformed", text=str(exc)
        )
        return
    yield from install_snapshot(state, snapshot, now)


def install_snapshot(
    state: model.State, snapshot: agreed_state.Agreed, now: float
) -> Effects:
    """Install an agreed state if it is newer than this daemon's.

    A state of another incarnation of the log is installed only if its
    revision is no lower than that of this daemon's state.
    """
    mine = state.agreed
    is_same = mine.incarnation == snapshot.incarnation
    if snapshot.revision < mine.revision:
        return
    if is_same and snapshot.offset <= mine.offset:
        return
    yield from _replace_agreed(state, snapshot, now)
    state.log.recent.clear()
    state.log.snapshot_offset = snapshot.offset
    yield effects.Report(
        level="INFO",
        name="snapshot_adopted",
        text=f"revision {snapshot.revision}, offset {snapshot.offset}",
    )


def on_log_unreachable(
    state: model.State, event: events.LogUnreachable, now: float
) -> Effects:
    """Handle a failed read of the log: retry later with back-off."""
    if state.log.reachable or not state.log.failures:
        yield effects.Report(
            level="WARNING", name="log_unreachable", text=event.reason
        )
    state.log.reachable = False
    state.log.failures += 1
    later = now + retry_delay_s(state, state.log.failures)
    if followed_state(state).incarnation:
        yield effects.ReadLog(
            offset=followed_state(state).offset, not_before=later
        )
    else:
        yield effects.ReadSnapshot(not_before=later)


def tick(state: model.State, now: float) -> Effects:
    """Append a seed or write a snapshot when one is due."""
    if not state.agreed.revision or not state.log.reachable:
        return
    if state.incoming is not None:
        if now >= state.log.seed_at:
            yield _seed(state, now)
    elif _is_snapshot_due(state, now):
        yield from _write_snapshot(state, now)


def _write_snapshot(state: model.State, now: float) -> Effects:
    """Write a snapshot before the log drops the records that it covers.

    Rendezvous hashing chooses the daemon that writes it. It does no harm if
    two daemons write one.
    """
    members = (*state.alive, state.me.name)
    if ownership.owner("snapshot", members) != state.me.name:
        return
    state.log.snapshot_due = now + SNAPSHOT_INTERVAL_S
    state.log.snapshot_offset = state.agreed.offset
    yield effects.AppendSnapshot(state=agreed_state.pack(state.agreed))


def _is_snapshot_due(state: model.State, now: float) -> bool:
    count = state.agreed.offset - state.log.snapshot_offset
    return count >= SNAPSHOT_INTERVAL_RECORDS or now >= state.log.snapshot_due
