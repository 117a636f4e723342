"""The leader's election over a log with conditional appends.

Each record is appended on the condition that the log ends where its writer
believes. A claim starts a term, whose number is the claim's offset plus
one, so terms only rise. The leader appends beats; a beat that is stored
proves that nobody else had claimed by then. A daemon that has read no new
record for ``CLAIM_AFTER_S`` claims.

No clock and no call here: ``Election.step`` takes an event and the time and
returns what is to be appended, if anything.
"""

import dataclasses
import typing

import msgspec

from azurewood.jobs import model

BEAT_S: typing.Final = 0.4
"""Pause between a leader's beats: three may be lost before a claim."""
CLAIM_AFTER_S: typing.Final = 1.5
"""Silence after which others claim; well under a host's lease of 6 s."""
VALID_S: typing.Final = 4.0
"""How long after its newest stored beat a leader may renew hosts' leases."""
ORDER_VALID_S: typing.Final = 1.5
"""The same for orders to machines, which no lease bounds: nobody claims
within ``CLAIM_AFTER_S`` of a beat."""


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """A daemon begins a term."""

    name: str
    nonce: str


class Beat(msgspec.Struct, frozen=True, kw_only=True, tag="beat"):
    """The leader is alive. ``largest`` is the largest machine's room."""

    nonce: str
    largest: model.Resources = model.Resources()


class Resign(msgspec.Struct, frozen=True, kw_only=True, tag="resign"):
    """The leader stops; others may claim at once."""

    nonce: str


Entry = Claim | Beat | Resign
_decoder = msgspec.msgpack.Decoder(Entry)


def decode(data: bytes) -> Entry | None:
    """Return an entry, or None if it cannot be read."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Read:
    """Records from ``offset`` on; the call began at ``began_at``."""

    offset: int
    entries: tuple[Entry | None, ...]
    end: int
    began_at: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Stored:
    """An append was stored; its call began at ``began_at``."""

    offset: int
    entry: Entry
    began_at: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Lost:
    """An append failed, was refused, or its outcome is not known."""

    entry: Entry


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Append:
    """Append an entry if the log ends at ``at``."""

    entry: Entry
    at: int


Event = Read | Stored | Lost | Tick


class Election:
    """What one daemon knows of the term in force.

    ``nonce`` is unique to this run of the daemon. ``term`` is above zero
    only while this daemon leads. ``largest`` is the room of the
    largest machine, as the newest beat says. ``claimed_after_s`` is how
    long no record had been read when this daemon last claimed.
    """

    __slots__ = (
        "_appending",
        "_beat_at",
        "_leader_nonce",
        "_resigned",
        "_seen_at",
        "claimed_after_s",
        "confirmed_at",
        "end",
        "largest",
        "leader",
        "name",
        "nonce",
        "stopping",
        "term",
    )

    def __init__(self, *, name: str, nonce: str, now: float) -> None:
        self.name = name
        self.nonce = nonce
        self.term = 0
        self.end = -1
        self.leader = ""
        self.largest = model.Resources()
        self.confirmed_at = 0.0
        self.stopping = False
        self._leader_nonce = ""
        self._resigned = False
        self._appending = False
        self._seen_at = now
        self._beat_at = 0.0
        self.claimed_after_s = 0.0

    def leads(self, now: float, *, within_s: float) -> bool:
        """Return whether this daemon's term was confirmed so recently."""
        return self.term > 0 and now - self.confirmed_at < within_s

    def step(self, event: Event, now: float) -> Append | None:
        """Take an event in; return what is to be appended, if anything."""
        match event:
            case Read():
                self._read(event, now)
                return self._claim(event, now)
            case Stored():
                self._stored(event, now)
            case Lost():
                self._appending = False
        return None

    def beat(self, largest: model.Resources, now: float) -> Append | None:
        """Return the leader's next beat if it is due."""
        due = now >= self._beat_at + BEAT_S
        if not self.term or self._appending or not due:
            return None
        self._beat_at = now
        self._appending = True
        return Append(
            entry=Beat(nonce=self.nonce, largest=largest), at=self.end
        )

    def resign(self) -> Append | None:
        """Return the record that ends this daemon's term, if it leads."""
        self.stopping = True
        if not self.term:
            return None
        self.step_down()
        return Append(entry=Resign(nonce=self.nonce), at=self.end)

    def step_down(self) -> None:
        """Stop leading, whatever the log says."""
        self.term = 0

    def _read(self, event: Read, now: float) -> None:
        for index, entry in enumerate(event.entries):
            self._take(event.offset + index, entry, event.began_at)
        if event.entries:
            self._seen_at = now
        self.end = max(self.end, event.end)

    def _stored(self, event: Stored, now: float) -> None:
        self._appending = False
        self._take(event.offset, event.entry, event.began_at)
        self._seen_at = now
        self.end = max(self.end, event.offset + 1)

    def _take(self, offset: int, entry: Entry | None, at: float) -> None:
        if offset < self.end:
            return
        self.end = offset + 1
        match entry:
            case Claim(name=name, nonce=nonce):
                self._leader_nonce = nonce
                self._resigned = False
                self.leader = name
                own = nonce == self.nonce and not self.stopping
                self.term = offset + 1 if own else 0
            case Beat(nonce=nonce, largest=largest):
                self._leader_nonce = nonce
                self.largest = largest
            case Resign(nonce=nonce):
                self._resigned = nonce == self._leader_nonce
        if self.term and entry is not None and entry.nonce == self.nonce:
            self.confirmed_at = max(self.confirmed_at, at)

    def _claim(self, event: Read, now: float) -> Append | None:
        """Return a claim if the leader is silent and this call saw it."""
        if self.stopping or self.term or self._appending:
            return None
        silent = event.began_at - self._seen_at >= CLAIM_AFTER_S * 2 / 3
        long_enough = now - self._seen_at >= CLAIM_AFTER_S
        vacant = self._resigned or (self.end == 0 and not self.leader)
        if event.end != self.end or not (vacant or (silent and long_enough)):
            return None
        self._appending = True
        self.claimed_after_s = now - self._seen_at
        claim = Claim(name=self.name, nonce=self.nonce)
        return Append(entry=claim, at=self.end)


def encode(entry: Entry) -> bytes:
    """Return an entry's stored bytes."""
    return msgspec.msgpack.encode(entry)
