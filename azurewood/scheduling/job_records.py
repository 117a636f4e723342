"""Progress records of jobs: one record for a small job, parts for a large one.

A later leader needs of a task that is done only that it is done. Of a task
that has had a run and isn't done it needs the whole row. A small job has one
record, `Whole`, in the format of the first release. A large one has a record
of which only the version counts, which makes earlier releases leave the job
alone, and a `Part` for each ``PART_TASKS`` of its tasks. Only the parts with
changes are stored, so that a change costs the same however many tasks the job
has, and no record grows with the tasks that ever ran.

Each part is complete in itself: what is stored of a task is in one record.
A job stays in parts. The parts are stored before the record that names them
or with it, and those of a job with a `Whole` record don't count.
"""

from collections import abc
import typing

import msgspec

from azurewood.jobs import model
from azurewood.scheduling import jobstates

VERSION: typing.Final = 2
"""Version of the record of a job in parts; earlier releases read 1."""
PREFIX: typing.Final = "j/"
MAX_WHOLE_BYTES: typing.Final = 16384
"""Size of a job's record beyond which the job is stored in parts."""


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """When a record was written, by the log of the election.

    ``fence`` is the offset after the writer's newest election record, 0 if
    unknown. That was written ``age_ms`` before this record or later.
    """

    fence: int = 0
    age_ms: int = 0


class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """The progress of a task that has had a run.

    ``confirmed`` is whether no start of its newest run may be late but those
    that are on the record of its host.
    """

    occurrence: int
    step: int
    index: int
    phase: jobstates.TaskPhase
    run: int
    failures: int
    host: str
    host_born_ms: int
    saved: str
    crashes: int = 0
    given_up: bool = False
    crash: str = ""
    confirmed: bool = False
    failed_run: int = 0


class Whole(msgspec.Struct, frozen=True, kw_only=True, tag="job"):
    """The progress of a job: its tasks that have had a run.

    With version 2 the job is in parts, and ``tasks`` is empty.
    """

    tasks: tuple[TaskRow, ...] = ()
    stamp: Stamp = Stamp()
    version: int = 1

    @property
    def in_parts(self) -> bool:
        """Whether the job's tasks are in parts."""
        return self.version >= VERSION


class Part(msgspec.Struct, frozen=True, kw_only=True, tag="part"):
    """The progress of the tasks of a job from the ``first`` one on.

    ``done`` has a bit for each task, the lowest of the first byte for the
    first task. ``tasks`` has those that have had a run and are not done.
    """

    first: int
    done: bytes
    tasks: tuple[TaskRow, ...]
    stamp: Stamp = Stamp()
    version: int = 1


class JobRecord(typing.NamedTuple):
    """A job's record as it was read, with its parts if it is in parts."""

    whole: Whole
    parts: tuple[Part, ...] = ()


def key_of(job_id: str) -> str:
    """Return the key of a job's record."""
    return PREFIX + job_id


def part_key(job_id: str, number: int) -> str:
    """Return the key of a part of a job."""
    return f"{PREFIX}{job_id}/{number}"


def owner_of(key: str) -> str | None:
    """Return the id of the job that a key names a record of, or None."""
    if not key.startswith(PREFIX):
        return None
    return key.removeprefix(PREFIX).partition("/")[0]


def part_owner(key: str) -> str | None:
    """Return the id of the job that a key names a part of, or None."""
    owner = owner_of(key)
    return owner if owner is not None and key != key_of(owner) else None


def changed_records(
    job: jobstates.JobState, written: Stamp
) -> abc.Iterator[tuple[str, bytes]]:
    """Yield the keys and values to store for a job's changed tasks."""
    if not job.in_parts:
        rows = _rows(job.steps.values(), with_done=True)
        whole = msgspec.msgpack.encode(Whole(tasks=tuple(rows), stamp=written))
        if len(whole) <= MAX_WHOLE_BYTES:
            job.changed_parts.clear()
            yield key_of(job.job.id), whole
            return
        job.in_parts = True
        job.changed_parts.update(
            number for number in range(job.part_count) if _has_run(job, number)
        )
        yield from _changed_parts(job, written)
        whole = Whole(stamp=written, version=VERSION)
        yield key_of(job.job.id), msgspec.msgpack.encode(whole)
        return
    yield from _changed_parts(job, written)


def _changed_parts(
    job: jobstates.JobState, written: Stamp
) -> abc.Iterator[tuple[str, bytes]]:
    for number in sorted(job.changed_parts):
        job.stored_parts.add(number)
        part = _part(job, number, written)
        yield part_key(job.job.id, number), msgspec.msgpack.encode(part)
    job.changed_parts.clear()


def _has_run(job: jobstates.JobState, number: int) -> bool:
    return any(task.run for task in job.tasks_of_part(number))


def _part(job: jobstates.JobState, number: int, written: Stamp) -> Part:
    tasks = job.tasks_of_part(number)
    done = 0
    for place, task in enumerate(tasks):
        done |= (task.phase is jobstates.TaskPhase.DONE) << place
    return Part(
        first=number * jobstates.PART_TASKS,
        done=done.to_bytes((len(tasks) + 7) // 8, "little"),
        tasks=tuple(_rows([tasks], with_done=False)),
        stamp=written,
    )


def _rows(
    groups: abc.Iterable[list[jobstates.Task]], *, with_done: bool
) -> abc.Iterator[TaskRow]:
    """Yield the rows of the tasks that have had a run."""
    done = jobstates.TaskPhase.DONE
    for tasks in groups:
        for task in tasks:
            if task.run and (with_done or task.phase is not done):
                yield TaskRow(
                    task.id.occurrence,
                    task.id.step,
                    task.id.index,
                    task.phase,
                    task.run,
                    task.failures,
                    task.host,
                    task.host_incarnation_ms,
                    task.saved,
                    task.crashes,
                    task.given_up,
                    task.crash,
                    task.confirmed,
                    task.failed_run,
                )


def done_places(part: Part) -> abc.Iterator[int]:
    """Yield the places of a part's done tasks among all tasks of the job."""
    done = int.from_bytes(part.done, "little")
    place = part.first
    while done:
        if done & 1:
            yield place
        done >>= 1
        place += 1


def rows_of(record: JobRecord) -> abc.Iterator[tuple[TaskRow, Stamp]]:
    """Yield the rows of a job's tasks, with the stamps of their records."""
    for found in (record.whole, *record.parts):
        for row in found.tasks:
            yield row, found.stamp


def removed_keys(job: jobstates.JobState) -> abc.Iterator[str]:
    """Yield the keys of a job's records."""
    yield key_of(job.job.id)
    for number in job.stored_parts:
        yield part_key(job.job.id, number)


def id_of(row: TaskRow, job_id: str) -> model.TaskId:
    """Return the id of the task that a row is of."""
    return model.TaskId(job_id, row.occurrence, row.step, row.index)
