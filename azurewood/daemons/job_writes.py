"""Stores the job records that callers' requests ask for.

The servers' threads enqueue write requests; the daemon's thread appends their
records and completes the requests. While the leader reports slow appends,
accepted jobs go to the intake, see `azurewood.policy.intake`.
"""

import collections
from collections import abc
import concurrent.futures
import contextlib
import math
import typing

from loguru import logger

from azurewood.daemons import ports
from azurewood.daemons import topics
from azurewood.jobs import desk as desks
from azurewood.jobs import records
from azurewood.jobs import verdicts
from azurewood.jobs import write_requests
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.leadership import base as leadership
from azurewood.policy import intake as intakes

CHECK_INTERVAL_S: typing.Final = 0.05
"""Interval between two looks at the leader's report."""
MIN_FAILURES: typing.Final = 2
"""Appends that fail in a row before they count as failing. The answer of a
single one may be delayed by a listing on the same link."""
APPENDS_FAIL_S: typing.Final = 1.5
"""How long appends count as failing after the newest that did: longer than the
longest pause until a repetition. Then one job is accepted as a probe."""
LAST_USE_S: typing.Final = 2.5
"""Time after a report of slow appends in which daemons that have not read a
newer one may still store jobs in the intake."""


class JobWrites:
    """A daemon's write requests, and its writers of the jobs and the intake.

    ``partitions`` is the number of the intake's partitions. Jobs are removed
    ``retention_s`` after their end.
    """

    __slots__ = (
        "_active",
        "_check_at",
        "_copied_known_at",
        "_election",
        "_failed_at",
        "_given_up",
        "_inbox",
        "_intake",
        "_intake_used_by",
        "_job_service",
        "_jobs",
        "_offsets",
        "_send_for_s",
        "_slow_known_at",
        "_use_intake",
    )

    def __init__(
        self,
        *,
        name: str,
        nonce: str,
        platform: ports.Platform,
        calls: ports.Calls,
        clock: abc.Callable[[], float],
        job_service: desks.JobService,
        election: leadership.Election,
        partitions: int,
        retention_s: float,
    ) -> None:
        self._job_service = job_service
        # A job that ended meanwhile is not removed until long after.
        self._send_for_s = retention_s / 2
        self._given_up: collections.deque[
            tuple[float, write_requests.WriteRequest]
        ] = collections.deque()
        self._election = election
        self._inbox: collections.deque[write_requests.WriteRequest] = (
            collections.deque()
        )
        # Before this daemon began, others may have used it.
        self._intake_used_by = clock()
        self._copied_known_at = math.inf
        # Reports that were read since, also those that a newer one followed.
        self._slow_known_at = -math.inf
        self._failed_at = -math.inf
        # Of the jobs that were stored before the listing was complete.
        self._offsets: dict[str, int] = {}
        self._active: list[topics.Writer] = []
        self._check_at = 0.0
        self._use_intake = False
        self._jobs, self._intake = (
            topics.Writer(
                platform=platform,
                calls=calls,
                clock=clock,
                topic=topic,
                part=part,
                producer=f"{name}-{nonce}",
                epoch=1,
                reads_back=topic is pages.Topic.JOBS,
                renews_epoch=True,
                on_refused=_on_refused,
            )
            for topic, part in (
                (pages.Topic.JOBS, 0),
                (
                    pages.Topic.INTAKE,
                    intakes.partition_of(name, partitions),
                ),
            )
        )

    def enqueue(self, request: write_requests.WriteRequest) -> None:
        """Enqueue a caller's write request; called by any thread."""
        self._inbox.append(request)

    def note_read(self, key: str) -> None:
        """Confirm the request whose record was read among the jobs."""
        self._jobs.note_read(key)

    def step(self, now: float, *, store_lost: bool) -> None:
        """Make due appends and refuse requests that waited for too long.

        ``store_lost`` is whether reads of the store fail too.
        """
        if now >= self._check_at:
            self._check_at = now + CHECK_INTERVAL_S
            self._use_intake = self._should_use_intake(now)
        if self._inbox or self._use_intake:
            self._send()
        for writer in self._active:
            self._refuse_late(writer, now, store_lost=store_lost)
            self._give_up(writer, now)
            writer.step(now)
            if writer.failures >= MIN_FAILURES:
                self._failed_at = now
        self._job_service.appends_fail = now < self._failed_at + APPENDS_FAIL_S
        self._close_given_up(now)
        if self._active:
            self._active = [w for w in self._active if not w.idle]

    def _send(self) -> None:
        if self._use_intake:
            for item in self._jobs.withdraw(_is_accepted):
                _log_withdrawn(item, "moved to the intake")
                self._add(item.token.request)
        while self._inbox:
            self._add(self._inbox.popleft())

    def _should_use_intake(self, now: float) -> bool:
        """Return whether accepted jobs go to the intake, and note it."""
        silent_s = self._election.leader_silent_s(now)
        slow = intakes.use_intake(
            self._election.leader_append_s, silent_s, in_use=self._use_intake
        )
        if slow != self._use_intake:
            self._switch(slow=slow, silent_s=silent_s)
        if slow or self._election.slow_reported_at > self._slow_known_at:
            self._slow_known_at = self._election.slow_reported_at
            self._intake_used_by = now + LAST_USE_S
            self._copied_known_at = math.inf
            self._job_service.complete = False
        elif not self._job_service.complete:
            self._job_service.complete = self._knows_all(now)
        return slow

    @property
    def awaits_read(self) -> bool:
        """Whether a read of the jobs would show all from the intake."""
        return not self._job_service.complete and math.isfinite(
            self._copied_known_at
        )

    def _knows_all(self, now: float) -> bool:
        """Return whether the jobs read here include all from the intake."""
        copied_at = self._election.copied_at
        if copied_at >= self._intake_used_by:
            self._copied_known_at = min(self._copied_known_at, now)
        return intakes.knows_all(
            used_by=self._intake_used_by,
            copied_at=copied_at,
            copied_known_at=self._copied_known_at,
            read_at=self._job_service.fresh_at,
        )

    def _switch(self, *, slow: bool, silent_s: float) -> None:
        logger.bind(
            event="intake.used" if slow else "intake.left",
            append_ms=int(self._election.leader_append_s * 1000),
            reported_ms_ago=int(silent_s * 1000),
        ).info("accepted jobs go to the intake: {}", slow)
        self._jobs.set_slow(slow)
        self._intake.set_slow(slow)

    def _add(self, request: write_requests.WriteRequest) -> None:
        item = write_requests.append_item(request)
        writer = self._jobs
        accepted = isinstance(request.record, records.Accepted)
        if self._use_intake and accepted:
            writer = self._intake
        direct = writer is self._jobs
        confirm = _ConfirmWrite(
            request=request,
            on_stored=lambda offset: self._note_unread(
                request, offset, direct
            ),
        )
        writer.add_item(appender.Item(records=item.records, token=confirm))
        if writer not in self._active:
            self._active.append(writer)

    def _note_unread(
        self, request: write_requests.WriteRequest, offset: int, direct: bool
    ) -> None:
        service = self._job_service
        match request.record:
            case records.Accepted(job=job):
                if job.id in service.registry.entries:
                    return
                service.unread[job.id] = job
                if direct and not service.loaded:
                    self._offsets[job.id] = offset

    def note_listed(self, end: int) -> None:
        """Forget the jobs stored before ``end`` that the listing lacks.

        They had ended before, and were removed after their retention time.
        """
        service = self._job_service
        for job_id, offset in self._offsets.items():
            if offset < end and job_id not in service.registry.entries:
                service.unread.pop(job_id, None)
        self._offsets.clear()

    def _refuse_late(
        self, writer: topics.Writer, now: float, *, store_lost: bool
    ) -> None:
        """Answer requests whose records waited too long to be sent.

        They are refused, unless the same job may be stored by way of another
        daemon, in the intake or among the jobs that are not read yet: a
        refusal says that it never runs.
        """
        asked_before = now - (
            desks.SEND_TIMEOUT_STORE_LOST_S
            if store_lost
            else desks.SEND_TIMEOUT_S
        )
        verdict = verdicts.Refused(reason="store out of touch")
        service = self._job_service
        if not self._is_copied_by_time(now) or not service.caught_up:
            verdict = verdicts.OutcomeUnknown(reason="the store is slow")
        for item in writer.withdraw(
            lambda item: item.token.request.asked_at < asked_before
        ):
            _log_withdrawn(item, writer.last_error or "waited for its turn")
            _complete(item.token.request, verdict)

    def _is_copied_by_time(self, now: float) -> bool:
        """Return whether a leader has had time to copy the intake's jobs.

        A refusal that waited for proof would be an unknown outcome for as
        long as appends fail now and then.
        """
        if self._job_service.complete:
            return True
        silent_s = self._election.leader_silent_s(now)
        return now >= self._intake_used_by and silent_s <= LAST_USE_S

    def _give_up(self, writer: topics.Writer, now: float) -> None:
        """Send records no longer whose outcome has not become known.

        Their jobs may have been handed in elsewhere, ended and been removed.
        """
        asked_before = now - self._send_for_s
        for item in writer.give_up(
            lambda item: item.token.request.asked_at < asked_before
        ):
            _log_given_up(item, writer.last_error)
            close_at = now + appender.MAX_DELAY_S
            self._given_up.append((close_at, item.token.request))

    def _close_given_up(self, now: float) -> None:
        """Complete the requests that can't be carried out late any more."""
        while self._given_up and self._given_up[0][0] <= now:
            _, request = self._given_up.popleft()
            _complete(request, verdicts.OutcomeUnknown(reason="given up"))


