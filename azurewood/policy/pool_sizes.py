"""How many hosts each pool should have now.

Answers the load of queues that take turns: each asks for five times its
mean for some seconds and for a twentieth in between. A pool grows as soon
as what is asked for does not fit, first by hosts of a standby pool, then by
idle hosts of pools that have more than they need now: one turn's hosts go
to the next turn in one move. A pool's idle hosts are parked only once it
has needed less for ``CALM_S``, as the two moves of a host that is parked
and fetched cost as much as ``CALM_S`` in its pool.
"""

from collections import abc
import dataclasses
import math
import typing

from azurewood.jobs import model

PARK_AFTER_S: typing.Final = 2.5
"""The prices of two moves over that of a host's second in a pool."""
RESERVE_HOSTS: typing.Final = 2
"""Hosts that a pool keeps in reserve: the loss of one leaves it served."""
USABLE_SHARE: typing.Final = 0.85
"""Share of a host's room that tasks of uneven size use in practice."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Demand:
    """What one pool needs: the hosts wanted now and the recent most.

    ``peaks`` has the hosts wanted and when, newest last; ``asked_cpu`` is
    what runs and could start, in thousandths of a core.
    """

    wanted: int = 0
    asked_cpu: int = 0
    peaks: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def record(self, wanted: int, now: float) -> None:
        """Take in how many hosts are wanted now."""
        self.wanted = wanted
        self.peaks = [
            (at, count)
            for at, count in self.peaks
            if at > now - PARK_AFTER_S and count > wanted
        ]
        self.peaks.append((now, wanted))

    @property
    def recent_peak(self) -> int:
        """The most hosts wanted for a while."""
        return max((count for _, count in self.peaks), default=0)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Pool:
    """A pool as it stands.

    ``idle`` are the machines that run nothing, those to take first first;
    ``coming`` are on their way.
    """

    name: str
    hosts: int
    coming: int
    idle: tuple[str, ...]
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
    """Return how many hosts hold so much, at least ``least``."""
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


def plan(
    pools: abc.Iterable[Pool], demands: abc.Mapping[str, Demand]
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
    taken = {move.machine for move in moves}
    standby = next((pool.name for pool in pools if pool.standby), None)
    if standby is not None:
        moves.extend(_park(serving, demands, taken, standby))
    return moves


def _wanted(pool: Pool, demands: abc.Mapping[str, Demand]) -> int:
    demand = demands.get(pool.name)
    return demand.wanted if demand else 0


def _recent_peak(pool: Pool, demands: abc.Mapping[str, Demand]) -> int:
    demand = demands.get(pool.name)
    return demand.recent_peak if demand else 0


def _idle_beyond(pool: Pool, count: int) -> list[str]:
    """Return the idle machines of a pool beyond so many hosts."""
    return list(pool.idle[: max(0, pool.hosts + pool.coming - count)])


def _grow(
    serving: list[Pool],
    demands: abc.Mapping[str, Demand],
    parked: list[str],
    movable: dict[str, list[str]],
) -> abc.Iterator[Move]:
    """Yield moves to pools for what is asked of them."""

    def short(pool: Pool) -> int:
        return _wanted(pool, demands) - pool.hosts - pool.coming

    for pool in sorted(serving, key=lambda pool: -short(pool)):
        for _ in range(max(0, short(pool))):
            machine = _next_machine(pool.name, parked, movable)
            if machine is None:
                return
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
    """Yield moves of parked machines to pools that have hardly any."""
    for pool in serving:
        has = max(pool.hosts + pool.coming, _wanted(pool, demands))
        for _ in range(max(0, RESERVE_HOSTS - has)):
            if parked:
                yield Move(
                    machine=parked.pop(0), pool=pool.name, reason="reserve"
                )


def _park(
    serving: list[Pool],
    demands: abc.Mapping[str, Demand],
    taken: set[str],
    standby: str,
) -> abc.Iterator[Move]:
    """Yield moves of idle machines that were not needed for a while."""
    for pool in serving:
        min_hosts = max(RESERVE_HOSTS, _recent_peak(pool, demands))
        for machine in _idle_beyond(pool, min_hosts):
            if machine not in taken:
                yield Move(machine=machine, pool=standby, reason="not needed")
