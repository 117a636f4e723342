"""Fencing tokens that are raised as a stop got no answer."""

from azurewood.jobs import model
from azurewood.journal import pages
from azurewood.scheduling import messages
from tests.scheduling import deployment
from tests.scheduling import late_calls

ONE = model.Step(count=1, needs=model.Resources(1000, 500, 0), estimate_ms=900)
NO_BEATS_S = (1.0, 5.0)
LATE_STOPS = 2
STOPPED_S = 3.5


def test_a_stop_waits_for_no_token_if_the_newest_bars_the_start(monkeypatch):
    """No beat is stored for seconds, so there is no higher token."""
    made = deployment.world(**{"s-one": 1})
    starts = []
    stops = []

    def choose(effect, now):
        if isinstance(effect, messages.StopRun):
            stops.append(now)
            return 30.0 if len(stops) <= LATE_STOPS else None
        if isinstance(effect, messages.StartRun) and not starts:
            starts.append(now)
            return 5.5
        return None

    course = late_calls.LateCalls(
        made=made, monkeypatch=monkeypatch, choose=choose
    )
    fault_of_hosts = made.fault_of
    begins_s, ends_s = NO_BEATS_S

    def fault_of(call):
        beat = call.partition and call.partition[0] is pages.Topic.LEADER
        if beat and begins_s < course.now < ends_s:
            return "late"
        return fault_of_hosts(call)

    made.fault_of = fault_of
    job = deployment.job(made, 1, ONE)
    made.submit(made.members[0], job)
    course.run_until(0.2)
    made.cancel(made.members[0], job.id)
    course.run_until(9.0)
    deployment.check(made)
    assert starts
    assert stops[LATE_STOPS] < STOPPED_S, stops
