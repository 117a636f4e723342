"""The fold: how a record of the log changes the agreed state.

Every daemon folds the same records in the same order, so each proposal is
accepted or rejected the same everywhere. Nothing here depends on the
daemon, its clock or its view of hosts and peers.
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
    """Name a proposal, to ask again how it ended."""
    return f"{writer}/{sequence}/{index}"


def apply(
    state: agreed_state.Agreed,
    *,
    offset: int,
    at_ms: int,
    record: records.Record,
) -> list[agreed_state.Verdict]:
    """Fold one record and return the verdicts on its proposals.

    A record before the state's offset has been folded already and changes
    nothing.
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
    """Follow a log that has lost everything, from its first offset on."""
    state.incarnation = incarnation
    state.offset = offset
    state.seed_until_ms = 0
    state.seeded_revision = 0


def is_past_seeding(state: agreed_state.Agreed) -> bool:
    """Tell whether proposals were accepted after the log's seeding."""
    return (
        0 < state.seed_until_ms < state.at_ms
        and state.revision > state.seeded_revision
    )


def _apply_seed(state: agreed_state.Agreed, record: records.Seed) -> None:
    """Take a seed over if it is newer and nothing was built on an older.

    Seeds are taken during the window that the first one opens. Later ones
    are taken only while no proposal has been accepted since.
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
    """Take a seed's content, but keep the place in the new log."""
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
    """Judge a record's proposals in order; ignore a repeated record."""
    writer = state.writers.get(record.writer)
    if writer is not None and record.sequence <= writer.sequence:
        return
    _record_writer(state, record)
    _expire_old_entries(state)
    refusal = _record_refusal(state, record)
    for index, proposal in enumerate(record.proposals):
        verdict = _earlier_verdict(state, record, index, proposal) or _judge(
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
    """Note a writer's last record; the latest writers come last."""
    known = state.writers.pop(record.writer, None)
    state.writers[record.writer] = agreed_state.WriterState(
        sequence=record.sequence,
        at_ms=state.at_ms,
        forgotten=known.forgotten if known else 0,
    )


def _record_refusal(
    state: agreed_state.Agreed, record: records.Proposals
) -> str:
    """Say why the whole record is refused; empty if it is not."""
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
    """Return the verdict on an earlier proposal of the same ticket."""
    earlier = state.verdicts.get(proposal.ticket)
    if not proposal.ticket or earlier is None:
        return None
    return dataclasses.replace(
        earlier, writer=record.writer, sequence=record.sequence, index=index
    )


def _judge(
    state: agreed_state.Agreed,
    record: records.Proposals,
    index: int,
    proposal: records.Proposal,
    refusal: str,
) -> agreed_state.Verdict:
    """Accept and carry out one proposal, or reject it with a reason."""
    try:
        reason = refusal or _refusal(state, record.writer, proposal)
        if not reason:
            state.revision += 1
            transitions.carry_out(state, record.writer, proposal)
    except Exception as exc:
        # The record stays in the log: an error that went further would end
        # every daemon, and again at each start.
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
    """Say why a proposal is rejected; empty if it is accepted."""
    current = transitions.revision_of(state, proposal.object)
    if proposal.base != current:
        return (
            f"{proposal.object} is at revision {current}, the proposal is"
            f" based on {proposal.base}"
        )
    return transitions.refusal(state, writer, proposal)


def _expire_old_entries(state: agreed_state.Agreed) -> None:
    """Drop what is older than it is kept for, oldest first.

    The maps are in order of insertion, which the log decides, so that
    every daemon drops the same.
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
