"""Chooses the host of a maintenance wave to drain next, if one may be.

The functions are pure, except that ``record_demand`` changes a ``Peak``.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

from azurewood.fleet import model

DAY_S = 86400.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Gated:
    """Drain a host only if its pool has enough capacity without it."""


@dataclasses.dataclass(slots=True, kw_only=True)
class AllAtOnce:
    """Baseline: drain every host of the wave at once."""


WavePolicy = Gated | AllAtOnce


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolHost:
    """A host of a pool; a host that does not serve has no capacity.

    ``in_wave`` is true while it is drained or down for maintenance.
    """

    name: str
    zone: str
    rack: str
    slots: int
    serving: bool
    in_wave: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolFacts:
    """A pool: its hosts, its demand in slots, and its availability budget.

    ``budget_left`` is the smallest unused share among the pool's services.
    """

    name: str
    hosts: tuple[PoolHost, ...]
    demand: float
    budget_left: float


PEAK_PERIOD_S = 10.0
"""Shortest time for which a peak of demand prevents maintenance."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Peak:
    """The highest demand of a pool in the last two periods.

    ``until`` is the end of the present period on the caller's clock, in
    seconds.
    """

    until: float = 0.0
    present: float = 0.0
    earlier: float = 0.0


def record_demand(peak: Peak, demand: float, now: float) -> float:
    """Record a demand and return the highest one of the last two periods."""
    if now >= peak.until:
        peak.earlier = (
            peak.present if now < peak.until + PEAK_PERIOD_S else 0.0
        )
        peak.present = 0.0
        peak.until = now + PEAK_PERIOD_S
    peak.present = max(peak.present, demand)
    return max(peak.present, peak.earlier)


class Hold(enum.StrEnum):
    """Why a host may not be drained yet."""

    PRESET = "the preset allows no maintenance"
    BUDGET = "too little of the availability budget is left"
    AT_ONCE = "as many hosts as allowed are out already"
    NOT_SERVING = "the host does not serve"
    CAPACITY = "too few slots would be left after losing a rack or zone"


MAX_CANDIDATES = 4
"""Hosts of a pool checked in one pass, the best candidates first."""


def pool_hold(rules: model.Maintenance, pool: PoolFacts) -> Hold | None:
    """Return why no host of a pool may be drained now, None if one may."""
    if not rules.allowed:
        return Hold.PRESET
    if pool.budget_left < rules.min_budget:
        return Hold.BUDGET
    if sum(host.in_wave for host in pool.hosts) >= rules.at_once:
        return Hold.AT_ONCE
    return None


def host_hold(
    rules: model.Maintenance, pool: PoolFacts, host: PoolHost
) -> Hold | None:
    """Return why a host may not be drained now, None if it may.

    The caller has checked ``pool_hold`` before.
    """
    if not host.serving:
        return Hold.NOT_SERVING
    total = sum(other.slots for other in pool.hosts)
    spare = slots_after_loss(pool, host) - pool.demand
    if spare < rules.spare_share * total:
        return Hold.CAPACITY
    return None


def slots_after_loss(pool: PoolFacts, without: PoolHost) -> int:
    """Return the slots left without a host and after the worst loss.

    The worst loss is that of the rack or zone with the most slots. If all
    hosts of a pool are in one rack, no pool could survive the loss of that
    rack, so such a loss is not counted; the same applies to a zone.
    """
    rest = [
        host
        for host in pool.hosts
        if host.serving and host.name != without.name
    ]
    by_rack: collections.Counter[tuple[str, str]] = collections.Counter()
    by_zone: collections.Counter[str] = collections.Counter()
    for host in rest:
        by_rack[(host.zone, host.rack)] += host.slots
        by_zone[host.zone] += host.slots
    total = sum(host.slots for host in rest)
    losses = [
        max(counts.values())
        for counts, groups in (
            (by_rack, {(host.zone, host.rack) for host in pool.hosts}),
            (by_zone, {host.zone for host in pool.hosts}),
        )
        if counts and len(groups) > 1
    ]
    return total - max(losses, default=0)


def next_hosts(
    policy: WavePolicy,
    rules: model.Maintenance,
    pools: collections.abc.Iterable[PoolFacts],
    waiting: collections.abc.Container[str],
) -> collections.abc.Iterator[str]:
    """Yield the waiting hosts to drain now, at most one of each pool.

    Racks and zones with the fewest hosts out of service come first.
    """
    for pool in pools:
        is_baseline = isinstance(policy, AllAtOnce)
        if not is_baseline and pool_hold(rules, pool) is not None:
            continue
        wanted = [
            host
            for host in pool.hosts
            if host.serving and host.name in waiting
        ]
        if is_baseline:
            yield from (host.name for host in wanted)
            continue
        out = collections.Counter(
            place
            for host in pool.hosts
            if not host.serving
            for place in (host.zone, (host.zone, host.rack))
        )
        wanted.sort(
            key=lambda host, out=out: (
                out[(host.zone, host.rack)],
                out[host.zone],
                host.name,
            )
        )
        for host in wanted[:MAX_CANDIDATES]:
            if host_hold(rules, pool, host) is None:
                yield host.name
                break


def pause_reason(
    policy: WavePolicy,
    rules: model.Maintenance,
    pools: collections.abc.Iterable[PoolFacts],
) -> str:
    """Return why a wave over some pools must pause, or an empty string.

    A wave continues while any of its pools has budget left.
    """
    if isinstance(policy, AllAtOnce):
        return ""
    holds = {pool_hold(rules, pool) for pool in pools}
    if Hold.PRESET in holds:
        return Hold.PRESET
    return Hold.BUDGET if holds == {Hold.BUDGET} else ""


def round_days(
    *,
    pool_hosts: collections.abc.Iterable[int],
    at_once: int,
    host_s: float,
    open_share: float,
) -> float:
    """Return the days until every host of every pool was maintained once.

    All pools are maintained in parallel, ``at_once`` hosts of each. A host
    takes ``host_s`` seconds from the start of its drain until it serves
    again. Maintenance is allowed for ``open_share`` of the time (0 to 1).
    """
    longest = max(pool_hosts, default=0)
    rounds = math.ceil(longest / at_once)
    return rounds * host_s / open_share / DAY_S
