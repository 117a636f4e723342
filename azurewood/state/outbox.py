"""Appends proposals to the log, and reports the outcome of each.

One record is appended at a time; proposals made meanwhile go into the next
one (group commit). An append is repeated with the same sequence number until
the record is read back. The fold ignores the repeats.
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
"""The ticket of proposals whose outcome is not awaited."""

Effects = collections.abc.Iterator[effects.AnyEffect]


def propose(state: model.State, event: events.Proposed, now: float) -> Effects:
    """Queue proposals to be appended with the next record.

    A daemon without any agreed state whose peers have one answers that they
    are not accepted: its view of a log that was just reset is empty.
    """
    entry = model.PendingProposals(
        ticket=event.ticket,
        proposals=event.proposals,
        deadline=event.deadline,
        atomic=event.atomic,
    )
    if state.agreed.revision or not _do_peers_have_state(state, now):
        yield from submit(state, entry, now)
        return
    entry.deadline = now
    yield from _resolve_expired(
        state, 0, [entry], effects.Resolution.NOT_ACCEPTED, now
    )


def _do_peers_have_state(state: model.State, now: float) -> bool:
    return any(
        peer.revision
        for peer in state.peers.values()
        if peer.alive_until > now
    )


def submit(
    state: model.State, entry: model.PendingProposals, now: float
) -> Effects:
    """Queue an entry, and append it unless another append is in progress."""
    state.outbox.waiting.append(entry)
    yield from _flush(state, now)


def withdraw(state: model.State, ticket: str) -> bool:
    """Remove entries of a ticket that are in no record yet.

    Return whether there were any.
    """
    waiting = state.outbox.waiting
    found = [entry for entry in waiting if entry.ticket == ticket]
    for entry in found:
        waiting.remove(entry)
    return bool(found)


def _flush(state: model.State, now: float) -> Effects:
    outbox = state.outbox
    if outbox.sent is not None or not (outbox.waiting or outbox.barrier):
        return
    entries = list(_next_batch(outbox)) if outbox.waiting else []
    outbox.barrier = False
    outbox.sequence += 1
    record = records.Proposals(
        writer=state.me.writer,
        sequence=outbox.sequence,
        proposals=tuple(
            proposal for entry in entries for proposal in entry.proposals
        ),
        atomic=any(entry.atomic for entry in entries),
    )
    outbox.sent = model.SentRecord(
        sequence=outbox.sequence,
        data=records.encode(record),
        entries=entries,
    )
    yield _append(outbox.sent)


def _next_batch(
    outbox: model.Outbox,
) -> collections.abc.Iterator[model.PendingProposals]:
    """Yield the queued entries for one record; an atomic one goes alone."""
    first = outbox.waiting.popleft()
    yield first
    count = len(first.proposals)
    while outbox.waiting and not first.atomic:
        entry = outbox.waiting[0]
        count += len(entry.proposals)
        if entry.atomic or count > MAX_RECORD_PROPOSALS:
            return
        yield outbox.waiting.popleft()


def _append(sent: model.SentRecord) -> effects.AppendRecord:
    sent.attempts += 1
    sent.in_call = True
    return effects.AppendRecord(sequence=sent.sequence, data=sent.data)


def on_append_ended(
    state: model.State, event: events.AppendEnded, now: float
) -> None:
    """Record how an append ended and schedule the next attempt.

    After a success the record is appended again only if it has not been
    read back within ``READ_BACK_S``.
    """
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
    """Answer the proposers of a record of this daemon that was read back."""
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
    """Answer the proposers of a record that an installed state includes."""
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
    """Return the verdict on a proposal, derived from the agreed state.

    Verdicts on claims are not stored there: a claim was accepted if this
    boot of the daemon holds it.
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
    """Resolve entries whose deadline has passed, and append what is due.

    A record is kept while any of its entries has time left.
    """
    outbox = state.outbox
    yield from _drop_expired_waiting(state, now)
    if outbox.sent is None:
        if state.log.reachable:
            yield from _flush(state, now)
        return
    yield from _tick_sent(state, outbox.sent, now)


def _tick_sent(
    state: model.State, sent: model.SentRecord, now: float
) -> Effects:
    """Abandon a record, or append it again when that is due.

    After a record with an unknown outcome, a later record settles it: the
    fold ignores a record that follows one with a higher sequence number.
    """
    outbox = state.outbox
    is_barrier = not sent.entries
    yield from _resolve_expired(
        state, sent.sequence, sent.entries, _resolution(sent), now
    )
    is_over = all(not entry.ticket for entry in sent.entries)
    if is_over and (outbox.waiting or not is_barrier):
        outbox.sent = None
        outbox.barrier = sent.unsure or sent.in_call
        if outbox.waiting:
            yield from _flush(state, now)
    elif not sent.in_call and sent.retry_at <= now:
        yield _append(sent)


def _resolution(sent: model.SentRecord) -> effects.Resolution:
    """Return the resolution of a record that was not read back in time."""
    if sent.unsure or sent.in_call:
        return effects.Resolution.UNKNOWN
    return effects.Resolution.NOT_ACCEPTED


def _drop_expired_waiting(state: model.State, now: float) -> Effects:
    outbox = state.outbox
    if all(entry.deadline > now for entry in outbox.waiting):
        return
    yield from _resolve_expired(
        state, 0, outbox.waiting, effects.Resolution.NOT_ACCEPTED, now
    )
    outbox.waiting = type(outbox.waiting)(
        entry for entry in outbox.waiting if entry.ticket
    )


def _resolve_expired(
    state: model.State,
    sequence: int,
    entries: collections.abc.Iterable[model.PendingProposals],
    resolution: effects.Resolution,
    now: float,
) -> Effects:
    """Answer entries whose deadline has passed, and clear their tickets."""
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
