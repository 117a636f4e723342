"""Shares of a full pool for client accounts, by weighted max-min fairness.

The load: one or two accounts send 5 to 12 times their usual rate for some
seconds, while the demand of a queue rises to five times its mean, which is
more than its pool holds. With one common order, the account with the most
jobs would take the capacity of all others.

The method is progressive filling of weighted dominant resource fairness.
All accounts are filled at a rate proportional to their weight, measured in
the largest share of any resource that an account asks for, until it has what
it asks for or a resource that it needs is exhausted. What one account does
not use goes to the others. Running and waiting tasks count alike.

Source: Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of
Multiple Resource Types", NSDI 2011.
"""

from collections import abc
import dataclasses
import itertools
import math
import operator
import typing

from azurewood.jobs import model

MIN_WEIGHT: typing.Final = 1e-6
"""Weight of an account with weight 0, which gets what the others leave."""
TOLERANCE: typing.Final = 1e-9
"""Difference of two shares of a pool that is due to rounding."""
RESOURCES: typing.Final = range(3)

Amounts = tuple[float, ...]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Claim:
    """What an account asks for: its running and waiting tasks together."""

    weight: float
    asked: model.Resources


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Request:
    """The tasks of one job: what runs and what waits for a host."""

    id: str
    account: str
    running: model.Resources
    waiting: model.Resources


def weight_of(weights: abc.Mapping[str, float], account: str) -> float:
    """Return the weight of an account.

    Jobs without an account, or of an account that the configuration no
    longer has, have the weight of the mean account.
    """
    known = weights.get(account)
    if known is None:
        known = sum(weights.values()) / max(1, len(weights))
    return max(MIN_WEIGHT, known)


def dominant_share(asked: model.Resources, capacity: model.Resources) -> float:
    """Return the largest share of any resource of ``capacity``.

    A resource that the capacity does not have is ignored.
    """
    amounts = zip(_amounts(asked), _amounts(capacity), strict=True)
    return max((need / most for need, most in amounts if most), default=0.0)


def granted_parts(
    claims: abc.Mapping[str, Claim], capacity: model.Resources
) -> dict[str, float]:
    """Return the part from 0 to 1 of its claim that each account is due.

    The time is O(n log n) in the number of accounts.
    """
    limits = _amounts(capacity)
    filled_at: dict[str, float] = {}
    for name, claim in claims.items():
        share = dominant_share(claim.asked, capacity)
        filled_at[name] = share / max(MIN_WEIGHT, claim.weight)
    parts = dict.fromkeys(claims, 1.0)
    active = sorted(
        ((at, name) for name, at in filled_at.items() if at > 0.0),
        key=operator.itemgetter(0),
    )
    left = list(limits)
    for _ in RESOURCES:
        level, exhausted = _fill(
            [(at, _amounts(claims[name].asked)) for at, name in active],
            [left[i] if limits[i] else math.inf for i in RESOURCES],
        )
        if exhausted is None:
            break
        others = []
        for at, name in active:
            amounts = _amounts(claims[name].asked)
            if not amounts[exhausted]:
                others.append((at, name))
                continue
            parts[name] = min(1.0, level / at)
            left = [
                max(0.0, left[i] - parts[name] * amounts[i]) for i in RESOURCES
            ]
        active = others
    return parts


def _fill(
    active: list[tuple[float, Amounts]], left: abc.Sequence[float]
) -> tuple[float, int | None]:
    """Return the level at which a resource is exhausted, and which one.

    ``active`` has the level at which each claim is met, ascending, and what
    it asks for. The resource is None if all claims can be met.
    """
    met = [0.0] * len(left)
    rates = [tuple(amount / at for amount in own) for at, own in active]
    # Sums from the end: a running difference would leave rounding errors.
    growing = list(itertools.accumulate(reversed(rates), _plus))[::-1]
    for (at, own), grows in zip(active, growing, strict=True):
        if any(
            grows[i] and met[i] + grows[i] * at > left[i] * (1 + TOLERANCE)
            for i in RESOURCES
        ):
            return _exhausted(met, grows, left)
        met = [met[i] + own[i] for i in RESOURCES]
    return math.inf, None


def _plus(one: Amounts, other: Amounts) -> Amounts:
    return tuple(one[i] + other[i] for i in RESOURCES)


def _exhausted(
    met: list[float], growing: Amounts, left: abc.Sequence[float]
) -> tuple[float, int]:
    """Return the lowest level at which a resource is exhausted, and it."""
    return min(
        (max(0.0, left[i] - met[i]) / growing[i], i)
        for i in RESOURCES
        if growing[i] > 0.0
    )


def beyond_share(
    ordered: abc.Sequence[Request],
    claims: abc.Mapping[str, Claim],
    parts: abc.Mapping[str, float],
    capacity: model.Resources,
) -> frozenset[str]:
    """Return the ids of the jobs that are beyond their account's share.

    ``parts`` are the `granted_parts` of the ``claims`` of these jobs. Each
    account's share is used up by its running tasks first and then by its jobs
    in the given order. A job that begins within the share is within it, so
    that an account whose share is smaller than one job gets its turn.
    """
    shares = {
        name: parts[name] * dominant_share(claim.asked, capacity)
        for name, claim in claims.items()
    }
    taken = {name: model.Resources() for name in claims}
    for request in ordered:
        taken[request.account] = taken[request.account].plus(request.running)
    beyond = set()
    for request in ordered:
        if request.waiting == model.Resources():
            continue
        account = request.account
        used = dominant_share(taken[account], capacity)
        if parts[account] < 1.0 and used >= shares[account] - TOLERANCE:
            beyond.add(request.id)
        else:
            taken[account] = taken[account].plus(request.waiting)
    return frozenset(beyond)


def claims_of(
    requests: abc.Iterable[Request], weights: abc.Mapping[str, float]
) -> dict[str, Claim]:
    """Return the claim of each account that has jobs."""
    asked: dict[str, model.Resources] = {}
    for request in requests:
        known = asked.get(request.account, model.Resources())
        total = known.plus(request.running).plus(request.waiting)
        asked[request.account] = total
    return {
        name: Claim(weight=weight_of(weights, name), asked=amount)
        for name, amount in asked.items()
    }


def _amounts(resources: model.Resources) -> Amounts:
    return (resources.cpu, resources.memory_mb, resources.gpu)
