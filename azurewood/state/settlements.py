"""Claim settlements, proposed again until the log holds the outcome."""

import collections.abc

from azurewood.state import claim_tracking
from azurewood.state import effects
from azurewood.state import model
from azurewood.state import outbox
from azurewood.state import records

RETRY_INTERVAL_S = 1.0

ClaimPhase = records.ClaimPhase
Effects = collections.abc.Iterator[effects.AnyEffect]


def settle(
    state: model.State,
    key: str,
    request: str,
    change: records.SettleClaim,
    now: float,
) -> Effects:
    """Propose how the claim of a request ended, until the log holds it."""
    state.claims.settling[key] = claim_tracking.Settlement(
        request=request, change=change
    )
    yield from _submit(state, key, now)


def settle_request(
    state: model.State,
    request: model.RequestView,
    phase: ClaimPhase,
    now: float,
) -> Effects:
    """Settle the claim that a request holds, if it holds one."""
    if request.claimed:
        change = records.SettleClaim(phase=phase)
        yield from settle(state, request.claim, request.id, change, now)


def _submit(state: model.State, key: str, now: float) -> Effects:
    """Submit the settlement of a claim and schedule the next attempt."""
    settlement = state.claims.settling[key]
    settlement.redo_at = now + RETRY_INTERVAL_S
    claim = state.agreed.claims.get(key)
    proposal = records.Proposal(
        object=records.claim_object(key),
        base=claim.revision if claim else 0,
        change=settlement.change,
    )
    entry = model.PendingProposals(
        ticket=outbox.UNTRACKED_TICKET,
        proposals=(proposal,),
        deadline=settlement.redo_at,
    )
    yield from outbox.submit(state, entry, now)


def resubmit_unsettled(state: model.State, now: float) -> Effects:
    """Drop the settlements that the log holds; propose the others again."""
    settling = state.claims.settling
    for key in tuple(settling):
        if _is_settled(state, key, settling[key]):
            del settling[key]
        elif now >= settling[key].redo_at:
            yield from _submit(state, key, now)


def _is_settled(
    state: model.State, key: str, settlement: claim_tracking.Settlement
) -> bool:
    """Return whether the log holds this settlement or a final one."""
    claim = state.agreed.claims.get(key)
    if claim is None or claim.request != settlement.request:
        return True
    if claim.phase == settlement.change.phase:
        return True
    return claim.phase not in (ClaimPhase.HELD, ClaimPhase.UNKNOWN)
