"""Ends of a host's incarnation other than by a lapsed lease, and their proof.

What ended tells which runs have ended with it, whether it was a crash, which
may be a task's fault, and whether a start that is still under way can reach
a later incarnation. Each proof has its ``reason`` for the log.
"""

import dataclasses
import typing

from azurewood.scheduling import crashes
from azurewood.scheduling import host_state
from azurewood.scheduling import model
from azurewood.scheduling import tasks


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Replaced:
    """A list of machines names another host on the machine.

    It shows nothing of runs that were placed after ``placed_before``.
    """

    reason: typing.ClassVar[str] = "its machine has another host"
    is_crash: typing.ClassVar[bool] = True

    placed_before: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Down:
    """A list of machines says that the machine is down.

    Its host may be back under its id, where a start that was not confirmed
    by ``placed_before`` may still begin.
    """

    reason: typing.ClassVar[str] = "its machine is down"
    is_crash: typing.ClassVar[bool] = True

    placed_before: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Maintained:
    """A machine was maintained, when its host was in an incarnation.

    The order may have been answered as done that was done long before.
    """

    reason: typing.ClassVar[str] = "its machine was maintained"
    is_crash: typing.ClassVar[bool] = False

    placed_before: float
    last_incarnation_ms: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Moved:
    """A machine was moved, when its host was in an incarnation."""

    reason: typing.ClassVar[str] = "its machine was moved"
    is_crash: typing.ClassVar[bool] = False

    last_incarnation_ms: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class AddressReused:
    """Another host answers at the host's address.

    Its host may be back under its id, at any address.
    """

    reason: typing.ClassVar[str] = "another host has its address"
    is_crash: typing.ClassVar[bool] = True


Proof = Replaced | Down | Maintained | Moved | AddressReused


def end(
    state: model.State, host: host_state.Host, proof: Proof, now: float
) -> None:
    """Mark the runs as gone that have ended by what is proved.

    Lists of machines prove the end of the same hosts again and again, most
    of which have no runs any more.
    """
    if proof.is_crash:
        crashes.record(state, host, proof.reason, now)
    for run in list(host.runs.values()):
        if _has_ended(run, proof):
            # Only a list that names another host shows that it won't return.
            may_return = not isinstance(proof, Replaced)
            tasks.mark_run_gone(
                state, host, run, proof.reason, now, may_return=may_return
            )


def _has_ended(run: host_state.Run, proof: Proof) -> bool:
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
