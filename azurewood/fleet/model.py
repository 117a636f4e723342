"""Data classes of the fleet configuration that operators publish.

The configuration holds durations, in the unit at the end of the field's
name. The state, by contrast, always stores deadlines.

Members of a union are ``msgspec.Struct`` classes, because msgspec supports
tags only for these. They are slotted and keyword-only like the data classes.
"""

import dataclasses
import enum
import typing

import msgspec


class Urgency(enum.StrEnum):
    """How urgently a request has to be answered."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"


@dataclasses.dataclass(slots=True, kw_only=True)
class Zone:
    """An availability zone of a region."""

    name: str
    region: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Host:
    """A machine that runs the task of one service at a time.

    ``address`` is an IP address. ``slots`` is the number of requests that
    the host processes concurrently, ``connections`` the number of
    connections that it accepts.
    """

    name: str
    zone: str
    rack: str
    address: str
    cores: int = 16
    memory_gb: int = 32
    accelerators: int = 0
    slots: int = 8
    connections: int = 64


@dataclasses.dataclass(slots=True, kw_only=True)
class Route:
    """Rules for requests to a service whose path has a given prefix.

    A request that is not ``repeatable`` runs at most once and needs an
    idempotency key from its caller.
    """

    prefix: str
    urgency: Urgency = Urgency.NORMAL
    repeatable: bool = True
    methods: tuple[str, ...] = ("GET", "POST")


@dataclasses.dataclass(slots=True, kw_only=True)
class Service:
    """A service and the rules for its requests.

    ``availability`` is the objective for the share of requests answered in
    full within a window of ``window_s`` seconds. ``quota`` is the share (0
    to 1) of a daemon's request queue that the service may use.
    """

    name: str
    pool: str
    port: int
    team: str = ""
    availability: float = 0.99
    window_s: int = 3600
    deadline_ms: int = 5000
    quota: float = 0.5
    routes: tuple[Route, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True)
class Pool:
    """A pool of hosts and its initial members."""

    name: str
    hosts: tuple[str, ...] = ()
    spare: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Team:
    """A team and the maximum number of hosts in its pools."""

    name: str
    host_quota: int


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolTarget:
    """The minimum and maximum number of hosts of a pool in a preset."""

    pool: str
    min_hosts: int = 1
    max_hosts: int = 1000000


class FixedPools(msgspec.Struct, kw_only=True, tag=True):
    """Move no hosts because of load (a baseline policy)."""


class ThresholdMoves(msgspec.Struct, kw_only=True, tag=True):
    """Move hosts as soon as the load of a pool passes a single threshold.

    This is a baseline policy without hysteresis.
    """

    load: float = 0.8
    at_once: int = 1


class HysteresisMoves(msgspec.Struct, kw_only=True, tag=True):
    """Move hosts with separate load thresholds for gaining and giving.

    ``gain_load`` and ``give_load`` are shares of a pool's slots in use.
    The load of a pool has to stay past a threshold for ``hold_ms`` before
    hosts are moved. A pool gives no hosts for ``rest_ms`` after it gained
    some, and gains none for ``rest_ms`` after it gave some. ``buffer`` is
    the share of a pool's slots kept idle for failures. The weights are the
    relative costs, in this deployment, of idle slots, of a slow roll-out
    and of moves.
    """

    gain_load: float = 0.85
    give_load: float = 0.4
    hold_ms: int = 1000
    rest_ms: int = 5000
    at_once: int = 2
    buffer: float = 0.1
    buffer_weight: float = 1.0
    roll_out_weight: float = 1.0
    move_weight: float = 1.0


MovePolicy = FixedPools | ThresholdMoves | HysteresisMoves


@dataclasses.dataclass(slots=True, kw_only=True)
class Maintenance:
    """Limits that a preset sets on maintenance waves.

    ``at_once`` is the number of hosts of a pool that may be in maintenance
    at a time. ``min_budget`` is the share of a service's availability
    budget that has to be left. ``spare_share`` is the share of a pool's
    slots that has to stay free after the loss of any one rack or zone.
    """

    allowed: bool = True
    at_once: int = 1
    min_budget: float = 0.5
    spare_share: float = 0.2
    drain_ms: int = 30000


@dataclasses.dataclass(slots=True, kw_only=True)
class Preset:
    """A named set of targets and policies; one of them is in force."""

    name: str
    moves: MovePolicy = dataclasses.field(default_factory=FixedPools)
    maintenance: Maintenance = dataclasses.field(default_factory=Maintenance)
    targets: tuple[PoolTarget, ...] = ()
    shed_deferrable: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Fleet:
    """A complete fleet configuration."""

    deployment: str
    zones: tuple[Zone, ...]
    hosts: tuple[Host, ...]
    pools: tuple[Pool, ...]
    services: tuple[Service, ...]
    presets: tuple[Preset, ...]
    preset: str
    teams: tuple[Team, ...] = ()


MOVE_POLICIES: typing.Final[dict[str, type]] = {
    "fixed": FixedPools,
    "threshold": ThresholdMoves,
    "hysteresis": HysteresisMoves,
}
