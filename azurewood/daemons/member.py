"""A member of the fleet: everything a daemon does except its servers.

One thread calls ``step`` whenever something is due or was answered. The
clock, the calls and the platform are given, so that a simulation can run
the same code as a daemon.
"""

import collections
from collections import abc
import concurrent.futures
import contextlib
import typing

from loguru import logger

from azurewood.daemons import ports
from azurewood.daemons import takeover as takeovers
from azurewood.daemons import term as terms
from azurewood.daemons import topics
from azurewood.http import multiplex
from azurewood.jobs import catalog
from azurewood.jobs import desk as desks
from azurewood.jobs import exceptions
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages
from azurewood.leadership import base as leadership
from azurewood.leadership import records as election_records
from azurewood.policy import feasibility
from azurewood.scheduling import messages

WAIT_MS: typing.Final = 1000
"""How long the store holds a read open: also the age at which silence of
the store is noticed, with the read's own margin."""
LEADER_WAIT_MS: typing.Final = 500
JOBS_PAUSE_S: typing.Final = 0.05
"""Pause between a follower's reads of the jobs; the leader has none."""
LEADER_PAUSE_S: typing.Final = 0.005
LOOP_S: typing.Final = 0.1
RETENTION_MARGIN_S: typing.Final = 30.0
"""Added to the time for which callers are promised a job's state."""


