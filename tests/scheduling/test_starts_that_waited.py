"""Starts that leave long after they were asked for, as a record was stored."""

from azurewood.jobs import model
from azurewood.journal import pages
from standins.fleet import members
from tests.scheduling import deployment

LASTING = model.Step(
    count=1, needs=model.Resources(500, 500, 0), long_lived=True
)
STORED_AGAIN_S = 5.4
"""Time until progress is stored again, a little less than a lease lasts."""
LEFT_BY_S = 7.0
LATE_S = 1.4


def _crash_before_the_start_leaves(monkeypatch):
    """Have a start leave, if it does, as its host's leases expire.

    The host crashes while the start waits for its record, and restarts just
    before the start is carried out.
    """
    made = deployment.world(**{"s-one": 2})
    began_at = made.clock.now
    host = None
    left = []

    def fault_of(call):
        saving = call.partition and call.partition[0] is pages.Topic.PROGRESS
        if saving and made.clock.now < began_at + STORED_AGAIN_S:
            return "late"
        if host and call.target == host.id and call.changes and not left:
            left.append(call)
            monkeypatch.setattr(members, "LATE_CALL_DELAY_S", (LATE_S, LATE_S))
            return "late"
        return ""

    monkeypatch.setattr(members, "LATE_CALL_DELAY_S", (30.0, 30.0))
    made.fault_of = fault_of
    job = deployment.job(made, 1, LASTING)
    made.submit(made.members[0], job)
    made.run(0.1)
    state = made.leaders()[0].member.term.state
    (host,) = (made.hosts[h.id] for h in state.hosts.values() if h.runs)
    host.crash()
    while not left and made.clock.now < began_at + LEFT_BY_S:
        made.run(0.01)
    made.run(LATE_S - 0.03)
    host.restart()
    made.publish_entry(host)
    made.run(20.0)
    deployment.check(made)
    assert deployment.running_tasks(made, job.id) == 1


def test_no_start_leaves_to_a_host_that_became_silent(monkeypatch):
    """Guards against TWICE: its run was dropped before its answer was due."""
    _crash_before_the_start_leaves(monkeypatch)
