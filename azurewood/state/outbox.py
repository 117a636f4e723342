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

RECORD_PROPOSALS = 64
APPEND_RETRY_S = 0.1
APPEND_RETRY_CAP_S = 2.0
NOBODY = "nobody"
"""The ticket of proposals whose end nobody waits for."""

Effects = collections.abc.Iterator[effects.AnyEffect]


def propose(state: model.State, event: events.Proposed, now: float) -> Effects:
    """Take proposals on, to be appended with the next record."""
    yield from submit(
        state,
        model.Pending(
            ticket=event.ticket,
            proposals=event.proposals,
            deadline=event.deadline,
            atomic=event.atomic,
        ),
        now,
    )


def submit(state: model.State, entry: model.Pending, now: float) -> Effects:
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
    if out.sent is not None or not out.waiting:
        return
    entries = list(_take_batch(out))
    out.sequence += 1
    record = records.Proposals(
        writer=state.me.writer,
        sequence=out.sequence,
        proposals=tuple(
            proposal for entry in entries for proposal in entry.proposals
        ),
        atomic=entries[0].atomic,
    )
    out.sent = model.SentRecord(
        sequence=out.sequence,
        data=records.encode(record),
        entries=entries,
    )
    yield _append(out.sent, now)


def _take_batch(
    out: model.Outbox,
) -> collections.abc.Iterator[model.Pending]:
    """Take entries for one record; an atomic one goes alone."""
    first = out.waiting.popleft()
    yield first
    count = len(first.proposals)
    while out.waiting and not first.atomic:
        entry = out.waiting[0]
        count += len(entry.proposals)
        if entry.atomic or count > RECORD_PROPOSALS:
            return
        yield out.waiting.popleft()


def _append(sent: model.SentRecord, not_before: float) -> effects.AppendRecord:
    sent.attempts += 1
    sent.in_call = True
    return effects.AppendRecord(
        sequence=sent.sequence, data=sent.data, not_before=not_before
    )


def append_ended(
    state: model.State, event: events.AppendEnded, now: float
) -> Effects:
    """Append again unless the platform has said that it did."""
    sent = state.outbox.sent
    if sent is None or sent.sequence != event.sequence:
        return
    sent.in_call = False
    match event.outcome:
        case events.AppendOutcome.DONE:
            sent.unsure = True
            return
        case events.AppendOutcome.UNKNOWN:
            sent.unsure = True
    delay = min(
        APPEND_RETRY_CAP_S, APPEND_RETRY_S * 2 ** min(sent.attempts, 8)
    )
    yield _append(sent, now + delay * state.rng.uniform(0.5, 1.0))


def judged(
    state: model.State,
    record: records.Proposals,
    verdicts: list[agreed_state.Verdict],
    now: float,
) -> Effects:
    """Answer who waits for a record of ours that was read back."""
    sent = state.outbox.sent
    if record.writer != state.me.writer or sent is None:
        return
    if record.sequence != sent.sequence or not verdicts:
        return
    state.outbox.sent = None
    resolved = iter([_resolve(verdict) for verdict in verdicts])
    for entry in sent.entries:
        answer = tuple(next(resolved) for _ in entry.proposals)
        if entry.ticket:
            yield effects.AnswerProposal(ticket=entry.ticket, resolved=answer)
    yield from _flush(state, now)


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
    yield from _drop_late_waiting(state, now)
    sent = out.sent
    if sent is None:
        return
    yield from _give_up(
        state, sent.sequence, sent.entries, _resolution(sent), now
    )
    if all(not entry.ticket for entry in sent.entries):
        out.sent = None
        yield from _flush(state, now)


def _resolution(sent: model.SentRecord) -> effects.Resolution:
    """Say what is known of a record that was not read back in time."""
    if sent.unsure or sent.in_call:
        return effects.Resolution.UNKNOWN
    return effects.Resolution.NOT_ACCEPTED


def _drop_late_waiting(state: model.State, now: float) -> Effects:
    out = state.outbox
    if all(entry.deadline > now for entry in out.waiting):
        return
    yield from _give_up(
        state, 0, out.waiting, effects.Resolution.NOT_ACCEPTED, now
    )
    out.waiting = type(out.waiting)(
        entry for entry in out.waiting if entry.ticket
    )


def _give_up(
    state: model.State,
    sequence: int,
    entries: collections.abc.Iterable[model.Pending],
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
