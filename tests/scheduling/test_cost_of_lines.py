"""What a leader's lines of waiting work cost it, in function calls."""

import sys

from azurewood.jobs import model
from azurewood.scheduling import backlog
from azurewood.scheduling import stuck
from tests.scheduling import deployment

SMALL = 500_000
"""Function calls a second: about half of a core."""
JOBS = 1500
HOSTS = 20
STEP = model.Step(
    count=8, needs=model.Resources(1000, 500, 0), estimate_ms=60000
)


def _state():
    """Return a leader's state with a long queue."""
    made = deployment.world(members=1, **{"s-one": HOSTS})
    for number in range(JOBS):
        made.submit(made.members[0], deployment.job(made, number, STEP))
    made.run(4.0)
    return made.leaders()[0].member.term.state, made.clock.now


def _calls(work):
    count = [0]

    def took(frame, event, arg):
        count[0] += event in ("call", "c_call")

    before = sys.getprofile()
    sys.setprofile(took)
    try:
        work()
    finally:
        sys.setprofile(before)
    return count[0]


def test_lines_of_a_long_queue_leave_the_leader_its_time():
    """Guards against SHORT: lines told each second look at every task."""
    state, now = _state()
    state.stuck_due = now
    calls = _calls(lambda: stuck.check(state, now))
    calls += _calls(lambda: backlog.by_pool(state))
    assert calls <= SMALL / 20
