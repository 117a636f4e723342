"""Finds the tasks that crash the hosts that start them.

The load: one task in tens crashes each host that starts it, soon after it
began, and tens of others run on that host. Hosts also crash by chance. After
three crashes under such a task it may be started twice more. A job that is
given up without cause is lost.

Every task that may have crashed a host gets a crash counted, so that the
count of a deadly task is never too low. Runs that a list has shown at work
for ``SETTLED_S`` are above suspicion as long as a newer run was there. The
others may have been there by chance. So a suspect, which has one crash, starts
next where the fewest runs are beside it, apart from other suspects. With two
crashes it starts alone, that is, beside settled runs only, and nothing else
starts there until it has settled. Others keep at least half of the hosts for
that time, and their turns: see `azurewood.policy.reservations`. With four
crashes, of which two were then its own, a task is given up. Three would do if
hosts never crashed by chance; but a task that was beside a deadly one twice
may meet a chance crash alone.

A suspect that may start on one host only, as an earlier start may still be
carried out there, would wait beside free hosts while other suspects start on
that one. So no other suspect starts there before it.

A start without an answer may be carried out in one of several incarnations of
its host, and the leader holds its run meanwhile. A host that restarts again
and again would fail the job of a task that ran there once, or never. So such
a start gets one crash counted, and a further one only for an incarnation in
which the run was seen. Each start that the leader decides on counts anew.
"""

from collections import abc
import dataclasses
import typing

from azurewood.jobs import model as jobs
from azurewood.policy import host_fit
from azurewood.policy import reservations
from azurewood.scheduling import host_state

SETTLED_S: typing.Final = 1.5
"""Time at work from which a run is not expected to crash its host."""
PROVEN_S: typing.Final = 60.0
"""Time at work that clears a task of the crashes before."""
MIN_CRASHES_ALONE: typing.Final = 2
"""Crashes from which a task is started alone."""
MAX_CRASHES: typing.Final = 4
"""Crashes after which a task is given up; one more start would be allowed."""
MAX_HELD_SHARE: typing.Final = 0.25
"""Share of a pool's hosts that is kept free for tasks to start alone."""


def at_work_s(run: host_state.Run, at: float) -> float:
    """Return for how long a run had certainly been at work at a time."""
    if (
        run.phase is not host_state.RunPhase.RUNNING
        or run.confirmed_at is None
    ):
        return 0.0
    return max(0.0, at - run.confirmed_at)


def is_settled(run: host_state.Run, at: float) -> bool:
    """Return whether a run is no longer expected to crash its host."""
    return at_work_s(run, at) >= SETTLED_S


def occupies(run: host_state.Run, host: host_state.Host, now: float) -> bool:
    """Return whether a task that started alone still keeps others away.

    A run that isn't seen to settle doesn't do so for ever.
    """
    recent = now < run.began_at + reservations.MAX_OCCUPIED_S
    return recent and not is_settled(run, host.listed_at)


def suspects(
    host: host_state.Host, runs: list[host_state.Run]
) -> list[host_state.Run]:
    """Return which of these runs may have crashed their host."""
    new = [run for run in runs if not is_settled(run, host.listed_at)]
    return new or runs


def is_counted(crash: str, host_id: str, incarnation_ms: int) -> bool:
    """Return whether a crash was counted for a task.

    ``crash`` is the latest that was, as ``HOST@INCARNATION``, or empty.
    """
    id, _, counted_ms = crash.rpartition("@")
    return id == host_id and int(counted_ms) >= incarnation_ms


def may_be_blamed(
    run: host_state.Run, host_id: str, crash: str, found_at: float
) -> bool:
    """Return whether a run may have caused one more crash than are counted.

    It may if it was seen since ``found_at``, when this leader found the
    latest ``crash`` that was counted. Else one crash is counted at most for a
    start that may have been carried out since. As the crash is on record, so
    does a later leader.
    """
    running = run.phase is host_state.RunPhase.RUNNING
    seen_at = run.confirmed_at if running else None
    if not run.incarnation_ms or (seen_at is not None and seen_at > found_at):
        return True
    # The record has the incarnation in which an earlier leader saw the run.
    seen = running and not run.inherited
    return not is_counted(crash, host_id, run.incarnation_ms + seen)


def next_count(run: host_state.Run, crashes: int, alive_at: float) -> int:
    """Return the crashes of a task that now is a suspect once more."""
    proven = at_work_s(run, alive_at) >= PROVEN_S
    return 1 if proven else crashes + 1


def is_given_up(crashes: int) -> bool:
    """Return whether a task is started no more."""
    return crashes >= MAX_CRASHES


def starts_alone(step: jobs.Step, crashes: int) -> bool:
    """Return whether a task starts where no other unsettled run is.

    The members of a gang start at the same time, together with others.
    """
    return crashes >= MIN_CRASHES_ALONE and not step.gang


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class WaitingSuspect:
    """A task that waits to start alone and may start in this pass.

    ``host`` is the only one on which it may start, or None. ``allowed`` has
    the hosts that advice allows, None if all are.
    """

    task: jobs.TaskId
    step: jobs.Step
    host: str | None = None
    allowed: abc.Container[str] | None = None


