"""The leader's election over a log with conditional appends.

Each record is appended on the condition that the log ends at the offset
that its writer knows. A claim starts a term. The term's number is the
claim's offset plus one, so term numbers only increase. The leader appends
heartbeats ("beats"). A stored beat proves that no other daemon had claimed
the term before it. A daemon that has read no new record for
``CLAIM_AFTER_S`` claims the term.

The leader's processor limits the throughput of the whole fleet. A daemon
with clearly more cores therefore preempts the leader, and daemons with
fewer cores wait for it to claim first. Each preemption multiplies the
leader's cores by at least ``MIN_CORES_RATIO``, and a daemon preempts at most
once per ``CLAIM_COOLDOWN_S``. A daemon that fails repeatedly thus changes
the leader at most once in that time.

A daemon that finds a beat of its own address was the leader before it was
started again: two processes never listen on one address, so the earlier one
has ended. It claims immediately if that term had ``MIN_BEATS_TO_RECLAIM``
beats, so that a leader that ends soon after each start does not keep the term
from others.

This module reads no clock and makes no calls: ``Election.step`` receives an
event and the time, and returns the record to append, if any.
"""

import bisect
import collections
from collections import abc
import dataclasses
import math
import typing

import msgspec

from azurewood.jobs import model
from azurewood.leadership import events
from azurewood.leadership import predecessors
from azurewood.leadership import records
from azurewood.policy import intake

