"""Late starts in an incarnation that no call of the leader has reached yet.

Each scenario runs as it is, and again with the mechanism disabled, which
must breach a rule.
"""

import pytest

from azurewood.jobs import model
from azurewood.scheduling import latestarts
from standins.fleet import members
from tests.scheduling import deployment

LATE_S = 6.0
ONE = model.Step(count=1, needs=model.Resources(1000, 500, 0), estimate_ms=900)
GANG = model.Step(
    count=2,
    needs=model.Resources(1000, 500, 0),
    estimate_ms=900,
    gang=True,
    per_host=1,
)


def _world(monkeypatch, lost=1):
    """Return a world whose first ``lost`` starts are carried out late."""
    monkeypatch.setattr(members, "LATE_CALL_DELAY_S", (LATE_S, LATE_S))
    made = deployment.world(**{"s-one": 2})
    late = []

    def fault_of(call):
        if call.target in made.hosts and call.changes and len(late) < lost:
            late.append(call.target)
            return "late"
        return ""

    made.fault_of = fault_of
    return made, late


def _restart_just_before(made, host, sent_at):
    """Restart a host 30 ms before the late start that was sent to it."""
    made.run(sent_at + LATE_S - 0.03 - made.clock.now)
    host.crash()
    host.restart()
    made.run(1.0)
    deployment.check(made)


def _done_before_the_restart(monkeypatch, step):
    made, late = _world(monkeypatch)
    sent_at = made.clock.now
    made.submit(made.members[0], deployment.job(made, 1, step))
    made.run(3.0)
    assert deployment.phase(made, f"{1:016x}") is model.Phase.COMPLETED
    _restart_just_before(made, made.hosts[late[0]], sent_at)


@pytest.mark.parametrize("step", (ONE, GANG))
def test_no_done_task_is_started_before_the_first_call_to_a_new_incarnation(
    monkeypatch, step
):
    _done_before_the_restart(monkeypatch, step)


@pytest.mark.parametrize("step", (ONE, GANG))
def test_is_started_after_its_end_if_ends_are_not_withheld(monkeypatch, step):
    monkeypatch.setattr(latestarts, "withhold_end", lambda *args: None)
    with pytest.raises(AssertionError, match="after its end was noted"):
        _done_before_the_restart(monkeypatch, step)


def _failed_before_the_restart(monkeypatch):
    made, late = _world(monkeypatch)
    made.run_duration_s = lambda task, step: 30.0
    for host in made.hosts.values():
        host.failing = True
    sent_at = made.clock.now
    made.submit(made.members[0], deployment.job(made, 1, ONE))
    made.run(1.15)
    host = made.hosts[late[0]]
    for other in made.hosts.values():
        other.failing = False
    made.run(1.0)
    _restart_just_before(made, host, sent_at)
    assert made.rules.starts == 2
    made.run(12.0)
    assert made.rules.starts == 3
    deployment.check(made)


def test_no_task_runs_beside_a_start_before_the_first_call(monkeypatch):
    _failed_before_the_restart(monkeypatch)


def test_runs_twice_if_the_next_run_does_not_wait(monkeypatch):
    monkeypatch.setattr(latestarts, "required_host", lambda *args: None)
    with pytest.raises(AssertionError, match="twice"):
        _failed_before_the_restart(monkeypatch)
