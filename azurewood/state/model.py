"""A daemon's whole state: the agreed state and its local view.

Deadlines are monotonic times in seconds unless their name ends in ``_ms``.
"""

import collections
import dataclasses
import random
import typing

import msgspec

from azurewood.fleet import model as fleet_model
from azurewood.policy import admission as admission_policy
from azurewood.policy import claims as claim_policy
from azurewood.policy import ejection as ejection_policy
from azurewood.policy import hedging as hedge_policy
from azurewood.policy import retries as retry_policy
from azurewood.policy import slots as slot_policy
from azurewood.state import agreed as agreed_state
from azurewood.state import claim_tracking
from azurewood.state import duties
from azurewood.state import events
from azurewood.state import lent_slots
from azurewood.state import records

RECENT_RECORDS_KEPT = 512
RETRY_TOKENS_AT_START = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Identity:
    """This daemon's identity; ``boot`` differs at every start."""

    name: str
    zone: str
    address: str
    boot: int

    @property
    def writer(self) -> str:
        """The name under which this boot appends to the log."""
        return f"{self.name}@{self.boot:x}"


@dataclasses.dataclass(slots=True, kw_only=True)
class Limits:
    """Limits of one daemon's queues."""

    waiting_requests: int = 128
    waiting_bytes: int = 32 << 20


@dataclasses.dataclass(slots=True, kw_only=True)
class Timing:
    """Configured intervals of the control path, in seconds."""

    heartbeat_s: float = 0.25
    peer_timeout_s: float = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Count:
    """Request counters of one service on one daemon.

    ``good`` and ``bad`` count answers since the daemon's start; ``busy`` and
    ``waiting`` are the requests now running and queued.
    """

    good: int = 0
    bad: int = 0
    busy: int = 0
    waiting: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerView:
    """The last known state of a peer.

    The peer counts as alive until ``alive_until``.
    """

    name: str
    zone: str
    address: str
    boot: int
    alive_until: float
    incarnation: str = ""
    offset: int = 0
    revision: int = 0
    log_reachable: bool = True
    stopping: bool = False
    draining: tuple[str, ...] = ()
    counts: dict[str, Count] = dataclasses.field(default_factory=dict)
    zones: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True)
