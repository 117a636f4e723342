"""The state of a job that is not over: its tasks and derived counts."""

import bisect
from collections import abc
import enum
import math
import typing

from azurewood.incarnations import late_starts
from azurewood.jobs import model
from azurewood.policy import durations


PART_TASKS: typing.Final = 128
"""Tasks whose progress is stored in a common record, if the job is large."""


class TaskPhase(enum.IntEnum):
    """The phase of a task; in ``OPEN`` a run of it may exist."""

    WAITING = 0
    OPEN = 1
    DONE = 2


class HostAdvice:
    """What the advice service said of a host for a step.

    ``ticket`` is empty if the host is not approved, which holds for good. It
    is about the incarnation ``incarnation_ms`` of the host; a ticket is valid
    until ``valid_until``.
    """

    __slots__ = ("incarnation_ms", "ticket", "valid_until")

    def __init__(
        self, *, ticket: str, incarnation_ms: int, valid_until: float
    ) -> None:
        self.ticket = ticket
        self.incarnation_ms = incarnation_ms
        self.valid_until = valid_until

    def is_known(self, incarnation_ms: int, now: float) -> bool:
        """Return whether it still tells if the host is approved."""
        if self.incarnation_ms != incarnation_ms:
            return False
        return not self.ticket or now < self.valid_until


class Task:
    """A task: its latest run, its failures and the hosts to avoid.

    ``failed_run`` is the latest run that counts as a failure, 0 if none does.
    That of a gang counts once however many of its members fail.
    ``confirmed`` is whether no start of its newest run is unanswered but
    those on the record of its host.
    ``late_starts`` has its starts without an answer that may still be late.
    ``crashes`` counts the crashes of hosts for which the task is suspected
    and ``crashed_hosts`` names those hosts; ``crash`` names the incarnation
    of the latest, which this leader has found at ``crash_found_at``. A
    ``given_up`` task is not started again, and its job fails.
    """

    __slots__ = (
        "avoid",
        "confirmed",
        "crash",
        "crash_found_at",
        "crashed_hosts",
        "crashes",
        "failed_run",
        "failures",
        "given_up",
        "host",
        "host_incarnation_ms",
        "id",
        "late_starts",
        "phase",
        "run",
        "saved",
        "waits_until",
    )

    def __init__(self, *, id: model.TaskId) -> None:
        self.id = id
        self.phase = TaskPhase.WAITING
        self.run = 0
        self.failures = 0
        self.failed_run = 0
        self.crashes = 0
        self.crash = ""
        self.crash_found_at = -math.inf
        self.crashed_hosts: list[str] = []
        self.given_up = False
        self.host = ""
        self.host_incarnation_ms = 0
        self.saved = ""
        self.confirmed = False
        self.late_starts: list[late_starts.LateStart] = []
        self.avoid: set[str] = set()
        self.waits_until = 0.0


StepKey = tuple[str, int, int]
"""A step of one occurrence of a job: job id, occurrence and step number."""


def step_key(task: model.TaskId) -> StepKey:
    """Return the key that the tasks of a step and occurrence share."""
    return task[:3]


