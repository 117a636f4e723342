"""The job service: submits, cancels and shows jobs for callers.

A job is accepted once its record is stored. A refusal is final: the record
was never sent, so the job never runs. A job whose record may have been
stored is never refused.
"""

from collections import abc
import concurrent.futures
import dataclasses
import typing

from loguru import logger

from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.jobs import read_waits
from azurewood.jobs import records
from azurewood.jobs import registry
from azurewood.journal import appender

MAX_READ_AGE_S: typing.Final = 2.5
"""Maximum age of the newest read of the jobs for which an unknown id counts as
a job that does not exist. It covers a read held open for 1 s and a retry."""
MAX_CONFIG_READ_AGE_S: typing.Final = 1.5
"""Maximum age of the newest read of the operators' topic for which a daemon
accepts jobs that has not read all jobs. It covers two reads held open for
0.3 s, and a retry."""
SEND_TIMEOUT_S: typing.Final = 1.5
"""How long a record may wait to be sent before it is refused: half of a
caller's usual timeout, or three appends to the slowest store."""
SEND_TIMEOUT_STORE_LOST_S: typing.Final = 0.6
"""The same while reads of the store fail too, so that the caller soon tries
another daemon."""
RETRY_AFTER_S: typing.Final = 1
MAX_READ_WAIT_S: typing.Final = 2.0
"""Longest time that a caller waits for a read of the jobs."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Taken:
    """The request is stored.

    ``offset`` is that of the append that stored it, -1 if it was known from
    reading.
    """

    offset: int = dataclasses.field(default=-1, compare=False)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class NotThere:
    """No such job exists."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Refused:
    """The request is not stored and never will be.

    ``busy`` is whether too many jobs are the reason.
    """

    reason: str
    retry_after_s: int = RETRY_AFTER_S
    busy: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class OutcomeUnknown:
    """The request may be stored already, or may be stored later."""

    reason: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class JobStatus:
    """The phase of a job that this daemon knows."""

    phase: model.Phase


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class StatusUnknown:
    """This daemon cannot say whether the job exists."""

    retry_after_s: int = RETRY_AFTER_S


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class TooLarge:
    """The job's record is larger than the store takes; it never runs."""

    reason: str


Verdict = Taken | NotThere | Refused | TooLarge | OutcomeUnknown


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class WriteRequest:
    """A record to store, and the future that receives the verdict."""

    record: records.Record
    future: concurrent.futures.Future
    asked_at: float


_RequestKey = tuple[type[records.Record], str]
"""What tells requests apart: the kind of their record, and their job."""