class Heartbeats:
    """The heartbeats sent so far, and the content of the last full one.

    ``wholes`` counts the full heartbeats; the next is due at ``whole_at``.
    ``greeted`` maps an address to when it may be asked again for a full
    heartbeat, and ``told`` a service to the number of its requests in
    progress that was last reported.
    """

    count: int = 0
    wholes: int = 0
    whole_at: float = 0.0
    incarnation: str = ""
    log_reachable: bool = False
    stopping: bool = False
    greeted: dict[str, float] = dataclasses.field(default_factory=dict)
    told: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class LogView:
    """Progress of reading the platform's log.

    ``quiet_since`` is when the log last answered.
    """

    reachable: bool = False
    quiet_since: float = 0.0
    failures: int = 0
    relay_at: float = 0.0
    seed_at: float = 0.0
    reported_in_force: int = 0
    reported_fleet: int = 0
    snapshot_due: float = 0.0
    snapshot_offset: int = 0
    recent: collections.deque[events.StoredRecord] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=RECENT_RECORDS_KEPT)
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingProposals:
    """Proposals of one ticket that await their append or verdicts."""

    ticket: str
    proposals: tuple[records.Proposal, ...]
    deadline: float
    atomic: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRecord:
    """The record that is being appended.

    ``in_call`` is set while an append call is in progress, and ``unsure``
    once one may have taken effect without being read back. An entry with an
    empty ticket has been answered.
    """

    sequence: int
    data: bytes
    entries: list[PendingProposals]
    attempts: int = 0
    retry_at: float = 0.0
    in_call: bool = False
    unsure: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Outbox:
    """Proposals to be appended to the log, one record at a time.

    ``barrier`` requests an empty record, after a record whose outcome is
    unknown.
    """

    sequence: int = 0
    waiting: collections.deque[PendingProposals] = dataclasses.field(
        default_factory=collections.deque
    )
    sent: SentRecord | None = None
    barrier: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class HostView:
    """A host as this daemon sees it, with the slots that it may use.

    ``idle`` holds the numbers of the slots on which a request may start now.
    ``seen`` is the agreed revision of the host that the view reflects.
    ``ejected_until`` is 0 unless the host is ejected. ``ramp`` limits the
    concurrent requests on a host that has returned; 0 means no limit.
    """

    name: str
    zone: str
    rack: str
    address: str
    slots: int = 8
    service: str = ""
    usable: bool = False
    seen: int = -1
    listed: str = "live"
    owned: set[int] = dataclasses.field(default_factory=set)
    owners: tuple[str, ...] = ()
    settling: dict[int, lent_slots.SettlingSlot] = dataclasses.field(
        default_factory=dict
    )
    idle: list[int] = dataclasses.field(default_factory=list)
    busy: set[int] = dataclasses.field(default_factory=set)
    lent: dict[int, lent_slots.LentSlot] = dataclasses.field(
        default_factory=dict
    )
    borrowed: dict[int, lent_slots.LentSlot] = dataclasses.field(
        default_factory=dict
    )
    failures: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    ramp: int = 0
    told_at: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ReadyHosts:
    """Hosts with an idle slot, and the position of each in the list.

    A random host can be drawn, and any host removed, in constant time.
    """

    names: list[str] = dataclasses.field(default_factory=list)
    place: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceView:
    """A service's waiting requests and the hosts with an idle slot.

    ``near`` holds the hosts of this daemon's zone and ``far`` the others.
    """

    name: str
    port: int
    near: ReadyHosts = dataclasses.field(default_factory=ReadyHosts)
    far: ReadyHosts = dataclasses.field(default_factory=ReadyHosts)
    queues: dict[str, collections.deque[str]] = dataclasses.field(
        default_factory=lambda: {
            urgency.value: collections.deque()
            for urgency in fleet_model.Urgency
        }
    )
    hosts: int = 0
    ejected: set[str] = dataclasses.field(default_factory=set)
    retry_tokens: float = RETRY_TOKENS_AT_START
    quota: float = 1.0
    mean_s: float = 0.0
    turn: int = 0
    waiting: int = 0
    in_flight: int = 0
    arrived: int = 0
    count: Count = dataclasses.field(default_factory=Count)


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestView:
    """A caller's request in progress; ``host`` is empty while it waits."""

    id: str
    service: str
    urgency: fleet_model.Urgency
    deadline: float
    size: int
    repeatable: bool
    key: str = ""
    host: str = ""
    slot: int = -1
    attempts: int = 0
    may_have_run: bool = False
    tried: list[str] = dataclasses.field(default_factory=list)
    digest: str = ""
    claim: str = ""
    claimed: bool = False
    claim_tries: int = 0
    claim_asked_at: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Policies:
    """The policies by which this daemon handles requests."""

    at_most_once: claim_policy.AtMostOnce = dataclasses.field(
        default_factory=claim_policy.LogClaims
    )
    slots: slot_policy.SlotPolicy = dataclasses.field(
        default_factory=slot_policy.LentSlots
    )
    admission: admission_policy.AdmissionPolicy = dataclasses.field(
        default_factory=admission_policy.ClassQueues
    )
    retries: retry_policy.RetryPolicy = dataclasses.field(
        default_factory=retry_policy.RetryBudget
    )
    ejection: ejection_policy.EjectionPolicy = dataclasses.field(
        default_factory=ejection_policy.OutlierEjection
    )
    hedging: hedge_policy.HedgePolicy = dataclasses.field(
        default_factory=hedge_policy.HedgeAfterDelay
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """Everything that a daemon's decisions depend on.

    After a reset of the log, ``incoming`` is the state folded from the new
    one until it has caught up; ``agreed`` stays in force meanwhile.
    """

    me: Identity
    rng: random.Random
    limits: Limits = dataclasses.field(default_factory=Limits)
    timing: Timing = dataclasses.field(default_factory=Timing)
    policies: Policies = dataclasses.field(default_factory=Policies)
    agreed: agreed_state.Agreed = dataclasses.field(
        default_factory=agreed_state.Agreed
    )
    incoming: agreed_state.Agreed | None = None
    log: LogView = dataclasses.field(default_factory=LogView)
    outbox: Outbox = dataclasses.field(default_factory=Outbox)
    peers: dict[str, PeerView] = dataclasses.field(default_factory=dict)
    seeds: tuple[str, ...] = ()
    heartbeat_at: float = 0.0
    beats: Heartbeats = dataclasses.field(default_factory=Heartbeats)
    hosts: dict[str, HostView] = dataclasses.field(default_factory=dict)
    services: dict[str, ServiceView] = dataclasses.field(default_factory=dict)
    requests: dict[str, RequestView] = dataclasses.field(default_factory=dict)
    lending: lent_slots.Lending = dataclasses.field(
        default_factory=lent_slots.Lending
    )
    claims: claim_tracking.ClaimTracking = dataclasses.field(
        default_factory=claim_tracking.ClaimTracking
    )
    retry_tokens: float = RETRY_TOKENS_AT_START
    waiting: int = 0
    waiting_bytes: int = 0
    tasks: dict[str, str] = dataclasses.field(default_factory=dict)
    steward: duties.HostDuties = dataclasses.field(
        default_factory=duties.HostDuties
    )
    mover: duties.MovePlanning = dataclasses.field(
        default_factory=duties.MovePlanning
    )
    budgets: duties.Budgets = dataclasses.field(default_factory=duties.Budgets)
    view_revision: int = -1
    view_basis: str = ""
    view_members: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    view_generation: int = 0
    alive: tuple[str, ...] = ()
    zones_seen: tuple[str, ...] = ()
    stopping_until: float = 0.0
    stepped_at: float = 0.0
    woken_at: float = 0.0
    born_at: float = 0.0


def _to_builtin(value: typing.Any) -> typing.Any:
    """Convert a type that msgspec does not support into one it does."""
    match value:
        case collections.deque():
            return list(value)
        case random.Random():
            return value.getstate()
        case _:
            raise NotImplementedError(type(value))


_encoder = msgspec.msgpack.Encoder(order="deterministic", enc_hook=_to_builtin)


def encode(state: State) -> bytes:
    """Encode the whole state; equal states give equal bytes."""
    return _encoder.encode(state)


def to_builtins(state: State) -> dict[str, typing.Any]:
    """Return the whole state as built-in types, for a dump."""
    return msgspec.to_builtins(state, enc_hook=_to_builtin)
