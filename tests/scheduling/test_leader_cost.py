"""Function calls of the leader per started run, by size of the fleet."""

from azurewood.jobs import model
from tests.scheduling import deployment

SMALL = 500_000
"""Function calls per second: about half of a core."""
SECONDS = 4
STEP = model.Step(
    count=8, needs=model.Resources(1000, 500, 0), estimate_ms=800
)


def _calls_per_start(hosts):
    """Load a fleet to a third of its capacity; return calls per start."""
    made = deployment.world(members=1, **{"s-one": hosts})
    processor = made.leaders()[0].processor
    processor.speed = SMALL
    jobs_a_second = hosts // 5
    for number in range(jobs_a_second * SECONDS):
        job = deployment.job(made, number, STEP)
        made.submit(made.members[0], job)
        made.run(1 / jobs_a_second)
    deployment.check(made)
    assert made.rules.starts >= 0.8 * STEP.count * jobs_a_second * SECONDS
    return processor.total / made.rules.starts


def test_a_start_costs_no_more_in_a_larger_fleet():
    """The work per start must not grow with the number of hosts.

    Otherwise the leader cannot keep up with a large fleet.
    """
    small, large = _calls_per_start(50), _calls_per_start(200)
    assert large <= 1.25 * small
    assert large <= SMALL / (STEP.count * 200 // 5)
