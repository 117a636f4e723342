"""Requests that may not be repeated: claimed in the log before they run.

A request asks for a claim on its key. Accepted, it goes the way of all
requests; otherwise it follows the claim that stands until that is settled.
"""

import collections.abc

from azurewood.policy import claims as policy
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import outbox
from azurewood.state import records
from azurewood.state import requests
from azurewood.state import settlements

TICKET_PREFIX = "claim:"
MAX_CLAIM_TRIES = 5

ClaimPhase = records.ClaimPhase
Effects = collections.abc.Iterator[effects.AnyEffect]
Refusal = effects.Refusal


def arrive(
    state: model.State, event: events.RequestArrived, now: float
) -> Effects:
    """Claim a request that needs it, and pass the others on."""
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
        yield from _consider(state, request, now)
    else:
        yield from requests.admit(state, request, now)


def _claim_refusal(
    state: model.State,
    event: events.RequestArrived,
    claiming: policy.LogClaims,
) -> Refusal | None:
    book = state.claims
    if not event.key:
        return Refusal.KEY_REQUIRED
    in_hand = len(book.asked) + len(book.following) + len(book.doubtful)
    if in_hand >= claiming.at_once:
        return Refusal.QUEUE_FULL
    return None


def _consider(
    state: model.State, request: model.RequestView, now: float
) -> Effects:
    """Act on what the log says of the request's key."""
    claim = state.agreed.claims.get(request.claim)
    if claim is None:
        yield from _ask(state, request, 0, now)
        return
    if claim.digest != request.digest:
        yield from _give_up(state, request, Refusal.KEY_REUSED, now)
        return
    match claim.phase:
        case ClaimPhase.NOT_RUN:
            yield from _ask(state, request, claim.revision, now)
        case ClaimPhase.RAN:
            _drop(state, request)
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
                request.id, model.FollowedClaim(key=request.claim, since=now)
            )


def _answer_unknown(
    state: model.State, request: model.RequestView, reason: str
) -> Effects:
    _drop(state, request)
    yield effects.AnswerUnknown(id=request.id, reason=reason)


def _drop(state: model.State, request: model.RequestView) -> None:
    state.claims.following.pop(request.id, None)
    requests.drop(state, request)


def _give_up(
    state: model.State,
    request: model.RequestView,
    reason: Refusal,
    now: float,
) -> Effects:
    state.claims.following.pop(request.id, None)
    yield from requests.give_up(state, request, reason, now)


def _ask(
    state: model.State,
    request: model.RequestView,
    base: int,
    now: float,
) -> Effects:
    """Propose a claim, unless the log is known to be out."""
    request.claim_tries += 1
    if not state.log.reachable or request.claim_tries > MAX_CLAIM_TRIES:
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


def take_answers(
    state: model.State,
    wanted: collections.abc.Iterable[effects.AnyEffect],
    now: float,
) -> Effects:
    """Take the answers to our claims out of the effects."""
    for effect in wanted:
        match effect:
            case effects.AnswerProposal() if effect.ticket.startswith(
                TICKET_PREFIX
            ):
                yield from _answered(state, effect, now)
            case _:
                yield effect


def _answered(
    state: model.State, effect: effects.AnswerProposal, now: float
) -> Effects:
    """Go on with a request whose claim was judged or given up."""
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
            yield from _consider(state, request, now)
        case effects.Resolution.UNKNOWN:
            _doubt(state, request)
            yield from _give_up(state, request, Refusal.LOG_UNAVAILABLE, now)
        case effects.Resolution.NOT_ACCEPTED:
            yield from _give_up(state, request, Refusal.LOG_UNAVAILABLE, now)


def _doubt(state: model.State, request: model.RequestView) -> None:
    """Remember a claim that may yet be accepted."""
    state.claims.doubtful[request.id] = model.UnresolvedClaim(
        key=request.claim, sequence=state.outbox.sequence
    )


def abandon(
    state: model.State, event: events.RequestAbandoned, now: float
) -> Effects:
    """Answer a request whose time is up, or whose caller is gone."""
    request = state.requests.get(event.id)
    if request is None:
        return
    if state.claims.asked.pop(event.id, None) is not None:
        if not outbox.withdraw(state, TICKET_PREFIX + event.id):
            _doubt(state, request)
        yield from _give_up(state, request, Refusal.LOG_UNAVAILABLE, now)
    elif event.id in state.claims.following:
        yield from _answer_unknown(state, request, "held-elsewhere")
    else:
        yield from requests.abandon(state, event, now)


def tick(state: model.State, now: float) -> Effects:
    """Answer the requests whose deadline has passed."""
    late = [
        request.id
        for request in state.requests.values()
        if not request.host and request.deadline <= now
    ]
    for name in late:
        yield from abandon(state, events.RequestAbandoned(id=name), now)


def settle(state: model.State, now: float) -> Effects:
    """Act on what the log now says of the claims in hand."""
    yield from settlements.follow_up(state, now)
    for name in tuple(state.claims.doubtful):
        yield from _resolve_doubt(state, name, now)
    for name in tuple(state.claims.following):
        yield from _follow(state, state.requests[name], now)


def _resolve_doubt(state: model.State, name: str, now: float) -> Effects:
    """Release a given-up claim that stands, or learn that it never will.

    Once a record of ours with its sequence number or a later one is read,
    the claim can no longer be accepted.
    """
    doubt = state.claims.doubtful[name]
    mine = state.agreed.writers.get(state.me.writer)
    if _is_held(state, doubt.key, name):
        del state.claims.doubtful[name]
        release = records.SettleClaim(phase=ClaimPhase.NOT_RUN)
        yield from settlements.settle(state, doubt.key, name, release, now)
    elif mine is not None and mine.sequence >= doubt.sequence:
        del state.claims.doubtful[name]


def _is_held(state: model.State, key: str, request: str) -> bool:
    """Tell whether the claim on a key is held by a request of ours."""
    claim = state.agreed.claims.get(key)
    return (
        claim is not None
        and claim.holder == state.me.writer
        and claim.request == request
        and claim.phase in (ClaimPhase.HELD, ClaimPhase.UNKNOWN)
    )


def _follow(
    state: model.State, request: model.RequestView, now: float
) -> Effects:
    """Follow another's claim; settle it as unknown if its holder died."""
    claim = state.agreed.claims.get(request.claim)
    if claim is None or claim.phase != ClaimPhase.HELD:
        yield from _consider(state, request, now)
    elif _is_dead(state, claim.holder, state.claims.following, request, now):
        yield from settlements.settle(
            state,
            request.claim,
            claim.request,
            records.SettleClaim(phase=ClaimPhase.UNKNOWN),
            now,
        )
        yield from _answer_unknown(state, request, "holder-lost")


def _is_dead(
    state: model.State,
    holder: str,
    following: dict[str, model.FollowedClaim],
    request: model.RequestView,
    now: float,
) -> bool:
    """Tell whether a holder's boot is over, or silent for long enough."""
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