class JobState:
    """A job that is not over, and its tasks by occurrence and step.

    ``undone`` and ``waiting`` count the tasks of each step that are not done
    and that wait for a host. Phases are changed only by ``set_phase``, which
    updates these counts; values derived from them are cached until the
    counts change.
    ``accepted_ms`` and ``objective_at_ms``, by which the job should be done,
    are by the leader's clock, see ``State.clock_ms``.
    ``recorded`` is whether its progress is on record, as a task was placed,
    and ``begun`` whether a run of it is known to have started.
    ``first_run_ms`` is when this leader placed the job's first task, in Unix
    ms, or None if no task was placed or an earlier leader placed it.
    ``advice`` has what is known of the hosts for each step, by their ids.
    ``durations_ms`` has the expected duration of each step's tasks, and
    ``evidence`` what its ended tasks tell of that.

    The tasks are numbered by occurrence, step and index, and ``PART_TASKS``
    in turn are a part. ``changed_parts`` have changes that are not stored,
    ``stored_parts`` have records, and ``in_parts`` is whether these count.
    """

    __slots__ = (
        "_firsts",
        "_keys",
        "_open",
        "_remaining_ms",
        "_places",
        "_work",
        "accepted_ms",
        "added_at",
        "advice",
        "begun",
        "cancelled",
        "changed_parts",
        "closing",
        "durations_ms",
        "evidence",
        "first_run_ms",
        "in_parts",
        "job",
        "long_lived",
        "objective_at_ms",
        "part_count",
        "recorded",
        "steps",
        "stored_parts",
        "undone",
        "waiting",
    )

    def __init__(self, *, job: model.Job, now: float) -> None:
        self.job = job
        self.long_lived = job.long_lived
        self.durations_ms = [step.estimate_ms for step in job.steps]
        self.evidence: dict[int, durations.Evidence] = {}
        self.set_accepted(job.accepted_ms)
        self.added_at = now
        self.begun = False
        self.recorded = False
        self.first_run_ms: float | None = None
        self.cancelled = False
        self.closing = False
        self.steps: dict[tuple[int, int], list[Task]] = {}
        self.undone: dict[tuple[int, int], int] = {}
        self.waiting: dict[tuple[int, int], int] = {}
        self._open: list[tuple[int, int]] | None = None
        self._work: int | None = None
        self._remaining_ms: int | None = None
        self.advice: dict[tuple[int, int], dict[str, HostAdvice]] = {}
        self.in_parts = False
        self.changed_parts: set[int] = set()
        self.stored_parts: set[int] = set()
        self._places: dict[tuple[int, int], int] = {}
        self._keys: list[tuple[int, int]] = []
        self._firsts: list[int] = []
        count = 0
        for occurrence in range(job.occurrences):
            for number, step in enumerate(job.steps):
                self._add_step(occurrence, number, step)
                self._places[occurrence, number] = count
                self._keys.append((occurrence, number))
                self._firsts.append(count)
                count += step.count
        self.part_count = -(-count // PART_TASKS)

    def _add_step(
        self, occurrence: int, number: int, step: model.Step
    ) -> None:
        key = (occurrence, number)
        self.undone[key] = step.count
        self.waiting[key] = step.count
        self.steps[key] = [
            Task(id=model.TaskId(self.job.id, occurrence, number, index))
            for index in range(step.count)
        ]

    def task(self, id: model.TaskId) -> Task | None:
        """Return a task of the job, or None if it has no such task."""
        tasks = self.steps.get((id.occurrence, id.step), [])
        return tasks[id.index] if 0 <= id.index < len(tasks) else None

    def tasks(self) -> abc.Iterator[Task]:
        """Yield all tasks in the order of their places."""
        for tasks in self.steps.values():
            yield from tasks

    def tasks_of_part(self, number: int) -> list[Task]:
        """Return the tasks of a part."""
        first = number * PART_TASKS
        return list(self._tasks_between(first, first + PART_TASKS))

    def _tasks_between(self, first: int, last: int) -> abc.Iterator[Task]:
        number = max(0, bisect.bisect_right(self._firsts, first) - 1)
        for place in range(number, len(self._keys)):
            begin = self._firsts[place]
            if begin >= last:
                return
            tasks = self.steps[self._keys[place]]
            yield from tasks[max(0, first - begin) : last - begin]

    def note_changed(self, id: model.TaskId) -> None:
        """Note that the progress of a task is to be stored again."""
        place = self._places[id.occurrence, id.step] + id.index
        self.changed_parts.add(place // PART_TASKS)

    def tasks_beside(self, id: model.TaskId) -> abc.Iterator[Task]:
        """Return the other tasks of a task's step and occurrence."""
        tasks = self.steps.get((id.occurrence, id.step), [])
        return (task for task in tasks if task.id != id)

    def step_of(self, id: model.TaskId) -> model.Step:
        """Return the step of a task of the job."""
        return self.job.steps[id.step]

    def set_phase(self, task: Task, phase: TaskPhase) -> None:
        """Set a task's phase and update the counts.

        The count of undone tasks never increases.
        """
        key = (task.id.occurrence, task.id.step)
        place = self._places[key] + task.id.index
        self.changed_parts.add(place // PART_TASKS)
        self.waiting[key] -= task.phase is TaskPhase.WAITING
        self.waiting[key] += phase is TaskPhase.WAITING
        if phase is TaskPhase.DONE and task.phase is not TaskPhase.DONE:
            self.undone[key] -= 1
            self._work = None
            if not self.undone[key]:
                self._open = None
                self._remaining_ms = None
        task.phase = phase

    def open_steps(self, unix_ms: float) -> list[tuple[int, int]]:
        """Return the steps that are ready to run and not done.

        A step is ready when the steps before it are done and its occurrence
        is due.
        """
        if self._open is None:
            self._open = [
                key
                for key, left in self.undone.items()
                if left and self._ready(*key)
            ]
        if self.job.schedule is None:
            return self._open
        return [
            (occurrence, step)
            for occurrence, step in self._open
            if unix_ms >= self.job.due_ms(occurrence)
        ]

    def _ready(self, occurrence: int, step: int) -> bool:
        after = self.job.steps[step].after
        return all(self.undone[(occurrence, other)] == 0 for other in after)

    def work(self) -> int:
        """Return the expected remaining work, in milli-cores times ms."""
        if self._work is None:
            self._work = sum(
                self.job.steps[number].needs.cpu
                * self.durations_ms[number]
                * left
                for (_, number), left in self.undone.items()
            )
        return self._work

    def remaining_ms(self) -> int:
        """Return the expected length of the longest chain of undone steps.

        Only the first occurrence counts.
        """
        if self._remaining_ms is None:
            ends: list[int] = []
            for number, step in enumerate(self.job.steps):
                begin = max((ends[i] for i in step.after), default=0)
                undone = self.undone[(0, number)]
                expected_ms = self.durations_ms[number] if undone else 0
                ends.append(begin + expected_ms)
            self._remaining_ms = max(ends, default=0)
        return self._remaining_ms

    def set_accepted(self, accepted_ms: float) -> None:
        """Set when the job was accepted, and with it the objective's end."""
        self.accepted_ms = accepted_ms
        length_ms = self.job.objective_length_ms(self.durations_ms)
        self.objective_at_ms = accepted_ms + length_ms

    def set_durations(self, durations_ms: abc.Mapping[int, int]) -> None:
        """Set the expected durations of some steps by their numbers."""
        changed = False
        for number, duration_ms in durations_ms.items():
            changed |= self.durations_ms[number] != duration_ms
            self.durations_ms[number] = duration_ms
        if changed:
            self._work = None
            self._remaining_ms = None
            self.set_accepted(self.accepted_ms)

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return not any(self.undone.values())
