"""How many hosts each pool should have now.

Answers the load of queues that take turns: each asks for five times its
mean for some seconds and for a twentieth in between. A pool grows as soon
as what is asked for does not fit, first by hosts of a standby pool, then by
idle hosts of pools that have more than they need. It shrinks only once it
has needed less for ``CALM_S``, as the two moves of a host that is parked
and fetched cost as much as ``CALM_S`` in its pool.
"""

from collections import abc
import dataclasses
import math
import typing

from azurewood.jobs import model

CALM_S: typing.Final = 2.5
"""The prices of two moves over that of a host's second in a pool."""
LEAST_HOSTS: typing.Final = 2
"""Hosts that a pool keeps: the loss of one leaves it served."""
FILL: typing.Final = 0.85
"""Share of a host's room that tasks of uneven size use in practice."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Demand:
    """What one pool needs: the hosts wanted now and the recent most.

    ``peaks`` has the hosts wanted and when, newest last.
    """

    wanted: int = 0
    peaks: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def note(self, wanted: int, now: float) -> None:
        """Take in how many hosts are wanted now."""
        self.wanted = wanted
        self.peaks = [
            (at, count)
            for at, count in self.peaks
            if at > now - CALM_S and count > wanted
        ]
        self.peaks.append((now, wanted))

    @property
    def recent(self) -> int:
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
    asked: model.Resources, host: model.Resources, labels: int = 0
) -> int:
    """Return how many hosts hold so much."""
    shares = [
        need / (room * FILL)
        for need, room in (
            (asked.cpu, host.cpu),
            (asked.memory_mb, host.memory_mb),
            (asked.gpu, host.gpu),
        )
        if need and room
    ]
    return max(LEAST_HOSTS, labels, math.ceil(max(shares, default=0.0)))


def plan(
    pools: abc.Iterable[Pool], demands: abc.Mapping[str, Demand]
) -> list[Move]:
    """Return the moves to make now, the most urgent first."""
    serving = [pool for pool in pools if not pool.standby]
    parked = [
        machine for pool in pools if pool.standby for machine in pool.idle
    ]
    spare = {pool.name: _spare(pool, demands) for pool in serving}
    short = sorted(serving, key=lambda pool: -_short(pool, demands))
    moves = list(_grow(short, demands, parked, spare))
    standby = next((pool.name for pool in pools if pool.standby), None)
    if standby is not None:
        moves.extend(
            Move(machine=machine, pool=standby, reason="not needed")
            for machines in spare.values()
            for machine in machines
        )
    return moves


def _short(pool: Pool, demands: abc.Mapping[str, Demand]) -> int:
    demand = demands.get(pool.name)
    wanted = demand.wanted if demand else LEAST_HOSTS
    return wanted - pool.hosts - pool.coming


def _spare(pool: Pool, demands: abc.Mapping[str, Demand]) -> list[str]:
    """Return the idle machines beyond what was needed for a while."""
    demand = demands.get(pool.name)
    recent = max(LEAST_HOSTS, demand.recent if demand else LEAST_HOSTS)
    beyond = pool.hosts + pool.coming - recent
    return list(pool.idle[: max(0, beyond)])


def _grow(
    short: list[Pool],
    demands: abc.Mapping[str, Demand],
    parked: list[str],
    spare: dict[str, list[str]],
) -> abc.Iterator[Move]:
    for pool in short:
        for _ in range(max(0, _short(pool, demands))):
            machine = _take(pool.name, parked, spare)
            if machine is None:
                return
            yield Move(
                machine=machine, pool=pool.name, reason="asked for more"
            )


def _take(
    name: str, parked: list[str], spare: dict[str, list[str]]
) -> str | None:
    if parked:
        return parked.pop(0)
    for other, machines in spare.items():
        if other != name and machines:
            return machines.pop(0)
    return None
