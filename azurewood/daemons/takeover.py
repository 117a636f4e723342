"""Taking over as the leader, in these steps and this order:

1. bar earlier leaders from the progress and the jobs;
2. read how far the jobs go, and the progress records;
3. wait until this daemon's register has read so far;
4. begin to schedule, holding every host with the new fence.

So nothing that an earlier leader stored is missed, and what it may have
started is on record.
"""

from collections import abc
import dataclasses
import enum
import typing

from loguru import logger

from azurewood.daemons import ports
from azurewood.daemons import topics
from azurewood.http import multiplex
from azurewood.jobs import catalog
from azurewood.jobs import register
from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages
from azurewood.leadership import base as leadership
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import orders
from azurewood.scheduling import reducer
from azurewood.scheduling import runs

PRODUCER: typing.Final = "leader"
RETRY_S: typing.Final = 0.1


ASK_HOSTS_S: typing.Final = 1.5
"""Time in which hosts are asked what they run before a lapsed lease counts:
a reading of their entries and a call."""


class Stage(enum.Enum):
    """How far a take-over has come."""

    FENCING = enum.auto()
    READING = enum.auto()
    CATCHING_UP = enum.auto()
    DONE = enum.auto()
    FAILED = enum.auto()


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Given:
    """What a term has of its daemon."""

    platform: ports.Platform
    calls: ports.Calls
    clock: abc.Callable[[], float]
    unix_ms: abc.Callable[[], float]
    register: register.Register
    catalog: abc.Callable[[], catalog.Catalog | None]
    waves: abc.Callable[[], abc.Iterable[messages.WaveRequested]]
    jobs_offset: abc.Callable[[], int]
    election: leadership.Election
    order_pause_s: float
    retention_s: float


class Takeover:
    """The way from an election to the state of a leader.

    ``failure`` says why it will not come to that.
    """

    __slots__ = (
        "_fenced",
        "_given",
        "_jobs_end",
        "_number",
        "_progress_read",
        "_retry_at",
        "_stored",
        "_waiting_calls",
        "began_at",
        "failure",
        "stage",
    )

    def __init__(self, *, given: Given, number: int) -> None:
        self._given = given
        self._number = number
        self.stage = Stage.FENCING
        self.failure = ""
        self.began_at = given.clock()
        self._retry_at = 0.0
        self._waiting_calls = False
        self._fenced: set[pages.Topic] = set()
        self._jobs_end = -1
        self._stored: dict[str, bytes] = {}
        self._progress_read = follower.Follower(
            topic=pages.Topic.PROGRESS, keyed=True, wait_ms=0, pause_s=0.0
        )

    def step(self, now: float) -> model.State | None:
        """Do what is due; return the state once all is known."""
        match self.stage:
            case Stage.FENCING:
                self._fence(now)
            case Stage.READING:
                self._read(now)
            case Stage.CATCHING_UP:
                return self._catch_up(now)
        return None

    def _fail(self, reason: str) -> None:
        self.stage = Stage.FAILED
        self.failure = reason

    def _fence(self, now: float) -> None:
        if self._waiting_calls or now < self._retry_at:
            return
        for topic in (pages.Topic.PROGRESS, pages.Topic.JOBS):
            if topic not in self._fenced:
                self._waiting_calls = True
                self._given.calls.submit(
                    self._given.platform.begin_epoch(
                        topic, PRODUCER, self._number
                    ),
                    lambda reply, topic=topic: self._took_fence(topic, reply),
                )
                return
        self.stage = Stage.READING

    def _took_fence(self, topic: pages.Topic, reply: multiplex.Reply) -> None:
        self._waiting_calls = False
        self._retry_at = self._given.clock() + RETRY_S
        match self._given.platform.append_result(reply):
            case appender.Appended():
                self._fenced.add(topic)
                self._retry_at = 0.0
            case appender.Fenced():
                self._fail("a later term has begun")
            case (
                appender.NotDone(reason=reason)
                | appender.Unknown(reason=reason)
            ):
                logger.bind(event="term.fencing", topic=topic.value).warning(
                    "the store did not take the term: {}", reason
                )
            case appender.Conflict(reason=reason):
                logger.bind(event="term.fencing", topic=topic.value).error(
                    "the store refused the term: {}", reason
                )

    def _read(self, now: float) -> None:
        if self._jobs_end < 0:
            self._read_jobs_end(now)
            return
        if self._progress_read.listed:
            self.stage = Stage.CATCHING_UP
            return
        topics.read(
            self._given.platform,
            self._given.calls,
            self._given.clock,
            self._progress_read,
            self._took_progress,
        )

    def _read_jobs_end(self, now: float) -> None:
        if self._waiting_calls or now < self._retry_at:
            return
        self._waiting_calls = True
        topic = pages.Topic.JOBS
        offset = max(0, self._given.jobs_offset())
        call = self._given.platform.read(topic, offset, 0)
        self._given.calls.submit(
            call, lambda reply: self._took_jobs_end(offset, reply)
        )

    def _took_jobs_end(self, offset: int, reply: multiplex.Reply) -> None:
        self._waiting_calls = False
        self._retry_at = self._given.clock() + RETRY_S
        result = self._given.platform.read_result(
            pages.Topic.JOBS, offset, reply
        )
        if isinstance(result, pages.Page):
            self._jobs_end = result.end

    def _took_progress(self, changes: follower.Changes) -> None:
        self._stored = {
            record.key: record.value
            for record in changes.records
            if record.value is not None
        }

    def _catch_up(self, now: float) -> model.State | None:
        if self._given.jobs_offset() < self._jobs_end:
            return None
        self.stage = Stage.DONE
        margin_s = max(
            orders.SEND_WITHIN_S, self._given.election.orders_wait_s(now)
        )
        found = [
            entry.job
            for entry in self._given.register.entries.values()
            if not entry.phase.final
        ]
        logger.bind(
            event="term.leading",
            term=self._number,
            jobs=len(found),
            records=len(self._stored),
            silent_ms=int(self._given.election.claimed_after_s * 1000),
            took_ms=int((now - self.began_at) * 1000),
        ).info("this daemon schedules")
        return reducer.begin(
            term=self._number,
            found=found,
            stored=self._stored,
            leases_expire_at=max(
                self._given.election.earlier_renewals_end() + runs.MAX_LEASE_S,
                now + ASK_HOSTS_S,
            ),
            order_pause_s=self._given.order_pause_s + margin_s,
            now=now,
        )
