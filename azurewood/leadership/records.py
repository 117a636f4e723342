"""The records of the leader's election, and how they are stored."""

import msgspec

from azurewood.jobs import model


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """A daemon begins a term; ``cores`` is 0 if it does not know them."""

    name: str
    nonce: str
    cores: float = 0.0


class Beat(msgspec.Struct, frozen=True, kw_only=True, tag="beat"):
    """The leader is alive. ``largest`` is the largest machine's room."""

    nonce: str
    largest: model.Resources = model.Resources()
    cores: float = 0.0


class Resign(msgspec.Struct, frozen=True, kw_only=True, tag="resign"):
    """The leader gives its term up; others may claim at once."""

    nonce: str


Entry = Claim | Beat | Resign
_decoder = msgspec.msgpack.Decoder(Entry)


def decode(data: bytes) -> Entry | None:
    """Return an entry, or None if it cannot be read."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


def encode(entry: Entry) -> bytes:
    """Return an entry's stored bytes."""
    return msgspec.msgpack.encode(entry)
