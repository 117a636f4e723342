"""Records of the leader election, and their stored encoding."""

import msgspec

from azurewood.conf import decoding
from azurewood.jobs import model


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """A daemon claims a new term. ``cores`` is 0 if unknown."""

    name: str
    nonce: str
    cores: float = 0.0


class Wait(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The expected wait of jobs with at least ``work``, in cores times ms."""

    work: int
    wait_ms: int


class AccountLoad(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The expected waits of new jobs of an account beyond its share."""

    account: str
    waits: tuple[Wait, ...]


class QueueLoad(msgspec.Struct, frozen=True, kw_only=True):
    """The expected waits of new jobs of a queue.

    ``waits`` are those of jobs within their account's share, by ascending
    work: small jobs are served before large ones. ``beyond`` has the accounts
    beyond theirs, with an empty name for jobs without one.
    """

    queue: str
    waits: tuple[Wait, ...] = ()
    beyond: tuple[AccountLoad, ...] = ()


class Beat(msgspec.Struct, frozen=True, kw_only=True, tag="beat"):
    """A leader's heartbeat. ``largest`` is the largest machine's capacity.

    ``append_s`` is how long the leader's newest append took, 0 if unknown.
    ``address`` is where it listens, and ``beats`` the number of earlier beats
    of its term. ``load`` has the queues in which new jobs wait for long; it is
    absent if there are none. ``copied_ms`` is the age of the time up to which
    the jobs in the intake are copied, absent if that is not known.
    """

    nonce: str
    largest: model.Resources = model.Resources()
    cores: float = 0.0
    append_s: float = 0.0
    address: str = ""
    beats: int = 0
    load: tuple[QueueLoad, ...] | msgspec.UnsetType = msgspec.UNSET
    copied_ms: int | msgspec.UnsetType = msgspec.UNSET


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