class JobService:
    """Answers callers from the job registry and stores their requests.

    ``submit`` and ``cancel`` block the calling thread. ``enqueue`` passes
    each write request to the loop that owns the appender. ``admission``
    returns a refusal for jobs that must not be accepted. ``unread`` has
    the jobs that this daemon stored, perhaps in the intake, and has not read
    among the jobs yet. ``complete`` is false while other daemons may have
    stored jobs in the intake that are not among the jobs yet. ``reads_fail``
    is whether the newest read of the jobs failed. The store takes records of
    ``max_record_bytes`` at most.

    A cancellation of a job that is not known is answered once the records
    that were stored before it have been read, as the job may be among them.

    Each record is stored by one request at a time, whose verdict all callers
    get that ask for it meanwhile. None is refused whose record may be stored
    by an earlier request.

    Until ``caught_up``, when this daemon has listed the jobs and read what
    followed, it accepts jobs if the operators' topic was read to its end at
    ``config_read_at``, a moment ago, and ``appends_fail`` is false. Unknown
    ids are not denied meanwhile. The record of a job that was accepted before
    may then be stored once more; `azurewood.daemons.finished_jobs` tells why
    it stays one job.
    """

    __slots__ = (
        "_clock",
        "_enqueue",
        "_open",
        "_read_waits",
        "admission",
        "appends_fail",
        "catalog",
        "caught_up",
        "complete",
        "config_read_at",
        "fresh_at",
        "loaded",
        "max_record_bytes",
        "reads_fail",
        "registry",
        "stopping",
        "unread",
    )

    def __init__(
        self,
        *,
        clock: abc.Callable[[], float],
        enqueue: abc.Callable[[WriteRequest], None],
        admission: abc.Callable[[model.Job], Refused | None],
        max_record_bytes: int = appender.MAX_RECORD_BYTES,
    ) -> None:
        self.max_record_bytes = max_record_bytes
        self._clock = clock
        self._enqueue = enqueue
        self._open: dict[_RequestKey, concurrent.futures.Future] = {}
        self._read_waits = read_waits.ReadWaits()
        self.admission = admission
        self.registry = registry.JobRegistry()
        self.catalog: catalog.Catalog | None = None
        self.fresh_at = 0.0
        self.loaded = False
        self.caught_up = False
        self.config_read_at = 0.0
        self.appends_fail = False
        self.reads_fail = False
        self.complete = True
        self.unread: set[str] = set()
        self.stopping = False

    def ready(self) -> bool:
        """Return whether load balancers should send callers to this daemon."""
        return self.knows_jobs() or (
            not self.stopping and self._accepts_early()
        )

    def knows_jobs(self) -> bool:
        """Return whether this daemon knows the jobs and can serve callers.

        Only such a daemon competes for the term: one that still lists the
        jobs could not lead before it has read them.
        """
        return (
            not self.stopping and self.catalog is not None and self._is_fresh()
        )

    def note_jobs_read(self, fresh_at: float, *, listed: bool) -> None:
        """Note that the jobs stored before a time are read, if ``listed``."""
        self.fresh_at = fresh_at
        self.loaded = listed
        self.caught_up = self.caught_up or self._is_fresh()

    def _accepts_early(self) -> bool:
        """Return whether jobs are accepted though not all jobs are read."""
        if self.caught_up or self.catalog is None or self.appends_fail:
            return False
        return self._clock() - self.config_read_at < MAX_CONFIG_READ_AGE_S

    def _is_fresh(self) -> bool:
        return self.loaded and self._clock() - self.fresh_at < MAX_READ_AGE_S

    def waiting(self, queue: str) -> int | None:
        """Return the number of jobs of a queue that have not begun.

        Return None if the jobs are not listed yet.
        """
        if not self.loaded:
            return None
        return max(0, self.registry.waiting.get(queue, 0))

    def show(self, job_id: str) -> JobStatus | NotThere | StatusUnknown:
        """Return the status of a job, as far as this daemon knows it."""
        if job_id in self.registry.unreadable:
            return StatusUnknown()
        entry = self.registry.entries.get(job_id)
        if entry is not None:
            if entry.phase.final or entry.unfinished:
                return JobStatus(phase=entry.phase)
            return StatusUnknown()
        if job_id in self.unread:
            return JobStatus(phase=model.Phase.PENDING)
        return NotThere() if self._is_absent(job_id) else StatusUnknown()

    def _is_absent(self, job_id: str) -> bool:
        """Return whether a job that is not known here does not exist.

        While reads fail, jobs may be accepted that were not read. One whose
        own request is open may be stored, or may still be.
        """
        knows_all = self.complete and not self.reads_fail and self._is_fresh()
        return knows_all and not self._is_accepting(job_id)

    def waits_for_read(self, now: float) -> bool:
        """Return whether a caller waits for a read of the jobs.

        Called by the loop, which alone removes callers.
        """
        return self._read_waits.any_at(now)

    def note_read(self, fresh_at: float) -> None:
        """Note that all records stored before a time have been read.

        Called by the loop.
        """
        self._read_waits.note_read(fresh_at)

    def _await_read(self, timeout_s: float) -> bool:
        """Wait until what was stored before now is read; return whether."""
        return self._read_waits.wait(self._clock(), timeout_s)

    def submit(self, job: model.Job, *, timeout_s: float) -> Verdict:
        """Store a job; wait for at most ``timeout_s`` seconds."""
        if job.id in self.registry.entries or job.id in self.unread:
            return Taken()
        if job.id in self.registry.unreadable:
            return OutcomeUnknown(reason="the job's record cannot be read")
        if not self._is_accepting(job.id):
            size = record_of(records.Accepted(job=job)).size
            if size > self.max_record_bytes:
                return TooLarge(
                    reason=f"the job takes {size} bytes, and the store"
                    f" {self.max_record_bytes} at most"
                )
            refused = self._refusal(job)
            if refused is not None:
                return self._refuse(job.id, refused)
        return self._store(job.id, records.Accepted(job=job), timeout_s)

    def _is_accepting(self, job_id: str) -> bool:
        """Return whether a request to store a job has no verdict yet."""
        return (records.Accepted, job_id) in self._open

    def _refusal(self, job: model.Job) -> Refused | None:
        """Return why a job is not to be stored, None if it is."""
        if not self._is_fresh() and not self._accepts_early():
            return Refused(reason="store out of touch")
        return self.admission(job)

    def _refuse(self, job_id: str, refused: Refused) -> Refused:
        logger.bind(
            event="job.refused",
            job=job_id,
            reason=refused.reason,
            retry_after_s=refused.retry_after_s,
            read_ms_ago=int((self._clock() - self.fresh_at) * 1000),
        ).info("job refused")
        return refused

    def cancel(self, job_id: str, *, timeout_s: float) -> Verdict:
        """Store a cancellation; wait for at most ``timeout_s`` seconds."""
        until = self._clock() + timeout_s
        if not self._is_known(job_id):
            if not self.loaded:
                # Waiting would keep threads from those who submit jobs.
                return Refused(reason="the jobs are not listed yet")
            if not self._await_read(min(timeout_s, MAX_READ_WAIT_S)):
                return Refused(reason="not in touch with the store")
            if not self._is_known(job_id):
                return self._unknown_job(job_id)
        entry = self.registry.entries.get(job_id)
        if entry is not None and entry.phase.final:
            return Taken()
        record = records.Cancelled(id=job_id)
        return self._store(job_id, record, max(0.0, until - self._clock()))

    def _is_known(self, job_id: str) -> bool:
        return job_id in self.registry.entries or job_id in self.unread

    def _unknown_job(self, job_id: str) -> NotThere | Refused:
        """Return the verdict on a job that this daemon doesn't know."""
        unreadable = job_id in self.registry.unreadable
        if not unreadable and self._is_absent(job_id):
            return NotThere()
        return Refused(reason="not in touch with the store")

    def _store(
        self, job_id: str, record: records.Record, timeout_s: float
    ) -> Verdict:
        began_at = self._clock()
        fut = self.request(job_id, record, began_at)
        try:
            verdict = fut.result(timeout=timeout_s)
        except concurrent.futures.TimeoutError:
            verdict = OutcomeUnknown(reason="the store has not answered")
        logger.bind(
            event=type(record).__name__.lower(),
            job=job_id,
            verdict=type(verdict).__name__,
            **_details(verdict),
            took_ms=int((self._clock() - began_at) * 1000),
        ).info(
            "job record stored"
            if verdict == Taken()
            else "job record not confirmed as stored"
        )
        return verdict

    def request(
        self, job_id: str, record: records.Record, now: float
    ) -> concurrent.futures.Future:
        """Return the future of the verdict on a record that is to be stored.

        It is that of the open request for the record, or of a new one.
        """
        key = (type(record), job_id)
        fut: concurrent.futures.Future = concurrent.futures.Future()
        found = self._open.setdefault(key, fut)
        if found is fut:
            fut.add_done_callback(lambda _: self._open.pop(key))
            self._enqueue(
                WriteRequest(record=record, future=fut, asked_at=now)
            )
        return found


def _details(verdict: Verdict) -> dict[str, typing.Any]:
    """Return the fields that a verdict adds to a job's line."""
    match verdict:
        case Taken(offset=offset):
            return {"offset": offset}
        case (
            Refused(reason=reason)
            | TooLarge(reason=reason)
            | OutcomeUnknown(reason=reason)
        ):
            return {"reason": reason}
    return {}


def append_item(request: WriteRequest) -> appender.Item:
    """Return the item that the appender stores for a write request."""
    return appender.Item(records=(record_of(request.record),), token=request)


def record_of(record: records.Record) -> appender.Record:
    """Return a job's record as the store takes it."""
    return appender.Record(key=record.key, value=records.encode(record))
