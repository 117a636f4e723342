"""Events: the inputs of the reducer, as data.

They can be encoded, so that a recorded sequence can be replayed.
"""

import enum

import msgspec

from azurewood.conf import decoding
from azurewood.fleet import model
from azurewood.peers import messages
from azurewood.state import records


class Event(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """Base of all events."""


class Tick(Event, frozen=True, kw_only=True):
    """Time has passed; deadlines may have expired."""


class StoredRecord(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A record of the log with its offset and append time."""

    offset: int
    at_ms: int
    data: bytes


class RecordsRead(Event, frozen=True, kw_only=True):
    """The log answered a read; ``records`` may be empty."""

    incarnation: str
    first: int
    next: int
    records: tuple[StoredRecord, ...]


class LogTrimmed(Event, frozen=True, kw_only=True):
    """The log does not hold the requested offset, or no longer does."""

    incarnation: str
    first: int
    next: int


class SnapshotRead(Event, frozen=True, kw_only=True):
    """The newest snapshot of the log was read; empty if there is none."""

    incarnation: str
    state: bytes = b""


class LogUnreachable(Event, frozen=True, kw_only=True):
    """A read of the log failed."""

    reason: str


class AppendOutcome(enum.StrEnum):
    """Whether an append took effect, as far as its call tells."""

    DONE = "done"
    NOT_DONE = "not-done"
    UNKNOWN = "unknown"


class AppendEnded(Event, frozen=True, kw_only=True):
    """The call to append the record with a sequence number ended."""

    sequence: int
    outcome: AppendOutcome


class Proposed(Event, frozen=True, kw_only=True):
    """A client of this daemon proposes changes; ``ticket`` identifies it."""

    ticket: str
    proposals: tuple[records.Proposal, ...]
    deadline: float
    atomic: bool = False


class ListedHost(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A host of the platform's list; ``state`` is live, leaving or gone."""

    name: str
    state: str


class HostsListed(Event, frozen=True, kw_only=True):
    """The platform's host list was read."""

    version: int
    hosts: tuple[ListedHost, ...]


LOST = "lost"
"""The state of a task on an unresponsive host; it may still be running."""


class ListedTask(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A task in the list of the platform's task service."""

    id: str
    host: str
    service: str
    state: str
    reason: str = ""


class TasksListed(Event, frozen=True, kw_only=True):
    """Some tasks changed at the platform's task service."""

    version: int
    tasks: tuple[ListedTask, ...]


class TaskAction(enum.StrEnum):
    """The action that a call to the task service requested."""

    START = "start"
    STOP = "stop"
    REBOOT = "reboot"


class TaskCallEnded(Event, frozen=True, kw_only=True):
    """A call to start or stop a task, or to reboot a host, ended.

    ``done`` is whether the call was carried out, ``not_done`` whether it
    certainly never is. If neither is set, it may be carried out at any time.
    ``state`` is the task's state according to the answer, empty if unknown.
    """

    action: TaskAction
    subject: str
    done: bool
    not_done: bool = False
    state: str = ""


class MessageReceived(Event, frozen=True, kw_only=True, tag="PeerSaid"):
    """A peer's authenticated message arrived."""

    sender: str
    message: messages.AnyMessage


class RequestArrived(Event, frozen=True, kw_only=True):
    """A caller's request has been read.

    ``deadline`` is a monotonic time in seconds. ``key`` is the caller's
    idempotency key, required unless the request is ``repeatable``;
    ``digest`` distinguishes requests that use the same key.
    """

    id: str
    service: str
    urgency: model.Urgency
    deadline: float
    size: int = 0
    repeatable: bool = True
    key: str = ""
    digest: str = ""


class RequestResult(enum.StrEnum):
    """How an attempt to run a request on an endpoint ended.

    ``REFUSED``: no byte of the request can have reached the endpoint.
    ``UNSENT``: this daemon did not try to send the request, so the host has
    not failed.
    ``BROKEN``: bytes were sent and no complete answer arrived.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    UNSENT = "unsent"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class RequestEnded(Event, frozen=True, kw_only=True):
    """An attempt ended; ``elapsed_s`` is the time that the endpoint took."""

    id: str
    result: RequestResult
    elapsed_s: float
    status: int = 0
    content_type: str = ""
    answer: bytes = b""


class RequestAbandoned(Event, frozen=True, kw_only=True):
    """The caller of a queued request left, or the request expired."""

    id: str


class StopRequested(Event, frozen=True, kw_only=True, tag="StopAsked"):
    """The daemon was asked to stop gracefully before a deadline."""

    deadline: float


AnyEvent = (
    Tick
    | RecordsRead
    | LogTrimmed
    | SnapshotRead
    | LogUnreachable
    | AppendEnded
    | Proposed
    | HostsListed
    | TasksListed
    | TaskCallEnded
    | MessageReceived
    | RequestArrived
    | RequestEnded
    | RequestAbandoned
    | StopRequested
)


class Recorded(msgspec.Struct, kw_only=True, frozen=True):
    """An event with the time at which it was reduced."""

    now: float
    event: AnyEvent


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Recorded)


def encode(recorded: Recorded) -> bytes:
    """Encode a recorded event."""
    return _encoder.encode(recorded)


def decode(data: bytes) -> Recorded:
    """Decode a recorded event.

    Raise ``decoding.MalformedData`` if it is malformed.
    """
    return decoding.decode(_decoder.decode, data)
