"""What a daemon remembers of its duties: hosts, moves and waves.

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
    """An action of a steward, which may be repeated from ``until`` on.

    ``done`` says that its last call has been answered.
    """

    until: float
    attempts: int = 0
    in_call: bool = False
    done: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class HostDuties:
    """The hosts that this daemon acts for, and what it has done for them.

    ``mine`` is valid for ``members_key``, ``active`` (those of ``mine``
    that need an action) for ``hosts_revision``. ``acted`` is by action.
    ``drains`` holds when each drain ends at the latest, ``starts`` when a
    failed job may start again, and ``away`` the rebooted hosts that the
    host list has shown as not live. ``calls`` counts the calls under way.
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
    """A pool's hosts and slots that serve, and slots on their way."""

    hosts: int = 0
    slots: int = 0
    incoming: int = 0
    outgoing: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class MovePlanning:
    """What the moves on demand have to remember.

    ``capacity`` is valid for the view generation ``capacity_of``, and
    ``planners`` for the live peers ``planners_of``.
    """

    plan_at: float = 0.0
    memory: moves.Memory = dataclasses.field(default_factory=moves.Memory)
    samples: dict[str, demand.Samples] = dataclasses.field(
        default_factory=dict
    )
    capacity: dict[str, PoolCapacity] = dataclasses.field(default_factory=dict)
    capacity_of: int = -1
    planners: tuple[str, ...] = ()
    planners_of: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True)
class Budgets:
    """The services' availability budgets, and the driving of waves.

    ``members`` holds each pool's hosts at the view generation
    ``members_of``, and ``peaks`` the highest demand of pools of late.
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
