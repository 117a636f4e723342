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

BEAT_INTERVAL_S: typing.Final = 0.4
"""Pause between a leader's beats: three may be lost before a claim."""
CLAIM_AFTER_S: typing.Final = 1.5
"""Silence after which others claim; well under a host's lease of 6 s."""
RENEWAL_VALID_S: typing.Final = 4.0
"""How long after its newest stored beat a leader may renew hosts' leases."""
ORDER_VALID_S: typing.Final = 1.5
"""The same for orders to machines, which no lease bounds. A daemon that
claims over a living leader waits until that one's newest beat is so old."""
MIN_CORES_RATIO: typing.Final = 1.5
"""By what factor a daemon's cores exceed a leader's to claim over it. Equal
hosts, and those of neighbouring sizes, never compete."""
MAX_READ_AGE_S: typing.Final = 1.0
"""Age from which a read says nothing of now: twice the time for which the
store holds one open."""
YIELD_S: typing.Final = 0.5
"""How long a daemon lets stronger ones claim first: one held read."""
RELEASE_YIELD_S: typing.Final = 1.5
"""How long a daemon that gave its term up lets any other one claim: longer
than those that let a stronger one go first."""
STRONGEST_TTL_S: typing.Final = 30.0
"""How long a stronger daemon that wrote nothing more is reckoned with."""
CLAIM_COOLDOWN_S: typing.Final = 10.0
"""Time after a daemon's claim or the end of its term in which it claims
over nobody."""
MAX_CLAIM_COOLDOWN_S: typing.Final = 80.0
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
class AppendFailed:
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