class Separation:
    """Which of a pool's hosts are for tasks that start alone.

    ``held`` hosts start nothing else, but for tasks that may start on no
    other host; on ``occupied`` ones such a task has started lately. Tasks
    that start alone do so on ``quiet`` hosts, where all runs have settled,
    and on at most ``max_occupied`` hosts at a time. It is the others' turn on
    ``open`` hosts: none of these tasks starts there.
    ``bound`` maps the hosts that are the only ones for some of these tasks to
    those tasks; no others start alone there.

    A host is held only for a task that the next pass would start there if
    all that ends on the host had ended and the rest had settled.
    """

    __slots__ = ("bound", "held", "max_occupied", "occupied", "open", "quiet")

    def __init__(self, *, open_hosts: abc.Iterable[str] = ()) -> None:
        self.bound: dict[str, set[jobs.TaskId]] = {}
        self.held: set[str] = set()
        self.max_occupied = 1
        self.occupied: set[str] = set()
        self.open = frozenset(open_hosts)
        self.quiet: set[str] = set()

    def hold(
        self, hosts: list[host_state.Host], waiting: list[WaitingSuspect]
    ) -> None:
        """Choose the hosts for a pool's tasks that wait to start alone.

        ``held`` has the hosts on which such tasks have started lately. Tasks
        that may start on one host only come first; the others hold what is
        left of the share.
        """
        self.max_occupied = reservations.max_reserved(len(hosts))
        unsettled = {host.id: _unsettled(host) for host in hosts}
        self.quiet = {id for id, count in unsettled.items() if not count}
        hosts = [host for host in hosts if host.id not in self.open]
        max_held = max(1, int(len(unsettled) * MAX_HELD_SHARE))
        bound = self._bind(hosts, waiting)
        free = max(0, max_held - len(self.held) - len(bound))
        left = max(0, self.max_occupied - len(self.occupied))
        self.held.update(host.id for host in bound[: min(max_held, left)])
        unbound = [suspect for suspect in waiting if suspect.host is None]
        for suspect in unbound[:free]:
            step = suspect.step
            fitting = (
                host
                for host in hosts
                if host.id not in self.held and _may_hold(host, suspect)
            )
            best = min(
                fitting,
                key=lambda host: (
                    not step.reserved.fits(host.free),
                    unsettled[host.id],
                    host.id,
                ),
                default=None,
            )
            if best is not None:
                self.held.add(best.id)

    def _bind(
        self, hosts: list[host_state.Host], waiting: list[WaitingSuspect]
    ) -> list[host_state.Host]:
        """Bind hosts to tasks; return them, those with room first."""
        by_id = {host.id: host for host in hosts}
        full: dict[str, bool] = {}
        for suspect in waiting:
            host = by_id.get(suspect.host)
            if host is None or not _may_run(host, suspect):
                continue
            fits = suspect.step.reserved.fits(host.free)
            if fits:
                self.bound.setdefault(host.id, set()).add(suspect.task)
            full[host.id] = full.get(host.id, True) and not fits
        return [by_id[id] for id in sorted(full, key=full.get)]

    def allows(
        self,
        host: host_state.Host,
        step: jobs.Step,
        crashes: int,
        task: jobs.TaskId | None = None,
        *,
        only_here: bool = False,
    ) -> bool:
        """Return whether a task of a step may start on a host.

        One that may start on no other host doesn't wait for suspects.
        """
        if starts_alone(step, crashes):
            bound = self.bound.get(host.id)
            if bound is not None and task not in bound:
                return False
            return self._may_start_alone(host.id, is_bound=bound is not None)
        return host.id not in (self.occupied if only_here else self.held)

    def _may_start_alone(self, host_id: str, *, is_bound: bool) -> bool:
        """Return whether a host may be occupied by one more suspect.

        Suspects that may go anywhere leave their share of the hosts to those
        that may start on one host only.
        """
        taken = self.occupied if is_bound else self.occupied | set(self.bound)
        return (
            host_id in self.quiet
            and host_id not in self.open
            and len(taken) < self.max_occupied
        )

    def add(self, host: host_state.Host, run: host_state.Run) -> None:
        """Record that a run was placed on a host."""
        self.quiet.discard(host.id)
        if starts_alone(run.step, run.crashes):
            self.occupy(host.id)

    def occupy(self, host_id: str) -> None:
        """Record that a task that starts alone has started on a host."""
        self.held.add(host_id)
        self.occupied.add(host_id)


def _may_run(host: host_state.Host, suspect: WaitingSuspect) -> bool:
    """Return whether a host can run a task once what ends there has ended.

    Runs that last don't end for it, nor do those of the task's own step.
    """
    step = suspect.step
    if suspect.allowed is not None and host.id not in suspect.allowed:
        return False
    return step.reserved.fits(host_fit.room_beside_lasting(host)) and (
        host_fit.suits_beside(host, step, suspect.task)
    )


def _may_hold(host: host_state.Host, suspect: WaitingSuspect) -> bool:
    """Return whether to hold a host for a task that may go to any."""
    return _may_run(host, suspect) and not host_fit.is_left_to_others(
        host, suspect.step, suspect.task
    )


def _unsettled(host: host_state.Host) -> int:
    runs = host.runs.values()
    return sum(not is_settled(run, host.listed_at) for run in runs)


def danger(host: host_state.Host) -> tuple[int, int]:
    """Return what a suspect endangers on a host: suspects, and all runs."""
    others = sum(run.crashes > 0 for run in host.runs.values())
    return (others, len(host.runs))
