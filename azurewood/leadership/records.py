"""Records of the leader election, and their stored encoding."""

import msgspec

from azurewood.conf import decoding
from azurewood.jobs import model


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """A daemon claims a new term. ``cores`` is 0 if unknown."""

    name: str
    nonce: str
    cores: float = 0.0


class Beat(msgspec.Struct, frozen=True, kw_only=True, tag="beat"):
    """A leader's heartbeat. ``largest`` is the largest machine's capacity.

    ``append_s`` is how long the leader's newest append took, 0 if unknown.
    ``address`` is where it listens, and ``beats`` the number of earlier beats
    of its term.
    """

    nonce: str
    largest: model.Resources = model.Resources()
    cores: float = 0.0
    append_s: float = 0.0
    address: str = ""
    beats: int = 0


class Resign(msgspec.Struct, frozen=True, kw_only=True, tag="resign"):
    """The leader ends its term; other daemons may claim immediately."""

    nonce: str


Entry = Claim | Beat | Resign
_decoder = msgspec.msgpack.Decoder(Entry)


def decode(data: bytes) -> Entry | None:
    """Return the decoded entry, or None if ``data`` is malformed."""
    try:
        return decoding.decode(_decoder.decode, data)
    except decoding.MalformedData:
        return None


def encode(entry: Entry) -> bytes:
    """Return the stored bytes of an entry."""
    return msgspec.msgpack.encode(entry)
