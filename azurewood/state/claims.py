"""At-most-once requests: claimed in the log before they run.

A request that may not be repeated proposes a claim on its idempotency key.
If the claim is accepted, the request is admitted like any other. If another
claim on the key exists, the request follows that claim until it is settled.
"""

import collections.abc

from azurewood.policy import claims as policy
from azurewood.state import claim_tracking
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import outbox
from azurewood.state import records
from azurewood.state import requests
from azurewood.state import settlements

TICKET_PREFIX = "claim:"
MAX_CLAIM_ATTEMPTS = 5

ClaimPhase = records.ClaimPhase
Effects = collections.abc.Iterator[effects.AnyEffect]
Refusal = effects.Refusal


def handle_arrival(
    state: model.State, event: events.RequestArrived, now: float
) -> Effects:
    """Claim a request that may not be repeated; admit any other."""
    reason = requests.refusal(state, event, now)
    match state.policies.at_most_once:
        case policy.LogClaims() as claiming if not event.repeatable:
            reason = reason or _claim_refusal(state, event, claiming)
            key = policy.claim_key(event.service, event.key)
        case _:
            key = ""
    if reason is not None:
        yield requests.refuse(event.id, reason)
        return
    request = requests.create(state, event)
    request.claim = key
    if key:
        yield from _act_on_claim(state, request, now)
    else:
        yield from requests.admit(state, request, now)


def _claim_refusal(
    state: model.State,
    event: events.RequestArrived,
    claiming: policy.LogClaims,
) -> Refusal | None:
    """Return why a request cannot be claimed, None if it can."""
    book = state.claims
    if not event.key:
        return Refusal.KEY_REQUIRED
    open_claims = len(book.asked) + len(book.following) + len(book.doubtful)
    if open_claims >= claiming.at_once:
        return Refusal.QUEUE_FULL
    return None


def _act_on_claim(
    state: model.State, request: model.RequestView, now: float
) -> Effects:
    """Act on the state of the claim on the request's key in the log."""
    claim = state.agreed.claims.get(request.claim)
    if claim is None:
        yield from _request_claim(state, request, 0, now)
        return
    if claim.digest != request.digest:
        yield from _give_up(state, request, Refusal.KEY_REUSED, now)
        return
    match claim.phase:
        case ClaimPhase.NOT_RUN:
            yield from _request_claim(state, request, claim.revision, now)
        case ClaimPhase.RAN:
            _remove(state, request)
            yield effects.AnswerRan(
                id=request.id,
                status=claim.status,
                content_type=claim.content_type,
                answer=claim.answer,
            )
        case ClaimPhase.UNKNOWN:
            yield from _answer_unknown(state, request, "ran-unseen")
        case ClaimPhase.HELD:
            state.claims.following.setdefault(
                request.id,
                claim_tracking.FollowedClaim(key=request.claim, since=now),
            )


def _answer_unknown(
    state: model.State, request: model.RequestView, reason: str
) -> Effects:
    """Answer that it is unknown whether the request ran."""
    _remove(state, request)
    yield effects.AnswerUnknown(id=request.id, reason=reason)


def _remove(state: model.State, request: model.RequestView) -> None:
    """Remove a request, also from those that follow a claim."""
    state.claims.following.pop(request.id, None)
    requests.drop(state, request)


def _give_up(
    state: model.State,
    request: model.RequestView,
    reason: Refusal,
    now: float,
) -> Effects:
    """Refuse a request, and stop following a claim for it."""
    state.claims.following.pop(request.id, None)
    yield from requests.give_up(state, request, reason, now)


def _request_claim(
    state: model.State,
    request: model.RequestView,
    base: int,
    now: float,
) -> Effects:
    """Propose a claim; refuse the request if the log is unreachable."""
    request.claim_tries += 1
    if not state.log.reachable or request.claim_tries > MAX_CLAIM_ATTEMPTS:
        yield from _give_up(state, request, Refusal.LOG_UNAVAILABLE, now)
        return
    request.claim_asked_at = now
    state.claims.asked[request.id] = request.claim
    state.claims.following.pop(request.id, None)
    proposal = records.Proposal(
        object=records.claim_object(request.claim),
        base=base,
        change=records.Claim(
            service=request.service,
            request=request.id,
            digest=request.digest,
        ),
    )
    share = state.policies.at_most_once.wait_share
    entry = model.PendingProposals(
        ticket=TICKET_PREFIX + request.id,
        proposals=(proposal,),
        deadline=now + share * (request.deadline - now),
    )
    yield from outbox.submit(state, entry, now)


def handle_claim_answers(
    state: model.State,
    wanted: collections.abc.Iterable[effects.AnyEffect],
    now: float,
) -> Effects:
    """Handle the answers to claims; pass all other effects on."""
    for effect in wanted:
        match effect:
            case effects.AnswerProposal() if effect.ticket.startswith(
                TICKET_PREFIX
            ):
                yield from _handle_claim_answer(state, effect, now)
            case _:
                yield effect