class Member:
    """One daemon's reads, writes, election and, if it leads, its term.

    ``wake`` is called when a wish was handed in by another thread.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_inbox",
        "_jobs",
        "_leader",
        "_operators",
        "_order_pause_s",
        "_platform",
        "_retention_s",
        "_unix_ms",
        "_wake",
        "_waves",
        "_writer",
        "desk",
        "election",
        "term",
    )

    def __init__(
        self,
        *,
        name: str,
        nonce: str,
        platform: ports.Platform,
        calls: ports.Calls,
        clock: abc.Callable[[], float],
        unix_ms: abc.Callable[[], float],
        wake: abc.Callable[[], None],
        order_pause_s: float,
        retention_s: float,
        cores: float = 0.0,
    ) -> None:
        self._platform = platform
        self._calls = calls
        self._clock = clock
        self._unix_ms = unix_ms
        self._wake = wake
        self._order_pause_s = order_pause_s
        self._retention_s = retention_s + RETENTION_MARGIN_S
        self._inbox: collections.deque[desks.Wish] = collections.deque()
        self._waves: dict[int, messages.WaveRequested] = {}
        self.term: terms.Term | None = None
        self.election = leadership.Election(
            name=name, nonce=nonce, now=self._clock(), cores=cores
        )
        self.desk = desks.Desk(
            clock=self._clock, wishes=self.hand_in, admission=self._admit
        )
        self._writer = topics.Writer(
            platform=platform,
            calls=self._calls,
            clock=self._clock,
            topic=pages.Topic.JOBS,
            producer=f"{name}-{nonce}",
            epoch=1,
        )
        self._jobs = _follower(pages.Topic.JOBS, JOBS_PAUSE_S, nonce)
        self._operators = _follower(pages.Topic.OPERATORS, JOBS_PAUSE_S, nonce)
        self._leader = follower.Follower(
            topic=pages.Topic.LEADER,
            keyed=False,
            wait_ms=LEADER_WAIT_MS,
            pause_s=JOBS_PAUSE_S,
            seed=int(nonce, 16),
        )

    def leave(self) -> None:
        """Take no more callers, and give the term to another daemon."""
        self.desk.stopping = True
        if self.term is not None:
            self.term.stop("the daemon stops")
            self.term = None
        self._append_leader(self.election.resign(self._clock()))

    def step(self, now: float) -> None:
        """Do what is due."""
        self._read_all()
        self._take_wishes(now)
        self._writer.step(now)
        self._lead(now)

    def next_at(self, now: float) -> float:
        """Return until when nothing is due, unless a call is answered."""
        due = [now + LOOP_S]
        for reader in (self._jobs, self._operators, self._leader):
            at = reader.next_at()
            if at is not None:
                due.append(at)
        if self.term is not None:
            due.append(self.term.next_at(now))
        return min(due)

    # Reading

    def _read_all(self) -> None:
        for reader, changed in (
            (self._operators, self._took_operators),
            (self._jobs, self._took_jobs),
            (self._leader, self._took_leader),
        ):
            topics.read(
                self._platform, self._calls, self._clock, reader, changed
            )

    def _took_operators(self, changes: follower.Changes) -> None:
        for record in changes.records:
            match self._platform.operators_record(record):
                case catalog.Catalog() as found:
                    self._take_catalog(found)
                case messages.WaveRequested() as wave:
                    self._waves[wave.number] = wave
                    if self.term is not None:
                        self.term.take(wave)

    def _take_catalog(self, found: catalog.Catalog) -> None:
        known = self.desk.catalog
        if known is not None and known.version >= found.version:
            return
        self.desk.catalog = found
        logger.bind(
            event="catalog.changed",
            version=found.version,
            queues=len(found.queues),
            pools=len(found.pools),
        ).info("a configuration is in force")
        if self.term is not None:
            self.term.take(messages.CatalogChanged(catalog=found))

    def _took_jobs(self, changes: follower.Changes) -> None:
        self.desk.fresh_at = self._jobs.fresh_at
        for stored in changes.records:
            self._take_job_record(stored)
        self.desk.loaded = self._jobs.listed

    def _take_job_record(self, stored: appender.Record) -> None:
        if stored.value is None:
            job_id = records.dropped_job(stored.key)
            if job_id is not None:
                self.desk.register.drop(job_id)
            return
        try:
            record = records.decode(stored.value)
        except exceptions.InvalidRecord as exc:
            logger.bind(event="record.unreadable", key=stored.key).error(
                "a job's record is left out: {}", exc
            )
            return
        if self.desk.register.apply(record) and self.term is not None:
            self.term.take_record(record)

    def _took_leader(self, changes: follower.Changes) -> None:
        read = self._leader
        entries = tuple(
            election_records.decode(record.value or b"")
            for record in changes.records
        )
        event = leadership.Read(
            offset=read.offset - len(entries),
            entries=entries,
            end=read.offset,
            began_at=read.began_at,
            ready=self.desk.ready(),
        )
        wanted = self.election.step(event, self._clock())
        if wanted is not None:
            self._note_claim()
        self._append_leader(wanted)

    # Callers' wishes

    def _admit(self, job: model.Job) -> desks.Refused | None:
        """Refuse what no machine can hold; called by any thread."""
        reason = feasibility.misfit(job, self.election.largest)
        if not reason:
            return None
        return desks.Refused(
            reason=reason, retry_after_s=feasibility.RETRY_AFTER_S
        )

    def hand_in(self, wish: desks.Wish) -> None:
        """Take a caller's wish, from any thread."""
        self._inbox.append(wish)
        self._wake()

    def _take_wishes(self, now: float) -> None:
        while self._inbox:
            wish = self._inbox.popleft()
            item = desks.item(wish)
            self._writer.add_item(
                appender.Item(records=item.records, token=_Stored(wish=wish))
            )
        away = self._jobs.failing
        late = now - (desks.UNSENT_AWAY_S if away else desks.UNSENT_S)
        for item in self._writer.withdraw(
            lambda item: item.token.wish.asked_at < late
        ):
            _tell(item.token.wish, desks.Refused(reason="store out of touch"))

    # Leading

    def _lead(self, now: float) -> None:
        election = self.election
        if self.term is not None and self.term.number != election.term:
            self.term.stop("another daemon leads")
            self.term = None
        if election.term and self.term is None:
            self._begin_term()
        self._jobs.pause_s = LEADER_PAUSE_S if self.term else JOBS_PAUSE_S
        if self.term is None:
            return
        self._append_leader(election.beat(self.term.largest_capacity(), now))
        self.term.step(now)
        if self.term.over:
            election.step_down(now)
            return
        taken = election.took_from_living_leader
        if taken and self.term.hears_few_hosts(now):
            self._hand_back(now)

    def _hand_back(self, now: float) -> None:
        """Give back a term that another daemon can do more with."""
        self.term.stop("few hosts answer this daemon")
        self._append_leader(self.election.hand_back(now))

    def _begin_term(self) -> None:
        number = self.election.term
        logger.bind(
            event="term.begun",
            term=number,
            cores=self.election.cores,
            strongest=self.election.strongest,
            silent_ms=int(self.election.claimed_after_s * 1000),
        ).info("elected")
        self.term = terms.Term(
            given=takeovers.Given(
                platform=self._platform,
                calls=self._calls,
                clock=self._clock,
                unix_ms=self._unix_ms,
                register=self.desk.register,
                catalog=lambda: self.desk.catalog,
                waves=lambda: list(self._waves.values()),
                jobs_offset=lambda: self._jobs.offset,
                election=self.election,
                order_pause_s=self._order_pause_s,
                retention_s=self._retention_s,
            ),
            number=number,
        )

    def _note_claim(self) -> None:
        election = self.election
        logger.bind(
            event="election.claim",
            cores=election.cores,
            leader=election.leader,
            leader_cores=election.leader_cores,
            strongest=election.strongest,
        ).info("claims to lead")

    def _append_leader(self, wanted: leadership.Append | None) -> None:
        if wanted is None:
            return
        data = election_records.encode(wanted.entry)
        call = self._platform.append_at(pages.Topic.LEADER, data, wanted.at)
        self._calls.submit(
            call, lambda reply: self._appended_leader(wanted, reply)
        )

    def _resign_again(
        self, wanted: leadership.Append, result: appender.Result
    ) -> None:
        """Resign behind the beat that was under way."""
        if self.election.term:
            # A later claim of this daemon's was stored meanwhile.
            return
        resigning = isinstance(wanted.entry, election_records.Resign)
        if resigning and isinstance(result, appender.Conflict):
            again = leadership.Append(entry=wanted.entry, at=result.end)
            self._append_leader(again)

    def _appended_leader(
        self, wanted: leadership.Append, reply: multiplex.Reply
    ) -> None:
        match self._platform.append_result(reply):
            case appender.Appended(offset=offset):
                event = leadership.Stored(
                    offset=offset, entry=wanted.entry, began_at=reply.sent_at
                )
            case result:
                logger.bind(
                    event="election.append",
                    entry=type(wanted.entry).__name__.lower(),
                    at=wanted.at,
                ).info("not appended: {}", result)
                event = leadership.Lost(entry=wanted.entry)
                self._resign_again(wanted, result)
        self.election.step(event, self._clock())


class _Stored:
    """Answers a wish once it is stored."""

    __slots__ = ("wish",)

    def __init__(self, *, wish: desks.Wish) -> None:
        self.wish = wish

    def __call__(self) -> None:
        _tell(self.wish, desks.Taken())


def _tell(wish: desks.Wish, verdict: desks.Verdict) -> None:
    # The caller's thread may have given up and cancelled the future.
    with contextlib.suppress(concurrent.futures.InvalidStateError):
        wish.future.set_result(verdict)


def _follower(
    topic: pages.Topic, pause_s: float, nonce: str
) -> follower.Follower:
    return follower.Follower(
        topic=topic,
        keyed=True,
        wait_ms=WAIT_MS,
        pause_s=pause_s,
        seed=int(nonce, 16),
    )
