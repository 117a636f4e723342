"""The job service: submits, cancels and shows jobs for callers.

A job is accepted once its record is stored. A refusal is final: the record
was never sent, so the job never runs. A job whose record may have been
stored is never refused.
"""

from collections import abc
import concurrent.futures
import math
import typing

from loguru import logger

from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.jobs import read_waits
from azurewood.jobs import records
from azurewood.jobs import registry
from azurewood.jobs import verdicts
from azurewood.jobs import write_requests
from azurewood.journal import appender

MAX_READ_AGE_S: typing.Final = 2.5
"""Maximum age of the newest read of the jobs for which an unknown id counts as
a job that does not exist. It covers a read held open for 1 s and a retry."""
MAX_CATALOG_AGE_S: typing.Final = 2.5
"""Maximum age of the newest read of the configuration for which keys are
accepted. A removed key has to be refused 3 s after its removal is stored."""
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
MAX_READ_WAIT_S: typing.Final = 2.0
"""Longest time that a caller waits for a read of the jobs."""
REFUSAL_READ_WAIT_S: typing.Final = 0.5
"""The same before a job is refused for load. Without a read it is accepted."""


_RequestKey = tuple[type[records.Record], str]
"""What tells requests apart: the kind of their record, and their job."""


class JobService:
    """Answers callers from the job registry and stores their requests.

    ``submit`` and ``cancel`` block the calling thread. ``enqueue`` passes
    each write request to the loop that owns the appender. ``admission``
    returns a refusal for jobs that must not be accepted. ``unread`` has,
    by id, the jobs that this daemon stored, perhaps in the intake, and has
    not read among the jobs yet. ``complete`` is false while the intake may
    have jobs that are not among the jobs read here: until a leader has told
    that they are copied, after this daemon began and after each use.
    ``reads_fail`` is whether the newest read of the jobs failed. Versions of
    the catalog stored before ``catalog_fresh_at`` have been read. The store
    takes records of ``max_record_bytes`` at most.

    To a call whose account may not see a job, the job does not exist, except
    that its id cannot be used again.

    A cancellation of a job that is not known is answered once the records
    that were stored before it have been read, as the job may be among them.

    Each record is stored by one request at a time, whose verdict all callers
    get that ask for it meanwhile. None is refused whose record may be stored
    by an earlier request.

    Until ``caught_up``, when this daemon has listed the jobs and read what
    followed, it accepts jobs if the operators' topic was read to its end at
    ``catalog_fresh_at``, a moment ago, and ``appends_fail`` is false. Unknown
    ids are not denied meanwhile. The record of a job that was accepted before
    may then be stored once more; `azurewood.daemons.finished_jobs` tells why
    it stays one job.
    """

    __slots__ = (
        "_clock",
        "_enqueue",
        "_open",
        "admission",
        "appends_fail",
        "catalog",
        "catalog_fresh_at",
        "caught_up",
        "complete",
        "fresh_at",
        "loaded",
        "max_record_bytes",
        "read_waits",
        "reads_fail",
        "registry",
        "stopping",
        "unread",
    )

    def __init__(
        self,
        *,
        clock: abc.Callable[[], float],
        enqueue: abc.Callable[[write_requests.WriteRequest], None],
        admission: abc.Callable[[model.Job], verdicts.Refused | None],
        max_record_bytes: int = appender.MAX_RECORD_BYTES,
    ) -> None:
        self.max_record_bytes = max_record_bytes
        self._clock = clock
        self._enqueue = enqueue
        self._open: dict[_RequestKey, write_requests.WriteRequest] = {}
        self.read_waits = read_waits.ReadWaits(clock=clock)
        self.admission = admission
        self.registry = registry.JobRegistry()
        self.catalog: catalog.Catalog | None = None
        self.catalog_fresh_at = -math.inf
        self.fresh_at = 0.0
        self.loaded = False
        self.caught_up = False
        self.appends_fail = False
        self.reads_fail = False
        self.complete = False
        self.unread: dict[str, model.Job] = {}
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
        return self._clock() - self.catalog_fresh_at < MAX_CONFIG_READ_AGE_S

    def _is_fresh(self) -> bool:
        return self.loaded and self._clock() - self.fresh_at < MAX_READ_AGE_S

    def has_fresh_catalog(self) -> bool:
        """Return whether the catalog is new enough to accept keys."""
        age_s = self._clock() - self.catalog_fresh_at
        return age_s < MAX_CATALOG_AGE_S

    def waiting(self, queue: str) -> int | None:
        """Return the number of jobs of a queue that have not begun.

        Return None if the jobs are not listed yet.
        """
        if not self.loaded:
            return None
        return max(0, self.registry.waiting.get(queue, 0))

    def show(
        self, job_id: str, account: str = ""
    ) -> verdicts.JobStatus | verdicts.NotThere | verdicts.StatusUnknown:
        """Return the status of a job, as far as this daemon knows it.

        ``account`` is the name of the caller's account, if it has one.
        """
        if job_id in self.registry.unreadable:
            return verdicts.StatusUnknown()
        if not self._is_known(job_id, account):
            if self._is_absent(job_id, account):
                return self._deny(job_id, account)
            return verdicts.StatusUnknown()
        # Read before the entry: the loop has all entries when it sets this.
        loaded = self.loaded
        entry = self.registry.entries.get(job_id)
        if entry is None:
            # A job that was stored before may have begun or ended.
            return (
                verdicts.JobStatus(phase=model.Phase.PENDING)
                if loaded
                else verdicts.StatusUnknown()
            )
        if entry.phase.final or entry.unfinished:
            return verdicts.JobStatus(phase=entry.phase)
        return verdicts.StatusUnknown()

    def _is_absent(self, job_id: str, account: str) -> bool:
        """Return whether a job that a caller can't see here does not exist.

        While reads fail, jobs may be accepted that were not read. One whose
        own request is open may be stored, or may still be.
        """
        if not (self.complete and not self.reads_fail and self._is_fresh()):
            return False
        job = self._opened(job_id)
        return job is None or not self._grants(account, job)

    def _await_read(self, timeout_s: float) -> bool:
        """Wait until what was stored before now is read; return whether."""
        return self.read_waits.wait(timeout_s)

    def submit(self, job: model.Job, *, timeout_s: float) -> verdicts.Verdict:
        """Store a job; wait for at most ``timeout_s`` seconds."""
        known = self._job(job.id)
        if known is not None:
            return self._repeated(job, known)
        if job.id in self.registry.unreadable:
            return verdicts.OutcomeUnknown(
                reason="the job's record cannot be read"
            )
        if self._opened(job.id) is None:
            size = write_requests.record_of(records.Accepted(job=job)).size
            if size > self.max_record_bytes:
                return verdicts.TooLarge(
                    reason=f"the job takes {size} bytes, and the store"
                    f" {self.max_record_bytes} at most"
                )
            refused = self._refusal(job)
            if refused is not None and not (
                refused.busy and self._may_be_stored(job, timeout_s)
            ):
                return self._refuse(job, refused)
        known = self._job(job.id)
        if known is not None:
            return self._repeated(job, known)
        return self._store(job.id, records.Accepted(job=job), timeout_s)

    def _repeated(self, job: model.Job, known: model.Job) -> verdicts.Verdict:
        """Return the verdict on a job whose id is that of a known one."""
        granted = self._grants(job.account, known)
        return verdicts.Taken() if granted else self._log_in_use(job)

    def _opened(self, job_id: str) -> model.Job | None:
        """Return the job whose request to be stored has no verdict yet."""
        found = self._open.get((records.Accepted, job_id))
        return None if found is None else found.record.job

    def _log_in_use(self, job: model.Job) -> verdicts.IdInUse:
        logger.bind(
            event="job.id_in_use", job=job.id, account=job.account
        ).info("job refused, as its id is that of another account's job")
        return verdicts.IdInUse()

    def _refusal(self, job: model.Job) -> verdicts.Refused | None:
        """Return why a job is not to be stored, None if it is."""
        if not self._is_fresh() and not self._accepts_early():
            return verdicts.Refused(reason="store out of touch")
        return self.admission(job)

    def _may_be_stored(self, job: model.Job, timeout_s: float) -> bool:
        """Return whether another daemon may have stored a job.

        Its caller may have asked another daemon before, whose answer it did
        not get. Therefore the records that were stored before this call are
        read first.
        """
        if not self._await_read(min(timeout_s, REFUSAL_READ_WAIT_S)):
            return True
        stored = self._job(job.id) is not None
        return stored or not self._is_absent(job.id, job.account)

    def _refuse(
        self, job: model.Job, refused: verdicts.Refused
    ) -> verdicts.Refused:
        logger.bind(
            event="job.refused",
            job=job.id,
            account=job.account,
            reason=refused.reason,
            retry_after_s=refused.retry_after_s,
            **refused.details,
            read_ms_ago=int((self._clock() - self.fresh_at) * 1000),
        ).info("job refused")
        return refused

    def cancel(
        self, job_id: str, account: str = "", *, timeout_s: float
    ) -> verdicts.Verdict:
        """Store a cancellation; wait for at most ``timeout_s`` seconds.

        ``account`` is the name of the caller's account, if it has one.
        """
        until = self._clock() + timeout_s
        if not self._is_known(job_id, account):
            if not self.loaded:
                # Waiting would keep threads from those who submit jobs.
                return verdicts.Refused(reason="the jobs are not listed yet")
            if not self._await_read(min(timeout_s, MAX_READ_WAIT_S)):
                return verdicts.Refused(reason="not in touch with the store")
            if not self._is_known(job_id, account):
                return self._unknown_job(job_id, account)
        entry = self.registry.entries.get(job_id)
        if entry is not None and entry.phase.final:
            return verdicts.Taken()
        record = records.Cancelled(id=job_id)
        return self._store(job_id, record, max(0.0, until - self._clock()))

    def _job(self, job_id: str) -> model.Job | None:
        """Return a stored job, if this daemon knows it."""
        # In the order in which the loop moves a job, so that it isn't missed.
        job = self.unread.get(job_id)
        entry = self.registry.entries.get(job_id)
        return job if entry is None else entry.job

    def _is_known(self, job_id: str, account: str) -> bool:
        """Return whether a job is known that the caller's account may see."""
        job = self._job(job_id)
        return job is not None and self._grants(account, job)

    def _grants(self, account: str, job: model.Job) -> bool:
        return self.catalog is None or self.catalog.grants(account, job)

    def _unknown_job(
        self, job_id: str, account: str
    ) -> verdicts.NotThere | verdicts.Refused:
        """Return the verdict on a job that this daemon doesn't know."""
        unreadable = job_id in self.registry.unreadable
        if not unreadable and self._is_absent(job_id, account):
            return self._deny(job_id, account)
        return verdicts.Refused(reason="not in touch with the store")

    def _deny(self, job_id: str, account: str) -> verdicts.NotThere:
        """Return that a job does not exist, and log what that rests on."""
        logger.bind(
            event="job.denied",
            job=job_id,
            account=account,
            read_ms_ago=int((self._clock() - self.fresh_at) * 1000),
            jobs=len(self.registry.entries),
            unread=len(self.unread),
        ).info("an unknown job's caller is told that it does not exist")
        return verdicts.NotThere()

    def _store(
        self, job_id: str, record: records.Record, timeout_s: float
    ) -> verdicts.Verdict:
        began_at = self._clock()
        fut = self.request(job_id, record, began_at)
        try:
            verdict = fut.result(timeout=timeout_s)
        except concurrent.futures.TimeoutError:
            verdict = verdicts.OutcomeUnknown(
                reason="the store has not answered"
            )
        logger.bind(
            event=type(record).__name__.lower(),
            job=job_id,
            **_account(record),
            verdict=type(verdict).__name__,
            **verdicts.details(verdict),
            took_ms=int((self._clock() - began_at) * 1000),
        ).info(
            "job record stored"
            if verdict == verdicts.Taken()
            else "job record not confirmed as stored"
        )
        return verdict

    def request(
        self, job_id: str, record: records.Record, now: float
    ) -> concurrent.futures.Future:
        """Return the future of the verdict on a record that is to be stored.

        It is that of the open request for the record, or of a new one. While
        a job's request is open, those of other accounts for its id fail.
        """
        key = (type(record), job_id)
        req = write_requests.WriteRequest(
            record=record, future=concurrent.futures.Future(), asked_at=now
        )
        found = self._open.setdefault(key, req)
        if found is req:
            req.future.add_done_callback(lambda _: self._open.pop(key))
            self._enqueue(req)
        elif isinstance(record, records.Accepted) and not self._grants(
            record.job.account, found.record.job
        ):
            req.future.set_result(self._log_in_use(record.job))
            return req.future
        return found.future


def _account(record: records.Record) -> dict[str, str]:
    """Return the field of a job's line that names the job's account."""
    if isinstance(record, records.Accepted) and record.job.account:
        return {"account": record.job.account}
    return {}
