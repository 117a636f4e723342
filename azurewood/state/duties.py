"""State that a daemon keeps for its duties: hosts, moves and waves.

Deadlines are monotonic times in seconds.
"""

import dataclasses

from azurewood.policy import budgets
from azurewood.policy import demand
from azurewood.policy import maintenance
from azurewood.policy import moves
from azurewood.policy import placement


@dataclasses.dataclass(slots=True, kw_only=True)
class Action:
    """An action of a host owner, which may be repeated from ``until`` on.

    ``in_call`` is set while its call is in progress, ``done`` once the last
    call has succeeded.
    """

    until: float
    attempts: int = 0
    in_call: bool = False
    done: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class HostDuties:
    """The hosts that this daemon owns, and the actions taken for them.

    ``mine`` names the owned hosts and is valid for ``members_key``.
    ``active`` names those that need an action and is valid for
    ``hosts_revision``. ``acted`` holds the actions by their key. ``drains``
    holds the latest end of each drain, and ``starts`` the earliest start of
    each task. ``away`` holds the hosts whose reboot is complete once they
    are live: the host list has shown them as not live, or the wait for that
    has ended. ``calls`` counts the calls in progress by kind.
    """

    mine: tuple[str, ...] = ()
    members_key: tuple[str, ...] = ()
    active: dict[str, bool] = dataclasses.field(default_factory=dict)
    hosts_revision: int = -1
    acknowledged: int = 0
    acted: dict[str, Action] = dataclasses.field(default_factory=dict)
    drains: dict[str, float] = dataclasses.field(default_factory=dict)
    starts: dict[str, float] = dataclasses.field(default_factory=dict)
    away: dict[str, bool] = dataclasses.field(default_factory=dict)
    calls: dict[str, int] = dataclasses.field(default_factory=dict)
    renew_at: float = 0.0
    hand_over: placement.HandOver = dataclasses.field(
        default_factory=placement.AfterStop
    )
    placement_policy: placement.PlacementPolicy = dataclasses.field(
        default_factory=placement.BlamePlacement
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolCapacity:
    """A pool's serving hosts and slots, and the slots joining or leaving."""

    hosts: int = 0
    slots: int = 0
    incoming: int = 0
    outgoing: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class MovePlanning:
    """State of the planning of moves on demand.

    ``capacity`` is valid for the view generation ``capacity_of``, and
    ``planners`` for the live peers ``planners_of``.
    """

    plan_at: float = 0.0
    memory: moves.MoveDeadlines = dataclasses.field(
        default_factory=moves.MoveDeadlines
    )
    samples: dict[str, demand.Samples] = dataclasses.field(
        default_factory=dict
    )
    capacity: dict[str, PoolCapacity] = dataclasses.field(default_factory=dict)
    capacity_of: int = -1
    planners: tuple[str, ...] = ()
    planners_of: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True)
class Budgets:
    """The services' availability budgets, and the state for driving waves.

    ``members`` holds each pool's hosts at the view generation
    ``members_of``, and ``peaks`` the highest recent demand of each pool.
    """

    by_service: dict[str, budgets.Budget] = dataclasses.field(
        default_factory=dict
    )
    peaks: dict[str, maintenance.Peak] = dataclasses.field(
        default_factory=dict
    )
    members: dict[str, tuple[maintenance.PoolHost, ...]] = dataclasses.field(
        default_factory=dict
    )
    members_of: int = -1
    observe_at: float = 0.0
    drive_at: float = 0.0
    wave_policy: maintenance.WavePolicy = dataclasses.field(
        default_factory=maintenance.Gated
    )
