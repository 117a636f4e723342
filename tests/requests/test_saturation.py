"""More requests at one daemon than it owns slots, with real processes."""

import pytest

from tests.requests import deployment as deployments

SLOTS = 8
CALLERS = 24


@pytest.mark.parametrize(
    ("program", "most"),
    [(("azurewood",), 8), (("tests.requests.baseline", "fixed-share"), 2)],
)
def test_slots_that_one_of_three_daemons_uses(tmp_path, program, most):
    with deployments.running(tmp_path, net=56, hosts=1) as fleet:
        fleet.start(3, program=program)
        daemon = fleet.daemons[0]
        calls = [
            deployments.call_in_thread(daemon.call, "/x", Work_Ms=300)
            for _ in range(CALLERS)
        ]
        control = fleet.control()
        seen = set()
        while not all(fut.done() for fut in calls):
            seen.add(control.get("/control/state")["busy_slots"])
        assert max(seen) == most
        assert {fut.result().outcome for fut in calls} == {"ran"}
