"""Effects: the actions that the reducer requests, as data."""

import enum

import msgspec

from azurewood.peers import messages


class Effect(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """Base of all effects."""


class ReadLog(Effect, frozen=True, kw_only=True):
    """Read the log from an offset, not before a given time."""

    offset: int
    not_before: float


class ReadSnapshot(Effect, frozen=True, kw_only=True):
    """Read the newest snapshot, not before a given time."""

    not_before: float


class AppendRecord(Effect, frozen=True, kw_only=True):
    """Append an encoded record to the log."""

    sequence: int
    data: bytes


class AppendSnapshot(Effect, frozen=True, kw_only=True):
    """Append an encoded agreed state to the snapshot stream."""

    state: bytes


class AppendSeed(Effect, frozen=True, kw_only=True):
    """Append a seed record to a log that has lost its content."""

    data: bytes


class SendPeer(Effect, frozen=True, kw_only=True):
    """Send a message to the peer at an address, without a guarantee."""

    address: str
    message: messages.AnyMessage


class Resolution(enum.StrEnum):
    """How a proposal ended, as reported to its client."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_ACCEPTED = "not-accepted"
    UNKNOWN = "unknown"


class Resolved(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """The outcome of one proposal, with the id to query it by."""

    id: str
    object: str
    resolution: Resolution
    revision: int = 0
    reason: str = ""


class AnswerProposal(Effect, frozen=True, kw_only=True):
    """Report the outcomes of a ticket's proposals to its client."""

    ticket: str
    resolved: tuple[Resolved, ...]


class StartRequest(Effect, frozen=True, kw_only=True):
    """Send a request to an endpoint, on a slot that is acquired for it.

    ``fresh`` requires a new connection. The request must not be sent after
    ``start_by``. If there is no answer by ``hedge_at``, it is sent again
    over a new connection; 0 disables that.
    """

    id: str
    host: str
    address: str
    port: int
    deadline: float
    start_by: float
    hedge_at: float = 0.0
    fresh: bool = False


class Refusal(enum.StrEnum):
    """Why a request is refused as not run."""

    UNKNOWN_SERVICE = "unknown-service"
    QUEUE_FULL = "queue-full"
    TOO_LATE = "too-late"
    STOPPING = "stopping"
    NO_HOSTS = "no-hosts"
    LOG_UNAVAILABLE = "log-unavailable"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    PAUSED = "paused"
    SHED = "shed"
    NOT_READY = "not-ready"
    ENDPOINT_REFUSED = "endpoint-refused"


class RefuseRequest(Effect, frozen=True, kw_only=True):
    """Answer that a request was refused and has not run."""

    id: str
    reason: Refusal
    retry_after_s: int = 1


class AnswerUnknown(Effect, frozen=True, kw_only=True):
    """Answer that the outcome of a request is unknown."""

    id: str
    reason: str


class AnswerRan(Effect, frozen=True, kw_only=True):
    """Answer a request whose key ran before, with the stored answer if any."""

    id: str
    status: int
    content_type: str
    answer: bytes


class AnswerCaller(Effect, frozen=True, kw_only=True):
    """Pass the endpoint's complete answer to the caller."""

    id: str


class StartTask(Effect, frozen=True, kw_only=True):
    """Start a service's task on a host; the call is idempotent by its id."""

    id: str
    host: str
    service: str
    address: str
    port: int


class StopTask(Effect, frozen=True, kw_only=True):
    """Stop a task gracefully, within a grace period in milliseconds."""

    id: str
    grace_ms: int


class RenewLeases(Effect, frozen=True, kw_only=True):
    """Renew the leases of tasks."""

    ids: tuple[str, ...]


class RebootHost(Effect, frozen=True, kw_only=True):
    """Reboot a drained host unless the call cannot start by ``not_after``."""

    host: str
    not_after: float


class Report(Effect, frozen=True, kw_only=True):
    """Write a log line; ``revision`` is 0 if it concerns no revision."""

    level: str
    name: str
    text: str
    revision: int = 0


class Exit(Effect, frozen=True, kw_only=True):
    """The daemon may exit: no request, claim or record is open."""


AnyEffect = (
    ReadLog
    | ReadSnapshot
    | AppendRecord
    | AppendSnapshot
    | AppendSeed
    | SendPeer
    | AnswerProposal
    | StartRequest
    | RefuseRequest
    | AnswerUnknown
    | AnswerRan
    | AnswerCaller
    | StartTask
    | StopTask
    | RenewLeases
    | RebootHost
    | Report
    | Exit
)
