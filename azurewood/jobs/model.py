"""What a caller asks for: a job of steps, each of a number of tasks."""

from collections import abc
import enum
import typing

import msgspec

MAX_TASKS: typing.Final = 20000
"""Tasks of all occurrences of one job; bounds what a daemon keeps."""


class Phase(enum.Enum):
    """What a caller is shown of a job."""

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
    """Room on a host: thousandths of a core, MB, GPUs."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, room: "Resources") -> bool:
        """Return whether this much fits into ``room``."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.gpu <= room.gpu
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; a part may be below zero."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )


def largest_of_each(rooms: abc.Iterable[Resources]) -> Resources:
    """Return the most of each resource that any of some rooms has."""
    rooms = list(rooms)
    return Resources(
        max((room.cpu for room in rooms), default=0),
        max((room.memory_mb for room in rooms), default=0),
        max((room.gpu for room in rooms), default=0),
    )


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step: ``count`` like tasks.

    ``after`` has the indexes of earlier steps that must be done first.
    ``per_host`` is the most tasks of the step on one host, 0 for any
    number. ``background`` tasks take the processor time that others leave.
    ``may_be_away`` is how many tasks of a lasting step may be stopped at
    once by the system.
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
        """What a task of the step takes of a host's room."""
        if self.background:
            return Resources(0, self.needs.memory_mb, self.needs.gpu)
        return self.needs


class Schedule(msgspec.Struct, frozen=True, kw_only=True):
    """When the steps run again: ``count`` times from ``first_ms`` on.

    Times are Unix milliseconds.
    """

    count: int
    first_ms: int
    interval_ms: int


class Job(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as its caller described it, with its queue and service.

    ``payload`` is passed to the hosts unread. ``service`` is the one that
    the queue had when the job was accepted.
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

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return self.schedule.count if self.schedule else 1

    @property
    def long_lived(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.long_lived for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix ms before which an occurrence must not start."""
        if self.schedule is None:
            return 0
        return self.schedule.first_ms + occurrence * self.schedule.interval_ms

    def critical_path_ms(self) -> int:
        """Return the estimated length of the longest chain of steps."""
        ends: list[int] = []
        for step in self.steps:
            begin = max((ends[i] for i in step.after), default=0)
            ends.append(begin + step.estimate_ms)
        return max(ends, default=0)

    def objective_at_ms(self) -> float:
        """Return the Unix ms by which the job should be done."""
        length = (
            self.objective_factor * self.critical_path_ms() + self.objective_ms
        )
        return self.accepted_ms + length


class TaskId(typing.NamedTuple):
    """Which task of which job: all indexes count from 0."""

    job: str
    occurrence: int
    step: int
    index: int
