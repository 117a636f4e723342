"""The fleet daemon: callers' jobs in, and the leader's work if it leads.

One thread owns all state and makes all calls; the servers' threads hand
callers' wishes to it and wait.
"""

import collections
import concurrent.futures
import contextlib
import secrets
import threading
import time
import typing

from loguru import logger

from azurewood.conf import fleet
from azurewood.daemons import ports
from azurewood.daemons import term as terms
from azurewood.daemons import topics
from azurewood.http import multiplex
from azurewood.http import server
from azurewood.jobs import catalog
from azurewood.jobs import desk as desks
from azurewood.jobs import exceptions
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages
from azurewood.leadership import base as leadership
from azurewood.scheduling import messages

FRONT_THREADS: typing.Final = 24
"""Callers that may wait at once; each holds a thread for the store's few
milliseconds, or for as long as the store is away."""
READY_THREADS: typing.Final = 2
HTTP_TIMEOUT_S: typing.Final = 15.0
MAX_HEADER_BYTES: typing.Final = 16384
MAX_BODY_BYTES: typing.Final = 1 << 20
WAIT_MS: typing.Final = 1000
"""How long the store holds a read open: also the age at which silence of
the store is noticed, with the read's own margin."""
LEADER_WAIT_MS: typing.Final = 500
JOBS_PAUSE_S: typing.Final = 0.05
"""Pause between a follower's reads of the jobs; the leader has none."""
LEADER_PAUSE_S: typing.Final = 0.005
LOOP_S: typing.Final = 0.1
STOP_MARGIN_S: typing.Final = 1.5
"""Time kept for answers under way before the platform ends a process."""
NOTICE_S: typing.Final = 2.5
"""How long the balancer takes to send nobody any more: two checks a second
apart."""


