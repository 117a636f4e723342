"""The job registry: a daemon's copy of the accepted jobs and their states.

Each daemon builds its copy by applying the stored records in the order of
the store, and answers callers from it.
"""

from azurewood.jobs import model
from azurewood.jobs import records


class Entry:
    """A job and its known state.

    ``job`` is the job as first read. It loses payload and steps once the
    reduced record of the ended job is read. ``stored_whole`` is whether the
    newest record of the job has them.
    """

    __slots__ = ("begun", "cancelled", "ended", "job", "stored_whole")

    def __init__(self, *, job: model.Job) -> None:
        self.job = job
        self.begun = False
        self.cancelled = False
        self.ended: model.Phase | None = None
        self.stored_whole = bool(job.steps)

    @property
    def unfinished(self) -> bool:
        """Whether the job may have to run.

        A record without steps is stored after the job's end. A listing that
        runs while the job is removed may have that record and lack the end.
        """
        return not self.phase.final and bool(self.job.steps)

    @property
    def phase(self) -> model.Phase:
        """The phase that callers see."""
        if self.ended is not None:
            return self.ended
        if self.cancelled:
            return model.Phase.CANCELLED
        return model.Phase.RUNNING if self.begun else model.Phase.PENDING


class JobRegistry:
    """All jobs by id, and the number of pending jobs of each queue.

    ``unreadable`` has the jobs with a stored record that this daemon cannot
    read, so that their state is not known here.
    """

    __slots__ = ("_records_before_job", "entries", "unreadable", "waiting")

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.waiting: dict[str, int] = {}
        self.unreadable: set[str] = set()
        self._records_before_job: dict[str, list[records.Record]] = {}

    def apply(self, record: records.Record) -> bool:
        """Apply a record; return whether it changed anything.

        A record about an unknown job is kept until the job's own record is
        read: the first listing returns records in the order of their keys,
        not in the order in which they were stored.
        """
        match record:
            case records.Accepted(job=job):
                return self._apply_accepted(job)
            case records.Cancelled(id=job_id) | records.Ended(id=job_id):
                return self._apply_end(job_id, record)
            case records.Begun(ids=ids):
                return True in [self._apply_begun(job_id) for job_id in ids]

    def job_of(self, job_id: str) -> model.Job | None:
        """Return a job by its id, also one that is over."""
        entry = self.entries.get(job_id)
        return entry.job if entry is not None else None

    def stopped_jobs(self) -> list[model.Job]:
        """Return the cancelled and failed jobs whose records still have steps.

        All runs of a completed job are over.
        """
        return [
            entry.job
            for entry in self.entries.values()
            if entry.job.steps
            and entry.phase.final
            and entry.phase is not model.Phase.COMPLETED
        ]

    def drop(self, job_id: str) -> None:
        """Remove a job whose retention time has passed."""
        self.unreadable.discard(job_id)
        entry = self.entries.pop(job_id, None)
        if entry is not None and _is_waiting(entry):
            self._add_waiting(entry, -1)

    def _apply_accepted(self, job: model.Job) -> bool:
        entry = self.entries.get(job.id)
        if entry is not None:
            entry.stored_whole = bool(job.steps)
            if entry.phase.final and not job.steps:
                entry.job = entry.job.without_work()
            return False
        entry = Entry(job=job)
        self.entries[job.id] = entry
        self._add_waiting(entry, 1)
        for record in self._records_before_job.pop(job.id, ()):
            if isinstance(record, records.Begun):
                self._apply_begun(job.id)
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
            self._add_waiting(entry, -1)
        return True

    def _apply_begun(self, job_id: str) -> bool:
        entry = self.entries.get(job_id)
        if entry is None:
            begun = records.Begun(ids=(job_id,))
            self._records_before_job.setdefault(job_id, []).append(begun)
            return False
        if entry.begun:
            return False
        if _is_waiting(entry):
            self._add_waiting(entry, -1)
        entry.begun = True
        return True

    def _add_waiting(self, entry: Entry, change: int) -> None:
        queue = entry.job.queue
        self.waiting[queue] = self.waiting.get(queue, 0) + change


def _is_waiting(entry: Entry) -> bool:
    return entry.phase is model.Phase.PENDING
