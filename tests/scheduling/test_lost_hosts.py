"""Tasks of hosts that are gone come back soon, whoever leads by then."""

from tests.scheduling import deployment

BACK_S = 11.0
"""From the daemon's end; the users take a lasting task for lost half a
second later."""
STOPPED_BACK_S = 7.0
"""The same if the leader says that it stops: a lease and half a second."""


def _lose_a_host(made):
    """Run a lasting job; end one of its hosts for good."""
    job = deployment.job(made, 1, deployment.LASTING)
    made.submit(made.members[0], job)
    made.run(4.0)
    assert deployment.at_work(made, job.id) == 3
    victim = next(h for h in made.hosts.values() if h.runs)
    victim.crash()
    return job.id


def _all_back(made, job_id, seconds):
    made.run(seconds)
    deployment.check(made)
    return deployment.at_work(made, job_id) == 3


def test_no_lasting_task_is_lost_if_the_leader_dies_after_its_host():
    """The incident LOST: a new leader waited from its own beginning."""
    for seed in range(20):
        made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
        job_id = _lose_a_host(made)
        made.run(2.0)
        made.leaders()[0].kill()
        assert _all_back(made, job_id, BACK_S), seed


def test_no_lasting_task_is_lost_if_the_leader_stops_after_its_host():
    for seed in range(20):
        made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
        job_id = _lose_a_host(made)
        made.run(2.0)
        leader = made.leaders()[0]
        leader.member.leave()
        made.run(0.1)
        leader.kill()
        assert _all_back(made, job_id, STOPPED_BACK_S), seed


def test_no_lasting_task_is_lost_if_all_daemons_die_after_its_host():
    for seed in range(20):
        made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
        job_id = _lose_a_host(made)
        for member in made.members:
            member.kill()
        made.run(0.5)
        for member in made.members:
            member.start()
        assert _all_back(made, job_id, BACK_S), seed
