"""Effects: what the reducer asks the daemon's runtime to do, as data."""

import enum

import msgspec

from azurewood.peers import messages


class Effect(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """Base of all effects."""


class ReadLog(Effect, frozen=True, kw_only=True):
    """Read the log from an offset on, not before a deadline."""

    offset: int
    not_before: float


class ReadSnapshot(Effect, frozen=True, kw_only=True):
    """Read the newest snapshot, not before a deadline."""

    not_before: float


class AppendRecord(Effect, frozen=True, kw_only=True):
    """Append an encoded record."""

    sequence: int
    data: bytes


class AppendSnapshot(Effect, frozen=True, kw_only=True):
    """Append a packed agreed state to the snapshots' stream."""

    state: bytes


class AppendSeed(Effect, frozen=True, kw_only=True):
    """Append a seed record to a log that has lost everything."""

    data: bytes


class SendPeer(Effect, frozen=True, kw_only=True):
    """Send a message to the peer at an address, or drop it."""

    address: str
    message: messages.AnyMessage


class Resolution(enum.StrEnum):
    """How a proposal ended, as told to who asked."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_ACCEPTED = "not-accepted"
    UNKNOWN = "unknown"


class Resolved(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """The end of one proposal, with the id to ask again by."""

    id: str
    object: str
    resolution: Resolution
    revision: int = 0
    reason: str = ""


class AnswerProposal(Effect, frozen=True, kw_only=True):
    """Tell who waits on a ticket how its proposals ended."""

    ticket: str
    resolved: tuple[Resolved, ...]


class StartRequest(Effect, frozen=True, kw_only=True):
    """Send a request to an endpoint, on a slot held for it.

    ``fresh`` asks for a new connection. After ``start_by`` it is no longer
    to be sent.
    """

    id: str
    host: str
    address: str
    port: int
    deadline: float
    start_by: float
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
    """Answer a request as not run."""

    id: str
    reason: Refusal
    retry_after_s: int = 1


class AnswerUnknown(Effect, frozen=True, kw_only=True):
    """Answer a request whose outcome is not known."""

    id: str
    reason: str


class AnswerRan(Effect, frozen=True, kw_only=True):
    """Answer a request that ran before, with its kept answer if any."""

    id: str
    status: int
    content_type: str
    answer: bytes


class AnswerCaller(Effect, frozen=True, kw_only=True):
    """Pass the endpoint's whole answer to the caller."""

    id: str


class StartTask(Effect, frozen=True, kw_only=True):
    """Start a service's job on a host, idempotent by its id."""

    id: str
    host: str
    service: str
    address: str
    port: int


class StopTask(Effect, frozen=True, kw_only=True):
    """Stop a job gracefully, with a grace in milliseconds."""

    id: str
    grace_ms: int


class RenewLeases(Effect, frozen=True, kw_only=True):
    """Renew the leases of jobs."""

    ids: tuple[str, ...]


class RebootHost(Effect, frozen=True, kw_only=True):
    """Reboot a drained host, unless the call can't begin in time."""

    host: str
    not_after: float


class Report(Effect, frozen=True, kw_only=True):
    """Write a line to the log; ``revision`` is 0 if it is about none."""

    level: str
    name: str
    text: str
    revision: int = 0


class Exit(Effect, frozen=True, kw_only=True):
    """The daemon may exit: nothing is in hand."""


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