BEAT_INTERVAL_S: typing.Final = 0.4
"""Interval between the leader's beats. Three consecutive beats can be lost
before another daemon claims the term."""
CLAIM_AFTER_S: typing.Final = 1.5
"""Time without a new record after which other daemons claim the term. It is
well below a host's lease of 6 s."""
MIN_CORES_RATIO: typing.Final = 1.5
"""Ratio of a daemon's cores to the leader's cores from which the daemon
preempts the leader. Machines of equal or adjacent sizes never compete."""
MIN_BEATS_TO_RECLAIM: typing.Final = 25
"""Beats of a term, 10 s, after which the leader's next process reclaims it."""
MAX_READ_AGE_S: typing.Final = 1.0
"""Age from which a read does not prove the current state: twice the time for
which the store holds a read open."""
YIELD_S: typing.Final = 0.5
"""How long a daemon waits for stronger daemons to claim first: the time for
which the store holds a read open."""
RELEASE_YIELD_S: typing.Final = 1.5
"""How long a daemon that released its term waits for other daemons to claim.
It is longer than ``YIELD_S``, so that daemons that yield to a stronger one
claim before it."""
STRONGEST_TTL_S: typing.Final = 30.0
"""How long the strongest known daemon is considered after its last record."""
CLAIM_COOLDOWN_S: typing.Final = 10.0
"""Time after a daemon's claim or the end of its term in which the daemon does
not preempt a leader."""
MAX_READ_TIMES: typing.Final = 256
"""Newest records whose time of reading is kept: over a minute of beats."""
MAX_CLAIM_COOLDOWN_S: typing.Final = 80.0
"""Upper bound of the cooldown, which doubles with each term that this daemon
ends by itself."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class LoadReport:
    """The loaded queues of the newest beat, and when it was read."""

    queues: tuple[records.QueueLoad, ...]
    read_at: float


class Election:
    """One daemon's view of the current term and its part in the election.

    ``nonce`` is unique to this boot of the daemon. ``address`` is its name
    and where it listens, empty if other processes may listen there too.
    ``term`` is above zero only while this daemon leads. ``largest`` is the
    capacity of the largest machine according to the newest beat. ``cores`` is
    this daemon's number of cores, 0 if unknown. ``strongest`` is the highest
    number of cores of any daemon that wrote to the log within
    ``STRONGEST_TTL_S``.
    ``resigning`` is whether this daemon released its term and may still have
    to append its resignation: it has not read it, nor a later claim, and has
    not tried to claim itself since.
    ``preempted_live_leader`` is whether the newest claim replaced a leader
    that was still alive. ``silence_before_claim_s`` is how long this daemon
    had read no record when it last claimed. ``leader_append_s`` is how long
    the leader's appends take by its own report, 0 if unknown.
    ``own_append_s`` is how long this daemon's newest election record took,
    and ``append_delay_s`` how long its other appends take. ``load`` is the
    newest report of loaded queues; other threads may read it.
    All jobs that were in the intake at ``copied_at`` are among the jobs.
    ``slow_reported_at`` is when the newest report of slow appends was read, or
    records were missed that may have had one; a later beat may have come with
    it.

    A leader's term counts as confirmed from the time at which its record was
    sent, which is before any daemon can have read the record. A daemon that
    reads the record therefore knows a latest time for the writer's lease
    renewals, however late the writer learns that the record was stored.

    ``fence`` is a fencing token, the offset of this daemon's newest record
    in its term plus one. A later leader's tokens are higher, since its claim
    follows that record.
    """

    __slots__ = (
        "_append_at",
        "_append_end",
        "_appending",
        "_beat_at",
        "_beats",
        "_cooldown_s",
        "_cooldown_until",
        "_fresh_at",
        "_leader_nonce",
        "_leader_seen_at",
        "_predecessor_ended",
        "_predecessors",
        "_read_at",
        "_read_times",
        "_resigned",
        "_seen_at",
        "_stored_after",
        "_strongest_at",
        "_yield_until",
        "address",
        "append_delay_s",
        "confirmed_at",
        "copied_at",
        "cores",
        "end",
        "fence",
        "largest",
        "leader",
        "leader_append_s",
        "leader_cores",
        "load",
        "name",
        "nonce",
        "own_append_s",
        "preempted_live_leader",
        "resigning",
        "silence_before_claim_s",
        "slow_reported_at",
        "stopping",
        "strongest",
        "term",
    )

    def __init__(
        self,
        *,
        name: str,
        nonce: str,
        now: float,
        cores: float = 0.0,
        address: str = "",
    ) -> None:
        self.name = name
        self.nonce = nonce
        self.address = address
        self.cores = cores
        self.term = 0
        self.fence = 0
        self.end = -1
        self.leader = ""
        self.leader_cores = 0.0
        self.leader_append_s = 0.0
        self.own_append_s = 0.0
        self.load = LoadReport(queues=(), read_at=-math.inf)
        self.append_delay_s = 0.0
        self.strongest = 0.0
        self.largest = model.Resources()
        self.confirmed_at = 0.0
        self.copied_at = -math.inf
        self.slow_reported_at = -math.inf
        self.stopping = False
        self.resigning = False
        self.preempted_live_leader = False
        self._leader_nonce = ""
        self._leader_seen_at = 0.0
        self._resigned = False
        self._fresh_at = -math.inf
        self._stored_after = -math.inf
        self._predecessor_ended = False
        self._predecessors = predecessors.Predecessors(nonce=nonce)
        self._beats = 0
        self._appending = False
        self._seen_at = now
        self._read_at = now
        self._read_times: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=MAX_READ_TIMES)
        )
        self._beat_at = 0.0
        self._append_end = -1
        self._append_at = 0.0
        self._strongest_at = now
        self._cooldown_until = 0.0
        self._cooldown_s = CLAIM_COOLDOWN_S
        self._yield_until: float | None = None
        self.silence_before_claim_s = 0.0

    def leads(self, now: float, *, within_s: float) -> bool:
        """Return whether this daemon leads, confirmed within ``within_s``."""
        return self.term > 0 and now - self.confirmed_at < within_s

    def leader_silent_s(self, now: float) -> float:
        """Return the time since the newest claim or beat was read."""
        return now - self._leader_seen_at

    def earlier_renewals_end(self) -> float:
        """Return the latest time at which earlier leaders may renew leases."""
        return self._predecessors.renewals_end()

    def read_by(self, end: int) -> float | None:
        """Return a time by which the log had been read up to an offset.

        Return None if that is not known. The records before the offset were
        written by that time.
        """
        index = bisect.bisect_left(self._read_times, (end, 0.0))
        if index == len(self._read_times):
            return None
        return self._read_times[index][1]

    def may_order(self, now: float) -> bool:
        """Return whether an order to a machine may be sent.

        An earlier leader that is still alive may send orders until its
        newest beat is ``predecessors.ORDER_VALID_S`` old.
        """
        recent = self.leads(now, within_s=predecessors.ORDER_VALID_S)
        return recent and now >= self._predecessors.orders_end

    def orders_wait_s(self, now: float) -> float:
        """Return how long an earlier leader may still send orders."""
        return max(0.0, self._predecessors.orders_end - now)

    def step(self, event: events.Event, now: float) -> events.Append | None:
        """Handle an event; return the append to make, if any."""
        match event:
            case events.Read():
                self._handle_read(event, now)
                wanted = self._claim(event, now) or self._leave(now)
                self._read_at = now
                return wanted
            case events.Stored():
                self._handle_stored(event, now)
                return self._leave(now)
            case events.AppendFailed():
                self._appending = False
        return None

    def beat(
        self,
        largest: model.Resources,
        now: float,
        load: abc.Callable[[], tuple[records.QueueLoad, ...]] = tuple,
        copied_at: float = -math.inf,
    ) -> events.Append | None:
        """Return the leader's next beat if it is due.

        ``load`` returns the loaded queues; it is called for due beats only.
        What was in the intake at ``copied_at`` is among the jobs.
        """
        due = now >= self._beat_at + BEAT_INTERVAL_S
        if not self.term or self._appending or not due:
            return None
        self._beat_at = now
        entry = records.Beat(
            nonce=self.nonce,
            largest=largest,
            cores=self.cores,
            append_s=round(max(self.own_append_s, self.append_delay_s), 3),
            address=self.address,
            beats=self._beats,
            load=load() or msgspec.UNSET,
            copied_ms=math.ceil((now - copied_at) * 1000)
            if math.isfinite(copied_at)
            else msgspec.UNSET,
        )
        self._beats += 1
        return self._append(entry, now)

    def resign(self, now: float) -> events.Append | None:
        """Stop claiming; return the resignation if this daemon leads."""
        self.stopping = True
        return self.release_term(now)

    def _leave(self, now: float) -> events.Append | None:
        """Return the resignation of a term that began while stopping.

        Its claim was under way when the daemon began to stop.
        """
        return self.release_term(now) if self.stopping else None

    def release_term(self, now: float) -> events.Append | None:
        """End this daemon's term; return the resignation if it leads."""
        if not self.term:
            return None
        self.step_down(now)
        self.resigning = True
        return events.Append(
            entry=records.Resign(nonce=self.nonce), at=self.end
        )

    def step_down(self, now: float) -> None:
        """Stop leading without a record in the log and start the cooldown."""
        if self.term:
            self._start_cooldown(now)
            self._cooldown_s = min(MAX_CLAIM_COOLDOWN_S, 2 * self._cooldown_s)
        self.term = 0

    def _start_cooldown(self, now: float) -> None:
        self._cooldown_until = max(
            self._cooldown_until, now + self._cooldown_s
        )

    def _append(self, entry: records.Entry, now: float) -> events.Append:
        """Return an append of an entry at the known end of the log."""
        self._appending = True
        if self._append_end != self.end:
            self._append_end = self.end
            self._append_at = now
        return events.Append(entry=entry, at=self.end)

    def _handle_read(self, event: events.Read, now: float) -> None:
        if event.offset > self.end:
            # The writers of the missed records wrote them before now.
            self._predecessors.missed(now)
            if self.end >= 0:
                self.slow_reported_at = now
        for index, entry in enumerate(event.entries):
            # This is the earliest time at which this daemon can have sent a
            # record of its own.
            self._apply_entry(
                event.offset + index, entry, self._append_at, now
            )
            self._stored_after = self._fresh_at
        self._fresh_at = max(self._fresh_at, event.fresh_at)
        if event.entries:
            self._seen_at = now
            self._yield_until = None
        self.end = max(self.end, event.end)

    def _handle_stored(self, event: events.Stored, now: float) -> None:
        self._appending = False
        self.own_append_s = now - event.began_at
        self._apply_entry(event.offset, event.entry, event.began_at, now)
        self._stored_after = event.began_at
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
        self._read_times.append((self.end, now))
        self._predecessors.apply_entry(
            entry, confirmed_at=self.confirmed_at, now=now
        )
        match entry:
            case records.Claim():
                self._apply_claim(entry, offset, now)
            case records.Beat(nonce=nonce, largest=largest, cores=cores):
                self._leader_nonce = nonce
                self._leader_seen_at = now
                self.leader_append_s = entry.append_s
                if intake.is_slow(entry.append_s):
                    self.slow_reported_at = now
                self.leader_cores = cores
                self.load = LoadReport(queues=entry.load or (), read_at=now)
                self._predecessor_ended = self._is_predecessors(entry)
                self.largest = largest
                self._note_copied(entry)
                self._record_cores(cores, now)
            case records.Resign(nonce=nonce):
                self._resigned = nonce == self._leader_nonce
                if nonce == self.nonce:
                    self.resigning = False
        if self.term and entry is not None and entry.nonce == self.nonce:
            self.confirmed_at = max(self.confirmed_at, sent_at)
            self.fence = offset + 1

    def _note_copied(self, beat: records.Beat) -> None:
        """Note up to when the intake's jobs are copied, by a leader's beat.

        Its writer knew the record before it, so the beat is younger than
        that one, which was stored after ``_stored_after``.
        """
        if isinstance(beat.copied_ms, int):
            copied_at = self._stored_after - beat.copied_ms / 1000
            self.copied_at = max(self.copied_at, copied_at)

    def _is_predecessors(self, beat: records.Beat) -> bool:
        """Return whether a beat is of this daemon's earlier process."""
        return (
            self.address != ""
            and beat.address == self.address
            and beat.nonce != self.nonce
            and beat.beats >= MIN_BEATS_TO_RECLAIM
        )

    def _apply_claim(
        self, claim: records.Claim, offset: int, now: float
    ) -> None:
        if self.term or claim.name == self.name:
            self._start_cooldown(now)
        own = claim.nonce == self.nonce
        ended = self._resigned or (own and self._predecessor_ended)
        if self._leader_nonce and not ended:
            self._predecessors.replaced(self._leader_seen_at)
        self.preempted_live_leader = now < self._predecessors.orders_end
        self._leader_nonce = claim.nonce
        self._leader_seen_at = now
        self._resigned = False
        self.resigning = False
        self._predecessor_ended = False
        self._beats = 0
        self.leader = claim.name
        self.leader_append_s = 0.0
        self.leader_cores = claim.cores
        self._record_cores(claim.cores, now)
        self.term = offset + 1 if own else 0

    def _record_cores(self, cores: float, now: float) -> None:
        known = now - self._strongest_at < STRONGEST_TTL_S
        if cores >= self.strongest or not known:
            self.strongest = cores
            self._strongest_at = now

    def _claim(self, event: events.Read, now: float) -> events.Append | None:
        """Return a claim if no daemon leads or this one may preempt."""
        if self.stopping or self.term or self._appending:
            return None
        if event.end != self.end:
            return None
        if self._is_vacant(event, now):
            yields = self._yields_to_others(now)
            if yields and not self._has_yielded(event, now):
                return None
        elif not self._may_preempt(event, now):
            return None
        self.silence_before_claim_s = now - self._seen_at
        # A resignation behind this claim would end its term.
        self.resigning = False
        claim = records.Claim(
            name=self.name, nonce=self.nonce, cores=self.cores
        )
        return self._append(claim, now)

    def _is_vacant(self, event: events.Read, now: float) -> bool:
        """Return whether no daemon leads or the leader is unresponsive.

        The read must have begun after most of the silence, so that a read
        that was answered late does not count as silence.
        """
        silent = event.began_at - self._seen_at >= CLAIM_AFTER_S * 2 / 3
        long_enough = now - self._seen_at >= CLAIM_AFTER_S
        vacant = self._resigned or (self.end == 0 and not self.leader)
        vacant = vacant or self._predecessor_ended
        return vacant or (silent and long_enough)

    def _yields_to_others(self, now: float) -> bool:
        """Return whether this daemon waits for others to claim first."""
        known = now - self._strongest_at < STRONGEST_TTL_S
        outdone = known and _is_stronger(self.strongest, self.cores)
        return self.released_term or outdone

    @property
    def released_term(self) -> bool:
        """Whether this daemon held the newest term and released it."""
        return self._resigned and self._leader_nonce == self.nonce

    def _has_yielded(self, event: events.Read, now: float) -> bool:
        """Return whether other daemons have had time to claim.

        Reads must have arrived throughout that time. While the store was
        unreachable or this process was paused, no daemon could claim.
        """
        gap = event.began_at - self._read_at >= MAX_READ_AGE_S
        if self._yield_until is None or gap:
            pause_s = RELEASE_YIELD_S if self.released_term else YIELD_S
            self._yield_until = now + pause_s
        return now >= self._yield_until

    def _may_preempt(self, event: events.Read, now: float) -> bool:
        """Return whether this daemon may preempt the leader."""
        can_schedule = event.ready and now - event.began_at < MAX_READ_AGE_S
        cooled_down = now >= self._cooldown_until
        return (
            can_schedule
            and cooled_down
            and _is_stronger(self.cores, self.leader_cores)
        )


def _is_stronger(cores: float, than: float) -> bool:
    """Return whether ``cores`` clearly exceeds ``than``, both known."""
    return than > 0 and cores >= MIN_CORES_RATIO * than
