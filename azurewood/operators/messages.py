"""JSON messages between the operators' interface and its client."""

import enum
import re
import typing

import msgspec

from azurewood.fleet import model as fleet_model
from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import records

PROPOSAL_TIMEOUT_S = 10.0
MAX_PROPOSALS = 64
TICKET: typing.Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.~-]{7,99}\Z")
AUTHOR_SEPARATOR = "~"


class ProposalBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The body of a request that proposes changes.

    ``timeout_s`` is how long the daemon tries to have them accepted. If the
    client chooses the ``ticket``, it knows the ids of the proposals before
    the answer arrives, see `proposal_id`.
    """

    proposals: tuple[records.Proposal, ...]
    atomic: bool = False
    timeout_s: float = PROPOSAL_TIMEOUT_S
    ticket: str = ""


class ProposalAnswer(msgspec.Struct, kw_only=True):
    """The outcome of each of the proposals."""

    resolved: tuple[effects.Resolved, ...]


class ErrorBody(msgspec.Struct, kw_only=True):
    """The body of an error response.

    ``ids`` are set if the proposals may have been accepted despite it.
    """

    error: str
    findings: tuple[str, ...] = ()
    ids: tuple[str, ...] = ()


class Readiness(msgspec.Struct, kw_only=True):
    """Whether a daemon is ready for callers' requests, and if not, why."""

    ready: bool
    reasons: tuple[str, ...] = ()


class DaemonStatus(msgspec.Struct, kw_only=True):
    """A daemon and the revision of the agreed state it has applied."""

    daemon: str
    zone: str
    revision: int
    log_reachable: bool
    alive: bool
    stopping: bool


class ServiceStatus(msgspec.Struct, kw_only=True):
    """A service's requests and hosts as one daemon sees them.

    ``good`` and ``bad`` count this daemon's answers, ``all_good`` and
    ``all_bad`` those of all known daemons, each since its start.
    ``budget_left`` is the unused share of the error budget, that is of the
    bad answers that ``availability`` allows among these answers. It is
    negative if the budget is overdrawn.
    """

    service: str
    pool: str
    waiting: int
    in_flight: int
    good: int
    bad: int
    hosts: int
    availability: float
    all_good: int
    all_bad: int
    budget_left: float


class PoolStatus(msgspec.Struct, kw_only=True):
    """A pool's hosts, counted by phase."""

    pool: str
    spare: bool
    hosts: int
    phases: dict[str, int]


class Status(msgspec.Struct, kw_only=True):
    """The status of the deployment as one daemon sees it."""

    daemon: str
    zone: str
    ready: bool
    revision: int
    in_force: str
    in_force_revision: int
    log_reachable: bool
    daemons: list[DaemonStatus]
    services: list[ServiceStatus]
    pools: list[PoolStatus]
    hosts: list[agreed_state.HostState]
    waves: list[agreed_state.WaveState]


class AgreedView(msgspec.Struct, kw_only=True):
    """The agreed state, with only the numbers of claims and verdicts."""

    revision: int
    incarnation: str
    offset: int
    fleet: fleet_model.Fleet | None
    fleet_revision: int
    in_force: str
    in_force_revision: int
    presets: dict[str, agreed_state.PresetState]
    hosts: dict[str, agreed_state.HostState]
    waves: dict[str, agreed_state.WaveState]
    claims: int
    verdicts: int


class ObjectView(msgspec.Struct, kw_only=True):
    """An object's revision, and who caused it if that is still known."""

    object: str
    revision: int
    author: str
    writer: str


class HostView(msgspec.Struct, kw_only=True):
    """A host's state and the reasons for it, as one daemon sees them."""

    host: agreed_state.HostState
    zone: str
    rack: str
    address: str
    service: str
    listed: str
    task_state: str
    usable: bool
    owned_slots: int
    busy_slots: int
    author: str
    because: tuple[str, ...]


class Knowledge(enum.StrEnum):
    """What is known about the outcome of a proposal."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_ACCEPTED = "not-accepted"
    UNKNOWN = "unknown"


class OutcomeView(msgspec.Struct, kw_only=True):
    """The outcome of the proposal with a given id."""

    id: str
    knowledge: Knowledge
    revision: int = 0
    reason: str = ""


def proposal_id(ticket: str, index: int = 0) -> str:
    """Return the id of the proposal at an index of a request body."""
    return f"{ticket}.{index}"


def author(ticket: str) -> str:
    """Return the operator named in a ticket, or an empty string."""
    name, end, _ = ticket.partition(AUTHOR_SEPARATOR)
    return name if end else ""
