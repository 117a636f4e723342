"""Decides how many hosts each pool should have now.

Queues have their peaks in turn: each asks for five times its mean load for
some seconds and for a twentieth of it in between. A pool grows as soon as
the requested tasks do not fit, first with hosts of the standby pool, then
with idle hosts of pools that have more than they need. The hosts of one
peak thus get to the next peak in one move. Idle hosts are parked in the
standby pool only after their pool has needed fewer hosts for
``PARK_AFTER_S``, because the two moves of a host that is parked and brought
back cost as much as ``PARK_AFTER_S`` in its pool. While the store is slow,
jobs are late on their way to the leader and a pool in its peak seems to need
little, so nothing is parked.

When accounts ask for more than all machines hold, hosts go first to what is
asked for within the accounts' shares, in all pools. Otherwise the account with
the most jobs would have its pool take the machines of the others.

What arriving jobs will need is a forecast from few arrivals, which varies by
half at random, and from rough estimates of their work. It brings hosts before
a backlog has formed. Once some hosts of a pool are idle its tasks begin at
once, so that a forecast far above what is asked for is taken for an error.

Hosts where run ends wait for late starts should get no further tasks that end,
see `azurewood.policy.withheld_ends`. Their pool gets other machines beside
them, as far as the pools that lack hosts leave any.
"""

import collections
from collections import abc
import dataclasses
import math
import typing

from azurewood.jobs import model

PARK_AFTER_S: typing.Final = 2.5
"""Price of two moves, divided by the price of a host in a pool for 1 s."""
RESERVE_HOSTS: typing.Final = 2
"""Hosts that every pool keeps, so that the loss of one leaves another."""
USABLE_SHARE: typing.Final = 0.85
"""Share of a host's capacity that tasks of uneven size use in practice."""

