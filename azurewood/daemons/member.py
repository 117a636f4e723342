"""A member of the fleet: everything that a fleet daemon does but its servers.

One thread calls ``step`` whenever an action is due or a call was answered.
The clock, the calls and the platform are passed in, so that a simulation
runs the same code as a daemon.
"""

from collections import abc
import typing

from loguru import logger

from azurewood.daemons import admission
from azurewood.daemons import job_reads
from azurewood.daemons import job_writes
from azurewood.daemons import ports
from azurewood.daemons import takeover as takeovers
from azurewood.daemons import term as terms
from azurewood.daemons import topics
from azurewood.http import exchanges
from azurewood.jobs import catalog
from azurewood.jobs import desk as desks
from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.jobs import write_requests
from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages
from azurewood.leadership import base as leadership
from azurewood.leadership import events
from azurewood.leadership import records as election_records
from azurewood.policy import intake as intakes
from azurewood.scheduling import messages

WAIT_MS: typing.Final = 1000
"""How long the store holds a read open. With the read's own margin, this is
also the time after which an unresponsive store is detected."""
KEYS_WAIT_MS: typing.Final = 500
"""The same for the configuration where it has keys. The newest complete read
began two waits ago at most, so that keys are accepted through a slow read."""
EARLY_WAIT_MS: typing.Final = 300
"""The same for the operators' topic while the jobs are listed. What is known
of the topic is up to two such reads old, and must be younger than
``desk.MAX_CONFIG_READ_AGE_S`` for a job to be accepted."""
LEADER_WAIT_MS: typing.Final = 500
READ_PAUSE_S: typing.Final = 0.05
"""Pause between two reads of a topic. The leader reads the jobs topic with the
shorter ``LEADER_READ_PAUSE_S``."""
LEADER_READ_PAUSE_S: typing.Final = 0.005
MAX_WAIT_S: typing.Final = 0.1
RESIGN_RETRY_S: typing.Final = 0.1
"""Time to read a resignation that got no answer but was stored."""
RETENTION_MARGIN_S: typing.Final = 30.0
"""Added to the time for which a job's state is guaranteed to callers."""


