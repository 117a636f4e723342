"""No host is kept for tasks that start alone without a bound."""

from hypothesis import given
from hypothesis import strategies
import msgspec

from azurewood.jobs import model as jobs
from azurewood.policy import host_choice
from azurewood.policy import host_crashes
from azurewood.policy import reservations
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from tests.policy import host_builders

STEP = jobs.Step(count=9, needs=jobs.Resources(500, 100, 0), estimate_ms=900)
PASS_S = 0.25
LIST_S = 1.0


def _start(host, task, step, at, crashes=0):
    run = host_state.Run(task=task, run=1, step=step, now=at)
    run.phase = host_state.RunPhase.RUNNING
    run.confirmed_at = at
    run.crashes = crashes
    host.add(run)
    return run


class _Pool:
    """A pool in passes: suspects that start alone beside endless others.

    Each other task runs for 0.4 s. ``waited_s`` is the longest time for which
    none of the others could start anywhere.
    """

    def __init__(self, hosts, suspects):
        self.hosts = [
            host_builders.make_host(f"h{number}") for number in range(hosts)
        ]
        self.suspects = [
            jobs.TaskId("suspects", 0, 0, number) for number in range(suspects)
        ]
        self.now = 100.0
        self.waited_s = self._waits_s = 0.0
        self._number = 0

    def play(self, seconds):
        end = self.now + seconds
        while self.now < end and self.suspects:
            self._step()
            self.now += PASS_S

    def _step(self):
        for host in self.hosts:
            if self.now >= host.listed_at + LIST_S:
                host.listed_at = self.now
            for run in list(host.runs.values()):
                if not run.crashes and self.now >= run.confirmed_at + 0.4:
                    host.remove(run)
        separation = self._separate()
        self._start_suspects(separation)
        started = [
            host for host in self.hosts if self._start_other(host, separation)
        ]
        self._waits_s = 0.0 if started else self._waits_s + PASS_S
        self.waited_s = max(self.waited_s, self._waits_s)

    def _separate(self):
        occupied = {
            host.id
            for host in self.hosts
            for run in host.runs.values()
            if run.crashes and host_crashes.occupies(run, host, self.now)
        }
        for host in self.hosts:
            host.reservation.begin_pass(
                occupied=host.id in occupied, now=self.now
            )
        found = host_crashes.Separation(
            open_hosts=[
                host.id
                for host in self.hosts
                if host.reservation.is_open(self.now)
            ]
        )
        for id in occupied:
            found.occupy(id)
        waiting = [
            host_crashes.WaitingSuspect(task=task, step=STEP)
            for task in self.suspects
        ]
        found.hold(self.hosts, waiting)
        for host in self.hosts:
            held = host.id in found.held - occupied
            host.reservation.note_held(held=held, now=self.now)
        return found

    def _start_suspects(self, separation):
        small = msgspec.structs.replace(STEP, needs=jobs.Resources(50, 10, 0))
        for task in list(self.suspects):
            for host in self.hosts:
                if separation.allows(host, small, 2, task):
                    run = _start(host, task, small, self.now, crashes=2)
                    separation.add(host, run)
                    self.suspects.remove(task)
                    break

    def _start_other(self, host, separation):
        if not separation.allows(host, STEP, 0):
            return False
        self._number += 1
        task = jobs.TaskId("others", 0, 0, self._number)
        separation.add(host, _start(host, task, STEP, self.now))
        return True


@given(strategies.integers(1, 6), strategies.integers(1, 24))
def test_others_get_their_turn_beside_any_number_of_suspects(hosts, suspects):
    # LOST: every host of a pool in use by suspects, one after the other.
    pool = _Pool(hosts, suspects)
    pool.play(400.0)
    assert not pool.suspects
    if hosts > 1:
        assert not pool.waited_s
    else:
        settles_s = host_crashes.SETTLED_S + 2 * LIST_S
        assert pool.waited_s <= 2 * settles_s


def test_they_wait_for_all_suspects_without_a_bound(monkeypatch):
    monkeypatch.setattr(reservations, "MIN_OPEN_SHARE", 0.0)
    monkeypatch.setattr(reservations, "TURN_S", 0.0)
    pool = _Pool(2, 24)
    pool.play(400.0)
    assert pool.waited_s > 20.0


