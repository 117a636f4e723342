"""Ends of a host's incarnation other than by a lapsed lease, and their proof.

What ended tells which runs have ended with it, whether it was a crash, which
may be a task's fault, and whether a start that is still under way can reach
a later incarnation.
"""

import dataclasses

from azurewood.scheduling import crashes
from azurewood.scheduling import model
from azurewood.scheduling import tasks


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Replaced:
    """A list of machines names another host on the machine.

    It shows nothing of runs that were placed after ``placed_before``.
    """

    placed_before: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Down:
    """A list of machines says that the machine is down.

    Its host may be back under its id, where a start that was not confirmed
    by ``placed_before`` may still begin.
    """

    placed_before: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Maintained:
    """A machine was maintained, when its host was in an incarnation.

    The order may have been answered as done that was done long before.
    """

    placed_before: float
    last_incarnation_ms: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Moved:
    """A machine was moved, when its host was in an incarnation."""

    last_incarnation_ms: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class AddressReused:
    """Another host answers at the host's address."""


Proof = Replaced | Down | Maintained | Moved | AddressReused


def end(
    state: model.State, host: model.Host, proof: Proof, now: float
) -> None:
    """Mark the runs as gone that have ended by what is proved."""
    reason = _reason(proof)
    if isinstance(proof, Replaced | Down | AddressReused):
        crashes.record(state, host, reason, now)
    if isinstance(proof, AddressReused):
        state.bar_late_starts(host)
    for run in list(host.runs.values()):
        if _has_ended(run, proof):
            tasks.mark_run_gone(state, host, run, reason, now)


def _reason(proof: Proof) -> str:
    """Return how the incarnation ended, for the log."""
    match proof:
        case Replaced():
            return "its machine has another host"
        case Down():
            return "its machine is down"
        case Maintained():
            return "its machine was maintained"
        case Moved():
            return "its machine was moved"
        case AddressReused():
            return "another host has its address"


def _has_ended(run: model.Run, proof: Proof) -> bool:
    """Return whether a run of a host ended with what is proved."""
    match proof:
        case Replaced(placed_before=at):
            return run.began_at <= at
        case Down(placed_before=at) if run.inherited:
            return run.began_at <= at
        case Down(placed_before=at):
            return run.confirmed_at is not None and run.confirmed_at <= at
        case Maintained(placed_before=at, last_incarnation_ms=last_ms):
            return run.began_at <= at and run.incarnation_ms <= last_ms
        case Moved(last_incarnation_ms=last_ms):
            return run.incarnation_ms <= last_ms
        case AddressReused():
            return True
