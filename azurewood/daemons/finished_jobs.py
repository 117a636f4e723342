"""Reduces and removes the records of jobs that have ended.

What a daemon lists when it starts is mostly jobs that have ended. Their
payload and steps are of no use any more, so that the leader stores the record
of such a job again without them, and deletes the record that it has begun.
Neither is done before the job's end or cancellation is stored.

A leader that is killed before leaves records that the next one reduces: it
looks through the jobs once, when its term begins, and then stores a few
records at a time.

A daemon that has not listed the jobs yet may store the record of a known job
once more, and so may a late append. The job stays one job:

- The record's key is the job's id, and the first one read counts in every
  registry. The leader stores that one again if the later one differs, for
  those that list the jobs from then on.
- An end or a cancellation has a record of its own, which a listing returns as
  well. The job is final in every registry, nothing of it starts, and the
  leader reduces its record again.
- After the job's removal, the record is that of a new job, as it is at a
  daemon that has read the removal. A removal that is stored after the record
  removes it, as the job had ended for longer than the retention time.
"""

import collections
from collections import abc
import typing

from azurewood.incarnations import limits
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import registry as registries
from azurewood.journal import appender

RUNS_END_S: typing.Final = limits.MAX_START_DELAY_S + 3.0
"""How long runs of a failed or cancelled job may go on: a start may be carried
out late, and is then stopped. A new leader that finds one of them knows the
resources that it uses from the job's steps."""
BATCH: typing.Final = 20
"""Records that are reduced in one step of the leader: 400 a second."""

Append = abc.Callable[[tuple[appender.Record, ...], None], None]


class FinishedJobs:
    """The jobs whose records are restored, reduced or removed in one term.

    ``append`` stores records among the jobs, in the order of its calls. Jobs
    are removed ``retention_s`` after their end was read.
    """

    __slots__ = (
        "_append",
        "_registry",
        "_removals",
        "_removing",
        "_retention_s",
        "_whole",
    )

    def __init__(
        self,
        *,
        registry: registries.JobRegistry,
        retention_s: float,
        append: Append,
    ) -> None:
        self._registry = registry
        self._retention_s = retention_s
        self._append = append
        self._whole: collections.deque[tuple[float, str]] = collections.deque()
        self._removals: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._removing: set[str] = set()

    def add(self, job_id: str, now: float) -> None:
        """Add a job whose end or cancellation was read."""
        self._removals.append((now + self._retention_s, job_id))
        self.add_whole(job_id, now)

    def add_whole(self, job_id: str, now: float) -> None:
        """Add a finished job whose record may have payload and steps."""
        self._whole.append((now + RUNS_END_S, job_id))

    def handle_repeated(self, job: model.Job, now: float) -> None:
        """Handle a known job's record that is stored once more."""
        entry = self._registry.entries[job.id]
        if entry.phase.final and entry.stored_whole:
            self.add_whole(job.id, now)
        elif entry.unfinished and job != entry.job:
            self._append((_encoded(records.Accepted(job=entry.job)),), None)

    def forget(self, job_id: str) -> None:
        """Forget a job whose removal was read."""
        self._removing.discard(job_id)

    def records_of_end(
        self, end: records.Ended
    ) -> tuple[appender.Record, ...]:
        """Return the records of an end that are to be stored in one append.

        All runs of a completed job are over, so that its record is reduced at
        once.
        """
        ended = _encoded(end)
        entry = self._registry.entries.get(end.id)
        if entry is None or end.phase is not model.Phase.COMPLETED:
            return (ended,)
        return (ended, *_reduced(entry.job))

    def step(self, now: float) -> None:
        """Reduce some of the records that are due."""
        for _ in range(BATCH):
            if not self._whole or self._whole[0][0] > now:
                return
            _, job_id = self._whole.popleft()
            entry = self._registry.entries.get(job_id)
            # A record that is stored after the removal would bring it back.
            if entry is None or job_id in self._removing:
                continue
            if entry.phase.final and entry.stored_whole:
                self._append(_reduced(entry.job), None)

    def remove_expired(self, now: float) -> None:
        """Delete the records of jobs whose retention time has passed."""
        while self._removals and self._removals[0][0] <= now:
            _, job_id = self._removals.popleft()
            entry = self._registry.entries.get(job_id)
            # A job that is not final was submitted after an earlier removal.
            removed = entry is None or job_id in self._removing
            if removed or not entry.phase.final:
                continue
            self._removing.add(job_id)
            self._append(
                tuple(
                    appender.Record(key=key, value=None)
                    for key in records.keys(job_id)
                ),
                None,
            )


def _reduced(job: model.Job) -> tuple[appender.Record, ...]:
    """Return the records that replace those of a finished job."""
    return (
        _encoded(records.Accepted(job=job.without_work())),
        appender.Record(key=records.begun_key(job.id), value=None),
    )


def _encoded(record: records.Record) -> appender.Record:
    return appender.Record(key=record.key, value=records.encode(record))
