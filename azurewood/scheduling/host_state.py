"""What the leader knows of a host and of the runs on it."""

import enum
import math
import typing

from azurewood.incarnations import incarnation as incarnations
from azurewood.incarnations import late_starts
from azurewood.jobs import model
from azurewood.policy import reservations
from azurewood.policy import withheld_ends
from azurewood.scheduling import account_usage
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages

SEVERAL_STARTS: typing.Final = 2
"""Starts that count for a run of which more than one may have left before."""


class RunPhase(enum.Enum):
    """State of a run on a host, as far as the leader knows."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """An attempt to run a task that may exist on a host.

    Until it is known to be gone, the run uses resources of the host.
    ``inherited`` runs were started by an earlier leader. ``incarnation_ms``
    identifies the incarnation of the host in which the run was started.
    ``start_open`` and ``stop_open`` are true while such a call is unanswered.
    ``waiting_start`` is a start that has not left yet, as a record is stored.
    ``confirmed_at`` is when the latest start or stop was confirmed, None
    while its outcome is unknown. ``crashes`` is how many crashes of hosts
    its task was suspected of when it was placed.
    ``account`` is the client account of its job, empty for none.
    ``starts_sent`` is how many starts of it have left, as far as known. It
    only grows, as what was sent may still act.
    ``speed`` is the newest speed limit in percent. It is sent again at
    ``speed_due_at``, as it may not be in force. Until ``late_speed_until``
    one that got no answer may still take effect. ``speed_calls`` is how many
    are under way, and ``speeds_overlap`` whether one was sent before another
    was answered. ``unanswered`` is whether a start of it got no answer.
    A run that has been confirmed for more than ``overdue_after_s`` takes too
    long; it is None if its time tells nothing.
    """

    __slots__ = (
        "account",
        "began_at",
        "confirmed_at",
        "crashes",
        "incarnation_ms",
        "inherited",
        "late_speed_until",
        "measure",
        "overdue_after_s",
        "percent",
        "phase",
        "retry_at",
        "run",
        "saved",
        "speed",
        "speed_calls",
        "speed_changed_at",
        "speed_due_at",
        "speeds_overlap",
        "start_open",
        "starts_sent",
        "step",
        "stop_open",
        "task",
        "unanswered",
        "waiting_start",
    )

    def __init__(
        self,
        *,
        task: model.TaskId,
        run: int,
        step: model.Step,
        now: float,
        account: str = "",
    ) -> None:
        self.account = account
        self.task = task
        self.run = run
        self.step = step
        self.phase = RunPhase.STARTING
        self.inherited = False
        self.crashes = 0
        self.began_at = now
        self.incarnation_ms = 0
        self.start_open = False
        self.stop_open = False
        self.waiting_start: messages.StartRun | None = None
        self.starts_sent = 0
        self.retry_at = 0.0
        self.confirmed_at: float | None = None
        self.percent = 0
        self.measure = 0
        self.saved = ""
        self.speed = 100
        self.speed_changed_at = now
        self.speed_due_at = math.inf
        self.late_speed_until = 0.0
        self.speed_calls = 0
        self.speeds_overlap = False
        self.unanswered = False
        self.overdue_after_s: float | None = None

    @property
    def key(self) -> tuple[model.TaskId, int]:
        """The key of the run among the runs of a host."""
        return (self.task, self.run)

    @property
    def call_open(self) -> bool:
        """Whether a start or stop call is unanswered."""
        return self.start_open or self.stop_open

    @property
    def never_started(self) -> bool:
        """Whether no start of the run has left, under any leader."""
        return not self.inherited and self.starts_sent == 0


class Host:
    """A host: its store entry, its leases and its runs.

    ``incarnation`` is the one that the host is believed to be in, and
    ``past_incarnations`` has those that have ended.
    ``free`` is what further runs can use and ``used`` what present runs
    use. ``step_runs`` counts the runs of each step and ``long_lived`` the
    long-lived runs. ``leases_expire_at`` is the latest time at which all
    leases of the host have expired.
    ``renewing`` is true while a lease renewal is under way or has to wait
    for a record to be stored. ``answered`` is whether the host answered
    the latest renewal, and ``renewals`` counts them. ``late_starts`` has
    the starts without an answer.
    ``fence`` is the fencing token of calls to the host. It is raised for
    each incarnation, and to bar starts that may be late; ``fence_due`` is
    true until that is done.
    Connections made by ``connected_by`` lead to the incarnation that sent
    the newest list, if to any; it is None once they are closed, until the
    next list. ``disconnected_at`` is when that was noticed last.
    ``renewal_fence`` is the token of the latest lease renewal, and
    ``renewal_grants`` whether it grants a lease.
    ``crashed_incarnation_ms`` is the latest incarnation found crashed.
    ``ordered_away`` is whether an order ends its incarnation, or may have
    ended it. While it is ``emptying`` its tasks are to go elsewhere, until it
    is ordered away or the leader changes its mind.
    ``usage`` has what accounts use, and is shared by all hosts.
    ``listed_unknown`` has the runs on the newest list that the leader does
    not hold and that count there, with their accounts.
    ``heard_at`` is when its newest list was handled, and ``unheard_s`` for
    how long a run may have ended by then without being listed.
    """

    __slots__ = (
        "answered",
        "connected_by",
        "crashed_incarnation_ms",
        "disconnected_at",
        "emptying",
        "entry",
        "fence",
        "fence_due",
        "free",
        "heard_at",
        "id",
        "incarnation",
        "late_starts",
        "long_lived",
        "leases_expire_at",
        "listed_at",
        "listed_unknown",
        "ordered_away",
        "past_incarnations",
        "present",
        "renew_at",
        "renewal_fence",
        "renewal_grants",
        "renewals",
        "renewing",
        "reservation",
        "runs",
        "step_runs",
        "suspended_until",
        "unheard_s",
        "unresponsive_since",
        "unwanted",
        "usage",
        "used",
    )

    def __init__(
        self, *, id: str, leases_expire_at: float, fence: int
    ) -> None:
        self.id = id
        self.fence = fence
        self.fence_due = False
        self.entry: messages.HostEntry | None = None
        self.incarnation = incarnations.Incarnation(began_ms=0)
        self.crashed_incarnation_ms: int | None = None
        self.present = False
        self.leases_expire_at = leases_expire_at
        self.renewing = False
        self.renewals = 0
        self.renewal_fence = 0
        self.renewal_grants = False
        self.renew_at = 0.0
        self.listed_at = 0.0
        self.heard_at = -math.inf
        self.unheard_s = math.inf
        self.connected_by: float | None = None
        self.disconnected_at = -math.inf
        self.unresponsive_since: float | None = None
        self.answered = False
        self.suspended_until = 0.0
        self.reservation = reservations.Reservation()
        self.runs: dict[tuple[model.TaskId, int], Run] = {}
        self.used = model.Resources()
        self.free = model.Resources()
        self.step_runs: dict[tuple[str, int, int], int] = {}
        self.long_lived = 0
        self.ordered_away = False
        self.emptying = False
        self.late_starts = late_starts.LateStarts()
        self.past_incarnations: set[int] = set()
        self.usage = account_usage.AccountUsage()
        self.listed_unknown: dict[tuple[model.TaskId, int], str] = {}
        self.unwanted: frozenset[model.TaskId] = frozenset()

    @property
    def is_responsive(self) -> bool:
        """Whether the host is known to go on in its incarnation."""
        return self.incarnation.synced and self.unresponsive_since is None

    @property
    def is_silent(self) -> bool:
        """Whether the host doesn't answer, or has no entry to call it by."""
        return self.entry is None or self.unresponsive_since is not None

    @property
    def leaving(self) -> bool:
        """Whether the host gets no tasks, as it is to go away."""
        return self.ordered_away or self.emptying

    @property
    def has_room_for_end(self) -> bool:
        """Whether the host could list the end of one more run."""
        listed = self.incarnation.ends.listed
        return withheld_ends.has_room_for_end(
            listed=listed, runs=len(self.runs)
        )

    def describe(self, entry: messages.HostEntry) -> None:
        """Store the incarnation's entry and update the free resources."""
        self.entry = entry
        self.incarnation.began_ms = entry.incarnation_ms
        self.incarnation.observe_capacity(entry.capacity)
        self.free = entry.capacity.minus(self.used)

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        self.long_lived += run.step.long_lived
        self.reserve(run.task, run.step)
        self.usage.add((self.id, *run.key), run.account, run.step.needs)

    def remove(self, run: Run) -> None:
        """Remove a run and release its resources."""
        del self.runs[run.key]
        self.long_lived -= run.step.long_lived
        self.release(run.task, run.step)
        self.usage.remove((self.id, *run.key), run.account)

    def count_unknown(
        self,
        runs: dict[tuple[model.TaskId, int], tuple[str, model.Resources]],
    ) -> None:
        """Count the unknown runs on the newest list, instead of earlier ones.

        ``runs`` has the account of each and what it uses.
        """
        before, self.listed_unknown = self.listed_unknown, {}
        for key, (account, needs) in runs.items():
            self.usage.add((self.id, *key), account, needs)
            self.listed_unknown[key] = account
        for key, account in before.items():
            self.usage.remove((self.id, *key), account)

    def reserve(self, task: model.TaskId, step: model.Step) -> None:
        """Reserve the resources of one task of a step."""
        key = jobstates.step_key(task)
        self.step_runs[key] = self.step_runs.get(key, 0) + 1
        self.used = self.used.plus(step.reserved)
        if self.entry is not None:
            self.free = self.entry.capacity.minus(self.used)

    def release(self, task: model.TaskId, step: model.Step) -> None:
        """Release the resources that ``reserve`` reserved."""
        key = jobstates.step_key(task)
        self.step_runs[key] -= 1
        if not self.step_runs[key]:
            del self.step_runs[key]
        self.used = self.used.minus(step.reserved)
        if self.entry is not None:
            self.free = self.entry.capacity.minus(self.used)

    @property
    def over_capacity(self) -> bool:
        """Whether the runs use more than the capacity, which has shrunk.

        Until enough of them have ended, nothing is started on the host. The
        runs themselves go on: to stop them would lose their work for sure,
        while a host that is over its capacity goes on with all of them. Only
        starts are taken back, background or not: those not sent yet and
        those without an answer, which may still begin.
        """
        free = self.free
        return free.cpu < 0 or free.memory_mb < 0 or free.gpu < 0
