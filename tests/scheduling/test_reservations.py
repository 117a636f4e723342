"""What waits beside tasks that start alone gets its turn.

Each course gives a lasting job crashes by chance, then submits short jobs.
"""

import pytest

from azurewood.jobs import model
from azurewood.policy import host_crashes
from azurewood.policy import host_fit
from azurewood.policy import reservations
from azurewood.scheduling import messages
from azurewood.scheduling import placement
from tests.scheduling import deployment

SHORT = model.Step(
    count=1, needs=model.Resources(250, 100, 0), estimate_ms=400
)
SHORT_JOBS = 3
FINISH_S = 14.0


def _lasting(made, number, count, cpu):
    """Run a lasting job and return its id."""
    step = model.Step(
        count=count, needs=model.Resources(cpu, 100, 0), long_lived=True
    )
    job = deployment.job(made, number, step)
    made.submit(made.members[0], job)
    made.run(4.0)
    assert deployment.running_tasks(made, job.id) == count
    return job.id


def _busiest(made):
    """Return the host with the most runs, then with the latest task."""
    up = (host for host in made.hosts.values() if host.up)
    return max(
        up, key=lambda host: (len(host.runs), max(host.runs, default=()))
    )


def _crash(made, hosts, down_s=2.0):
    """Crash hosts and restart them under their ids."""
    for host in hosts:
        host.crash()
    made.run(down_s)
    for host in hosts:
        host.restart()


def _lose(made, host):
    """Crash a host for good; its machine is down from then on."""
    host.crash()
    machine = made.machines[host.machine]
    down = messages.MachineState.DOWN
    made._set_machine(machine.name, machine.pool, down, "")
    made._remove_entry(host)
    made.run(10.0)


def _short_jobs_left(made, seconds=FINISH_S):
    """Submit short jobs; return how many haven't completed in time."""
    ids = []
    for number in range(SHORT_JOBS):
        job = deployment.job(made, 100 + number, SHORT)
        made.submit(made.members[0], job)
        ids.append(job.id)
        made.run(1.0)
    made.run(seconds)
    completed = model.Phase.COMPLETED
    return sum(deployment.phase(made, id) is not completed for id in ids)


def _one_host_crashes_and_another_is_lost(count=4, cpu=250, hosts=2):
    """Lose all hosts but one, so that some tasks have two crashes."""
    made = deployment.world(**{"s-one": hosts})
    _lasting(made, 1, count, cpu)
    _crash(made, [_busiest(made)])
    made.run(8.0)
    for _ in range(hosts - 1):
        _lose(made, _busiest(made))
    return made


def _place_all_in_one_line(state, host_index, job, ready, allowed, now):
    """Place a step's tasks in their order, up to the first without a host."""
    return len(
        placement._place_in_order(state, host_index, job, ready, allowed, now)
    )


@pytest.mark.parametrize(
    ("count", "cpu", "hosts"), [(4, 250, 2), (8, 250, 2), (4, 800, 2)]
)
def test_a_held_host_starts_what_it_is_held_for(count, cpu, hosts):
    # LOST: a host held for tasks behind one that found no host.
    made = _one_host_crashes_and_another_is_lost(count, cpu, hosts)
    assert not _short_jobs_left(made)


def test_a_hold_without_a_start_is_given_up(monkeypatch):
    # LOST: a host held for ever, for whatever reason no start comes.
    monkeypatch.setattr(placement, "_place_tasks", _place_all_in_one_line)
    made = _one_host_crashes_and_another_is_lost()
    assert not _short_jobs_left(made, 2 * FINISH_S)


def test_it_is_held_for_ever_if_holds_do_not_end(monkeypatch):
    monkeypatch.setattr(placement, "_place_tasks", _place_all_in_one_line)
    monkeypatch.setattr(reservations, "MAX_HELD_S", 1e6)
    made = _one_host_crashes_and_another_is_lost()
    assert _short_jobs_left(made, 2 * FINISH_S) == SHORT_JOBS


def _two_lasting_tasks_on_one_host():
    """Two lasting tasks need over half of a host each; one host is left."""
    made = deployment.world(**{"s-one": 2})
    (host, *_) = made.hosts.values()
    _lasting(made, 1, 2, host.capacity.cpu // 2 + 50)
    victim = _busiest(made)
    _crash(made, [victim])
    made.run(12.0)
    _lose(made, victim)
    return made


def test_no_host_is_held_for_a_task_beside_a_lasting_one():
    # LOST: a host held for a task that needs the room of a lasting run.
    made = _two_lasting_tasks_on_one_host()
    assert not _short_jobs_left(made, 4.0)


def test_it_is_held_if_lasting_runs_count_as_ending(monkeypatch):
    monkeypatch.setattr(
        host_fit, "room_beside_lasting", lambda host: host.entry.capacity
    )
    monkeypatch.setattr(reservations, "MAX_HELD_S", 1e6)
    made = _two_lasting_tasks_on_one_host()
    assert _short_jobs_left(made, 4.0)


def _a_rack_crashes_twice(hosts, jobs):
    """All hosts of the pool crash twice under lasting jobs of 8 tasks."""
    made = deployment.world(**{"s-one": hosts})
    for number in range(jobs):
        _lasting(made, 1 + number, 8, 50)
    for pause_s in (10.0, 3.0):
        _crash(made, list(made.hosts.values()))
        made.run(pause_s)
    return made


@pytest.mark.parametrize(("hosts", "jobs"), [(2, 3), (4, 6), (1, 2)])
def test_short_jobs_start_beside_tasks_that_start_one_by_one(hosts, jobs):
    # LOST: every host of a pool in use by suspects, one after the other.
    made = _a_rack_crashes_twice(hosts, jobs)
    assert not _short_jobs_left(made)


@pytest.mark.parametrize("hosts", [1, 2])
def test_they_do_not_without_turns_and_hosts_left_to_them(hosts, monkeypatch):
    monkeypatch.setattr(reservations, "MIN_OPEN_SHARE", 0.0)
    monkeypatch.setattr(reservations, "TURN_S", 0.0)
    made = _a_rack_crashes_twice(hosts, 3 * hosts)
    assert _short_jobs_left(made) == SHORT_JOBS


def test_tasks_of_two_crashes_still_start_alone():
    made = _a_rack_crashes_twice(2, 1)
    state = made.leaders()[0].member.term.state
    for _ in range(40):
        made.run(0.25)
        for host in state.hosts.values():
            unsettled = [
                run
                for run in host.runs.values()
                if run.crashes >= host_crashes.MIN_CRASHES_ALONE
                and not host_crashes.is_settled(run, host.listed_at)
            ]
            assert len(unsettled) <= 1
