"""Simulated host that runs tasks under leases, as the platform's hosts do.

Its clock may run slow. It can be partitioned, crash, and restart as a new
incarnation. It keeps the highest fence that it has seen and refuses calls
with a lower one.
"""

from collections import abc
import dataclasses
import functools
import math

from azurewood.jobs import model
from azurewood.scheduling import messages
from standins.fleet import clock as clocks
from standins.fleet import gangs as sim_gangs

MAX_LEASE_MS = 6000
STOP_DURATION_S = 0.2
FAILING_RUN_S = 0.05
CONTACT_S = 3.0
"""Time after which a host's entry is known to all that can read it."""
Key = tuple[model.TaskId, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class SimRun:
    """A run on a host.

    It ends at ``ends_at``; this is None for a long-lived step and for a gang,
    which works once it is whole.
    """

    task: model.TaskId
    run: int
    step: model.Step
    began_at: float
    ends_at: float | None
    how: messages.End = messages.End.DONE
    stopping: bool = False


class SimHost:
    """A simulated host.

    ``observe`` is called for every start and end of a run, and
    ``on_end_acknowledged`` for every end that the leader acknowledged
    before the next expiry of the host's lease. ``clock_rate`` is the speed
    of the host's clock relative to simulated time. ``listed_at`` is the time
    of the incarnation's first list, which is how the leader learns of it.
    ``past_capacities`` has earlier capacities and until when they count, and
    ``gangs`` the gangs of all hosts.
    """

    __slots__ = (
        "_blocked_runs",
        "_clock",
        "_deadline_ms",
        "_end_callbacks",
        "_ends",
        "_expiries_at_end",
        "_gangs",
        "_incarnation",
        "_lease_expiries",
        "_next_end",
        "acknowledged",
        "address",
        "born_at",
        "clock_rate",
        "draining",
        "failing",
        "fence",
        "id",
        "labels",
        "listed_at",
        "machine",
        "observe",
        "on_end_acknowledged",
        "capacity",
        "past_capacities",
        "run_duration_s",
        "runs",
        "service",
        "up",
        "zone",
    )

    def __init__(
        self,
        *,
        id: str,
        machine: str,
        service: str,
        capacity: model.Resources,
        labels: tuple[str, ...],
        clock: clocks.Clock,
        gangs: sim_gangs.Gangs,
        run_duration_s: abc.Callable[[model.TaskId, model.Step], float],
        observe: abc.Callable[..., None],
        on_end_acknowledged: abc.Callable[[messages.EndedRow], None],
        clock_rate: float = 1.0,
        zone: str = "a",
    ) -> None:
        self.id = id
        self.zone = zone
        self.machine = machine
        self.service = service
        self.address = f"{id}:80"
        self.capacity = capacity
        self.past_capacities: list[tuple[model.Resources, float]] = []
        self.labels = labels
        self.clock_rate = clock_rate
        self.run_duration_s = run_duration_s
        self.observe = observe
        self.on_end_acknowledged = on_end_acknowledged
        self.up = True
        self.draining = False
        self.failing = False
        self._clock = clock
        self._gangs = gangs
        self._incarnation = 0
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self._incarnation += 1
        self.born_at = self._clock.now
        self.fence = 0
        self.listed_at = math.inf
        self.runs: dict[Key, SimRun] = {}
        self.acknowledged = 0
        self._ends: list[messages.EndedRow] = []
        self._next_end = 1
        self._blocked_runs: dict[model.TaskId, int] = {}
        self._deadline_ms = 0
        self._lease_expiries = 0
        self._expiries_at_end: dict[int, int] = {}
        self._end_callbacks: list[abc.Callable[[], None]] = []

    @property
    def incarnation_ms(self) -> int:
        """The start time, which identifies the host's incarnation."""
        return int(self.born_at * 1000)

    def clock_ms(self) -> int:
        """Return the host's clock, which starts at 0 in each incarnation."""
        return int((self._clock.now - self.born_at) * 1000 * self.clock_rate)

    def entry(self) -> messages.HostEntry:
        """Return the entry that the host publishes in the store."""
        state = messages.HostState
        return messages.HostEntry(
            id=self.id,
            address=self.address,
            service=self.service,
            zone=self.zone,
            state=state.DRAINING if self.draining else state.READY,
            capacity=self.capacity,
            labels=self.labels,
            incarnation_ms=self.incarnation_ms,
        )

    def resize(self, capacity: model.Resources) -> None:
        """Change the capacity; the host's next entry shows it."""
        self.past_capacities.append((self.capacity, math.inf))
        self.capacity = capacity

    def on_entry_written(self) -> None:
        """Let the capacities before the one in the entry expire."""
        expires_at = self._clock.now + CONTACT_S
        self.past_capacities = [
            (capacity, min(until, expires_at))
            for capacity, until in self.past_capacities
            if until >= self._clock.now
        ]

    def has_room_for(self, used: model.Resources) -> bool:
        """Return whether ``used`` fits a capacity that counts now.

        A larger capacity counts at once, a smaller one instead of the larger
        one only ``CONTACT_S`` after the first entry that shows it.
        """
        now = self._clock.now
        counting = [c for c, until in self.past_capacities if until >= now]
        return any(used.fits(c) for c in (self.capacity, *counting))

    def crash(self, *, ordered: bool = False) -> None:
        """Stop the host immediately and lose all its runs.

        It is no crash if the leader ``ordered`` its machine away.
        """
        self.up = False
        for run in list(self.runs.values()):
            self.observe("gone" if ordered else "crashed", self, run)
            self._gangs.leave(run)
        self.runs = {}

    def restart(self) -> None:
        """Start a new incarnation of the host under the same ID."""
        self._start_incarnation()
        self.up = True
        self.draining = False

    # Calls

    def start(
        self, effect: messages.StartRun, fence: int, step: model.Step
    ) -> messages.Refusal | None:
        """Start a run; return the reason for a refusal, or None.

        The call is idempotent: None also means that the run exists already.
        """
        if fence < self.fence:
            return messages.Refusal.FENCE
        self.fence = fence
        self._check_lease()
        key = (effect.task, effect.run)
        if key in self.runs:
            return None
        if effect.lease_until_ms <= self.clock_ms():
            return messages.Refusal.LATE
        self._extend(effect.lease_until_ms)
        if effect.run <= self._blocked_runs.get(effect.task, 0):
            return messages.Refusal.OLD
        self._run(effect, step)
        return None

    def _run(self, effect: messages.StartRun, step: model.Step) -> None:
        now = self._clock.now
        run = SimRun(
            task=effect.task,
            run=effect.run,
            step=step,
            began_at=now,
            ends_at=None,
        )
        duration_s = self.run_duration_s(effect.task, step)
        if self.failing:
            run.how = messages.End.FAILED
            duration_s = FAILING_RUN_S
        elif step.long_lived:
            duration_s = None
        self.runs[(run.task, run.run)] = run
        self.observe("start", self, run)
        end = functools.partial(self._finish, self._incarnation, run)
        if step.gang:
            self._gangs.join(
                sim_gangs.Member(run=run, duration_s=duration_s, finish=end)
            )
        elif duration_s is not None:
            run.ends_at = now + duration_s
            self._clock.after(duration_s, lambda: end(run.how))

    def stop(
        self, task: model.TaskId, run: int, fence: int
    ) -> messages.Refusal | None:
        """Stop a run, or prevent it from starting if it has not started.

        Earlier runs of the task cannot start any more either.
        """
        if fence < self.fence:
            return messages.Refusal.FENCE
        self.fence = fence
        self._blocked_runs[task] = max(run, self._blocked_runs.get(task, 0))
        found = self.runs.get((task, run))
        if found is not None and not found.stopping:
            found.stopping = True
            incarnation = self._incarnation
            self._clock.after(
                STOP_DURATION_S,
                lambda: self._finish(incarnation, found, messages.End.STOPPED),
            )
        return None

    def renew_lease(
        self,
        effect: messages.RenewLease,
        fence: int,
        *,
        keep_cursor: bool = False,
    ) -> messages.Refusal | None:
        """Renew the lease and drop the ends that the leader acknowledged.

        These are among the ends that there are at that time. With
        ``keep_cursor`` so are those that come later.
        """
        if fence < self.fence:
            return messages.Refusal.FENCE
        self.fence = fence
        self._check_lease()
        if effect.lease_until_ms is not None:
            self._extend(effect.lease_until_ms)
        self.acknowledged = max(self.acknowledged, effect.acknowledged)
        cursor = effect.acknowledged
        if keep_cursor:
            cursor = self.acknowledged
        for row in self._ends:
            if row.number <= cursor:
                self._report_acknowledged(row)
        self._ends = [e for e in self._ends if e.number > cursor]
        return None

    def _report_acknowledged(self, row: messages.EndedRow) -> None:
        """Report an acknowledged end, unless a lease has expired since it."""
        if self._expiries_at_end[row.number] == self._lease_expiries:
            self.on_end_acknowledged(row)

    def has_ends(self) -> bool:
        """Return whether there are unacknowledged ends to list."""
        return bool(self._ends)

    def call_at_next_end(self, what: abc.Callable[[], None]) -> None:
        """Call ``what`` once when the next run ends."""
        self._end_callbacks.append(what)

    def listing(self, number: int, sent_at: float) -> messages.LeaseRenewed:
        """Return the list of current runs and unacknowledged ends.

        ``number`` and ``sent_at`` are those of the lease renewal.
        """
        self._check_lease()
        self.listed_at = min(self.listed_at, self._clock.now)
        return messages.LeaseRenewed(
            host=self.id,
            number=number,
            incarnation_ms=self.incarnation_ms,
            clock_ms=self.clock_ms(),
            sent_at=sent_at,
            running=tuple(
                messages.RunningRow(
                    task=run.task,
                    run=run.run,
                    saved="",
                    percent=100 if run.step.long_lived else 50,
                    measure=0,
                )
                for run in self.runs.values()
            ),
            ended=tuple(self._ends[:500]),
            connected_by=sent_at,
        )

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + MAX_LEASE_MS
        until_ms = min(until_ms, longest)
        if until_ms <= self._deadline_ms:
            return
        self._deadline_ms = until_ms
        incarnation = self._incarnation
        left = (until_ms - self.clock_ms()) / 1000 / self.clock_rate + 0.001
        self._clock.after(left, lambda: self._check_lease_of(incarnation))

    def _check_lease_of(self, incarnation: int) -> None:
        if incarnation == self._incarnation:
            self._check_lease()

    def _check_lease(self) -> None:
        if not self._deadline_ms or self.clock_ms() < self._deadline_ms:
            return
        self._lease_expiries += 1
        self._deadline_ms = 0
        for run in list(self.runs.values()):
            self._finish(self._incarnation, run, messages.End.LAPSED)

    def _finish(
        self, incarnation: int, run: SimRun, how: messages.End
    ) -> None:
        key = (run.task, run.run)
        if (
            incarnation != self._incarnation
            or not self.up
            or key not in self.runs
        ):
            return
        del self.runs[key]
        self._blocked_runs[run.task] = max(
            run.run, self._blocked_runs.get(run.task, 0)
        )
        row = messages.EndedRow(
            number=self._next_end,
            task=run.task,
            run=run.run,
            how=how,
            saved="",
        )
        self._expiries_at_end[row.number] = self._lease_expiries
        self._next_end += 1
        self._ends.append(row)
        self.observe("end", self, run, how)
        self._gangs.leave(run)
        callbacks, self._end_callbacks = self._end_callbacks, []
        for renew_lease in callbacks:
            renew_lease()
