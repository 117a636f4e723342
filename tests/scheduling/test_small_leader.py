"""Jobs end in time although the leader has a small processor."""

from azurewood.jobs import model
from tests.scheduling import deployment

SMALL = 500_000
"""Function calls per second: about half of a core."""
HOSTS = 100
JOBS_A_SECOND = 20
SECONDS = 5.0
STEP = model.Step(
    count=8, needs=model.Resources(1000, 500, 0), estimate_ms=800
)


def _submit_jobs(made):
    """Submit jobs at a steady rate; return their ids."""
    ids = []
    for number in range(int(JOBS_A_SECOND * SECONDS)):
        job = deployment.job(made, number, STEP)
        made.submit(made.members[number % len(made.members)], job)
        ids.append(job.id)
        made.run(1 / JOBS_A_SECOND)
    return ids


def _share_in_time(made, ids):
    ended = made.rules.ended_at
    in_time = 0
    for job_id in ids:
        job = made.rules.asked[job_id]
        at_ms = ended.get(job_id, float("inf")) * 1000
        in_time += at_ms <= job.objective_at_ms()
    return in_time / len(ids)


def _run_with_speed(speed):
    """Return the share of jobs that end in time at a processor speed."""
    made = deployment.world(members=2, **{"s-one": HOSTS})
    for member in made.members:
        member.processor.speed = speed
    ids = _submit_jobs(made)
    made.run(3.0)
    deployment.check(made)
    return _share_in_time(made, ids)


def test_jobs_end_in_time_under_a_small_leader():
    """A leader that is slower than its fleet would make jobs late."""
    assert _run_with_speed(SMALL) >= 0.9 * _run_with_speed(None)
