"""Data classes of the configuration that operators publish.

Durations in a configuration are configured lengths, in the unit that the
field's name ends with; what the state stores is always a deadline.

Members of a union are ``msgspec.Struct`` classes, slotted and keyword-only
like the data classes beside them, as msgspec tags no other kind of class.
"""

import dataclasses
import enum
import typing

import msgspec


class Urgency(enum.StrEnum):
    """How soon a request has to be answered."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"


@dataclasses.dataclass(slots=True, kw_only=True)
class Zone:
    """An availability zone, in a region."""

    name: str
    region: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Host:
    """A machine that runs one service's job at a time.

    ``address`` is an IP number. ``slots`` is the number of requests it works
    on at once, ``connections`` the number of connections it accepts.
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
    """How requests of a service under one path prefix are treated.

    A request that is not ``repeatable`` runs at most once and needs an
    idempotency key from its caller.
    """

    prefix: str
    urgency: Urgency = Urgency.NORMAL
    repeatable: bool = True
    methods: tuple[str, ...] = ("GET", "POST")


@dataclasses.dataclass(slots=True, kw_only=True)
class Service:
    """A service and how its requests are treated.

    ``availability`` is the share of requests that have to be answered in
    full, over ``window_s`` seconds. ``quota`` is the share of a daemon's
    waiting places that the service may take (0 to 1).
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
    """A pool and the hosts that it starts with."""

    name: str
    hosts: tuple[str, ...] = ()
    spare: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Team:
    """A team, with the largest number of hosts that its pools may hold."""

    name: str
    host_quota: int


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolTarget:
    """What a preset asks of one pool, in hosts."""

    pool: str
    min_hosts: int = 1
    max_hosts: int = 1000000


class FixedPools(msgspec.Struct, kw_only=True, tag=True):
    """Never move a host on demand (the naive policy)."""


class ThresholdMoves(msgspec.Struct, kw_only=True, tag=True):
    """Move a host as soon as a pool's load passes one threshold (naive)."""

    load: float = 0.8
    at_once: int = 1


class HysteresisMoves(msgspec.Struct, kw_only=True, tag=True):
    """Move hosts between two load thresholds, each held for a time.

    ``gain_load`` and ``give_load`` are shares of a pool's slots in use.
    A pool has to stay past a threshold for ``hold_ms``; after a move it
    rests for ``rest_ms``. ``buffer`` is the share of a pool's slots kept
    idle for failures. The three weights say what a unit of each measure
    costs this deployment.
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
    """What a preset allows of maintenance waves.

    ``min_budget`` is the share of each service's availability budget that
    has to be left. ``spare_share`` is the share of a pool's slots that has
    to be left after the loss of any one rack.
    """

    allowed: bool = True
    at_once: int = 1
    min_budget: float = 0.5
    spare_share: float = 0.2
    drain_ms: int = 30000


@dataclasses.dataclass(slots=True, kw_only=True)
class Preset:
    """A named set of targets and policies; one is in force at a time."""

    name: str
    moves: MovePolicy = dataclasses.field(default_factory=FixedPools)
    maintenance: Maintenance = dataclasses.field(default_factory=Maintenance)
    targets: tuple[PoolTarget, ...] = ()
    shed_deferrable: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Fleet:
    """A whole configuration document."""

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
