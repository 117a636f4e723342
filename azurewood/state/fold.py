"""Folds records of the log into the agreed state.

Every daemon folds the same records in the same order, so all daemons accept
or reject each proposal alike. Nothing here may depend on the daemon, its
clock or its view of hosts and peers.
"""

import collections.abc
import dataclasses

from azurewood.state import agreed as agreed_state
from azurewood.state import records
from azurewood.state import transitions

SEED_WINDOW_MS = 3000
WRITER_RETENTION_MS = 24 * 3600 * 1000
MAX_VERDICTS = 4096
CLAIM_RETENTION_MS = 24 * 3600 * 1000
MAX_CLAIMS = 200000

Verdicts = collections.abc.Iterator[agreed_state.Verdict]


def verdict_id(writer: str, sequence: int, index: int) -> str:
    """Return the id under which the outcome of a proposal can be queried."""
    return f"{writer}/{sequence}/{index}"


def apply(
    state: agreed_state.Agreed,
    *,
    offset: int,
    at_ms: int,
    record: records.Record,
) -> list[agreed_state.Verdict]:
    """Fold one record and return the verdicts on its proposals.

    A record before the state's offset has already been folded and is
    ignored.
    """
    if offset < state.offset:
        return []
    state.offset = offset + 1
    state.at_ms = max(state.at_ms, at_ms)
    match record:
        case records.Seed():
            _apply_seed(state, record)
            return []
        case records.Proposals():
            return list(_apply_proposals(state, record))


def start_incarnation(
    state: agreed_state.Agreed, incarnation: str, *, offset: int = 0
) -> None:
    """Follow a new incarnation of the log, which has lost its records."""
    state.incarnation = incarnation
    state.offset = offset
    state.seed_until_ms = 0
    state.seeded_revision = 0


def is_past_seeding(state: agreed_state.Agreed) -> bool:
    """Return whether proposals were accepted after the log was seeded."""
    return (
        0 < state.seed_until_ms < state.at_ms
        and state.revision > state.seeded_revision
    )


def _apply_seed(state: agreed_state.Agreed, record: records.Seed) -> None:
    """Install a seed if it is newer and no accepted proposal precedes it.

    The first seed opens a window in which every newer seed is installed.
    After the window, a newer seed is installed only as long as no proposal
    has been accepted since the last installed one.
    """
    if not state.seed_until_ms:
        state.seed_until_ms = state.at_ms + SEED_WINDOW_MS
    if record.revision <= state.revision or is_past_seeding(state):
        return
    try:
        seed = agreed_state.unpack(record.state)
    except ValueError:
        return
    _install_seed(state, seed)
    state.seeded_revision = state.revision


def _install_seed(
    state: agreed_state.Agreed, seed: agreed_state.Agreed
) -> None:
    """Copy a seed's content, but keep the position in the new log."""
    for field in (
        "revision",
        "fleet",
        "fleet_revision",
        "in_force",
        "in_force_revision",
        "presets",
        "hosts_revision",
        "hosts",
        "waves",
        "claims",
        "writers",
        "verdicts",
    ):
        setattr(state, field, getattr(seed, field))


def _apply_proposals(
    state: agreed_state.Agreed, record: records.Proposals
) -> Verdicts:
    """Decide on a record's proposals in order; ignore a repeated record."""
    writer = state.writers.get(record.writer)
    if writer is not None and record.sequence <= writer.sequence:
        return
    _record_writer(state, record)
    _expire_old_entries(state)
    refusal = _record_refusal(state, record)
    for index, proposal in enumerate(record.proposals):
        verdict = _earlier_verdict(state, record, index, proposal) or _decide(
            state, record, index, proposal, refusal
        )
        if proposal.ticket:
            state.verdicts.setdefault(proposal.ticket, verdict)
        if not proposal.object.startswith(records.CLAIM_PREFIX):
            name = verdict_id(record.writer, record.sequence, index)
            state.verdicts[name] = verdict
        yield verdict


def _record_writer(
    state: agreed_state.Agreed, record: records.Proposals
) -> None:
    """Record a writer's last record and move the writer to the end.

    The map is thus ordered from the oldest to the most recent writer.
    """
    known = state.writers.pop(record.writer, None)
    state.writers[record.writer] = agreed_state.WriterState(
        sequence=record.sequence,
        at_ms=state.at_ms,
        forgotten=known.forgotten if known else 0,
    )


def _record_refusal(
    state: agreed_state.Agreed, record: records.Proposals
) -> str:
    """Return why the whole record is refused, or an empty string."""
    if state.seed_until_ms and state.at_ms <= state.seed_until_ms:
        return "the log is being seeded again"
    if not record.atomic:
        return ""
    reasons = (
        _refusal(state, record.writer, proposal)
        for proposal in record.proposals
    )
    return next((reason for reason in reasons if reason), "")


def _earlier_verdict(
    state: agreed_state.Agreed,
    record: records.Proposals,
    index: int,
    proposal: records.Proposal,
) -> agreed_state.Verdict | None:
    """Return the verdict on an earlier proposal with the same ticket."""
    earlier = state.verdicts.get(proposal.ticket)
    if not proposal.ticket or earlier is None:
        return None
    return dataclasses.replace(
        earlier, writer=record.writer, sequence=record.sequence, index=index
    )


def _decide(
    state: agreed_state.Agreed,
    record: records.Proposals,
    index: int,
    proposal: records.Proposal,
    refusal: str,
) -> agreed_state.Verdict:
    """Accept and apply one proposal, or reject it with a reason."""
    try:
        reason = refusal or _refusal(state, record.writer, proposal)
        if not reason:
            state.revision += 1
            transitions.carry_out(state, record.writer, proposal)
    except Exception as exc:
        # The record stays in the log, so an exception raised from here would
        # stop every daemon, and again at each of its starts.
        reason = f"this change cannot be folded: {exc!r}"
    return agreed_state.Verdict(
        writer=record.writer,
        sequence=record.sequence,
        index=index,
        object=proposal.object,
        accepted=not reason,
        revision=state.revision if not reason else 0,
        reason=reason,
        ticket=proposal.ticket,
    )


def _refusal(
    state: agreed_state.Agreed, writer: str, proposal: records.Proposal
) -> str:
    """Return why a proposal is rejected, or an empty string."""
    current = transitions.revision_of(state, proposal.object)
    if proposal.base != current:
        return (
            f"{proposal.object} is at revision {current}, the proposal is"
            f" based on {proposal.base}"
        )
    return transitions.refusal(state, writer, proposal)


def _expire_old_entries(state: agreed_state.Agreed) -> None:
    """Drop entries past their retention time or count, oldest first.

    The maps are in insertion order, which is determined by the log, so
    every daemon drops the same entries.
    """
    while len(state.verdicts) > MAX_VERDICTS:
        old = state.verdicts.pop(next(iter(state.verdicts)))
        if old.writer in state.writers:
            state.writers[old.writer].forgotten = old.sequence
    oldest = next(iter(state.writers.values()))
    if oldest.at_ms + WRITER_RETENTION_MS < state.at_ms:
        del state.writers[next(iter(state.writers))]
    if state.claims:
        key, claim = next(iter(state.claims.items()))
        is_old = claim.at_ms + CLAIM_RETENTION_MS < state.at_ms
        if is_old or len(state.claims) > MAX_CLAIMS:
            del state.claims[key]
