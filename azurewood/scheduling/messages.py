"""Events that the scheduler handles and effects that it requests.

Times are seconds of the daemon's own clock; times of host clocks are
milliseconds.
"""

import dataclasses
import enum
import math
import typing

from azurewood.jobs import catalog
from azurewood.jobs import model

_frozen = dataclasses.dataclass(slots=True, kw_only=True, frozen=True)


class HostState(enum.Enum):
    """Whether a host accepts new tasks."""

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
    """The state of a machine in the platform's list."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@_frozen
class HostEntry:
    """The entry of a host in the store.

    ``incarnation_ms`` distinguishes incarnations of a host that share an
    id. ``labels`` include the rack.
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

    ``capacity`` is that of a host on the machine, or zero if the list
    doesn't give it.
    """

    name: str
    pool: str
    state: MachineState
    host: str
    zone: str
    capacity: model.Resources = model.Resources()


@_frozen
class RunningRow:
    """A run that a host lists as running.

    ``measure`` is the tail latency in ms for a task with a latency target,
    and the processor use for other tasks.
    """

    task: model.TaskId
    run: int
    saved: str
    percent: int
    measure: int


@_frozen
class EndedRow:
    """The end of a run; numbers increase within a host's incarnation."""

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
    """The full list of machines; the read began at ``began_at``."""

    machines: tuple[MachineEntry, ...]
    began_at: float


@_frozen
class WaveRequested:
    """Operators requested a maintenance wave."""

    number: int
    machines: tuple[str, ...]
    max_down: int
    finish_by_s: float


@_frozen
class LeaseRenewed:
    """A host answered a lease renewal with its runs and latest run ends.

    ``number`` is that of the renewal and ``sent_at`` when it was sent. A
    connection made by ``connected_by`` leads to the incarnation that
    answered, if to any.
    """

    host: str
    number: int
    incarnation_ms: int
    clock_ms: int
    sent_at: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    connected_by: float = 0.0


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
    DISCONNECTED = "disconnected"


@_frozen
class RenewalFailed:
    """A lease renewal was refused or not answered."""

    host: str
    number: int
    reason: Refusal


@_frozen
class StartAnswered:
    """A start call was answered; ``refusal`` is None if the run exists.

    ``incarnation_ms`` and ``fence`` are those that it was sent with; hosts
    get the token only.
    """

    host: str
    incarnation_ms: int
    fence: int
    task: model.TaskId
    run: int
    refusal: Refusal | None
    clock_ms: int = 0


@_frozen
class StopAnswered:
    """A stop call was answered; ``refusal`` is None if it was accepted.

    ``incarnation_ms`` and ``fence`` are those that it was sent with.
    """

    host: str
    incarnation_ms: int
    fence: int
    task: model.TaskId
    run: int
    refusal: Refusal | None


@_frozen
class SpeedAnswered:
    """A speed limit was answered; ``refusal`` is None if it is in force."""

    host: str
    task: model.TaskId
    run: int
    refusal: Refusal | None


@_frozen
class ProgressSaved:
    """The progress records that were sent last are stored."""


@_frozen
class ProgressRefused:
    """The store refuses a progress record for good."""

    key: str


class OrderResult(enum.Enum):
    """The outcome of an order to a machine."""

    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@_frozen
class OrderAnswered:
    """An order to move or maintain a machine was answered."""

    order: "MoveMachine | MaintainMachine"
    result: OrderResult


@_frozen
class Advised:
    """Advice on a step: the approved hosts, each with its ticket."""

    job: str
    occurrence: int
    step: int
    tickets: dict[str, str]
    valid_until: float


@_frozen
class AdviceFailed:
    """A call for advice on a step was refused, malformed or unanswered.

    ``status`` is that of the answer, 0 without one.
    """

    job: str
    occurrence: int
    step: int
    status: int = 0


@_frozen
class Tick:
    """Periodic event.

    ``unix_ms`` is the wall-clock time, and ``hosts_read_at`` when the latest
    successful read of the hosts' entries started. ``store_slow`` is whether
    jobs may be late on their way to the leader. ``fence`` is the leader's
    newest fencing token, and ``fenced_at`` a time before which its election
    record was not written, 0 if unknown.
    """

    unix_ms: float
    may_order: bool
    fence: int
    fenced_at: float = 0.0
    hosts_read_at: float = 0.0
    store_slow: bool = False


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
    | SpeedAnswered
    | ProgressSaved
    | ProgressRefused
    | OrderAnswered
    | Advised
    | AdviceFailed
    | Tick
)


# Effects


@_frozen
class StartRun:
    """Start a run; ``lease_until_ms`` is a time of the host's clock.

    ``incarnation_ms`` is the incarnation that the host is believed to be in.
    """

    host: str
    address: str
    fence: int
    incarnation_ms: int
    task: model.TaskId
    run: int
    payload: str
    saved: str
    lease_until_ms: int
    ticket: str = ""


@_frozen
class StopRun:
    """Stop a run, or bar it if its start hasn't reached the host yet.

    ``incarnation_ms`` is the incarnation that the host is believed to be in.
    """

    host: str
    address: str
    fence: int
    incarnation_ms: int
    task: model.TaskId
    run: int


@_frozen
class SetRunSpeed:
    """Limit a run to a percentage of its full speed."""

    host: str
    address: str
    fence: int
    task: model.TaskId
    run: int
    percent: int


@_frozen
class RenewLease:
    """Renew a host's lease, acknowledge run ends and request its runs.

    ``number`` counts a host's renewals. ``lease_until_ms`` is None if the
    host's clock is unknown or the host is to get no lease. The host may
    delay its answer by up to ``wait_ms`` to include a run end. A renewal
    only goes over a connection made by ``connected_by``, if that isn't 0.
    One that acknowledges run ends needs that, as another incarnation of the
    host numbers other ends alike.
    """

    host: str
    address: str
    number: int
    fence: int
    acknowledged: int
    lease_until_ms: int | None
    wait_ms: int
    connected_by: float = 0.0


@_frozen
class SaveProgress:
    """Store values by key; None deletes the key."""

    values: dict[str, bytes | None]


@_frozen
class NotifyJobBegun:
    """Notify all daemons that the first tasks of jobs have started."""

    ids: tuple[str, ...]


@_frozen
class NotifyJobEnded:
    """Notify all daemons how a job ended."""

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
    """Take a machine down for maintenance; not sent after ``send_by``."""

    machine: str
    wave: int
    send_by: float = math.inf


@_frozen
class ReadMachines:
    """Read the platform's list of machines."""


@_frozen
class ReportWave:
    """Report the state of a maintenance wave to the operators.

    ``waits_for`` says why it takes no machine down, if it should.
    """

    number: int
    completed: bool
    waits_for: str = ""


@_frozen
class AskAdvice:
    """Request advice on which hosts may run a step.

    ``wait_ms`` is how long the service takes for the call and the open ones.
    """

    job: str
    occurrence: int
    step: int
    hosts: tuple[str, ...]
    wait_ms: int = 0


@_frozen
class StepDown:
    """End this leader's term, since it was fenced by a newer leader."""

    reason: str


@_frozen
class LogEvent:
    """Write a decision to the log."""

    event: str
    fields: dict[str, typing.Any]


Effect = (
    StartRun
    | StopRun
    | SetRunSpeed
    | RenewLease
    | SaveProgress
    | NotifyJobBegun
    | NotifyJobEnded
    | MoveMachine
    | MaintainMachine
    | ReadMachines
    | ReportWave
    | AskAdvice
    | StepDown
    | LogEvent
)
