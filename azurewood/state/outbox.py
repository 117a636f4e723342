"""Proposals on their way to the log, and how each of them ended.

One record is under way at a time; what is proposed meanwhile goes into the
next one (group commit). An append is repeated under the same sequence
number until the record is read back, as the fold ignores repeats.
"""

import collections.abc

from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import fold
from azurewood.state import model
from azurewood.state import records

MAX_RECORD_PROPOSALS = 64
APPEND_RETRY_S = 0.1
APPEND_RETRY_CAP_S = 2.0
READ_BACK_S = 2.0
UNTRACKED_TICKET = "nobody"
"""The ticket of proposals whose end nobody waits for."""

Effects = collections.abc.Iterator[effects.AnyEffect]


def propose(state: model.State, event: events.Proposed, now: float) -> Effects:
    """Take proposals on, to be appended with the next record.

    A daemon that knows nothing while its peers do proposes nothing: its
    view of a log that was just reset is empty.
    """
    entry = model.PendingProposals(
        ticket=event.ticket,
        proposals=event.proposals,
        deadline=event.deadline,
        atomic=event.atomic,
    )
    if state.agreed.revision or not _do_peers_know(state, now):
        yield from submit(state, entry, now)
        return
    entry.deadline = now
    yield from _resolve_expired(
        state, 0, [entry], effects.Resolution.NOT_ACCEPTED, now
    )


def _do_peers_know(state: model.State, now: float) -> bool:
    return any(
        peer.revision
        for peer in state.peers.values()
        if peer.alive_until > now
    )


def submit(
    state: model.State, entry: model.PendingProposals, now: float
) -> Effects:
    """Queue an entry and append it if nothing is under way."""
    state.outbox.waiting.append(entry)
    yield from _flush(state, now)


def withdraw(state: model.State, ticket: str) -> bool:
    """Take back an entry that is in no record yet; tell whether it was."""
    waiting = state.outbox.waiting
    found = [entry for entry in waiting if entry.ticket == ticket]
    for entry in found:
        waiting.remove(entry)
    return bool(found)


def _flush(state: model.State, now: float) -> Effects:
    out = state.outbox
    if out.sent is not None or not (out.waiting or out.barrier):
        return
    entries = list(_next_batch(out)) if out.waiting else []
    out.barrier = False
    out.sequence += 1
    record = records.Proposals(
        writer=state.me.writer,
        sequence=out.sequence,
        proposals=tuple(
            proposal for entry in entries for proposal in entry.proposals
        ),
        atomic=any(entry.atomic for entry in entries),
    )
    out.sent = model.SentRecord(
        sequence=out.sequence,
        data=records.encode(record),
        entries=entries,
    )
    yield _append(out.sent)


def _next_batch(
    out: model.Outbox,
) -> collections.abc.Iterator[model.PendingProposals]:
    """Take entries for one record; an atomic one goes alone."""
    first = out.waiting.popleft()
    yield first
    count = len(first.proposals)
    while out.waiting and not first.atomic:
        entry = out.waiting[0]
        count += len(entry.proposals)
        if entry.atomic or count > MAX_RECORD_PROPOSALS:
            return
        yield out.waiting.popleft()


def _append(sent: model.SentRecord) -> effects.AppendRecord:
    sent.attempts += 1
    sent.in_call = True
    return effects.AppendRecord(sequence=sent.sequence, data=sent.data)


def on_append_ended(
    state: model.State, event: events.AppendEnded, now: float
) -> None:
    """Plan to append again unless the platform has said that it did."""
    sent = state.outbox.sent
    if sent is None or sent.sequence != event.sequence:
        return
    sent.in_call = False
    match event.outcome:
        case events.AppendOutcome.DONE:
            sent.unsure = True
            sent.retry_at = now + READ_BACK_S
            return
        case events.AppendOutcome.UNKNOWN:
            sent.unsure = True
    delay = min(
        APPEND_RETRY_CAP_S, APPEND_RETRY_S * 2 ** min(sent.attempts, 8)
    )
    sent.retry_at = now + delay * state.rng.uniform(0.5, 1.0)


def on_record_read_back(
    state: model.State,
    record: records.Proposals,
    verdicts: list[agreed_state.Verdict],
    now: float,
) -> Effects:
    """Answer who waits for a record of ours that was read back."""
    sent = state.outbox.sent
    if record.writer != state.me.writer or sent is None:
        return
    if record.sequence == sent.sequence:
        yield from _answer(state, sent, verdicts, now)


