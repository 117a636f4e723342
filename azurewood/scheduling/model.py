"""The leader's state: hosts with their runs, waves, and all the rest."""

import enum
import typing

from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.policy import arrivals
from azurewood.policy import pool_sizes
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import waiting


class RunPhase(enum.Enum):
    """How far the leader is with a run on a host."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """A run that may exist on a host and so takes its room there.

    ``adopted`` runs were started by an earlier leader. ``born_ms`` is the
    life of the host in which the run was started. ``settled_at`` is when
    the newest start or stop was answered, None while that is unknown.
    """

    __slots__ = (
        "inherited",
        "began_at",
        "incarnation_ms",
        "call_open",
        "measure",
        "speed",
        "speed_changed_at",
        "percent",
        "phase",
        "retry_at",
        "run",
        "saved",
        "settled_at",
        "step",
        "task",
        "tries",
    )

    def __init__(
        self, *, task: model.TaskId, run: int, step: model.Step, now: float
    ) -> None:
        self.task = task
        self.run = run
        self.step = step
        self.phase = RunPhase.STARTING
        self.inherited = False
        self.began_at = now
        self.incarnation_ms = 0
        self.call_open = False
        self.tries = 0
        self.retry_at = 0.0
        self.settled_at: float | None = None
        self.percent = 0
        self.measure = 0
        self.saved = ""
        self.speed = 100
        self.speed_changed_at = now

    @property
    def key(self) -> tuple[model.TaskId, int]:
        """What tells runs of a host apart."""
        return (self.task, self.run)


class Host:
    """One host: what it said of itself, its lease and its runs.

    ``room`` is what is free for further runs, ``used`` what runs take,
    ``step_runs`` the number of runs of each step, ``lasting`` that of
    lasting runs. ``synced`` is whether it has answered this leader, so that
    it takes no order of an earlier one. ``bound_at`` is when all its leases
    have lapsed at the latest. ``answered`` is whether the newest hold was.
    """

    __slots__ = (
        "acknowledged",
        "answered",
        "leases_expire_at",
        "clock_at",
        "clock_ms",
        "entry",
        "failed_tasks",
        "unknown_runs",
        "renew_at",
        "renewing",
        "id",
        "lasting",
        "leaving",
        "last_end",
        "listed_at",
        "present",
        "free",
        "runs",
        "unresponsive_since",
        "step_runs",
        "suspended_until",
        "synced",
        "used",
    )

    def __init__(self, *, id: str, leases_expire_at: float) -> None:
        self.id = id
        self.entry: messages.HostEntry | None = None
        self.present = False
        self.synced = False
        self.leases_expire_at = leases_expire_at
        self.clock_ms: int | None = None
        self.clock_at = 0.0
        self.renewing = False
        self.renew_at = 0.0
        self.last_end = 0
        self.acknowledged = 0
        self.listed_at = 0.0
        self.unresponsive_since: float | None = None
        self.answered = False
        self.suspended_until = 0.0
        self.failed_tasks: set[model.TaskId] = set()
        self.runs: dict[tuple[model.TaskId, int], Run] = {}
        self.used = model.Resources()
        self.free = model.Resources()
        self.step_runs: dict[tuple[str, int, int], int] = {}
        self.lasting = 0
        self.unknown_runs = 0
        self.leaving = False

    def describe(self, entry: messages.HostEntry) -> None:
        """Take in what the host says of itself."""
        self.entry = entry
        self.free = entry.capacity.minus(self.used)

    def add(self, run: Run) -> None:
        """Count a run's room as taken."""
        self.runs[run.key] = run
        self.lasting += run.step.lasting
        self.reserve(run.task, run.step)

    def remove(self, run: Run) -> None:
        """Free a run's room."""
        del self.runs[run.key]
        self.lasting -= run.step.lasting
        self.release(run.task, run.step)

    def reserve(self, task: model.TaskId, step: model.Step) -> None:
        """Take the room of one task of a step."""
        key = jobstates.step_key(task)
        self.step_runs[key] = self.step_runs.get(key, 0) + 1
        self.used = self.used.plus(step.reserved)
        if self.entry is not None:
            self.free = self.entry.capacity.minus(self.used)

    def release(self, task: model.TaskId, step: model.Step) -> None:
        """Give back what ``reserve`` took."""
        key = jobstates.step_key(task)
        self.step_runs[key] -= 1
        if not self.step_runs[key]:
            del self.step_runs[key]
        self.used = self.used.minus(step.reserved)
        if self.entry is not None:
            self.free = self.entry.capacity.minus(self.used)

    def clock(self, now: float) -> int | None:
        """Return the host's clock in ms as it should stand now."""
        if self.clock_ms is None:
            return None
        return self.clock_ms + int((now - self.clock_at) * 1000)


