"""The register: every daemon's copy of the accepted jobs and their states.

It is a fold over the lasting records, in the order of the store. Any daemon
answers callers from its own copy.
"""

from azurewood.jobs import model
from azurewood.jobs import records


class Entry:
    """One job and what is known of its state."""

    __slots__ = ("begun", "cancelled", "ended", "job")

    def __init__(self, *, job: model.Job) -> None:
        self.job = job
        self.begun = False
        self.cancelled = False
        self.ended: model.Phase | None = None

    @property
    def phase(self) -> model.Phase:
        """What callers are shown."""
        if self.ended is not None:
            return self.ended
        if self.cancelled:
            return model.Phase.CANCELLED
        return model.Phase.RUNNING if self.begun else model.Phase.PENDING


class JobRegistry:
    """All jobs by id, and how many of each queue have not begun."""

    __slots__ = ("_records_before_job", "entries", "waiting")

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.waiting: dict[str, int] = {}
        self._records_before_job: dict[str, list[records.Record]] = {}

    def apply(self, record: records.Record) -> bool:
        """Take a record in; return whether it changed anything.

        A record about a job that is not known yet is kept until the job is:
        the pages of a first reading are in the order of the keys.
        """
        match record:
            case records.Accepted(job=job):
                return self._accept(job)
            case records.Cancelled(id=job_id) | records.Ended(id=job_id):
                return self._apply_end(job_id, record)
            case records.Begun(ids=ids):
                return True in [self._begin(job_id) for job_id in ids]

    def drop(self, job_id: str) -> None:
        """Forget a job whose retention is over."""
        entry = self.entries.pop(job_id, None)
        if entry is not None and _is_waiting(entry):
            self._count(entry, -1)

    def _accept(self, job: model.Job) -> bool:
        if job.id in self.entries:
            return False
        entry = Entry(job=job)
        self.entries[job.id] = entry
        self._count(entry, 1)
        for record in self._records_before_job.pop(job.id, ()):
            if isinstance(record, records.Begun):
                self._begin(job.id)
            else:
                self._apply_end(job.id, record)
        return True

    def _apply_end(
        self, job_id: str, record: records.Cancelled | records.Ended
    ) -> bool:
        entry = self.entries.get(job_id)
        if entry is None:
            self._records_before_job.setdefault(job_id, []).append(record)
            return False
        if entry.phase.final:
            return False
        waited = _is_waiting(entry)
        match record:
            case records.Ended(phase=phase):
                entry.ended = phase
            case _:
                entry.cancelled = True
        if waited:
            self._count(entry, -1)
        return True

    def _begin(self, job_id: str) -> bool:
        entry = self.entries.get(job_id)
        if entry is None:
            begun = records.Begun(ids=(job_id,))
            self._records_before_job.setdefault(job_id, []).append(begun)
            return False
        if entry.begun:
            return False
        if _is_waiting(entry):
            self._count(entry, -1)
        entry.begun = True
        return True

    def _count(self, entry: Entry, change: int) -> None:
        queue = entry.job.queue
        self.waiting[queue] = self.waiting.get(queue, 0) + change


def _is_waiting(entry: Entry) -> bool:
    return entry.phase is model.Phase.PENDING
