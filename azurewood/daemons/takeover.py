"""The takeover by a new leader, in these steps:

1. fence earlier leaders off the progress and jobs topics;
2. read the end offset of the jobs topic and the progress records;
3. wait until this daemon's job registry has read up to that offset;
4. begin to schedule, renewing every host's lease with the new fence.

The order ensures that the new leader sees every record that an earlier
leader stored, including those of all runs that it may have started.
"""

from collections import abc
import dataclasses
import enum
import typing

from loguru import logger

from azurewood.daemons import ports
from azurewood.daemons import topics
from azurewood.http import exchanges
from azurewood.incarnations import limits
from azurewood.jobs import catalog
from azurewood.jobs import registry
from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages
from azurewood.leadership import base as leadership
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import orders
from azurewood.scheduling import reducer

PRODUCER: typing.Final = "leader"
RETRY_S: typing.Final = 0.1
LOG_INTERVAL_S: typing.Final = 1.0
"""Pause between log lines about what a takeover waits for."""
FENCED_TOPICS: typing.Final = (pages.Topic.PROGRESS, pages.Topic.JOBS)

HOST_REPORT_WAIT_S: typing.Final = 1.5
"""Time in which hosts can report their runs before an expired lease counts. It
covers a read of the hosts' entries and a call."""


class Stage(enum.Enum):
    """The stage that a takeover has reached."""

    FENCING = enum.auto()
    READING = enum.auto()
    CATCHING_UP = enum.auto()
    DONE = enum.auto()
    FAILED = enum.auto()


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class TermContext:
    """What a daemon provides to its term."""

    platform: ports.Platform
    calls: ports.Calls
    clock: abc.Callable[[], float]
    unix_ms: abc.Callable[[], float]
    registry: registry.JobRegistry
    catalog: abc.Callable[[], catalog.Catalog | None]
    waves: abc.Callable[[], abc.Iterable[messages.WaveRequested]]
    jobs_offset: abc.Callable[[], int]
    election: leadership.Election
    order_pause_s: float
    retention_s: float
    partitions: int
    max_record_bytes: int
    learned_durations: bool = True


