"""Model of a job: its steps, each with a number of equal tasks."""

from collections import abc
import enum
import typing

import msgspec

MAX_TASKS: typing.Final = 20000
"""Maximum number of tasks over all occurrences of one job. It limits the
memory that a job takes in a daemon."""


class Phase(enum.Enum):
    """The phase of a job as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether a job never leaves this phase."""
        return self not in (Phase.PENDING, Phase.RUNNING)


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of resources: thousandths of a core, MB and GPUs."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def compact(self) -> str:
        """Return the amounts as ``CPU/MB/GPUS``, for logs and reports."""
        return f"{self.cpu}/{self.memory_mb}/{self.gpu}"

    def fits(self, free: "Resources") -> bool:
        """Return whether this amount fits into ``free``."""
        return (
            self.cpu <= free.cpu
            and self.memory_mb <= free.memory_mb
            and self.gpu <= free.gpu
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def times(self, count: int) -> "Resources":
        """Return ``count`` times this amount."""
        return Resources(
            self.cpu * count, self.memory_mb * count, self.gpu * count
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; single resources may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )


def largest_of_each(amounts: abc.Iterable[Resources]) -> Resources:
    """Return the largest value of each resource among several amounts."""
    amounts = list(amounts)
    return Resources(
        max((amount.cpu for amount in amounts), default=0),
        max((amount.memory_mb for amount in amounts), default=0),
        max((amount.gpu for amount in amounts), default=0),
    )


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a job: ``count`` equal tasks.

    ``after`` holds the indexes of earlier steps that must be done first.
    ``per_host`` is the maximum number of the step's tasks on one host, 0 for
    no limit. ``long_lived`` tasks run until the job is cancelled.
    ``background`` tasks use the processor time that other tasks leave idle.
    ``may_be_away`` is how many tasks of a long-lived step the system may
    have stopped at the same time.
    """

    count: int
    needs: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_host: int = 0
    speculative: bool = False
    long_lived: bool = msgspec.field(default=False, name="lasting")
    image: str = ""
    latency_target_ms: int = 0
    background: bool = False
    may_be_away: int = 0

    @property
    def reserved(self) -> Resources:
        """The resources that a task of the step reserves on a host."""
        if self.background:
            return Resources(0, self.needs.memory_mb, self.needs.gpu)
        return self.needs


class Schedule(msgspec.Struct, frozen=True, kw_only=True):
    """A repetition of the steps: ``count`` occurrences from ``first_ms`` on.

    ``first_ms`` is in Unix milliseconds.
    """

    count: int
    first_ms: int
    interval_ms: int


class Job(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as its caller described it, with its queue and service.

    ``payload`` is passed to the hosts unchanged. ``service`` is the queue's
    service at the time when the job was accepted. ``account`` is the name of
    the client account that submitted it, empty for a call without a key.
    """

    id: str
    queue: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None
    accepted_ms: int = 0
    priority: int = 0
    attempts: int = 1
    objective_factor: float = 1.0
    objective_ms: int = 0
    account: str = ""

    def without_work(self) -> "Job":
        """Return what stays of a job that has ended: no payload, no steps.

        Valid jobs have steps, so a job without any is a reduced one.
        """
        return Job(
            id=self.id,
            queue=self.queue,
            service=self.service,
            payload="",
            steps=(),
            accepted_ms=self.accepted_ms,
            account=self.account,
        )

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return self.schedule.count if self.schedule else 1

    @property
    def long_lived(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.long_lived for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return the earliest start of an occurrence in Unix ms."""
        if self.schedule is None:
            return 0
        return self.schedule.first_ms + occurrence * self.schedule.interval_ms

    def critical_path_ms(self) -> int:
        """Return the estimated length of the longest chain of steps in ms."""
        return self.chain_ms([step.estimate_ms for step in self.steps])

    def chain_ms(self, durations_ms: abc.Sequence[int]) -> int:
        """Return the length of the longest chain of steps in ms.

        ``durations_ms`` has the duration of each step.
        """
        ends: list[int] = []
        for step, duration_ms in zip(self.steps, durations_ms, strict=True):
            begin = max((ends[i] for i in step.after), default=0)
            ends.append(begin + duration_ms)
        return max(ends, default=0)

    def objective_length_ms(self, durations_ms: abc.Sequence[int]) -> float:
        """Return the time that a job may take, by its steps' durations."""
        chain_ms = self.chain_ms(durations_ms)
        return self.objective_factor * chain_ms + self.objective_ms

    def objective_at_ms(self) -> float:
        """Return the Unix ms by which the job should be done."""
        estimates_ms = [step.estimate_ms for step in self.steps]
        return self.accepted_ms + self.objective_length_ms(estimates_ms)


class TaskId(typing.NamedTuple):
    """Identifies a task of a job; all indexes start at 0."""

    job: str
    occurrence: int
    step: int
    index: int