def _answer(
    state: model.State,
    sent: model.SentRecord,
    verdicts: collections.abc.Iterable[agreed_state.Verdict],
    now: float,
) -> Effects:
    state.outbox.sent = None
    resolved = iter([_resolve(verdict) for verdict in verdicts])
    for entry in sent.entries:
        answer = tuple(next(resolved) for _ in entry.proposals)
        if entry.ticket:
            yield effects.AnswerProposal(ticket=entry.ticket, resolved=answer)
    yield from _flush(state, now)


def on_state_replaced(state: model.State, now: float) -> Effects:
    """Answer who waits for a record that a state taken over contains."""
    sent = state.outbox.sent
    known = state.agreed.writers.get(state.me.writer)
    if sent is None or known is None or known.sequence < sent.sequence:
        return
    proposals = [
        proposal for entry in sent.entries for proposal in entry.proposals
    ]
    yield from _answer(
        state,
        sent,
        (
            _found_verdict(state, sent.sequence, index, proposal)
            for index, proposal in enumerate(proposals)
        ),
        now,
    )


def _found_verdict(
    state: model.State,
    sequence: int,
    index: int,
    proposal: records.Proposal,
) -> agreed_state.Verdict:
    """Return a verdict from the agreed state alone.

    Verdicts on claims are not kept: a claim was accepted if it is ours.
    """
    writer = state.me.writer
    name = fold.verdict_id(writer, sequence, index)
    found = state.agreed.verdicts.get(name)
    if found is not None:
        return found
    key = proposal.object.removeprefix(records.CLAIM_PREFIX)
    claim = state.agreed.claims.get(key)
    is_ours = claim is not None and claim.holder == writer
    return agreed_state.Verdict(
        writer=writer,
        sequence=sequence,
        index=index,
        object=proposal.object,
        accepted=is_ours,
        revision=claim.revision if is_ours else 0,
        reason="" if is_ours else "held by another daemon",
    )


def _resolve(verdict: agreed_state.Verdict) -> effects.Resolved:
    accepted = verdict.accepted
    return effects.Resolved(
        id=fold.verdict_id(verdict.writer, verdict.sequence, verdict.index),
        object=verdict.object,
        resolution=(
            effects.Resolution.ACCEPTED
            if accepted
            else effects.Resolution.REJECTED
        ),
        revision=verdict.revision,
        reason=verdict.reason,
    )


def tick(state: model.State, now: float) -> Effects:
    """Give up entries whose deadline has passed.

    The record stays under way while any of its entries has time left.
    """
    out = state.outbox
    yield from _drop_expired_waiting(state, now)
    if out.sent is None:
        if state.log.reachable:
            yield from _flush(state, now)
        return
    yield from _tick_sent(state, out.sent, now)


def _tick_sent(
    state: model.State, sent: model.SentRecord, now: float
) -> Effects:
    """Give up a record, or append it again when that is due.

    After a record whose end is unknown, a later one settles it: the fold
    refuses what comes after a higher sequence number.
    """
    out = state.outbox
    is_barrier = not sent.entries
    yield from _resolve_expired(
        state, sent.sequence, sent.entries, _resolution(sent), now
    )
    is_over = all(not entry.ticket for entry in sent.entries)
    if is_over and (out.waiting or not is_barrier):
        out.sent = None
        out.barrier = sent.unsure or sent.in_call
        if out.waiting:
            yield from _flush(state, now)
    elif not sent.in_call and sent.retry_at <= now:
        yield _append(sent)


def _resolution(sent: model.SentRecord) -> effects.Resolution:
    """Say what is known of a record that was not read back in time."""
    if sent.unsure or sent.in_call:
        return effects.Resolution.UNKNOWN
    return effects.Resolution.NOT_ACCEPTED


def _drop_expired_waiting(state: model.State, now: float) -> Effects:
    out = state.outbox
    if all(entry.deadline > now for entry in out.waiting):
        return
    yield from _resolve_expired(
        state, 0, out.waiting, effects.Resolution.NOT_ACCEPTED, now
    )
    out.waiting = type(out.waiting)(
        entry for entry in out.waiting if entry.ticket
    )


def _resolve_expired(
    state: model.State,
    sequence: int,
    entries: collections.abc.Iterable[model.PendingProposals],
    resolution: effects.Resolution,
    now: float,
) -> Effects:
    """Answer the late entries, and clear their tickets."""
    index = 0
    for entry in entries:
        first, index = index, index + len(entry.proposals)
        if not entry.ticket or entry.deadline > now:
            continue
        ticket, entry.ticket = entry.ticket, ""
        yield effects.AnswerProposal(
            ticket=ticket,
            resolved=tuple(
                effects.Resolved(
                    id=fold.verdict_id(
                        state.me.writer, sequence, first + place
                    ),
                    object=proposal.object,
                    resolution=resolution,
                    reason="the platform's log did not answer in time",
                )
                for place, proposal in enumerate(entry.proposals)
            ),
        )