class Takeover:
    """Builds the scheduling state after this daemon was elected.

    ``failure`` is the reason why the takeover failed, if it did.
    """

    __slots__ = (
        "_call_pending",
        "_context",
        "_fenced",
        "_jobs_end",
        "_log_at",
        "_number",
        "_progress_read",
        "_progress_values",
        "_retry_at",
        "_waited_since",
        "_waits_for",
        "began_at",
        "failure",
        "stage",
    )

    def __init__(self, *, context: TermContext, number: int) -> None:
        self._context = context
        self._number = number
        self.stage = Stage.FENCING
        self.failure = ""
        self.began_at = context.clock()
        self._log_at = self.began_at + LOG_INTERVAL_S
        self._waits_for = ""
        self._waited_since = self.began_at
        self._retry_at = 0.0
        self._call_pending = False
        self._fenced: set[pages.Topic] = set()
        self._jobs_end = -1
        self._progress_values: dict[str, bytes] = {}
        self._progress_read = follower.Follower(
            topic=pages.Topic.PROGRESS, keyed=True, wait_ms=0, pause_s=0.0
        )

    def step(self, now: float) -> model.State | None:
        """Run one iteration; return the state once it is complete."""
        self._log_waiting(now)
        match self.stage:
            case Stage.FENCING:
                self._fence(now)
            case Stage.READING:
                self._read(now)
            case Stage.CATCHING_UP:
                return self._catch_up(now)
        return None

    def _log_waiting(self, now: float) -> None:
        """Log once a second what the takeover waits for, and how long."""
        waits_for = self._next_step()
        if waits_for != self._waits_for:
            self._waits_for = waits_for
            self._waited_since = now
        if now < self._log_at:
            return
        self._log_at = now + LOG_INTERVAL_S
        logger.bind(
            event="takeover.waiting",
            term=self._number,
            stage=self.stage.name.lower(),
            waits_for=waits_for,
            since_ms=int((now - self._waited_since) * 1000),
            begun_ms=int((now - self.began_at) * 1000),
            offset=self._context.jobs_offset(),
            end=self._jobs_end,
        ).info("the takeover is not complete")

    def _next_step(self) -> str:
        """Return what has to succeed next."""
        match self.stage:
            case Stage.FENCING:
                for topic in FENCED_TOPICS:
                    if topic not in self._fenced:
                        return f"fence {topic.value}"
            case Stage.READING if self._jobs_end < 0:
                return f"end of {pages.Topic.JOBS.value}"
            case Stage.READING:
                return f"read {pages.Topic.PROGRESS.value}"
        return f"catch up with {pages.Topic.JOBS.value}"

    def _fail(self, reason: str) -> None:
        self.stage = Stage.FAILED
        self.failure = reason

    def _fence(self, now: float) -> None:
        if self._call_pending or now < self._retry_at:
            return
        for topic in FENCED_TOPICS:
            if topic not in self._fenced:
                self._call_pending = True
                self._context.calls.submit(
                    self._context.platform.begin_epoch(
                        topic, PRODUCER, self._number
                    ),
                    lambda reply, topic=topic: self._on_fence_reply(
                        topic, reply
                    ),
                )
                return
        self.stage = Stage.READING

    def _on_fence_reply(
        self, topic: pages.Topic, reply: exchanges.Reply
    ) -> None:
        self._call_pending = False
        self._retry_at = self._context.clock() + RETRY_S
        match self._context.platform.append_result(reply):
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
                    "could not fence earlier terms; trying again: {}", reason
                )
            case appender.Conflict(reason=reason):
                logger.bind(event="term.fencing", topic=topic.value).error(
                    "store refused to fence earlier terms: {}", reason
                )

    def _read(self, now: float) -> None:
        if self._jobs_end < 0:
            self._read_jobs_end(now)
            return
        if self._progress_read.listed:
            self.stage = Stage.CATCHING_UP
            return
        topics.read(
            self._context.platform,
            self._context.calls,
            self._context.clock,
            self._progress_read,
            self._on_progress_read,
        )

    def _read_jobs_end(self, now: float) -> None:
        if self._call_pending or now < self._retry_at:
            return
        self._call_pending = True
        topic = pages.Topic.JOBS
        offset = max(0, self._context.jobs_offset())
        call = self._context.platform.read(topic, offset, 0)
        self._context.calls.submit(
            call, lambda reply: self._on_jobs_end_read(offset, reply)
        )

    def _on_jobs_end_read(self, offset: int, reply: exchanges.Reply) -> None:
        self._call_pending = False
        self._retry_at = self._context.clock() + RETRY_S
        result = self._context.platform.read_result(
            pages.Topic.JOBS, offset, reply
        )
        if isinstance(result, pages.Page):
            self._jobs_end = result.end

    def _on_progress_read(self, changes: follower.Changes) -> None:
        self._progress_values = {
            record.key: record.value
            for record in changes.records
            if record.value is not None
        }

    def _catch_up(self, now: float) -> model.State | None:
        if self._context.jobs_offset() < self._jobs_end:
            return None
        self.stage = Stage.DONE
        margin_s = max(
            orders.SEND_WITHIN_S, self._context.election.orders_wait_s(now)
        )
        known = self._context.registry
        unfinished_jobs = [
            entry.job for entry in known.entries.values() if entry.unfinished
        ]
        logger.bind(
            event="term.leading",
            term=self._number,
            jobs=len(unfinished_jobs),
            records=len(self._progress_values),
            silent_ms=int(
                self._context.election.silence_before_claim_s * 1000
            ),
            took_ms=int((now - self.began_at) * 1000),
        ).info("takeover complete; scheduling")
        return reducer.begin(
            term=self._number,
            found=unfinished_jobs,
            begun={id for id, entry in known.entries.items() if entry.begun},
            unreadable=known.unreadable,
            stored=self._progress_values,
            leases_expire_at=max(
                self._context.election.earlier_renewals_end()
                + limits.MAX_LEASE_S,
                now + HOST_REPORT_WAIT_S,
            ),
            order_pause_s=self._context.order_pause_s + margin_s,
            now=now,
            unix_ms=self._context.unix_ms(),
            read_by=self._context.election.read_by,
            max_record_bytes=self._context.max_record_bytes,
            learned_durations=self._context.learned_durations,
            known_job=known.job_of,
            stopped=known.stopped_jobs(),
        )
