"""No host is held for tasks that start alone without a bound."""

from hypothesis import given
from hypothesis import strategies

from azurewood.jobs import model as jobs
from azurewood.policy import host_choice
from azurewood.policy import host_crashes
from azurewood.policy import reservations
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages

CPU = 4000
PASS_S = 0.25


def _host(id, *, label=""):
    host = host_state.Host(id=id, leases_expire_at=0.0, fence=1)
    host.describe(
        messages.HostEntry(
            id=id,
            address=f"{id}:80",
            service="s",
            zone="a",
            state=messages.HostState.READY,
            capacity=jobs.Resources(CPU, 8000, 0),
            labels=(label,) if label else (),
            incarnation_ms=1,
        )
    )
    return host


def _start(host, task, step, at, crashes=0):
    run = host_state.Run(task=task, run=1, step=step, now=at)
    run.phase = host_state.RunPhase.RUNNING
    run.confirmed_at = at
    run.crashes = crashes
    host.add(run)
    return run


@given(strategies.lists(strategies.booleans(), max_size=200))
def test_a_host_is_never_held_for_longer_than_the_bound(passes):
    """Each pass has whether a suspect waits for the host."""
    reservation = reservations.Reservation()
    now, held_s = 0.0, 0.0
    for wanted in passes:
        reservation.give_up_if_due(now)
        held = wanted and not reservation.is_open(now)
        reservation.note_held(held=held, now=now)
        held_s = held_s + PASS_S if held else 0.0
        assert held_s <= reservations.MAX_HELD_S + PASS_S
        now += PASS_S


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
        host = _host(f"h{number}", label="ssd" if labels[number] else "")
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
