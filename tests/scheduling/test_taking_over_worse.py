"""Changes of leader that must not leave the fleet worse off."""

import pytest

from azurewood.jobs import model
from tests.scheduling import deployment

SMALL, LARGE = 0.516, 2.15
STEP = model.Step(
    count=6, needs=model.Resources(1000, 500, 0), estimate_ms=1500
)


def _start_partitioned_strong_daemon(seed, members, hosts, reached):
    """Start a strong daemon that reaches ``reached`` hosts only.

    Return the world and the daemon.
    """
    cores = (*[SMALL] * (members - 1), LARGE)
    made = deployment.world(seed=seed, cores=cores, **{"s-one": hosts})
    strong = made.members[-1]
    strong.kill()
    made.run(3.0)
    strong.cut_from |= set(sorted(made.hosts)[reached:])
    strong.start()
    return made, strong


def _share_led(made, member, seconds):
    """Return the share of the next ``seconds`` in which a member leads."""
    samples = int(seconds / 0.1)
    samples_led = 0
    for _ in range(samples):
        made.run(0.1)
        samples_led += member in made.leaders()
    return samples_led / samples


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_leader_without_hosts_does_not_succeed_itself(seed):
    """A leader that released the term must not claim it again unopposed.

    It reaches no hosts, so nothing would run.
    """
    made, strong = _start_partitioned_strong_daemon(seed, 2, 10, 0)
    made.run(15.0)
    assert _share_led(made, strong, 10.0) < 0.5


def test_a_strong_daemon_that_reaches_few_hosts_does_not_keep_a_term():
    made, strong = _start_partitioned_strong_daemon(1, 3, 10, 2)
    made.run(15.0)
    assert _share_led(made, strong, 10.0) < 0.5


@pytest.mark.parametrize("seconds", [4.0, 8.0, 10.0, 12.0])
def test_work_done_in_an_outage_is_not_done_again(seconds):
    """Tasks that ended during an outage of the store must not run again.

    Hosts list the ends of runs before the runs disappear from their lists.
    """
    made = deployment.world()
    leader = made.leaders()[0]
    up = next(member for member in made.members if member is not leader)
    made.submit(up, deployment.job(made, 1, STEP))
    made.run(0.8)
    assert made.rules.starts == STEP.count
    made.store_down = True
    leader.kill()
    made.run(seconds)
    made.store_down = False
    made.run(6.0)
    deployment.check(made)
    assert made.rules.starts == STEP.count