MAX_FORECAST_RATIO: typing.Final = 3.0
"""Limit on a forecast over what is asked for: as a peak begins, that may
triple in the time that a host takes to come."""
MAX_FORECAST_RATIO_IDLE: typing.Final = 1.2
"""The same for a pool with idle hosts, which has the room of one more rise."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Demand:
    """The hosts that one pool needs now, and its recent peaks.

    ``peaks`` lists times and the hosts wanted at that time, newest last.
    ``asked_cpu`` is the processor need of running and startable tasks, in
    thousandths of a core. ``beyond_share`` of the wanted hosts are for what
    accounts ask for beyond their share of all machines.
    """

    wanted: int = 0
    beyond_share: int = 0
    asked_cpu: int = 0
    peaks: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def record(self, wanted: int, now: float) -> None:
        """Record how many hosts are wanted now."""
        self.wanted = wanted
        self.peaks = [
            (at, count)
            for at, count in self.peaks
            if at > now - PARK_AFTER_S and count > wanted
        ]
        self.peaks.append((now, wanted))

    @property
    def recent_peak(self) -> int:
        """The most hosts wanted at one time within ``PARK_AFTER_S``."""
        return max((count for _, count in self.peaks), default=0)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Pool:
    """The present state of a pool.

    ``idle`` lists the machines that run nothing, in the order in which they
    should leave. ``coming`` counts the hosts that are moving to the pool, and
    ``withholding`` those of its hosts where run ends wait.
    """

    name: str
    hosts: int
    coming: int
    idle: tuple[str, ...]
    withholding: int = 0
    standby: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Move:
    """A machine that should change its pool."""

    machine: str
    pool: str
    reason: str


def wanted_hosts(
    asked: model.Resources, host: model.Resources, min_hosts: int = 0
) -> int:
    """Return how many hosts can hold ``asked``, at least ``min_hosts``."""
    shares = [
        need / (room * USABLE_SHARE)
        for need, room in (
            (asked.cpu, host.cpu),
            (asked.memory_mb, host.memory_mb),
            (asked.gpu, host.gpu),
        )
        if need and room
    ]
    return max(min_hosts, math.ceil(max(shares, default=0.0)))


def hosts_beyond_share(
    wanted: int, asked: model.Resources, within: model.Resources
) -> int:
    """Return how many of the wanted hosts are beyond the accounts' shares.

    ``within`` is the part of ``asked`` that is within them.
    """
    parts = [
        part / need
        for need, part in (
            (asked.cpu, within.cpu),
            (asked.memory_mb, within.memory_mb),
            (asked.gpu, within.gpu),
        )
        if need
    ]
    return wanted - math.ceil(wanted * max(parts, default=1.0))


def limit_forecast(asked: int, forecast: int, *, idle: bool) -> int:
    """Return how many hosts to want by a forecast, at least ``asked``.

    ``asked`` hosts hold the tasks that run or could start now, and ``idle``
    is whether a host of the pool runs nothing and can take tasks.
    """
    ratio = MAX_FORECAST_RATIO_IDLE if idle else MAX_FORECAST_RATIO
    return max(asked, min(forecast, math.ceil(asked * ratio)))


def capacity_share(now: model.Resources, full: model.Resources) -> float:
    """Return the share of its full capacity that a host offers now.

    The load: the hosts of a pool shrink for a while, and its tasks do not
    fit on them. A host that counted as a whole one would keep the pool from
    being lent others. The scarcest resource decides.
    """
    shares = [
        have / most
        for have, most in (
            (now.cpu, full.cpu),
            (now.memory_mb, full.memory_mb),
            (now.gpu, full.gpu),
        )
        if most
    ]
    return min(shares, default=0.0)


def plan(
    pools: abc.Iterable[Pool],
    demands: abc.Mapping[str, Demand],
    *,
    store_slow: bool = False,
) -> list[Move]:
    """Return the moves to make now, the most urgent first."""
    pools = list(pools)
    serving = [pool for pool in pools if not pool.standby]
    parked = [
        machine for pool in pools if pool.standby for machine in pool.idle
    ]
    movable = {
        pool.name: _idle_beyond(pool, _wanted(pool, demands))
        for pool in serving
    }
    moves = list(_grow(serving, demands, parked, movable))
    moves.extend(_fill_reserve(serving, demands, parked))
    moves.extend(_relieve(serving, demands, parked, movable))
    taken = {move.machine for move in moves}
    standby = next((pool.name for pool in pools if pool.standby), None)
    if standby is not None and not store_slow:
        moves.extend(_park(serving, demands, taken, standby))
    return moves


def _wanted(pool: Pool, demands: abc.Mapping[str, Demand]) -> int:
    demand = demands.get(pool.name)
    return demand.wanted if demand else 0


def _within_share(pool: Pool, demands: abc.Mapping[str, Demand]) -> int:
    demand = demands.get(pool.name)
    return demand.wanted - demand.beyond_share if demand else 0


def _recent_peak(pool: Pool, demands: abc.Mapping[str, Demand]) -> int:
    demand = demands.get(pool.name)
    return demand.recent_peak if demand else 0


def _idle_beyond(pool: Pool, count: int) -> list[str]:
    """Return the idle machines that a pool has beyond ``count`` hosts."""
    return list(pool.idle[: max(0, pool.hosts + pool.coming - count)])


def _grow(
    serving: list[Pool],
    demands: abc.Mapping[str, Demand],
    parked: list[str],
    movable: dict[str, list[str]],
) -> abc.Iterator[Move]:
    """Yield moves to pools that want more hosts than they have.

    What is asked for within the accounts' shares comes first in all pools.
    """
    added = collections.Counter()
    for target in (_within_share, _wanted):
        short = {
            pool.name: target(pool, demands)
            - pool.hosts
            - pool.coming
            - added[pool.name]
            for pool in serving
        }
        for pool in sorted(serving, key=lambda pool: -short[pool.name]):
            for _ in range(max(0, short[pool.name])):
                machine = _next_machine(pool.name, parked, movable)
                if machine is None:
                    return
                added[pool.name] += 1
                yield Move(
                    machine=machine, pool=pool.name, reason="asked for more"
                )


def _next_machine(
    name: str, parked: list[str], movable: dict[str, list[str]]
) -> str | None:
    if parked:
        return parked.pop(0)
    for other, machines in movable.items():
        if other != name and machines:
            return machines.pop(0)
    return None


def _fill_reserve(
    serving: list[Pool],
    demands: abc.Mapping[str, Demand],
    parked: list[str],
) -> abc.Iterator[Move]:
    """Yield moves of parked machines to pools below ``RESERVE_HOSTS``."""
    for pool in serving:
        has = max(pool.hosts + pool.coming, _wanted(pool, demands))
        for _ in range(max(0, RESERVE_HOSTS - has)):
            if parked:
                yield Move(
                    machine=parked.pop(0), pool=pool.name, reason="reserve"
                )


def _relieve(
    serving: list[Pool],
    demands: abc.Mapping[str, Demand],
    parked: list[str],
    movable: dict[str, list[str]],
) -> abc.Iterator[Move]:
    """Yield moves of spare machines for the hosts where run ends wait."""
    for pool in serving:
        has = pool.hosts + pool.coming - pool.withholding
        missing = _wanted(pool, demands) - has
        for _ in range(max(0, min(missing, pool.withholding))):
            machine = _next_machine(pool.name, parked, movable)
            if machine is None:
                return
            yield Move(machine=machine, pool=pool.name, reason="run ends wait")


def _park(
    serving: list[Pool],
    demands: abc.Mapping[str, Demand],
    taken: set[str],
    standby: str,
) -> abc.Iterator[Move]:
    """Yield moves to standby of idle machines beyond the recent peak."""
    for pool in serving:
        min_hosts = max(RESERVE_HOSTS, _recent_peak(pool, demands))
        min_hosts += pool.withholding
        for machine in _idle_beyond(pool, min_hosts):
            if machine not in taken:
                yield Move(machine=machine, pool=standby, reason="not needed")
