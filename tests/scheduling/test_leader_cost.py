"""Function calls of the leader per started run, by size of the fleet."""

import dataclasses

import pytest

from azurewood.jobs import model
from tests.scheduling import deployment

SMALL = 500_000
"""Function calls per second: about half of a core."""
SECONDS = 4
STEP = model.Step(
    count=8, needs=model.Resources(1000, 500, 0), estimate_ms=800
)


@pytest.fixture(autouse=True)
def no_standby(monkeypatch):
    """Keep the idle hosts in their pool.

    With a standby pool most of them would be parked before the load begins,
    and the starts wait for their return and not for the leader.
    """
    pools = dict(deployment.CATALOG.pools)
    del pools["spare"]
    catalog = dataclasses.replace(deployment.CATALOG, pools=pools)
    monkeypatch.setattr(deployment, "CATALOG", catalog)


def _load(hosts, speed):
    """Load a fleet to a third of its capacity.

    Return the share of the tasks that have started, and calls per start.
    """
    made = deployment.world(members=1, **{"s-one": hosts})
    processor = made.leaders()[0].processor
    processor.speed = speed
    jobs_a_second = hosts // 5
    for number in range(jobs_a_second * SECONDS):
        job = deployment.job(made, number, STEP)
        made.submit(made.members[0], job)
        made.run(1 / jobs_a_second)
    deployment.check(made)
    submitted = STEP.count * jobs_a_second * SECONDS
    return made.rules.starts / submitted, processor.total / made.rules.starts


def test_a_start_costs_no_more_in_a_larger_fleet():
    """The work per start must not grow with the number of hosts.

    Otherwise the leader cannot keep up with a large fleet.
    """
    share, small = _load(50, SMALL)
    assert share >= 0.9
    share, large = _load(200, SMALL)
    assert share >= 0.9
    assert large <= 1.25 * small
    assert large <= SMALL / (STEP.count * 200 // 5)


def test_a_leader_that_is_too_slow_for_it_lags_behind():
    share, _ = _load(200, SMALL / 2)
    assert share < 0.8
