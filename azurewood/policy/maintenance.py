"""Which host of a maintenance wave goes next, if any may.

Every function is pure.
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
    """Drain a host only if the pool can do without it."""


@dataclasses.dataclass(slots=True, kw_only=True)
class AllAtOnce:
    """Drain every host of the wave at once (the naive policy)."""


WavePolicy = Gated | AllAtOnce


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolHost:
    """A host of a pool; one that does not serve has no capacity.

    ``in_wave`` says that it is drained or down for maintenance.
    """

    name: str
    zone: str
    rack: str
    slots: int
    serving: bool
    in_wave: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolFacts:
    """A pool: its hosts, its demand in slots, and its budget left.

    ``budget_left`` is the least share over the pool's services.
    """

    name: str
    hosts: tuple[PoolHost, ...]
    demand: float
    budget_left: float


class Hold(enum.StrEnum):
    """Why a host may not go yet; the first two pause a whole wave."""

    PRESET = "the preset allows no maintenance"
    BUDGET = "too little of the availability budget is left"
    AT_ONCE = "as many hosts as allowed are out already"
    NOT_SERVING = "the host does not serve"
    CAPACITY = "too few slots would be left after losing a rack or zone"


PAUSING = frozenset({Hold.PRESET, Hold.BUDGET})


def hold_of(
    rules: model.Maintenance, pool: PoolFacts, host: PoolHost
) -> Hold | None:
    """Return why a host may not be drained now, None if it may."""
    if not rules.allowed:
        return Hold.PRESET
    if pool.budget_left < rules.min_budget:
        return Hold.BUDGET
    if not host.serving:
        return Hold.NOT_SERVING
    if sum(other.in_wave for other in pool.hosts) >= rules.at_once:
        return Hold.AT_ONCE
    total = sum(other.slots for other in pool.hosts)
    spare = slots_after_loss(pool, host) - pool.demand
    if spare < rules.spare_share * total:
        return Hold.CAPACITY
    return None


def slots_after_loss(pool: PoolFacts, without: PoolHost) -> int:
    """Return the slots left without a host and any one rack or zone.

    A pool that lies in one rack, or in one zone, cannot do without it;
    such a loss is not counted.
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

    Racks and zones with the fewest hosts out come first.
    """
    for pool in pools:
        wanted = [host for host in pool.hosts if host.name in waiting]
        if isinstance(policy, AllAtOnce):
            yield from (host.name for host in wanted if host.serving)
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
        for host in wanted:
            if hold_of(rules, pool, host) is None:
                yield host.name
                break


def pause_reason(
    rules: model.Maintenance,
    pools: collections.abc.Iterable[PoolFacts],
    waiting: collections.abc.Container[str],
) -> str:
    """Say why no host of a wave may go for now; empty if one may soon."""
    holds = {
        hold_of(rules, pool, host)
        for pool in pools
        for host in pool.hosts
        if host.name in waiting
    }
    if holds and holds <= PAUSING:
        return "; ".join(sorted(holds))
    return ""


def round_days(
    *,
    pool_hosts: collections.abc.Iterable[int],
    at_once: int,
    host_s: float,
    open_share: float,
) -> float:
    """Return the days until every host of every pool was maintained once.

    Pools go on side by side, ``at_once`` hosts of each. A host takes
    ``host_s`` seconds from its drain to serving again; the gate is open
    for ``open_share`` of the time (0 to 1).
    """
    longest = max(pool_hosts, default=0)
    rounds = math.ceil(longest / at_once)
    return rounds * host_s / open_share / DAY_S