class _ConfirmWrite:
    """Callback that completes a write request once it is stored."""

    __slots__ = ("_on_stored", "request")

    def __init__(
        self,
        *,
        request: write_requests.WriteRequest,
        on_stored: abc.Callable[[int], None],
    ) -> None:
        self.request = request
        self._on_stored = on_stored

    def __call__(self, offset: int) -> None:
        self._on_stored(offset)
        _complete(self.request, verdicts.Taken(offset=offset))


def _log_withdrawn(item: appender.Item, reason: str) -> None:
    """Log that a record is certainly not stored, and how often it was sent."""
    _bind("job.withdrawn", item, reason).info(
        "a record that is not stored is withdrawn"
    )


def _log_given_up(item: appender.Item, reason: str) -> None:
    """Log that a record whose outcome is not known is sent no longer."""
    _bind("job.given_up", item, reason).warning(
        "a record that may be stored is not sent again"
    )


def _bind(event: str, item: appender.Item, reason: str) -> typing.Any:
    """Return a logger with the fields of a record that leaves its queue."""
    (record,) = item.records
    return logger.bind(
        event=event,
        job=records.job_of(record.key),
        sends=item.sends,
        reason=reason,
    )


def _is_accepted(item: appender.Item) -> bool:
    return isinstance(item.token.request.record, records.Accepted)


def _on_refused(item: appender.Item, reason: str) -> None:
    _complete(item.token.request, verdicts.TooLarge(reason=reason))


def _complete(
    request: write_requests.WriteRequest, verdict: verdicts.Verdict
) -> None:
    # The caller's thread may have timed out and cancelled the future.
    with contextlib.suppress(concurrent.futures.InvalidStateError):
        request.future.set_result(verdict)