Event = Read | Stored | AppendFailed | Tick


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
        "_cooldown_s",
        "_cooldown_until",
        "_seen_at",
        "_yield_until",
        "_strongest_at",
        "silence_before_claim_s",
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
        "preempted_live_leader",
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
        self.preempted_live_leader = False
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
        self._cooldown_until = 0.0
        self._cooldown_s = CLAIM_COOLDOWN_S
        self._yield_until: float | None = None
        self.silence_before_claim_s = 0.0

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
                self._handle_read(event, now)
                wanted = self._claim(event, now)
                self._read_at = now
                return wanted
            case Stored():
                self._handle_stored(event, now)
            case AppendFailed():
                self._appending = False
        return None

    def beat(self, largest: model.Resources, now: float) -> Append | None:
        """Return the leader's next beat if it is due."""
        due = now >= self._beat_at + BEAT_INTERVAL_S
        if not self.term or self._appending or not due:
            return None
        self._beat_at = now
        entry = records.Beat(
            nonce=self.nonce, largest=largest, cores=self.cores
        )
        return self._append(entry, now)

    def resign(self, now: float) -> Append | None:
        """Claim no more; return the end of this daemon's term, if any."""
        self.stopping = True
        return self.release_term(now)

    def release_term(self, now: float) -> Append | None:
        """Return the record that ends this daemon's term, if it leads."""
        if not self.term:
            return None
        self.step_down(now)
        return Append(entry=records.Resign(nonce=self.nonce), at=self.end)

    def step_down(self, now: float) -> None:
        """Stop leading, whatever the log says, and rest."""
        if self.term:
            self._start_cooldown(now)
            self._cooldown_s = min(MAX_CLAIM_COOLDOWN_S, 2 * self._cooldown_s)
        self.term = 0

    def _start_cooldown(self, now: float) -> None:
        self._cooldown_until = max(
            self._cooldown_until, now + self._cooldown_s
        )

    def _append(self, entry: records.Entry, now: float) -> Append:
        """Return the append of an entry at the end that is known."""
        self._appending = True
        if self._attempt_end != self.end:
            self._attempt_end = self.end
            self._attempt_at = now
        return Append(entry=entry, at=self.end)

    def _handle_read(self, event: Read, now: float) -> None:
        if event.offset > self.end:
            # Whoever wrote what was missed did so before now.
            self._renewals[""] = now + RENEWAL_VALID_S
        for index, entry in enumerate(event.entries):
            # A record of this daemon's own was sent then at the earliest.
            self._apply_entry(
                event.offset + index, entry, self._attempt_at, now
            )
        if event.entries:
            self._seen_at = now
            self._yield_until = None
        self.end = max(self.end, event.end)

    def _handle_stored(self, event: Stored, now: float) -> None:
        self._appending = False
        self._apply_entry(event.offset, event.entry, event.began_at, now)
        self._seen_at = now
        self._yield_until = None
        self.end = max(self.end, event.offset + 1)

    def _apply_entry(
        self,
        offset: int,
        entry: records.Entry | None,
        sent_at: float,
        now: float,
    ) -> None:
        if offset < self.end:
            return
        self.end = offset + 1
        self._record_renewals(entry, now)
        match entry:
            case records.Claim():
                self._apply_claim(entry, offset, now)
            case records.Beat(nonce=nonce, largest=largest, cores=cores):
                self._leader_nonce = nonce
                self._leader_seen_at = now
                self.leader_cores = cores
                self.largest = largest
                self._record_cores(cores, now)
            case records.Resign(nonce=nonce):
                self._resigned = nonce == self._leader_nonce
        if self.term and entry is not None and entry.nonce == self.nonce:
            self.confirmed_at = max(self.confirmed_at, sent_at)

    def _record_renewals(
        self, entry: records.Entry | None, now: float
    ) -> None:
        """Note until when the writer of a record may renew leases."""
        match entry:
            case records.Claim(nonce=nonce) if nonce == self.nonce:
                # An earlier term of this daemon, if it had one.
                self._renewals[self.nonce] = (
                    self.confirmed_at + RENEWAL_VALID_S
                )
            case records.Claim(nonce=nonce) | records.Beat(nonce=nonce):
                if nonce != self.nonce:
                    self._renewals[nonce] = now + RENEWAL_VALID_S
            case records.Resign(nonce=nonce) if nonce in self._renewals:
                # It had stopped before it wrote this.
                self._renewals[nonce] = now

    def _apply_claim(
        self, claim: records.Claim, offset: int, now: float
    ) -> None:
        if self.term or claim.name == self.name:
            self._start_cooldown(now)
        if self._leader_nonce and not self._resigned:
            until = self._leader_seen_at + ORDER_VALID_S
            self._orders_from = max(self._orders_from, until)
        self.preempted_live_leader = now < self._orders_from
        self._leader_nonce = claim.nonce
        self._leader_seen_at = now
        self._resigned = False
        self.leader = claim.name
        self.leader_cores = claim.cores
        self._record_cores(claim.cores, now)
        own = claim.nonce == self.nonce and not self.stopping
        self.term = offset + 1 if own else 0

    def _record_cores(self, cores: float, now: float) -> None:
        known = now - self._strongest_at < STRONGEST_TTL_S
        if cores >= self.strongest or not known:
            self.strongest = cores
            self._strongest_at = now

    def _claim(self, event: Read, now: float) -> Append | None:
        """Return a claim if the term is free, or this daemon's to take."""
        if self.stopping or self.term or self._appending:
            return None
        if event.end != self.end:
            return None
        if self._is_vacant(event, now):
            waits = self._yields_to_others(now)
            if waits and not self._has_yielded(event, now):
                return None
        elif not self._may_preempt(event, now):
            return None
        self.silence_before_claim_s = now - self._seen_at
        claim = records.Claim(
            name=self.name, nonce=self.nonce, cores=self.cores
        )
        return self._append(claim, now)

    def _is_vacant(self, event: Read, now: float) -> bool:
        """Return whether nobody leads, or this call saw a silent leader."""
        silent = event.began_at - self._seen_at >= CLAIM_AFTER_S * 2 / 3
        long_enough = now - self._seen_at >= CLAIM_AFTER_S
        vacant = self._resigned or (self.end == 0 and not self.leader)
        return vacant or (silent and long_enough)

    def _yields_to_others(self, now: float) -> bool:
        """Return whether others are to claim first, if there are any."""
        known = now - self._strongest_at < STRONGEST_TTL_S
        outdone = known and _is_stronger(self.strongest, self.cores)
        return self._released_term or outdone

    @property
    def _released_term(self) -> bool:
        """Whether the newest term was this daemon's, and given up."""
        return self._resigned and self._leader_nonce == self.nonce

    def _has_yielded(self, event: Read, now: float) -> bool:
        """Return whether stronger daemons had time to claim.

        Reads must have come in all the while: time in which the store was
        away, or this daemon stood still, was nobody's to claim in.
        """
        gap = event.began_at - self._read_at >= MAX_READ_AGE_S
        if self._yield_until is None or gap:
            pause_s = RELEASE_YIELD_S if self._released_term else YIELD_S
            self._yield_until = now + pause_s
        return now >= self._yield_until

    def _may_preempt(self, event: Read, now: float) -> bool:
        """Return whether this daemon is to claim over the leader."""
        able = event.ready and now - event.began_at < MAX_READ_AGE_S
        rested = now >= self._cooldown_until
        return able and rested and _is_stronger(self.cores, self.leader_cores)


def _is_stronger(cores: float, than: float) -> bool:
    """Return whether a daemon has clearly more processor; both are known."""
    return than > 0 and cores >= MIN_CORES_RATIO * than
