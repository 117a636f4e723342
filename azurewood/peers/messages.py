"""Messages between entry daemons, and their authenticated encoding.

A frame is a 16-byte truncated HMAC-SHA-256 (RFC 2104) of the body with the
peers' key, then the body: an ``Envelope`` in MessagePack.
"""

import hashlib
import hmac

import msgspec

from azurewood.peers import exceptions

TAG_BYTES = 16
MAX_FRAME_BYTES = 8 << 20


class Message(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """Base of the messages between peers."""


class ServiceCount(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """Answers of one service since the sender started, good and bad.

    ``busy`` and ``waiting`` are its requests in hand at the sender.
    """

    service: str
    good: int
    bad: int
    busy: int = 0
    waiting: int = 0


class Heartbeat(Message, frozen=True, kw_only=True):
    """The sender lives, and how far its view of the log has come.

    ``log_reachable`` says whether the sender reads the log itself.
    ``draining`` lists the leaving hosts on which it has requests in flight.
    ``stopping`` says that the sender is about to stop.
    ``counts`` holds the services whose counters changed.
    """

    zone: str
    address: str
    boot: int
    incarnation: str
    offset: int
    revision: int
    log_reachable: bool
    stopping: bool = False
    draining: tuple[str, ...] = ()
    counts: tuple[ServiceCount, ...] = ()
    known: tuple[str, ...] = ()


class TailRequest(Message, frozen=True, kw_only=True):
    """Ask for the log's records from an offset on."""

    incarnation: str
    offset: int


class RelayedRecord(
    msgspec.Struct, kw_only=True, frozen=True, array_like=True
):
    """A record of the log as a peer read it."""

    offset: int
    at_ms: int
    data: bytes


class Tail(Message, frozen=True, kw_only=True):
    """Records of the log, in order, as the sender read them."""

    incarnation: str
    records: tuple[RelayedRecord, ...]


class SnapshotAnswer(Message, frozen=True, kw_only=True):
    """The sender's packed agreed state, for one too far behind.

    ``log_reachable`` says that the sender reads ``incarnation`` now.
    """

    incarnation: str
    log_reachable: bool
    state: bytes


class HostSuspected(Message, frozen=True, kw_only=True):
    """The sender saw a sign that a host is leaving or gone."""

    host: str
    reason: str


class Borrow(Message, frozen=True, kw_only=True):
    """Ask for idle slots of a service's hosts."""

    request: int
    service: str
    count: int


class Slot(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A numbered slot of a host."""

    host: str
    number: int


class Lend(Message, frozen=True, kw_only=True):
    """Lend slots for ``ttl_ms`` from when the borrower asked."""

    request: int
    service: str
    slots: tuple[Slot, ...]
    ttl_ms: int


class GiveBack(Message, frozen=True, kw_only=True):
    """Return idle slots that were lent in answer to a request."""

    request: int
    service: str
    slots: tuple[Slot, ...]


class TakeOver(Message, frozen=True, kw_only=True):
    """Ask which of the sender's new slots the receiver no longer uses."""

    request: int
    slots: tuple[Slot, ...]


class SlotsFree(Message, frozen=True, kw_only=True):
    """Answer which of the slots asked for the sender does not use."""

    request: int
    slots: tuple[Slot, ...]


AnyMessage = (
    Heartbeat
    | TailRequest
    | Tail
    | SnapshotAnswer
    | HostSuspected
    | Borrow
    | Lend
    | GiveBack
    | TakeOver
    | SlotsFree
)


class Envelope(msgspec.Struct, kw_only=True, frozen=True):
    """A message with its sender and the sender's address."""

    sender: str
    message: AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def _tag(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:TAG_BYTES]


def encode(envelope: Envelope, *, key: bytes) -> bytes:
    """Encode and authenticate an envelope."""
    body = _encoder.encode(envelope)
    return _tag(key, body) + body


def decode(frame: bytes, *, key: bytes) -> Envelope:
    """Check and decode a frame.

    Raise ``PeerAuthenticationError`` or ``MalformedMessage``.
    """
    tag, body = frame[:TAG_BYTES], frame[TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(key, body)):
        raise exceptions.PeerAuthenticationError(
            "a peer's frame carries a wrong authentication tag"
        )
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as exc:
        raise exceptions.MalformedMessage(str(exc)) from exc
