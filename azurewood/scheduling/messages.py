"""Events that the scheduler takes in, and effects that it asks for.

Times are seconds of the daemon's own clock, host clocks are milliseconds.
"""

import dataclasses
import enum
import math
import typing

from azurewood.jobs import catalog
from azurewood.jobs import model

_frozen = dataclasses.dataclass(slots=True, kw_only=True, frozen=True)


class HostState(enum.Enum):
    """Whether a host takes new tasks."""

    READY = "ready"
    DRAINING = "draining"


class End(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class MachineState(enum.Enum):
    """What a machine is doing, as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@_frozen
class HostEntry:
    """What a host says of itself in the store.

    ``born_ms`` tells apart two lives under one id. ``rack`` is one of the
    labels.
    """

    id: str
    address: str
    service: str
    zone: str
    state: HostState
    capacity: model.Resources
    labels: tuple[str, ...]
    incarnation_ms: int


@_frozen
class MachineEntry:
    """A machine in the platform's list, and the id of its host.

    ``room`` is what a host on it has, nothing if the list does not say.
    """

    name: str
    pool: str
    state: MachineState
    host: str
    zone: str
    capacity: model.Resources = model.Resources()


@_frozen
class RunningRow:
    """A run that a host lists.

    ``measure`` is the tail in ms for a task with a latency target, else the
    processor in use.
    """

    task: model.TaskId
    run: int
    saved: str
    percent: int
    measure: int


@_frozen
class EndedRow:
    """An end that a host lists under a number that rises in its life."""

    number: int
    task: model.TaskId
    run: int
    how: End
    saved: str


# Events


@_frozen
class JobAdded:
    """An accepted job was read from the store."""

    job: model.Job


@_frozen
class JobCancelled:
    """A job's cancellation was read from the store."""

    id: str


@_frozen
class JobClosed:
    """A job's end was read from the store."""

    id: str


@_frozen
class CatalogChanged:
    """A new configuration is in force."""

    catalog: catalog.Catalog


@_frozen
class HostSeen:
    """A host's entry was read."""

    entry: HostEntry


@_frozen
class HostGone:
    """A host's entry was removed."""

    id: str


@_frozen
class MachinesListed:
    """The whole list of machines, by a reading that began at the time."""

    machines: tuple[MachineEntry, ...]
    began_at: float


@_frozen
class WaveRequested:
    """Operators want the machines to have their upkeep."""

    number: int
    machines: tuple[str, ...]
    max_down: int
    finish_by_s: float


@_frozen
class LeaseRenewed:
    """A host answered a hold: its runs and its newest ends.

    ``sent_at`` is when the call was made.
    """

    host: str
    incarnation_ms: int
    clock_ms: int
    sent_at: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


class Refusal(enum.Enum):
    """Why a call to a host was not carried out."""

    FENCE = "fence"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other life"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"


@_frozen
class RenewalFailed:
    """A hold was not answered, or refused."""

    host: str
    reason: Refusal


@_frozen
class StartAnswered:
    """A start was answered; ``refusal`` is None if the run is there."""

    host: str
    task: model.TaskId
    run: int
    refusal: Refusal | None
    clock_ms: int = 0


@_frozen
class StopAnswered:
    """A stop was answered; ``refusal`` is None if it was taken."""

    host: str
    task: model.TaskId
    run: int
    refusal: Refusal | None


@_frozen
class ProgressSaved:
    """The newest progress records are stored."""


class OrderResult(enum.Enum):
    """What became of an order to a machine."""

    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@_frozen
class OrderAnswered:
    """A machine's move or upkeep was answered."""

    machine: str
    result: OrderResult


@_frozen
class Advised:
    """Hosts approved for a step, each with a ticket, until a time."""

    job: str
    occurrence: int
    step: int
    tickets: dict[str, str]
    valid_until: float


@_frozen
class Tick:
    """Time has passed; ``unix_ms`` is the time of day."""

    unix_ms: float
    may_order: bool


Event = (
    JobAdded
    | JobCancelled
    | JobClosed
    | CatalogChanged
    | HostSeen
    | HostGone
    | MachinesListed
    | WaveRequested
    | LeaseRenewed
    | RenewalFailed
    | StartAnswered
    | StopAnswered
    | ProgressSaved
    | OrderAnswered
    | Advised
    | Tick
)


# Effects


@_frozen
class StartRun:
    """Start a run; ``lease_until_ms`` is on the host's clock."""

    host: str
    address: str
    task: model.TaskId
    run: int
    payload: str
    saved: str
    lease_until_ms: int
    ticket: str = ""


@_frozen
class StopRun:
    """Stop a run, also one that has not arrived yet."""

    host: str
    address: str
    task: model.TaskId
    run: int


@_frozen
class SetRunSpeed:
    """Let a run work at a share of its speed, in percent."""

    host: str
    address: str
    task: model.TaskId
    run: int
    percent: int


@_frozen
class RenewLease:
    """Renew a host's lease, acknowledge ends, and ask for its runs.

    ``lease_until_ms`` is None while the host's clock is not known.
    """

    host: str
    address: str
    acknowledged: int
    lease_until_ms: int | None
    wait_ms: int


@_frozen
class SaveProgress:
    """Store these values by key; a value of None drops its key."""

    values: dict[str, bytes | None]


@_frozen
class JobBegun:
    """Tell all daemons that the first task of these jobs has started."""

    ids: tuple[str, ...]


@_frozen
class JobEnded:
    """Tell all daemons how a job ended."""

    id: str
    phase: model.Phase


@_frozen
class MoveMachine:
    """Move a machine to another pool; not sent after ``send_by``."""

    machine: str
    pool: str
    send_by: float = math.inf


@_frozen
class MaintainMachine:
    """Take a machine down for its upkeep; not sent after ``send_by``."""

    machine: str
    wave: int
    send_by: float = math.inf


@_frozen
class ReadMachines:
    """Read the platform's list of machines."""


@_frozen
class ReportWave:
    """Tell the operators how far a wave is."""

    number: int
    completed: bool


@_frozen
class AskAdvice:
    """Ask which hosts may run a step."""

    job: str
    occurrence: int
    step: int
    hosts: tuple[str, ...]


@_frozen
class StepDown:
    """Another leader's orders were met."""

    reason: str


@_frozen
class LogEvent:
    """A decision for the log."""

    event: str
    fields: dict[str, typing.Any]


Effect = (
    StartRun
    | StopRun
    | SetRunSpeed
    | RenewLease
    | SaveProgress
    | JobBegun
    | JobEnded
    | MoveMachine
    | MaintainMachine
    | ReadMachines
    | ReportWave
    | AskAdvice
    | StepDown
    | LogEvent
)
