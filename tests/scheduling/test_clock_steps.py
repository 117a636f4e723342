"""The time of day jumps by seconds on some daemons, and back.

Leases, orders, the election and the order of the queue do not depend on it.
"""

import msgspec
import pytest

from azurewood.jobs import model
from azurewood.scheduling import messages
from azurewood.scheduling import reducer
from azurewood.scheduling import tasks
from tests.scheduling import deployment

STEPS_MS = (-60_000.0, -2_000.0, 2_000.0, 60_000.0)
SHORT = model.Step(
    count=2, needs=model.Resources(2000, 500, 0), estimate_ms=400
)


def _set_clocks(made, step_ms, leader_only=False):
    for member in made.members:
        if member.leads or not leader_only:
            member.clock_step_ms = step_ms


def _completion_order(made, count=12):
    """Submit more jobs than fit at once; return their numbers by end."""
    ids = []
    for number in range(1, count + 1):
        job = deployment.job(made, number, SHORT)
        made.submit(made.members[number % len(made.members)], job)
        ids.append(job.id)
        made.run(0.02)
    ended = []
    for _ in range(400):
        made.run(0.05)
        for job_id in ids:
            phase = deployment.phase(made, job_id)
            if phase is model.Phase.COMPLETED and job_id not in ended:
                ended.append(job_id)
        if len(ended) == count:
            break
    return ended


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_the_leaders_clock_does_not_change_the_order_of_the_queue(step_ms):
    calm = deployment.world()
    expected = _completion_order(calm)
    made = deployment.world()
    _set_clocks(made, step_ms, leader_only=True)
    assert _completion_order(made) == expected
    deployment.check(made)


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_leases_and_terms_go_on_over_steps_of_all_clocks(step_ms):
    made = deployment.world()
    lasting = deployment.job(made, 1, deployment.LONG_LIVED)
    made.submit(made.members[0], lasting)
    made.run(5.0)
    (leader,) = made.leaders()
    starts = made.rules.starts
    _set_clocks(made, step_ms)
    made.run(8.0)
    _set_clocks(made, 0.0)
    made.run(8.0)
    assert made.leaders() == [leader]
    assert made.rules.starts == starts
    assert deployment.running_tasks(made, lasting.id) == 3
    deployment.check(made)


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_new_leader_with_a_wrong_clock_waits_for_leases(step_ms):
    """As in test_takeover, where a host falls silent before the leader."""
    long = model.Step(
        count=1, needs=model.Resources(1000, 500, 0), estimate_ms=4000
    )
    made = deployment.world()
    job = deployment.job(made, 1, long)
    (leader,) = made.leaders()
    others = [member for member in made.members if member is not leader]
    made.submit(others[0], job)
    made.run(0.3)
    made.cut_hosts.add(next(h.id for h in made.hosts.values() if h.runs))
    leader.kill()
    _set_clocks(made, step_ms)
    made.run(20.0)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    deployment.check(made)


def _state(now):
    return reducer.begin(
        term=1,
        found=[],
        stored={},
        leases_expire_at=0.0,
        order_pause_s=4.0,
        now=now,
        unix_ms=1_000_000.0,
    )


@pytest.mark.parametrize(
    ("accepted_ms", "expected_ms"),
    [
        (1_000_000.0, 1_000_000.0),
        (999_500.0, 999_500.0),
        (1_060_000.0, 1_000_000.0),
        (940_000.0, 998_000.0),
    ],
)
def test_a_jobs_age_is_bounded_by_what_the_leader_saw(
    accepted_ms, expected_ms
):
    """A job accepted by a daemon with a wrong clock is neither late nor new.

    Without the bounds a job accepted a minute "ago" would count as late and
    wait behind all others.
    """
    made = deployment.world()
    state = _state(50.0)
    job = msgspec.structs.replace(
        deployment.job(made, 1, SHORT), accepted_ms=int(accepted_ms)
    )
    added = tasks.add_job(state, job, 50.0)
    assert added.accepted_ms == expected_ms
    length = job.objective_at_ms() - job.accepted_ms
    assert added.objective_at_ms == expected_ms + length


def test_schedules_follow_the_time_of_day():
    state = _state(50.0)
    tick = messages.Tick(unix_ms=1_005_000.0, may_order=False, fence=1)
    reducer.handle_event(state, tick, 51.0)
    assert state.unix_ms == 1_005_000.0
    assert state.clock_ms == 1_001_000.0
