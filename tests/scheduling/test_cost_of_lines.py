"""Cost of logging waiting and stuck work, in function calls."""

import sys

from azurewood.jobs import model
from azurewood.scheduling import backlog
from azurewood.scheduling import stuck
from tests.scheduling import deployment

CALLS_PER_SECOND = 500_000
"""Function calls that use about half of a core."""
JOBS = 1500
HOSTS = 20
STEP = model.Step(
    count=8, needs=model.Resources(1000, 500, 0), estimate_ms=60000
)


def _state():
    """Return the state of a leader with a long queue, and the time."""
    made = deployment.world(members=1, **{"s-one": HOSTS})
    for number in range(JOBS):
        made.submit(made.members[0], deployment.job(made, number, STEP))
    made.run(4.0)
    return made.leaders()[0].member.term.state, made.clock.now


def _calls(work):
    count = [0]

    def count_call(frame, event, arg):
        count[0] += event in ("call", "c_call")

    before = sys.getprofile()
    sys.setprofile(count_call)
    try:
        work()
    finally:
        sys.setprofile(before)
    return count[0]


def test_lines_of_a_long_queue_leave_the_leader_its_time():
    """Guards against incident SHORT.

    The log lines written each second iterated over every waiting task, which
    left the leader too little time for scheduling.
    """
    state, now = _state()
    state.stuck_due = now
    calls = _calls(lambda: stuck.check(state, now))
    calls += _calls(lambda: backlog.by_pool(state))
    assert calls <= CALLS_PER_SECOND / 20