def _handle_claim_answer(
    state: model.State, effect: effects.AnswerProposal, now: float
) -> Effects:
    """Continue a request whose claim was judged or was given up."""
    request_id = effect.ticket.removeprefix(TICKET_PREFIX)
    if state.claims.asked.pop(request_id, None) is None:
        return
    request = state.requests[request_id]
    match effect.resolved[0].resolution:
        case effects.Resolution.ACCEPTED if _is_held(
            state, request.claim, request_id
        ):
            request.claimed = True
            yield from requests.admit(state, request, now)
        case effects.Resolution.ACCEPTED | effects.Resolution.REJECTED:
            yield from _act_on_claim(state, request, now)
        case effects.Resolution.UNKNOWN:
            _mark_unresolved(state, request)
            yield from _give_up(state, request, Refusal.LOG_UNAVAILABLE, now)
        case effects.Resolution.NOT_ACCEPTED:
            yield from _give_up(state, request, Refusal.LOG_UNAVAILABLE, now)


def _mark_unresolved(state: model.State, request: model.RequestView) -> None:
    """Remember a claim that was given up and may still be accepted."""
    state.claims.doubtful[request.id] = claim_tracking.UnresolvedClaim(
        key=request.claim, sequence=state.outbox.sequence
    )


def abandon(
    state: model.State, event: events.RequestAbandoned, now: float
) -> Effects:
    """Answer a request that has expired or whose caller has left."""
    request = state.requests.get(event.id)
    if request is None:
        return
    if state.claims.asked.pop(event.id, None) is not None:
        if not outbox.withdraw(state, TICKET_PREFIX + event.id):
            _mark_unresolved(state, request)
        yield from _give_up(state, request, Refusal.LOG_UNAVAILABLE, now)
    elif event.id in state.claims.following:
        yield from _answer_unknown(state, request, "held-elsewhere")
    else:
        yield from requests.abandon(state, event, now)


def tick(state: model.State, now: float) -> Effects:
    """Answer requests that expired while no attempt of them was running."""
    expired = [
        request.id
        for request in state.requests.values()
        if not request.host and request.deadline <= now
    ]
    for name in expired:
        yield from abandon(state, events.RequestAbandoned(id=name), now)


def update(state: model.State, now: float) -> Effects:
    """Act on changes in the log to the claims that this daemon tracks."""
    yield from settlements.resubmit_unsettled(state, now)
    for name in tuple(state.claims.doubtful):
        yield from _resolve_claim(state, name, now)
    for name in tuple(state.claims.following):
        yield from _check_followed_claim(state, state.requests[name], now)


def _resolve_claim(state: model.State, name: str, now: float) -> Effects:
    """Release a given-up claim if it was accepted, or forget it.

    Once a record of this daemon with the claim's sequence number or a
    later one has been read, the claim can no longer be accepted.
    """
    unresolved = state.claims.doubtful[name]
    mine = state.agreed.writers.get(state.me.writer)
    if _is_held(state, unresolved.key, name):
        del state.claims.doubtful[name]
        release = records.SettleClaim(phase=ClaimPhase.NOT_RUN)
        yield from settlements.settle(
            state, unresolved.key, name, release, now
        )
    elif mine is not None and mine.sequence >= unresolved.sequence:
        del state.claims.doubtful[name]


def _is_held(state: model.State, key: str, request: str) -> bool:
    """Return whether a request of this daemon holds the claim on a key."""
    claim = state.agreed.claims.get(key)
    return (
        claim is not None
        and claim.holder == state.me.writer
        and claim.request == request
        and claim.phase in (ClaimPhase.HELD, ClaimPhase.UNKNOWN)
    )


def _check_followed_claim(
    state: model.State, request: model.RequestView, now: float
) -> Effects:
    """Check a followed claim; settle it as unknown if its holder died."""
    claim = state.agreed.claims.get(request.claim)
    if claim is None or claim.phase != ClaimPhase.HELD:
        yield from _act_on_claim(state, request, now)
    elif _is_holder_dead(
        state, claim.holder, state.claims.following, request, now
    ):
        yield from settlements.settle(
            state,
            request.claim,
            claim.request,
            records.SettleClaim(phase=ClaimPhase.UNKNOWN),
            now,
        )
        yield from _answer_unknown(state, request, "holder-lost")


def _is_holder_dead(
    state: model.State,
    holder: str,
    following: dict[str, claim_tracking.FollowedClaim],
    request: model.RequestView,
    now: float,
) -> bool:
    """Return whether the daemon that holds a claim is dead.

    It is dead if it has started again since, or if it is not known to be
    alive and the request has waited for the peer time-out.
    """
    if holder == state.me.writer:
        return False
    name, _, boot = holder.rpartition("@")
    if name == state.me.name:
        return True
    peer = state.peers.get(name)
    if peer is not None and peer.alive_until > now:
        return f"{peer.boot:x}" != boot
    waited = now - following[request.id].since
    return waited > state.timing.peer_timeout_s
