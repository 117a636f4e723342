"""Stops of runs of which a repeated start waits for its record."""

import pytest

from azurewood.jobs import model
from azurewood.journal import pages
from azurewood.scheduling import messages
from azurewood.scheduling import runs
from standins.fleet import members
from tests.scheduling import deployment

WIDE = model.Step(
    count=1, needs=model.Resources(3000, 500, 0), estimate_ms=2000
)
LATE_S = 5.7
STORE_BACK_S = 7.0


def _cancel_while_the_record_waits(monkeypatch):
    """Cancel a job whose start is late while no progress is stored."""
    made = deployment.world(**{"s-one": 1})
    (host,) = made.hosts.values()
    began_at = made.clock.now
    late = []

    def fault_of(call):
        saving = call.partition and call.partition[0] is pages.Topic.PROGRESS
        if saving and late and made.clock.now < began_at + STORE_BACK_S:
            return "late"
        if call.target == host.id and call.changes and not late:
            late.append(call)
            return "late"
        return ""

    monkeypatch.setattr(members, "LATE_CALL_DELAY_S", (LATE_S, LATE_S))
    made.fault_of = fault_of
    job = deployment.job(made, 1, WIDE)
    made.submit(made.members[0], job)
    made.run(1.6)
    state = made.leaders()[0].member.term.state
    waiting = [*(state.saving_effects or ()), *state.deferred_effects]
    assert any(isinstance(e, messages.StartRun) for e in waiting)
    made.cancel(made.members[0], job.id)
    made.run(10.0)
    deployment.check(made)


def test_a_stop_does_not_wait_for_the_record_of_a_repeated_start(monkeypatch):
    _cancel_while_the_record_waits(monkeypatch)


def test_a_cancelled_run_begins_if_its_stop_waits(monkeypatch):
    usual = runs.retry_call

    def retry_call(state, host, run, now):
        if run.waiting_start is None:
            usual(state, host, run, now)

    monkeypatch.setattr(runs, "retry_call", retry_call)
    with pytest.raises(AssertionError, match="after its cancellation"):
        _cancel_while_the_record_waits(monkeypatch)
