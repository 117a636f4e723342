"""Arrival times of calls: open loop and closed loop."""

import dataclasses
import random
import typing


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Phase:
    """A period with a constant mean arrival rate."""

    rate_per_s: float
    duration_s: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class OpenLoop:
    """Poisson arrivals in successive phases, independent of answers."""

    phases: tuple[Phase, ...]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ClosedLoop:
    """Each thread calls again as soon as it has its answer."""

    duration_s: float


Arrivals = OpenLoop | ClosedLoop


def due_times(
    arrivals: Arrivals, *, rng: random.Random
) -> typing.Iterator[float | None]:
    """Yield the seconds from the start at which calls are due.

    None means immediately; the duration of the run then limits the calls.
    """
    match arrivals:
        case OpenLoop(phases=phases):
            yield from _poisson(phases, rng=rng)
        case ClosedLoop():
            while True:
                yield None


def length_s(arrivals: Arrivals) -> float:
    """Return the duration for which calls are sent."""
    match arrivals:
        case OpenLoop(phases=phases):
            return sum(phase.duration_s for phase in phases)
        case ClosedLoop(duration_s=duration_s):
            return duration_s


def _poisson(
    phases: tuple[Phase, ...], *, rng: random.Random
) -> typing.Iterator[float]:
    start = 0.0
    for phase in phases:
        end = start + phase.duration_s
        at = start
        while phase.rate_per_s > 0:
            at += rng.expovariate(phase.rate_per_s)
            if at >= end:
                break
            yield at
        start = end
