"""Messages between entry daemons, and their authenticated encoding.

A frame is an HMAC-SHA-256 (RFC 2104) of the body with the peers' key,
truncated to 16 bytes, followed by the body: an ``Envelope`` in MessagePack.
"""

import hashlib
import hmac

import msgspec

from azurewood.conf import decoding
from azurewood.peers import exceptions

TAG_BYTES = 16
MAX_FRAME_BYTES = 8 << 20

_SHORT_KEYS = {
    "address": "a",
    "boot": "b",
    "offset": "o",
    "revision": "r",
    "log_reachable": "l",
    "interval_ms": "i",
}
"""One-letter keys on the wire, for the fields of every heartbeat."""


class Message(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """Base of the messages between entry daemons."""


class ServiceCount(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """The sender's counts of one service's requests.

    ``good`` and ``bad`` count answers since the sender started; ``busy`` and
    ``waiting`` count requests in flight and queued at the sender now.
    """

    service: str
    good: int
    bad: int
    busy: int = 0
    waiting: int = 0


class KnownPeer(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A daemon that the sender knows."""

    zone: str
    address: str


class Heartbeat(
    Message,
    frozen=True,
    kw_only=True,
    tag="b",
    omit_defaults=True,
    rename=_SHORT_KEYS,
):
    """Report that the sender is alive and up to where it read the log.

    ``log_reachable`` says whether the sender can read the log itself.
    ``draining`` lists the leaving hosts on which the sender has requests in
    flight. ``stopping`` says that the sender is about to stop.
    ``interval_ms`` is the time until its next heartbeat, or 0 if this
    heartbeat was sent outside the regular interval.

    A full heartbeat has a ``zone``, an ``incarnation``, ``counts`` of all
    services, ``known`` peers and the other ``zones`` from which the sender
    receives heartbeats. A short heartbeat omits all of these except the
    counts of services whose demand changed. ``asks`` requests a full
    heartbeat in reply.
    """

    address: str
    boot: int
    offset: int
    revision: int
    log_reachable: bool = True
    interval_ms: int = 0
    zone: str = ""
    incarnation: str = ""
    stopping: bool = False
    draining: tuple[str, ...] = ()
    counts: tuple[ServiceCount, ...] = ()
    known: tuple[KnownPeer, ...] = ()
    zones: tuple[str, ...] = ()
    asks: bool = False


class TailRequest(Message, frozen=True, kw_only=True):
    """Ask for the log's records, starting at an offset."""

    incarnation: str
    offset: int


class RelayedRecord(
    msgspec.Struct, kw_only=True, frozen=True, array_like=True
):
    """A record of the log that a peer has read and passes on."""

    offset: int
    at_ms: int
    data: bytes


class Tail(Message, frozen=True, kw_only=True):
    """Consecutive records of the log that the sender has read."""

    incarnation: str
    records: tuple[RelayedRecord, ...]


class SnapshotAnswer(Message, frozen=True, kw_only=True):
    """The sender's encoded agreed state, for a peer that is too far behind.

    ``log_reachable`` says that the sender can currently read the log of
    this ``incarnation``.
    """

    incarnation: str
    log_reachable: bool
    state: bytes


class HostSuspected(Message, frozen=True, kw_only=True):
    """Report a sign that a host is leaving or gone."""

    host: str
    reason: str


class Borrow(Message, frozen=True, kw_only=True):
    """Ask to borrow idle slots on a service's hosts."""

    request: int
    service: str
    count: int


class Slot(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A numbered slot of a host."""

    host: str
    number: int


class Lend(Message, frozen=True, kw_only=True):
    """Lend slots for ``ttl_ms``, counted from the borrower's request."""

    request: int
    service: str
    slots: tuple[Slot, ...]
    ttl_ms: int


class GiveBack(Message, frozen=True, kw_only=True):
    """Return idle slots that were lent for a ``Borrow`` request."""

    request: int
    service: str
    slots: tuple[Slot, ...]


class TakeOver(Message, frozen=True, kw_only=True):
    """Ask which of the sender's new slots the receiver no longer uses."""

    request: int
    slots: tuple[Slot, ...]


class SlotsFree(Message, frozen=True, kw_only=True):
    """Answer which slots of a ``TakeOver`` the sender does not use."""

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


class Envelope(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A message with the name of its sender."""

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
    """Authenticate and decode a frame.

    Raise ``PeerAuthenticationError`` or ``MalformedMessage``.
    """
    tag, body = frame[:TAG_BYTES], frame[TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(key, body)):
        raise exceptions.PeerAuthenticationError(
            "the authentication tag of a peer's frame is wrong"
        )
    try:
        return decoding.decode(_decoder.decode, body)
    except decoding.MalformedData as exc:
        raise exceptions.MalformedMessage(str(exc)) from exc
