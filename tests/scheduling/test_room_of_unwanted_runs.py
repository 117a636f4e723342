"""Starts on a host that lists a run which the leader doesn't want there.

The scenario runs as it is, and again with the mechanism disabled, which must
breach a rule.
"""

import pytest

from azurewood.jobs import model
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling
from standins.fleet import members
from tests.scheduling import deployment

LATE_S = 6.0
HALF = model.Step(
    count=1, needs=model.Resources(2500, 500, 0), estimate_ms=1800
)


def _never(state, host, task):
    """Naively, no start waits for runs that have to end."""
    return False


def _start_beside_a_late_run(monkeypatch):
    """Begin a run of a job that is over on a host that has restarted.

    Another run's start waits there for the leader to reach the host.
    """
    monkeypatch.setattr(members, "LATE_CALL_DELAY_S", (LATE_S, LATE_S))
    made = deployment.world(**{"s-one": 1})
    (host,) = made.hosts.values()
    deployment.lose_starts(made)
    began_at = made.clock.now
    made.submit(made.members[0], deployment.job(made, 1, HALF))
    made.run(4.0)
    assert deployment.phase(made, f"{1:016x}") is model.Phase.COMPLETED
    deployment.lose_starts(made, 99)
    made.submit(made.members[0], deployment.job(made, 2, HALF))
    made.run(began_at + LATE_S - 0.03 - made.clock.now)
    host.crash()
    host.restart()
    made.publish_entry(host)
    made.cut_hosts.add(host.id)
    made.run(1.2)
    assert made.rules.starts == 2
    made.fault_of = lambda call: ""
    made.cut_hosts.clear()
    made.run(8.0)
    deployment.check(made)
    assert deployment.phase(made, f"{2:016x}") is model.Phase.COMPLETED


def test_no_start_leaves_for_a_host_that_has_a_run_to_stop(monkeypatch):
    _start_beside_a_late_run(monkeypatch)


def test_exceeds_the_room_if_starts_do_not_wait_for_it(monkeypatch):
    monkeypatch.setattr(scheduling.State, "waits_for_end", _never)
    with pytest.raises(AssertionError, match="room exceeded"):
        _start_beside_a_late_run(monkeypatch)


LASTING = model.Step(
    count=1, needs=model.Resources(500, 500, 0), long_lived=True
)


def _start_beside_a_silent_run(monkeypatch):
    """Place a task of which a host has listed an unwanted run.

    The host is cut off then, and gets no stop in time.
    """
    monkeypatch.setattr(members, "LATE_CALL_DELAY_S", (30.0, 30.0))
    made = deployment.world(**{"s-one": 2})
    state = made.leaders()[0].member.term.state
    for host in state.hosts.values():
        host.suspended_until = made.clock.now + 60.0
    job = deployment.job(made, 1, LASTING)
    made.submit(made.members[0], job)
    made.run(1.0)
    task = state.jobs[job.id].task(model.TaskId(job.id, 0, 0, 0))
    late, other = state.hosts.values()
    made.fault_of = lambda call: (
        "late" if call.target == late.id and call.changes else ""
    )
    made.hosts[late.id].start(
        messages.StartRun(
            host=late.id,
            address=late.entry.address,
            fence=state.fence,
            incarnation_ms=late.incarnation.began_ms,
            task=task.id,
            run=1,
            payload=job.payload,
            saved="",
            lease_until_ms=made.hosts[late.id].clock_ms() + 6000,
        ),
        late.fence,
        LASTING,
    )
    task.run = 1
    made.run(1.2)
    assert late.unwanted == {task.id}
    made.cut_hosts.add(late.id)
    other.suspended_until = 0.0
    made.run(15.0)
    deployment.check(made)
    assert deployment.running_tasks(made, job.id) == 1


def test_a_task_waits_for_an_unwanted_run_on_a_silent_host(monkeypatch):
    # TWICE: the task began beside it, a second after the list that had it.
    _start_beside_a_silent_run(monkeypatch)


def test_it_runs_twice_if_it_waits_for_a_second_only(monkeypatch):
    monkeypatch.setattr(
        scheduling.State,
        "set_unwanted",
        lambda state, host, found: setattr(host, "unwanted", found),
    )
    monkeypatch.setattr(scheduling.State, "waits_for_end", _never)
    with pytest.raises(AssertionError, match="twice"):
        _start_beside_a_silent_run(monkeypatch)