class Wave:
    """A wave of upkeep: which machines were ordered down and came back.

    ``ordered`` has the id of the host that each machine had when its
    upkeep was decided, ``confirmed`` when its order was answered.
    """

    __slots__ = (
        "back",
        "began_at",
        "completed",
        "confirmed",
        "number",
        "ordered",
        "reported",
        "request",
    )

    def __init__(self, *, request: messages.WaveRequested, now: float) -> None:
        self.number = request.number
        self.request = request
        self.began_at = now
        self.ordered: dict[str, str] = {}
        self.confirmed: dict[str, float] = {}
        self.back: set[str] = set()
        self.completed = False
        self.reported = ""


class MachineMove:
    """A machine on its way to a pool, and the host that it had."""

    __slots__ = ("confirmed_at", "host", "pool", "until")

    def __init__(self, *, pool: str, host: str, until: float) -> None:
        self.pool = pool
        self.host = host
        self.until = until
        self.confirmed_at: float | None = None


class State:
    """All that a leader knows in its term.

    ``placement_due`` are the services whose waiting tasks are to be placed.
    ``largest_room`` is the most that any machine on the list has of each
    resource. ``silent_on_record`` are the hosts that a stored record may
    name as silent.
    """

    __slots__ = (
        "arrivals",
        "backlogs",
        "catalog",
        "demands",
        "dirty",
        "effects",
        "deferred_effects",
        "host_machines",
        "hosts",
        "jobs",
        "largest_capacity",
        "leases_expire_at",
        "machines",
        "machines_at",
        "machines_due",
        "moving",
        "order_after",
        "ordered_at",
        "orders",
        "placement_due",
        "pools_due",
        "pools_log_at",
        "saving",
        "stuck_work",
        "stuck_due",
        "unresponsive_changed",
        "recorded_unresponsive",
        "began_ids",
        "term",
        "unix_ms",
        "values",
        "waves",
    )

    def __init__(self, *, term: int, leases_expire_at: float) -> None:
        self.term = term
        self.leases_expire_at = leases_expire_at
        self.catalog: catalog.Catalog | None = None
        self.jobs: dict[str, jobstates.JobState] = {}
        self.hosts: dict[str, Host] = {}
        self.machines: dict[str, messages.MachineEntry] = {}
        self.largest_capacity = model.Resources()
        self.machines_at = -1.0
        self.machines_due = 0.0
        self.orders: dict[str, float] = {}
        self.moving: dict[str, MachineMove] = {}
        self.demands: dict[str, pool_sizes.Demand] = {}
        self.pools_due = 0.0
        self.pools_log_at = 0.0
        self.backlogs: dict[str, waiting.Backlog] = {}
        self.stuck_work: dict[str | model.TaskId, waiting.StuckWork] = {}
        self.stuck_due = 0.0
        self.arrivals: dict[str, arrivals.Arrivals] = {}
        self.ordered_at: dict[str, float] = {}
        self.order_after: dict[str, float] = {}
        self.host_machines: dict[str, str] = {}
        self.waves: dict[int, Wave] = {}
        self.unix_ms = 0.0
        self.unresponsive_changed = False
        self.recorded_unresponsive: set[str] = set()
        self.placement_due: set[str] = set()
        self.began_ids: list[str] = []
        self.dirty: set[str] = set()
        self.values: dict[str, bytes | None] = {}
        self.deferred_effects: list[messages.Effect] = []
        self.saving: list[messages.Effect] | None = None
        self.effects: list[messages.Effect] = []

    def host(self, id: str) -> Host:
        """Return a host, added if it was not known."""
        host = self.hosts.get(id)
        if host is None:
            host = Host(id=id, leases_expire_at=self.leases_expire_at)
            self.hosts[id] = host
        return host

    def may_order(self, machine: str, now: float) -> bool:
        """Return whether an earlier leader's order to it is long past."""
        return now >= self.order_after.get(machine, 0.0)

    def ordered_down(self, machine: str) -> bool:
        """Return whether a wave took a machine down and misses it yet."""
        return any(
            machine in wave.ordered and machine not in wave.back
            for wave in self.waves.values()
        )

    def service_of(self, job: model.Job) -> str:
        """Return the service whose hosts run a job now."""
        queue = self.catalog and self.catalog.queues.get(job.queue)
        return queue.service if queue else job.service

    def emit(self, effect: messages.Effect) -> None:
        """Ask for an effect at once."""
        self.effects.append(effect)

    def emit_after_save(self, effect: messages.Effect) -> None:
        """Ask for an effect once what is known now is stored."""
        self.deferred_effects.append(effect)

    def log_event(self, event: str, **fields: typing.Any) -> None:
        """Log a decision."""
        self.effects.append(messages.LogEvent(event=event, fields=fields))
