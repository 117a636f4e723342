"""Lease renewals without an answer that a host carries out late."""

import pytest

from azurewood.incarnations import late_starts
from azurewood.jobs import model
from azurewood.scheduling import latestarts
from azurewood.scheduling import messages
from standins.fleet import world as worlds
from tests.scheduling import deployment
from tests.scheduling import late_calls

LASTING = model.Step(
    count=1, needs=model.Resources(500, 500, 0), long_lived=True
)
TIMED = model.Step(
    count=1, needs=model.Resources(500, 500, 0), estimate_ms=9000
)
LATE_S = 11.9
BEGIN_S = 30.0
"""When the host's clock is far ahead of that of its next incarnation."""


def _renew_late(monkeypatch, step, *, change_leader=False):
    """Play a task whose first start is late, and later a renewal.

    Its host restarts behind a cut, where both are carried out.
    """
    made = deployment.world(**{"s-one": 2})
    made.run_duration_s = lambda task, step: 9.0
    lost = {}

    def choose(effect, now):
        if isinstance(effect, messages.StartRun) and not lost:
            lost["start"] = effect.host
            return LATE_S
        if (
            isinstance(effect, messages.RenewLease)
            and effect.host == lost.get("start")
            and effect.lease_until_ms
            and now > BEGIN_S + 5.0
            and "renewal" not in lost
        ):
            lost["renewal"] = effect.host
            return LATE_S
        return None

    course = late_calls.LateCalls(
        made=made, monkeypatch=monkeypatch, choose=choose
    )
    course.run_until(BEGIN_S)
    made.submit(made.members[0], deployment.job(made, 1, step))
    while "renewal" not in lost:
        made.run(0.05)
    host = made.hosts[lost["start"]]
    late_calls.restart(made, host, cut=True)
    if change_leader:
        course.run_until(BEGIN_S + 10.0)
        made.leaders()[0].kill()
    course.run_until(BEGIN_S + 40.0)
    deployment.check(made)


@pytest.mark.parametrize("change_leader", (False, True))
@pytest.mark.parametrize("step", (LASTING, TIMED))
def test_a_late_renewal_extends_the_lease_of_a_late_run(
    monkeypatch, step, change_leader
):
    """Guards against TWICE: the run outlives the lease of its late start."""
    _renew_late(monkeypatch, step, change_leader=change_leader)


def test_runs_twice_if_late_renewals_do_not_count(monkeypatch):
    monkeypatch.setattr(latestarts, "on_renewal_lost", lambda *args: None)
    with pytest.raises(AssertionError, match="twice"):
        _renew_late(monkeypatch, LASTING)


def test_a_late_renewal_alone_extends_nothing():
    starts = late_starts.LateStarts()
    starts.renewed_until = 50.0
    assert starts.run_expires_at((model.TaskId("j", 0, 0, 0), 1), 7.0) == 7.0


def _acknowledge_late(monkeypatch, *, keeps_cursors):
    """Play tasks whose ends are acknowledged late, and others after them.

    Their host restarts behind a cut, where the late renewal is carried out
    before the leader's first call.
    """
    made = deployment.world(**{"s-one": 1})
    (host,) = made.hosts.values()
    made.hosts_keep_cursors = keeps_cursors
    lost = []

    def choose(effect, now):
        acknowledges = isinstance(effect, messages.RenewLease) and bool(
            effect.acknowledged
        )
        if lost or not acknowledges:
            return None
        lost.append(effect)
        return LATE_S

    late_calls.LateCalls(made=made, monkeypatch=monkeypatch, choose=choose)
    made.submit(made.members[0], deployment.job(made, 1, deployment.STEP))
    while not lost:
        made.run(0.05)
    late_calls.restart(made, host, cut=True)
    made.run(LATE_S + 0.1)
    assert host.acknowledged == lost[0].acknowledged
    made.cut_hosts.clear()
    job = deployment.job(made, 2, deployment.STEP)
    made.submit(made.members[0], job)
    made.run(5.0)
    deployment.check(made)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED


def test_a_late_cursor_does_not_drop_ends_that_come_after_it(monkeypatch):
    """Guards against a stand-in that loses ends which no call has dropped."""
    _acknowledge_late(monkeypatch, keeps_cursors=False)


def test_ends_are_lost_on_hosts_that_keep_a_late_cursor(monkeypatch):
    with pytest.raises(AssertionError, match="after its end was noted"):
        _acknowledge_late(monkeypatch, keeps_cursors=True)


def test_a_lost_acknowledgement_is_refused_once_a_start_has_arrived(
    monkeypatch,
):
    """Guards against TWICE: it waits beside runs that start after it."""
    made = deployment.world(**{"s-one": 1})
    (host,) = made.hosts.values()
    carried_out_at = []

    def choose(effect, now):
        acknowledges = isinstance(effect, messages.RenewLease) and bool(
            effect.acknowledged
        )
        if carried_out_at or not acknowledges:
            return None
        since_entry = (made.clock.now - host.born_at) % worlds.ENTRY_INTERVAL_S
        delay = 4 * worlds.ENTRY_INTERVAL_S - since_entry + 0.2
        carried_out_at.append(made.clock.now + delay)
        return delay

    late_calls.LateCalls(made=made, monkeypatch=monkeypatch, choose=choose)
    made.submit(made.members[0], deployment.job(made, 1, deployment.STEP))
    while not carried_out_at:
        made.run(0.05)
    made.run(carried_out_at[0] - 0.1 - made.clock.now)
    host.crash()
    host.restart()
    job = deployment.job(made, 2, deployment.STEP)
    made.submit(made.members[0], job)
    made.run(5.0)
    deployment.check(made)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
