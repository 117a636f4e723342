"""Starts on a host that lists a run which the leader doesn't want there.

The scenario runs as it is, and again with the mechanism disabled, which must
breach a rule.
"""

import pytest

from azurewood.jobs import model
from azurewood.scheduling import tasks
from standins.fleet import members
from tests.scheduling import deployment

LATE_S = 6.0
HALF = model.Step(
    count=1, needs=model.Resources(2500, 500, 0), estimate_ms=1800
)


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
    monkeypatch.setattr(tasks, "wait_for_room", lambda *args: None)
    with pytest.raises(AssertionError, match="room exceeded"):
        _start_beside_a_late_run(monkeypatch)
