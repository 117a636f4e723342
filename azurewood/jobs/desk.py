"""The desk: what a daemon answers callers about jobs.

A job is accepted once its record is stored. A refusal is final: the record
was never sent, so the job never runs. What may be stored is never refused.
"""

from collections import abc
import concurrent.futures
import dataclasses
import typing

from loguru import logger

from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import registry
from azurewood.journal import appender

MAX_READ_AGE_S: typing.Final = 2.5
"""Age of the newest reading of the jobs up to which an unknown id is taken
for one that does not exist: a read's own wait of 1 s and one repetition."""
SEND_TIMEOUT_S: typing.Final = 1.5
"""How long a record may wait to be sent before it is refused: half of a
caller's usual patience, and three appends of the slowest store."""
SEND_TIMEOUT_STORE_LOST_S: typing.Final = 0.6
"""The same while the store is not read either, so that the caller soon
tries another daemon."""
RETRY_AFTER_S: typing.Final = 1


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Taken:
    """The wish is stored."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class NotThere:
    """No such job exists."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Refused:
    """The wish was not taken and never will be. ``busy``: too many jobs."""

    reason: str
    retry_after_s: int = RETRY_AFTER_S
    busy: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class OutcomeUnknown:
    """The wish may have been stored, or may be later."""

    reason: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class JobStatus:
    """A job's phase."""

    phase: model.Phase


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class StatusUnknown:
    """This daemon cannot say whether the job exists."""

    retry_after_s: int = RETRY_AFTER_S


Verdict = Taken | NotThere | Refused | OutcomeUnknown


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class WriteRequest:
    """A record to store, and the future of its verdict."""

    record: records.Record
    future: concurrent.futures.Future
    asked_at: float


class JobService:
    """Answers callers from the register; stores their wishes.

    ``submit`` and ``cancel`` block the caller's thread; ``wishes`` hands
    each wish to the loop that owns the appender.
    """

    __slots__ = (
        "_clock",
        "_wishes",
        "admission",
        "catalog",
        "fresh_at",
        "loaded",
        "registry",
        "stopping",
    )

    def __init__(
        self,
        *,
        clock: abc.Callable[[], float],
        enqueue: abc.Callable[[WriteRequest], None],
        admission: abc.Callable[[model.Job], Refused | None],
    ) -> None:
        self._clock = clock
        self._wishes = enqueue
        self.admission = admission
        self.registry = registry.JobRegistry()
        self.catalog: catalog.Catalog | None = None
        self.fresh_at = 0.0
        self.loaded = False
        self.stopping = False

    def ready(self) -> bool:
        """Return whether new callers should come to this daemon."""
        return not self.stopping and self.catalog is not None and self._fresh()

    def _fresh(self) -> bool:
        return self.loaded and self._clock() - self.fresh_at < MAX_READ_AGE_S

    def waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return max(0, self.registry.waiting.get(queue, 0))

    def show(self, job_id: str) -> JobStatus | NotThere | StatusUnknown:
        """Return what is known of a job."""
        entry = self.registry.entries.get(job_id)
        if entry is not None:
            return JobStatus(phase=entry.phase)
        return NotThere() if self._fresh() else StatusUnknown()

    def submit(self, job: model.Job, *, timeout_s: float) -> Verdict:
        """Store a job; wait for at most ``until`` seconds."""
        if job.id in self.registry.entries:
            return Taken()
        if not self._fresh():
            return self._refuse(job.id, Refused(reason="store out of touch"))
        refused = self.admission(job)
        if refused is not None:
            return self._refuse(job.id, refused)
        return self._store(job.id, records.Accepted(job=job), timeout_s)

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
        """Store a job's cancellation; wait for at most ``until`` s."""
        entry = self.registry.entries.get(job_id)
        if entry is None:
            if self._fresh():
                return NotThere()
            return Refused(reason="not in touch with the store")
        if entry.phase.final:
            return Taken()
        return self._store(job_id, records.Cancelled(id=job_id), timeout_s)

    def _store(
        self, job_id: str, record: records.Record, timeout_s: float
    ) -> Verdict:
        began_at = self._clock()
        fut: concurrent.futures.Future = concurrent.futures.Future()
        self._wishes(
            WriteRequest(record=record, future=fut, asked_at=began_at)
        )
        try:
            verdict = fut.result(timeout=timeout_s)
        except concurrent.futures.TimeoutError:
            verdict = OutcomeUnknown(reason="the store has not answered")
        logger.bind(
            event=type(record).__name__.lower(),
            job=job_id,
            verdict=type(verdict).__name__,
            took_ms=int((self._clock() - began_at) * 1000),
        ).info("job stored" if verdict == Taken() else "job not stored")
        return verdict


def item(request: WriteRequest) -> appender.Item:
    """Return the records that store a wish."""
    record = appender.Record(
        key=request.record.key, value=records.encode(request.record)
    )
    return appender.Item(records=(record,), token=request)