class Member:
    """A daemon's reads, writes, election and, if it leads, its term.

    ``wake`` is called when another thread enqueued a write request.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_jobs",
        "_leader",
        "_learned_durations",
        "_operators",
        "_order_pause_s",
        "_max_record_bytes",
        "_partitions",
        "_platform",
        "_resign_at",
        "_retention_s",
        "_unix_ms",
        "_unstored_resignation",
        "_wake",
        "_waves",
        "_writes",
        "election",
        "job_service",
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
        store_partitions: int = 1,
        store_record_bytes: int = appender.MAX_RECORD_BYTES,
        address: str = "",
        learned_durations: bool = True,
    ) -> None:
        self._learned_durations = learned_durations
        self._partitions = min(store_partitions, intakes.MAX_PARTITIONS)
        self._platform = platform
        self._calls = calls
        self._clock = clock
        self._unix_ms = unix_ms
        self._wake = wake
        self._order_pause_s = order_pause_s
        self._retention_s = retention_s + RETENTION_MARGIN_S
        self._waves: dict[int, messages.WaveRequested] = {}
        self.term: terms.Term | None = None
        self.election = leadership.Election(
            name=name,
            nonce=nonce,
            now=self._clock(),
            cores=cores,
            address=address,
        )
        self.job_service = desks.JobService(
            clock=self._clock,
            enqueue=self.enqueue_write,
            admission=self._admit,
            max_record_bytes=store_record_bytes,
        )
        self._max_record_bytes = store_record_bytes
        self._writes = job_writes.JobWrites(
            name=name,
            nonce=nonce,
            platform=platform,
            calls=calls,
            clock=clock,
            job_service=self.job_service,
            election=self.election,
            partitions=self._partitions,
            retention_s=self._retention_s,
        )
        self._jobs = _follower(pages.Topic.JOBS, READ_PAUSE_S, nonce)
        self._operators = _follower(pages.Topic.OPERATORS, READ_PAUSE_S, nonce)
        self._leader = follower.Follower(
            topic=pages.Topic.LEADER,
            keyed=False,
            wait_ms=LEADER_WAIT_MS,
            pause_s=READ_PAUSE_S,
            seed=int(nonce, 16),
        )
        self._unstored_resignation: events.Append | None = None
        self._resign_at = 0.0

    def leave(self) -> None:
        """Stop accepting callers and end the term, if any, by resigning."""
        self.job_service.stopping = True
        if self.term is not None:
            self.term.stop("the daemon stops")
            self.term = None
        self._append_leader(self.election.resign(self._clock()))

    def step(self, now: float) -> None:
        """Run one iteration: read, write, and lead if elected."""
        self._operators.wait_ms = self._operators_wait_ms()
        waits = self.job_service.read_waits.any_waits(now)
        self._jobs.hurried = waits or self._writes.awaits_read
        self._read_all()
        if self._unstored_resignation is not None:
            self._resign_if_due(self._unstored_resignation, now)
        self.job_service.reads_fail = self._jobs.failing
        self._writes.step(now, store_lost=self._jobs.failing)
        self._lead(now)

    def next_at(self, now: float) -> float:
        """Return when ``step`` is due again unless a call is answered."""
        due = [now + MAX_WAIT_S]
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
            (self._operators, self._on_operators_read),
            (self._jobs, self._on_jobs_read),
            (self._leader, self._on_leader_read),
        ):
            topics.read(
                self._platform, self._calls, self._clock, reader, changed
            )

    def _operators_wait_ms(self) -> int:
        """Return how long the store holds a read of the configuration open."""
        if not self.job_service.caught_up:
            return EARLY_WAIT_MS
        known = self.job_service.catalog
        has_keys = known is not None and known.accounts is not None
        return KEYS_WAIT_MS if has_keys else WAIT_MS

    def _on_operators_read(self, changes: follower.Changes) -> None:
        for record in changes.records:
            match self._platform.operators_record(record):
                case catalog.Catalog() as found:
                    self._handle_catalog(found)
                case messages.WaveRequested() as wave:
                    self._waves[wave.number] = wave
                    if self.term is not None:
                        self.term.handle_event(wave)
        self.job_service.catalog_fresh_at = self._operators.fresh_at

    def _handle_catalog(self, found: catalog.Catalog) -> None:
        known = self.job_service.catalog
        if known is not None and known.version >= found.version:
            return
        self.job_service.catalog = found
        logger.bind(
            event="catalog.changed",
            version=found.version,
            queues=len(found.queues),
            pools=len(found.pools),
        ).info("new configuration in force")
        if self.term is not None:
            self.term.handle_event(messages.CatalogChanged(catalog=found))

    def _on_jobs_read(self, changes: follower.Changes) -> None:
        service = self.job_service
        job_reads.drop_removed(changes, service, self.term)
        for stored in changes.records:
            job_reads.apply(stored, service, self._writes, self.term)
        if changes.whole:
            self._writes.note_listed(self._jobs.offset)
        service.note_jobs_read(self._jobs.fresh_at, listed=self._jobs.listed)
        service.read_waits.note_read(self._jobs.fresh_at)

    def _on_leader_read(self, changes: follower.Changes) -> None:
        read = self._leader
        entries = tuple(
            election_records.decode(record.value or b"")
            for record in changes.records
        )
        event = events.Read(
            offset=read.offset - len(entries),
            entries=entries,
            end=read.offset,
            began_at=read.began_at,
            ready=self.job_service.knows_jobs(),
            fresh_at=read.fresh_at,
        )
        wanted = self.election.step(event, self._clock())
        if wanted and isinstance(wanted.entry, election_records.Claim):
            self._log_claim()
        self._append_leader(wanted)

    # Callers' requests

    def _admit(self, job: model.Job) -> verdicts.Refused | None:
        """Refuse jobs that cannot be served; called by any thread."""
        return admission.refusal(
            job, self.job_service.catalog, self.election, self._clock()
        )

    def enqueue_write(self, request: write_requests.WriteRequest) -> None:
        """Enqueue a caller's write request; called by any thread."""
        self._writes.enqueue(request)
        self._wake()

    # Leading

    def _lead(self, now: float) -> None:
        election = self.election
        if self.term is not None and self.term.number != election.term:
            self.term.stop("another daemon leads")
            self.term = None
        if election.term and self.term is None:
            self._begin_term()
        self._jobs.pause_s = LEADER_READ_PAUSE_S if self.term else READ_PAUSE_S
        if self.term is None:
            return
        beat = election.beat(
            self.term.largest_capacity(),
            now,
            lambda: self.term.load(now),
            self.term.copied_at(now),
        )
        self._append_leader(beat)
        self.term.step(now)
        if self.term.end_reason:
            election.step_down(now)
            return
        preempted = election.preempted_live_leader
        if preempted and self.term.reaches_few_hosts(now):
            self._release_term(now)

    def _release_term(self, now: float) -> None:
        """Release the term, as another daemon may reach more hosts."""
        self.term.stop("few hosts answer this daemon")
        self._append_leader(self.election.release_term(now))

    def _begin_term(self) -> None:
        number = self.election.term
        logger.bind(
            event="term.begun",
            term=number,
            cores=self.election.cores,
            strongest=self.election.strongest,
            silent_ms=int(self.election.silence_before_claim_s * 1000),
        ).info("elected leader")
        self.term = terms.Term(
            context=takeovers.TermContext(
                platform=self._platform,
                calls=self._calls,
                clock=self._clock,
                unix_ms=self._unix_ms,
                registry=self.job_service.registry,
                catalog=lambda: self.job_service.catalog,
                waves=lambda: list(self._waves.values()),
                jobs_offset=lambda: self._jobs.offset,
                election=self.election,
                order_pause_s=self._order_pause_s,
                retention_s=self._retention_s,
                partitions=self._partitions,
                max_record_bytes=self._max_record_bytes,
                learned_durations=self._learned_durations,
            ),
            number=number,
        )

    def _log_claim(self) -> None:
        election = self.election
        logger.bind(
            event="election.claim",
            cores=election.cores,
            leader=election.leader,
            leader_cores=election.leader_cores,
            strongest=election.strongest,
        ).info("claiming the term")

    def _append_leader(self, wanted: events.Append | None) -> None:
        if wanted is None:
            return
        data = election_records.encode(wanted.entry)
        call = self._platform.append_at(pages.Topic.LEADER, data, wanted.at)
        self._calls.submit(
            call, lambda reply: self._on_leader_append(wanted, reply)
        )

    def _resign_again(
        self, wanted: events.Append, result: appender.Result
    ) -> None:
        """Repeat a resignation that is not stored.

        A late beat may have taken its offset, or its call may be lost. An
        earlier call may also have stored it before ``at``, so that it is sent
        only once the records before that offset have been read.
        """
        if not self.election.resigning:
            return
        if not isinstance(wanted.entry, election_records.Resign):
            return
        match result:
            case appender.Conflict(end=end):
                self._unstored_resignation = events.Append(
                    entry=wanted.entry, at=end
                )
                self._resign_at = self._clock()
            case appender.NotDone() | appender.Unknown():
                self._unstored_resignation = wanted
                self._resign_at = self._clock() + RESIGN_RETRY_S

    def _resign_if_due(self, wanted: events.Append, now: float) -> None:
        """Send a resignation again that may not be stored."""
        if now < self._resign_at or self.election.end < wanted.at:
            return
        self._unstored_resignation = None
        if self.election.resigning:
            again = events.Append(entry=wanted.entry, at=self.election.end)
            self._append_leader(again)

    def _on_leader_append(
        self, wanted: events.Append, reply: exchanges.Reply
    ) -> None:
        match self._platform.append_result(reply):
            case appender.Appended(offset=offset):
                event = events.Stored(
                    offset=offset, entry=wanted.entry, began_at=reply.sent_at
                )
            case result:
                logger.bind(
                    event="election.append",
                    entry=type(wanted.entry).__name__.lower(),
                    at=wanted.at,
                ).info("election record not appended: {}", result)
                event = events.AppendFailed(entry=wanted.entry)
                self._resign_again(wanted, result)
        self._append_leader(self.election.step(event, self._clock()))


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
