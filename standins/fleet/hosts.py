"""A host that runs tasks under leases, as the platform's hosts do.

Its clock may be slow; it may be cut off, stand still, crash and begin
another life. It keeps the highest fence that it has seen.
"""

from collections import abc
import dataclasses

from azurewood.jobs import model
from azurewood.scheduling import messages
from standins.fleet import clock as clocks

LONGEST_LEASE_MS = 6000
STOP_S = 0.2
Key = tuple[model.TaskId, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class SimRun:
    """A run on a host; it ends at ``ends_at`` unless it lasts."""

    task: model.TaskId
    run: int
    step: model.Step
    began_at: float
    ends_at: float | None
    how: messages.End = messages.End.DONE
    stopping: bool = False


class SimHost:
    """One host.

    ``observe`` is told of every start and end, ``noted`` of every end that
    was acknowledged before a lease lapsed.
    """

    __slots__ = (
        "_bars",
        "_clock",
        "_deadline_ms",
        "_ends",
        "_holds",
        "_lapses",
        "_lapses_at_end",
        "_life",
        "_next_end",
        "acknowledged",
        "address",
        "born_at",
        "capacity",
        "draining",
        "failing",
        "fence",
        "id",
        "labels",
        "length",
        "machine",
        "noted",
        "observe",
        "pace",
        "runs",
        "service",
        "up",
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
        length: abc.Callable[[model.TaskId, model.Step], float],
        observe: abc.Callable[..., None],
        noted: abc.Callable[[messages.EndedRow], None],
        pace: float = 1.0,
    ) -> None:
        self.id = id
        self.machine = machine
        self.service = service
        self.address = f"{id}:80"
        self.capacity = capacity
        self.labels = labels
        self.pace = pace
        self.length = length
        self.observe = observe
        self.noted = noted
        self.up = True
        self.draining = False
        self.failing = False
        self._clock = clock
        self._life = 0
        self._begin()

    def _begin(self) -> None:
        self._life += 1
        self.born_at = self._clock.now
        self.fence = 0
        self.runs: dict[Key, SimRun] = {}
        self.acknowledged = 0
        self._ends: list[messages.EndedRow] = []
        self._next_end = 1
        self._bars: dict[model.TaskId, int] = {}
        self._deadline_ms = 0
        self._lapses = 0
        self._lapses_at_end: dict[int, int] = {}
        self._holds: list[abc.Callable[[], None]] = []

    @property
    def incarnation_ms(self) -> int:
        """Which life this is."""
        return int(self.born_at * 1000)

    def clock_ms(self) -> int:
        """Return the host's clock, which begins at 0 in each life."""
        return int((self._clock.now - self.born_at) * 1000 * self.pace)

    def entry(self) -> messages.HostEntry:
        """Return what the host says of itself."""
        state = messages.HostState
        return messages.HostEntry(
            id=self.id,
            address=self.address,
            service=self.service,
            zone="a",
            state=state.DRAINING if self.draining else state.READY,
            capacity=self.capacity,
            labels=self.labels,
            incarnation_ms=self.incarnation_ms,
        )

    def crash(self) -> None:
        """End at once, with all that runs."""
        self.up = False
        for run in list(self.runs.values()):
            self.observe("gone", self, run)
        self.runs = {}

    def restart(self) -> None:
        """Begin another life under the same id."""
        self._begin()
        self.up = True
        self.draining = False

    # Calls

    def start(
        self, effect: messages.StartRun, fence: int, step: model.Step
    ) -> messages.Refusal | None:
        """Start a run; return why not, or None if it is there."""
        if fence < self.fence:
            return messages.Refusal.FENCE
        self.fence = fence
        self._lapse()
        key = (effect.task, effect.run)
        if key in self.runs:
            return None
        if effect.lease_until_ms <= self.clock_ms():
            return messages.Refusal.LATE
        self._extend(effect.lease_until_ms)
        if effect.run <= self._bars.get(effect.task, 0):
            return messages.Refusal.OLD
        self._run(effect, step)
        return None

    def _run(self, effect: messages.StartRun, step: model.Step) -> None:
        now = self._clock.now
        length = self.length(effect.task, step)
        how = messages.End.FAILED if self.failing else messages.End.DONE
        run = SimRun(
            task=effect.task,
            run=effect.run,
            step=step,
            began_at=now,
            ends_at=None if step.long_lived else now + length,
            how=how,
        )
        if self.failing:
            run.ends_at = now + 0.05
        self.runs[(run.task, run.run)] = run
        self.observe("start", self, run)
        if run.ends_at is not None:
            life = self._life
            self._clock.after(
                run.ends_at - now, lambda: self._finish(life, run, run.how)
            )

    def stop(
        self, task: model.TaskId, run: int, fence: int
    ) -> messages.Refusal | None:
        """Stop a run, or bar it from ever starting."""
        if fence < self.fence:
            return messages.Refusal.FENCE
        self.fence = fence
        self._bars[task] = max(run, self._bars.get(task, 0))
        found = self.runs.get((task, run))
        if found is not None and not found.stopping:
            found.stopping = True
            life = self._life
            self._clock.after(
                STOP_S,
                lambda: self._finish(life, found, messages.End.STOPPED),
            )
        return None

    def hold(
        self, effect: messages.RenewLease, fence: int
    ) -> messages.Refusal | None:
        """Renew the lease and forget acknowledged ends."""
        if fence < self.fence:
            return messages.Refusal.FENCE
        self.fence = fence
        self._lapse()
        if effect.lease_until_ms is not None:
            self._extend(effect.lease_until_ms)
        self.acknowledged = max(self.acknowledged, effect.acknowledged)
        for row in self._ends:
            if row.number <= self.acknowledged:
                self._note(row)
        self._ends = [e for e in self._ends if e.number > self.acknowledged]
        return None

    def _note(self, row: messages.EndedRow) -> None:
        """Tell that an end is noted, unless a lease lapsed since then."""
        if self._lapses_at_end[row.number] == self._lapses:
            self.noted(row)

    def has_ends(self) -> bool:
        """Return whether there are ends to list."""
        return bool(self._ends)

    def when_ended(self, what: abc.Callable[[], None]) -> None:
        """Call something at the next end."""
        self._holds.append(what)

    def listing(self, sent_at: float) -> messages.LeaseRenewed:
        """Return the host's list."""
        self._lapse()
        return messages.LeaseRenewed(
            host=self.id,
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
        )

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + LONGEST_LEASE_MS
        until_ms = min(until_ms, longest)
        if until_ms <= self._deadline_ms:
            return
        self._deadline_ms = until_ms
        life = self._life
        left = (until_ms - self.clock_ms()) / 1000 / self.pace + 0.001
        self._clock.after(left, lambda: self._lapse_in(life))

    def _lapse_in(self, life: int) -> None:
        if life == self._life:
            self._lapse()

    def _lapse(self) -> None:
        if not self._deadline_ms or self.clock_ms() < self._deadline_ms:
            return
        self._lapses += 1
        self._deadline_ms = 0
        for run in list(self.runs.values()):
            self._finish(self._life, run, messages.End.LAPSED)

    def _finish(self, life: int, run: SimRun, how: messages.End) -> None:
        key = (run.task, run.run)
        if life != self._life or not self.up or key not in self.runs:
            return
        del self.runs[key]
        self._bars[run.task] = max(run.run, self._bars.get(run.task, 0))
        row = messages.EndedRow(
            number=self._next_end,
            task=run.task,
            run=run.run,
            how=how,
            saved="",
        )
        self._lapses_at_end[row.number] = self._lapses
        self._next_end += 1
        self._ends.append(row)
        self.observe("end", self, run, how)
        holds, self._holds = self._holds, []
        for hold in holds:
            hold()
