"""What a later leader knows of gangs whose starts got no answer.

Each scenario runs as it is, and again with the mechanism disabled, which
must breach a rule.
"""

import pytest

from azurewood.incarnations import late_starts
from azurewood.jobs import model
from azurewood.scheduling import restoration
from standins.fleet import members
from tests.scheduling import deployment

LATE_S = 6.0
GANG = model.Step(
    count=2,
    needs=model.Resources(1000, 500, 0),
    estimate_ms=900,
    gang=True,
    per_host=1,
)


def _carry_out_after_the_gang_is_done(monkeypatch):
    """Carry a member's start out late on its host, which has restarted.

    The gang has been done by then, and the leader has changed.
    """
    monkeypatch.setattr(members, "LATE_CALL_DELAY_S", (LATE_S, LATE_S))
    made = deployment.world(**{"s-one": 2})
    late = deployment.lose_starts(made)
    began_at = made.clock.now
    made.submit(made.members[0], deployment.job(made, 1, GANG))
    made.run(3.0)
    assert deployment.phase(made, f"{1:016x}") is model.Phase.COMPLETED
    made.leaders()[0].kill()
    made.run(began_at + LATE_S - 0.03 - made.clock.now)
    host = made.hosts[late[0]]
    host.crash()
    host.restart()
    made.run(1.0)
    deployment.check(made)


def test_no_member_starts_after_the_end_of_another_that_a_new_leader_noted(
    monkeypatch,
):
    _carry_out_after_the_gang_is_done(monkeypatch)


def test_starts_after_it_if_the_new_leader_does_not_know_a_gangs_starts(
    monkeypatch,
):
    def of_own_task(steps, id):
        starts = steps._steps.get(id[:3], {})
        return [late for (other, _, _), late in starts.items() if other == id]

    monkeypatch.setattr(late_starts.LateSteps, "of_end", of_own_task)
    with pytest.raises(AssertionError, match="after its end was noted"):
        _carry_out_after_the_gang_is_done(monkeypatch)


def _fail_under_two_leaders():
    """Let both members of a run fail; each leader learns of one."""
    made = deployment.world(**{"s-one": 4})
    hosts = list(made.hosts.values())
    for host in hosts:
        host.failing = True
    job = deployment.job(made, 1, GANG)
    made.submit(made.members[0], job)
    _run_until(made, lambda: deployment.running_tasks(made, job.id) == 2)
    for host in hosts:
        host.failing = False
    made.cut_hosts.add(next(host.id for host in hosts if host.runs))
    made.run(0.4)
    made.leaders()[0].kill()
    made.run(1.0)
    made.cut_hosts.clear()
    made.run(15.0)
    deployment.check(made)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED


def _run_until(made, is_met):
    for _ in range(100):
        if is_met():
            return
        made.run(0.005)
    raise AssertionError("not met in time")


def test_a_failed_run_of_a_gang_counts_once_under_two_leaders():
    _fail_under_two_leaders()


def test_shown_as_failed_if_the_next_leader_counts_it_again(monkeypatch):
    usual = restoration.restore_job

    def restore_job(state, job, record, now):
        usual(state, job, record, now)
        for found in job.steps.values():
            for task in found:
                task.failed_run = 0

    monkeypatch.setattr(restoration, "restore_job", restore_job)
    with pytest.raises(AssertionError, match="shown as failed"):
        _fail_under_two_leaders()
