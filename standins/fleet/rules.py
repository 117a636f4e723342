"""Invariants, checked against what hosts and callers observe.

Every breach is recorded with its time and place.
"""

import collections
from collections import abc
import dataclasses

from azurewood.jobs import model
from azurewood.scheduling import messages
from standins.fleet import account_rules
from standins.fleet import clock as clocks
from standins.fleet import hosts

MAX_STARTS_AFTER_CRASHES = 2
"""Starts allowed to a deadly task once three hosts crashed under it."""
CRASHES_BEFORE_COUNT = 3
MIN_CRASHES_TO_FAIL = 2
"""Crashes under a task from which its job may be given up."""
MAX_CANCEL_S = 3.5
"""Time allowed for task starts after a job's cancellation is stored."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Breach:
    """A violated rule."""

    at: float
    rule: str
    place: str

    def __str__(self) -> str:
        return f"{self.at:.3f} s: {self.rule}: {self.place}"


class Rules:
    """Checks every start and end of a run and collects ``breaches``.

    ``asked`` holds the submitted jobs, and ``ended_at`` the time at which
    the last task of each job was done. ``deadly`` has the tasks that have
    crashed a host themselves. ``accounts`` checks the limits of accounts.
    """

    __slots__ = (
        "_acknowledged",
        "_clock",
        "_crashes",
        "_done",
        "_failed",
        "_live",
        "_repeated_starts",
        "_starts_after_crashes",
        "accounts",
        "asked",
        "breaches",
        "cancelled_at",
        "deadly",
        "ended_at",
        "refused",
        "started_jobs",
        "starts",
    )

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self.breaches: list[Breach] = []
        self.accounts = account_rules.AccountRules(
            clock=clock, breach=self.breach
        )
        self.asked: dict[str, model.Job] = {}
        self.refused: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.started_jobs: set[str] = set()
        self.deadly: set[model.TaskId] = set()
        self.ended_at: dict[str, float] = {}
        self.starts = 0
        self._live: dict[model.TaskId, list[tuple[str, int]]] = (
            collections.defaultdict(list)
        )
        self._done: set[model.TaskId] = set()
        self._crashes: collections.Counter = collections.Counter()
        self._starts_after_crashes: collections.Counter = collections.Counter()
        self._acknowledged: set[model.TaskId] = set()
        self._repeated_starts: dict[model.TaskId, tuple[int, str]] = {}
        self._failed: dict[model.TaskId, set[int]] = collections.defaultdict(
            set
        )

    def breach(self, rule: str, place: str) -> None:
        """Record a violated rule."""
        self.breaches.append(
            Breach(at=self._clock.now, rule=rule, place=place)
        )

    def observe(
        self,
        what: str,
        host: hosts.SimHost,
        run: hosts.SimRun,
        how: messages.End | None = None,
    ) -> None:
        """Handle the start or the end of a run."""
        match what:
            case "start":
                self._started(host, run)
            case "crashed":
                self._crashes[run.task] += 1
                self._ended(host, run, how)
            case _:
                self._ended(host, run, how)

    def _started(self, host: hosts.SimHost, run: hosts.SimRun) -> None:
        self.starts += 1
        task = run.task
        place = f"{task} run {run.run} on {host.id}"
        self.started_jobs.add(task.job)
        job = self.asked.get(task.job)
        if job is None:
            self.breach("unasked", place)
            return
        if task.job in self.refused:
            self.breach("refused", place)
        if task in self._acknowledged:
            self.breach("started after its end was noted", place)
        if task in self._done:
            self._repeated_starts.setdefault(task, (run.run, place))
        if self._live[task]:
            self.breach("twice", f"{place} beside {self._live[task]}")
        self._live[task].append((host.id, run.run))
        self.accounts.started(job, run.step, place)
        if host.service != job.service:
            self.breach("wrong service", place)
        self._check_budget(task, place)
        self._check_room(host, place)
        self._check_order(job, task, place)
        if len(self._failed[task]) >= job.attempts and not run.step.long_lived:
            self.breach("too many attempts", place)
        cancelled = self.cancelled_at.get(task.job)
        if (
            cancelled is not None
            and self._clock.now > cancelled + MAX_CANCEL_S
        ):
            self.breach("started after its cancellation", place)

    def crashes(self) -> dict[model.TaskId, int]:
        """Return how many hosts crashed under each deadly task."""
        return {task: self._crashes[task] for task in self.deadly}

    def _check_budget(self, task: model.TaskId, place: str) -> None:
        """Check the starts of a task that has crashed hosts."""
        if (
            task not in self.deadly
            or self._crashes[task] < CRASHES_BEFORE_COUNT
        ):
            return
        self._starts_after_crashes[task] += 1
        if self._starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
            self.breach("started again after three crashes", place)

    def _check_room(self, host: hosts.SimHost, place: str) -> None:
        used = model.Resources()
        for run in host.runs.values():
            used = used.plus(run.step.reserved)
        if not host.has_room_for(used):
            self.breach("room exceeded", f"{place}: {used} of {host.capacity}")

    def _check_order(
        self, job: model.Job, task: model.TaskId, place: str
    ) -> None:
        for earlier in self.missing_before(job, task):
            self.breach("order", f"{place} before {earlier}")
            return

    def missing_before(
        self, job: model.Job, task: model.TaskId
    ) -> abc.Iterator[model.TaskId]:
        """Yield the tasks that must be done before a task and aren't."""
        for before in job.steps[task.step].after:
            for index in range(job.steps[before].count):
                earlier = model.TaskId(job.id, task.occurrence, before, index)
                if earlier not in self._done:
                    yield earlier

    def is_done(self, task: model.TaskId) -> bool:
        """Return whether a run of a task has ended as done."""
        return task in self._done

    def is_over(self, job: model.Job) -> bool:
        """Return whether nothing of a job has to run any more."""
        return (
            job.id in self.cancelled_at
            or self._all_done(job)
            or self._has_failed(job)
        )

    def _ended(
        self,
        host: hosts.SimHost,
        run: hosts.SimRun,
        how: messages.End | None,
    ) -> None:
        live = self._live[run.task]
        if (host.id, run.run) in live:
            live.remove((host.id, run.run))
            self.accounts.ended(self.asked[run.task.job], run.step)
        if how is messages.End.DONE and not run.step.long_lived:
            self._done.update(represented(run.task, run.step))
            self._record_job_end(run.task.job)
        if how is messages.End.FAILED:
            for task in represented(run.task, run.step):
                self._failed[task].add(run.run)

    def _record_job_end(self, job_id: str) -> None:
        """Record the time if the last task of a job is done."""
        job = self.asked.get(job_id)
        if job is not None and self._all_done(job):
            self.ended_at.setdefault(job_id, self._clock.now)

    def on_end_acknowledged(self, row: messages.EndedRow) -> None:
        """Handle an end that the leader has acknowledged to its host."""
        job = self.asked.get(row.task.job)
        if row.how is not messages.End.DONE or job is None:
            return
        step = job.steps[row.task.step]
        if step.long_lived:
            return
        self._acknowledged.update(represented(row.task, step))
        run, place = self._repeated_starts.get(row.task, (0, ""))
        if row.run < run:
            self.breach("noted after another start", place)

    def check_shown_phase(
        self, job_id: str, phase: model.Phase | None
    ) -> None:
        """Check the phase of a job that a daemon showed to a caller."""
        job = self.asked.get(job_id)
        if job is None:
            if phase is not None:
                self.breach("shown though nobody asked", job_id)
            return
        match phase:
            case model.Phase.COMPLETED if not self._all_done(job):
                self.breach("shown as completed", job_id)
            case model.Phase.CANCELLED if job_id not in self.cancelled_at:
                self.breach("shown as cancelled", job_id)
            case model.Phase.FAILED if not self._has_failed(job):
                self.breach("shown as failed", job_id)

    def _all_done(self, job: model.Job) -> bool:
        return all(task in self._done for task in tasks_of(job))

    def _has_failed(self, job: model.Job) -> bool:
        tasks = tasks_of(job)
        return any(
            len(self._failed[t]) >= job.attempts
            or self._crashes[t] >= MIN_CRASHES_TO_FAIL
            for t in tasks
        )

    def live(self, job_id: str) -> list[model.TaskId]:
        """Return the tasks of a job that are running."""
        return [
            task
            for task, runs in self._live.items()
            if runs and task.job == job_id
        ]


def tasks_of(job: model.Job) -> list[model.TaskId]:
    """Return the tasks of all occurrences of a job."""
    return [
        model.TaskId(job.id, occurrence, number, index)
        for occurrence in range(job.occurrences)
        for number, step in enumerate(job.steps)
        for index in range(step.count)
    ]


def represented(task: model.TaskId, step: model.Step) -> list[model.TaskId]:
    """Return the tasks that a task's end covers: all tasks of a gang."""
    if not step.gang:
        return [task]
    return [task._replace(index=i) for i in range(step.count)]
