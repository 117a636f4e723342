"""The leader's election over a log with conditional appends.

Each record is appended on the condition that the log ends where its writer
believes. A claim starts a term, whose number is the claim's offset plus
one, so terms only rise. The leader appends beats; a beat that is stored
proves that nobody else had claimed by then. A daemon that has read no new
record for ``CLAIM_AFTER_S`` claims.

The leader's processor bounds what the whole fleet serves, so a daemon with
clearly more processor claims over the leader, and those with less let it
claim first. Every such claim raises the leader's processor by ``STRONGER``
at least, and a daemon makes one in ``REST_S`` at most, so that daemons
that fail again and again change the leader once in that time at most.

No clock and no call here: ``Election.step`` takes an event and the time and
returns what is to be appended, if anything.
"""

import dataclasses
import typing

from azurewood.jobs import model
from azurewood.leadership import records

BEAT_S: typing.Final = 0.4
"""Pause between a leader's beats: three may be lost before a claim."""
CLAIM_AFTER_S: typing.Final = 1.5
"""Silence after which others claim; well under a host's lease of 6 s."""
VALID_S: typing.Final = 4.0
"""How long after its newest stored beat a leader may renew hosts' leases."""
ORDER_VALID_S: typing.Final = 1.5
"""The same for orders to machines, which no lease bounds. A daemon that
claims over a living leader waits until that one's newest beat is so old."""
STRONGER: typing.Final = 1.5
"""By what factor a daemon's cores exceed a leader's to claim over it. Equal
hosts, and those of neighbouring sizes, never compete."""
FRESH_S: typing.Final = 1.0
"""Age from which a read says nothing of now: twice the time for which the
store holds one open."""
YIELD_S: typing.Final = 0.5
"""How long a daemon lets stronger ones claim first: one held read."""
GAVE_UP_S: typing.Final = 1.5
"""How long a daemon that gave its term up lets any other one claim: longer
than those that let a stronger one go first."""
KNOWN_S: typing.Final = 30.0
"""How long a stronger daemon that wrote nothing more is reckoned with."""
REST_S: typing.Final = 10.0
"""Time after a daemon's claim or the end of its term in which it claims
over nobody."""
LAST_REST_S: typing.Final = 80.0
"""``REST_S`` doubles up to here with each term that ends by itself."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Read:
    """Records from ``offset`` on; the call began at ``began_at``.

    ``ready`` is whether this daemon could schedule at once.
    """

    offset: int
    entries: tuple[records.Entry | None, ...]
    end: int
    began_at: float
    ready: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Stored:
    """An append was stored; its call began at ``began_at``."""

    offset: int
    entry: records.Entry
    began_at: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Lost:
    """An append failed, was refused, or its outcome is not known."""

    entry: records.Entry


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Append:
    """Append an entry if the log ends at ``at``."""

    entry: records.Entry
    at: int


Event = Read | Stored | Lost | Tick


class Election:
    """What one daemon knows of the term in force.

    ``nonce`` is unique to this run of the daemon. ``term`` is above zero
    only while this daemon leads. ``largest`` is the room of the
    largest machine, as the newest beat says. ``cores`` is this daemon's
    processor, 0 if not known, ``strongest`` the most that a writer of
    the log has had lately. ``took_from_living_leader`` is whether this
    daemon's term was claimed over a leader that was alive.
    ``claimed_after_s`` is how long no record had been read when this daemon
    last claimed.

    A leader is confirmed as of when its record was sent, which is before
    anybody can have read it. So whoever reads one knows until when at most
    its writer renews leases, however late the writer learns that it is
    stored.
    """

    __slots__ = (
        "_appending",
        "_attempt_at",
        "_attempt_end",
        "_beat_at",
        "_leader_nonce",
        "_leader_seen_at",
        "_orders_from",
        "_read_at",
        "_renewals",
        "_resigned",
        "_rest_s",
        "_rest_until",
        "_seen_at",
        "_stronger_until",
        "_strongest_at",
        "claimed_after_s",
        "confirmed_at",
        "cores",
        "end",
        "largest",
        "leader",
        "leader_cores",
        "name",
        "nonce",
        "stopping",
        "strongest",
        "term",
        "took_from_living_leader",
    )

    def __init__(
        self, *, name: str, nonce: str, now: float, cores: float = 0.0
    ) -> None:
        self.name = name
        self.nonce = nonce
        self.cores = cores
        self.term = 0
        self.end = -1
        self.leader = ""
        self.leader_cores = 0.0
        self.strongest = 0.0
        self.largest = model.Resources()
        self.confirmed_at = 0.0
        self.stopping = False
        self.took_from_living_leader = False
        self._leader_nonce = ""
        self._leader_seen_at = 0.0
        self._resigned = False
        self._appending = False
        self._seen_at = now
        self._read_at = now
        self._beat_at = 0.0
        self._attempt_end = -1
        self._attempt_at = 0.0
        self._renewals: dict[str, float] = {}
        self._strongest_at = now
        self._orders_from = 0.0
        self._rest_until = 0.0
        self._rest_s = REST_S
        self._stronger_until: float | None = None
        self.claimed_after_s = 0.0

    def leads(self, now: float, *, within_s: float) -> bool:
        """Return whether this daemon's term was confirmed so recently."""
        return self.term > 0 and now - self.confirmed_at < within_s

    def earlier_renewals_end(self) -> float:
        """Return until when at most earlier leaders renew leases."""
        return max(self._renewals.values(), default=0.0)

    def may_order(self, now: float) -> bool:
        """Return whether an order to a machine may be sent.

        An earlier leader that is alive may send some until its newest
        beat is ``ORDER_VALID_S`` old.
        """
        recent = self.leads(now, within_s=ORDER_VALID_S)
        return recent and now >= self._orders_from

    def orders_wait_s(self, now: float) -> float:
        """Return how long an earlier leader may still send orders."""
        return max(0.0, self._orders_from - now)

    def step(self, event: Event, now: float) -> Append | None:
        """Take an event in; return what is to be appended, if anything."""
        match event:
            case Read():
                self._read(event, now)
                wanted = self._claim(event, now)
                self._read_at = now
                return wanted
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
        entry = records.Beat(
            nonce=self.nonce, largest=largest, cores=self.cores
        )
        return self._attempt(entry, now)

    def resign(self, now: float) -> Append | None:
        """Claim no more; return the end of this daemon's term, if any."""
        self.stopping = True
        return self.hand_back(now)

    def hand_back(self, now: float) -> Append | None:
        """Return the record that ends this daemon's term, if it leads."""
        if not self.term:
            return None
        self.step_down(now)
        return Append(entry=records.Resign(nonce=self.nonce), at=self.end)

    def step_down(self, now: float) -> None:
        """Stop leading, whatever the log says, and rest."""
        if self.term:
            self._rest(now)
            self._rest_s = min(LAST_REST_S, 2 * self._rest_s)
        self.term = 0

    def _rest(self, now: float) -> None:
        self._rest_until = max(self._rest_until, now + self._rest_s)

    def _attempt(self, entry: records.Entry, now: float) -> Append:
        """Return the append of an entry at the end that is known."""
        self._appending = True
        if self._attempt_end != self.end:
            self._attempt_end = self.end
            self._attempt_at = now
        return Append(entry=entry, at=self.end)

    def _read(self, event: Read, now: float) -> None:
        if event.offset > self.end:
            # Whoever wrote what was missed did so before now.
            self._renewals[""] = now + VALID_S
        for index, entry in enumerate(event.entries):
            # A record of this daemon's own was sent then at the earliest.
            self._take(event.offset + index, entry, self._attempt_at, now)
        if event.entries:
            self._seen_at = now
            self._stronger_until = None
        self.end = max(self.end, event.end)

    def _stored(self, event: Stored, now: float) -> None:
        self._appending = False
        self._take(event.offset, event.entry, event.began_at, now)
        self._seen_at = now
        self._stronger_until = None
        self.end = max(self.end, event.offset + 1)

    def _take(
        self,
        offset: int,
        entry: records.Entry | None,
        sent_at: float,
        now: float,
    ) -> None:
        if offset < self.end:
            return
        self.end = offset + 1
        self._note_renewals(entry, now)
        match entry:
            case records.Claim():
                self._take_claim(entry, offset, now)
            case records.Beat(nonce=nonce, largest=largest, cores=cores):
                self._leader_nonce = nonce
                self._leader_seen_at = now
                self.leader_cores = cores
                self.largest = largest
                self._reckon_with(cores, now)
            case records.Resign(nonce=nonce):
                self._resigned = nonce == self._leader_nonce
        if self.term and entry is not None and entry.nonce == self.nonce:
            self.confirmed_at = max(self.confirmed_at, sent_at)

    def _note_renewals(self, entry: records.Entry | None, now: float) -> None:
        """Note until when the writer of a record may renew leases."""
        match entry:
            case records.Claim(nonce=nonce) if nonce == self.nonce:
                # An earlier term of this daemon, if it had one.
                self._renewals[self.nonce] = self.confirmed_at + VALID_S
            case records.Claim(nonce=nonce) | records.Beat(nonce=nonce):
                if nonce != self.nonce:
                    self._renewals[nonce] = now + VALID_S
            case records.Resign(nonce=nonce) if nonce in self._renewals:
                # It had stopped before it wrote this.
                self._renewals[nonce] = now

    def _take_claim(
        self, claim: records.Claim, offset: int, now: float
    ) -> None:
        if self.term or claim.name == self.name:
            self._rest(now)
        if self._leader_nonce and not self._resigned:
            until = self._leader_seen_at + ORDER_VALID_S
            self._orders_from = max(self._orders_from, until)
        self.took_from_living_leader = now < self._orders_from
        self._leader_nonce = claim.nonce
        self._leader_seen_at = now
        self._resigned = False
        self.leader = claim.name
        self.leader_cores = claim.cores
        self._reckon_with(claim.cores, now)
        own = claim.nonce == self.nonce and not self.stopping
        self.term = offset + 1 if own else 0

    def _reckon_with(self, cores: float, now: float) -> None:
        known = now - self._strongest_at < KNOWN_S
        if cores >= self.strongest or not known:
            self.strongest = cores
            self._strongest_at = now

    def _claim(self, event: Read, now: float) -> Append | None:
        """Return a claim if the term is free, or this daemon's to take."""
        if self.stopping or self.term or self._appending:
            return None
        if event.end != self.end:
            return None
        if self._is_free(event, now):
            waits = self._lets_stronger_first(now)
            if waits and not self._stronger_had_time(event, now):
                return None
        elif not self._may_claim_over_leader(event, now):
            return None
        self.claimed_after_s = now - self._seen_at
        claim = records.Claim(
            name=self.name, nonce=self.nonce, cores=self.cores
        )
        return self._attempt(claim, now)

    def _is_free(self, event: Read, now: float) -> bool:
        """Return whether nobody leads, or this call saw a silent leader."""
        silent = event.began_at - self._seen_at >= CLAIM_AFTER_S * 2 / 3
        long_enough = now - self._seen_at >= CLAIM_AFTER_S
        vacant = self._resigned or (self.end == 0 and not self.leader)
        return vacant or (silent and long_enough)

    def _lets_stronger_first(self, now: float) -> bool:
        """Return whether others are to claim first, if there are any."""
        known = now - self._strongest_at < KNOWN_S
        outdone = known and _is_stronger(self.strongest, self.cores)
        return self._gave_up or outdone

    @property
    def _gave_up(self) -> bool:
        """Whether the newest term was this daemon's, and given up."""
        return self._resigned and self._leader_nonce == self.nonce

    def _stronger_had_time(self, event: Read, now: float) -> bool:
        """Return whether stronger daemons had time to claim.

        Reads must have come in all the while: time in which the store was
        away, or this daemon stood still, was nobody's to claim in.
        """
        gap = event.began_at - self._read_at >= FRESH_S
        if self._stronger_until is None or gap:
            pause_s = GAVE_UP_S if self._gave_up else YIELD_S
            self._stronger_until = now + pause_s
        return now >= self._stronger_until

    def _may_claim_over_leader(self, event: Read, now: float) -> bool:
        """Return whether this daemon is to claim over the leader."""
        able = event.ready and now - event.began_at < FRESH_S
        rested = now >= self._rest_until
        return able and rested and _is_stronger(self.cores, self.leader_cores)


def _is_stronger(cores: float, than: float) -> bool:
    """Return whether a daemon has clearly more processor; both are known."""
    return than > 0 and cores >= STRONGER * than