_TIMES = strategies.lists(
    strategies.tuples(strategies.booleans(), strategies.booleans()),
    max_size=200,
)


@given(_TIMES)
def test_a_host_is_never_closed_for_longer_than_a_hold_and_a_start(passes):
    """Each pass has whether a suspect is unsettled and one is held for."""
    reservation = reservations.Reservation()
    now, closed_s, occupied_s = 0.0, 0.0, 0.0
    most_s = reservations.MAX_HELD_S + reservations.MAX_OCCUPIED_S
    for occupied, wanted in passes:
        occupied = occupied and occupied_s < reservations.MAX_OCCUPIED_S
        occupied_s = occupied_s + PASS_S if occupied else 0.0
        reservation.begin_pass(occupied=occupied, now=now)
        held = wanted and not occupied and not reservation.is_open(now)
        reservation.note_held(held=held, now=now)
        closed_s = closed_s + PASS_S if held or occupied else 0.0
        assert closed_s <= most_s + PASS_S
        now += PASS_S


def test_a_hold_is_over_once_no_pass_has_asked_for_it():
    reservation = reservations.Reservation()
    reservation.begin_pass(occupied=False, now=0.0)
    reservation.note_held(held=True, now=0.0)
    assert reservation.is_closed(1.0)
    assert not reservation.is_closed(reservations.MAX_PASS_GAP_S)
    later = 2 * reservations.MAX_HELD_S
    change = reservation.begin_pass(occupied=False, now=later)
    assert change is reservations.Change.NONE
    assert not reservation.is_open(later)


_RUNS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([300, 900, 2100]), strategies.booleans()
    ),
    max_size=4,
)


@given(
    pool=strategies.lists(_RUNS, min_size=1, max_size=4),
    labels=strategies.lists(strategies.booleans(), min_size=4, max_size=4),
    cpu=strategies.sampled_from([200, 1500, 3300]),
    label=strategies.sampled_from(["", "ssd"]),
    per_host=strategies.integers(0, 1),
    allowed=strategies.sets(strategies.integers(0, 3)),
)
def test_a_host_is_held_only_for_a_task_that_would_start_there(
    pool, labels, cpu, label, per_host, allowed
):
    # LOST: a host held for a task whose turn never comes.
    hosts = []
    for number, runs in enumerate(pool):
        host = host_builders.make_host(
            f"h{number}", labels=("ssd",) if labels[number] else ()
        )
        host.listed_at = 100.0
        for index, (needs, lasts) in enumerate(runs):
            step = jobs.Step(
                count=9,
                needs=jobs.Resources(needs, 10, 0),
                estimate_ms=900,
                long_lived=lasts,
            )
            if step.reserved.fits(host.free):
                task = jobs.TaskId(f"job-{number}", 0, 0, index)
                _start(host, task, step, 99.9)
        hosts.append(host)
    step = jobs.Step(
        count=9,
        needs=jobs.Resources(cpu, 10, 0),
        estimate_ms=900,
        label=label,
        per_host=per_host,
    )
    suspect = host_crashes.WaitingSuspect(
        task=jobs.TaskId("suspect", 0, 0, 0),
        step=step,
        allowed={f"h{number}" for number in allowed},
    )
    found = host_crashes.Separation()
    found.hold(hosts, [suspect])
    assert len(found.held) <= reservations.max_reserved(len(hosts))
    for host in hosts:
        if host.id in found.held:
            _end_what_ends(host)
            assert host.id in suspect.allowed
            assert _starts(host, hosts, suspect)


def _end_what_ends(host):
    """End the runs of a host that end by themselves; the others settle."""
    for run in list(host.runs.values()):
        if not run.step.long_lived:
            host.remove(run)
        run.confirmed_at = 0.0


def _starts(host, hosts, suspect):
    """Return whether the next pass would start a suspect on a host."""
    separation = host_crashes.Separation()
    separation.hold(hosts, [suspect])
    task = jobstates.Task(id=suspect.task)
    return separation.allows(
        host, suspect.step, 2, suspect.task
    ) and host_choice.suits(host, suspect.step, task)