def boot_clock() -> float:
    """Return seconds that also pass while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FleetDaemon:
    """One daemon: its reads, its writes, its election and its servers."""

    __slots__ = (
        "_calls",
        "_clock",
        "_election",
        "_inbox",
        "_jobs",
        "_leader",
        "_operators",
        "_platform",
        "_pool",
        "_servers",
        "_settings",
        "_stop_at",
        "_stopping",
        "_term",
        "_waves",
        "_writer",
        "desk",
    )

    def __init__(
        self, *, settings: fleet.FleetSettings, platform: ports.Platform
    ) -> None:
        """Listen; raise ``HttpError`` if that fails."""
        self._settings = settings
        self._platform = platform
        self._clock = boot_clock
        self._calls = multiplex.Multiplexer(clock=self._clock)
        self._inbox: collections.deque[desks.Wish] = collections.deque()
        self._stopping = threading.Event()
        self._stop_at: float | None = None
        self._term: terms.Term | None = None
        self._waves: dict[int, messages.WaveRequested] = {}
        nonce = secrets.token_hex(8)
        self._election = leadership.Election(
            name=settings.name, nonce=nonce, now=self._clock()
        )
        self.desk = desks.Desk(
            clock=self._clock, wishes=self._hand_in, admission=self._admit
        )
        self._writer = topics.Writer(
            platform=platform,
            calls=self._calls,
            clock=self._clock,
            topic=pages.Topic.JOBS,
            producer=f"{settings.name}-{nonce}",
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
        self._servers = [
            _server(
                settings.ready, platform.readiness(self.desk), READY_THREADS
            ),
            _server(settings.front, platform.callers(self.desk), FRONT_THREADS),
        ]
        self._pool = concurrent.futures.ThreadPoolExecutor(
            max_workers=len(self._servers)
        )

    def run(self) -> None:
        """Serve until `stop` is called; return when all is closed."""
        for listener in self._servers:
            self._pool.submit(_serve, listener)
        while not self._over():
            self._step(self._clock())
            self._calls.run_once(self._pause(self._clock()))
        for listener in self._servers:
            listener.stop()
        self._pool.shutdown(wait=False)

    def stop(self) -> None:
        """Begin to stop; may be called by a signal's handler."""
        self._stopping.set()
        self._calls.wake()

    def _over(self) -> bool:
        if self._stop_at is None and self._stopping.is_set():
            self._begin_stop(self._clock())
        return self._stop_at is not None and self._clock() >= self._stop_at

    def _begin_stop(self, now: float) -> None:
        """Send new callers elsewhere; give the term to another daemon."""
        notice = min(NOTICE_S, self._settings.stop_within_s - STOP_MARGIN_S)
        self._stop_at = now + notice
        self.desk.stopping = True
        logger.bind(event="daemon.stopping").info("stopping")
        if self._term is not None:
            self._term.stop("the daemon stops")
            self._term = None
        self._append_leader(self._election.resign())

    def _step(self, now: float) -> None:
        self._read_all()
        self._take_wishes(now)
        self._writer.step(now)
        self._lead(now)

    def _pause(self, now: float) -> float:
        """Return how long nothing is due, unless a call is answered."""
        due = [now + LOOP_S]
        for reader in (self._jobs, self._operators, self._leader):
            at = reader.next_at()
            if at is not None:
                due.append(at)
        if self._term is not None:
            due.append(self._term.next_at(now))
        return max(0.0, min(due) - now)

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
                    if self._term is not None:
                        self._term.take(wave)

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
        if self._term is not None:
            self._term.take(messages.CatalogChanged(catalog=found))

    def _took_jobs(self, changes: follower.Changes) -> None:
        self.desk.fresh_at = self._jobs.fresh_at
        for stored in changes.records:
            self._take_job_record(stored)
        self.desk.loaded = self._jobs.listed

    def _take_job_record(self, stored: appender.Record) -> None:
        if stored.value is None:
            self.desk.register.drop(stored.key.partition("/")[2])
            return
        try:
            record = records.decode(stored.value)
        except exceptions.InvalidRecord as exc:
            logger.bind(event="record.unreadable", key=stored.key).error(
                "a job's record is left out: {}", exc
            )
            return
        if self.desk.register.apply(record) and self._term is not None:
            self._term.take_record(record)

    def _took_leader(self, changes: follower.Changes) -> None:
        read = self._leader
        entries = tuple(
            leadership.decode(record.value or b"")
            for record in changes.records
        )
        event = leadership.Read(
            offset=read.offset - len(entries),
            entries=entries,
            end=read.offset,
            began_at=read.began_at,
        )
        self._append_leader(self._election.step(event, self._clock()))

    # Callers' wishes

    def _admit(self, job: model.Job) -> desks.Refused | None:
        return None

    def _hand_in(self, wish: desks.Wish) -> None:
        self._inbox.append(wish)
        self._calls.wake()

    def _take_wishes(self, now: float) -> None:
        while self._inbox:
            wish = self._inbox.popleft()
            item = desks.item(wish)
            self._writer.add_item(
                appender.Item(records=item.records, token=_Stored(wish=wish))
            )
        late = now - desks.UNSENT_S
        for item in self._writer.withdraw(
            lambda item: item.token.wish.asked_at < late
        ):
            _tell(item.token.wish, desks.Refused(reason="store out of touch"))

    # Leading

    def _lead(self, now: float) -> None:
        election = self._election
        if self._term is not None and self._term.number != election.term:
            self._term.stop("another daemon leads")
            self._term = None
        if election.term and self._term is None:
            self._begin_term()
        self._jobs.pause_s = LEADER_PAUSE_S if self._term else JOBS_PAUSE_S
        if self._term is None:
            return
        self._append_leader(election.beat(self._term.load(), now))
        self._term.step(now)
        if self._term.over:
            election.step_down()

    def _begin_term(self) -> None:
        number = self._election.term
        logger.bind(event="term.begun", term=number).info("elected")
        self._term = terms.Term(
            given=terms.Given(
                platform=self._platform,
                calls=self._calls,
                clock=self._clock,
                register=self.desk.register,
                catalog=lambda: self.desk.catalog,
                waves=lambda: list(self._waves.values()),
                jobs_offset=lambda: self._jobs.offset,
                election=self._election,
                order_pause_s=self._settings.turn_pause_s,
            ),
            number=number,
        )

    def _append_leader(self, wanted: leadership.Append | None) -> None:
        if wanted is None:
            return
        data = leadership.encode(wanted.entry)
        call = self._platform.append_at(
            pages.Topic.LEADER, data, wanted.at
        )
        self._calls.submit(
            call, lambda reply: self._appended_leader(wanted, reply)
        )

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
        self._election.step(event, self._clock())


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


def _server(
    address: typing.Any, application: ports.Application, threads: int
) -> typing.Any:
    return server.make(
        host=address.host,
        port=address.port,
        application=application,
        threads=threads,
        timeout_s=HTTP_TIMEOUT_S,
        max_header_bytes=MAX_HEADER_BYTES,
        max_body_bytes=MAX_BODY_BYTES,
    )


def _serve(listener: typing.Any) -> None:
    try:
        listener.serve()
    except Exception:
        logger.opt(exception=True).error("a server ended")
        raise
