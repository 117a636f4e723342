"""Pools while hosts begin in a zone that is cut off."""

import math

from loguru import logger
import pytest

from azurewood.jobs import model
from azurewood.scheduling import unseen
from tests.scheduling import deployment

STEP = model.Step(
    count=4, needs=model.Resources(1000, 500, 0), estimate_ms=800
)
JOBS_PER_S = 8
SECONDS = 12
HORIZON_S = 5.0


@pytest.fixture
def pool_lines(no_logs):
    """Return a list that receives the fields of ``pool.state`` lines."""
    found = []
    logger.enable("azurewood")
    sink = logger.add(
        lambda message: found.append(message.record["extra"]),
        filter=lambda record: record["extra"].get("event") == "pool.state",
    )
    yield found
    logger.remove(sink)


def _world():
    made = deployment.world(
        zones=("a", "b"),
        pools_off=frozenset({"spare"}),
        **{"s-one": 2, "s-two": 2, "spare": 24},
    )
    made.run(3.0)
    return made


def _submit(made, seconds):
    """Submit jobs at a steady rate; return their ids."""
    asked = []
    for number in range(int(seconds * JOBS_PER_S)):
        job = deployment.job(made, 100 + number, STEP, queue="one")
        made.submit(made.members[number % 3], job)
        asked.append(job)
        made.run(1 / JOBS_PER_S)
    return asked


def _share_in_time(made):
    """Cut zone b before a turn begins; return the share in time."""
    made.run_duration_s = lambda task, step: 1.0
    made.cut_zones.add("b")
    made.run(2.0)
    asked = []
    done = {}

    def look():
        for job in asked:
            if deployment.phase(made, job.id) is model.Phase.COMPLETED:
                done.setdefault(job.id, made.clock.now * 1000)

    for number in range(SECONDS * JOBS_PER_S):
        asked.append(deployment.job(made, 500 + number, STEP, queue="one"))
        made.submit(made.members[number % 3], asked[-1])
        made.run(1 / JOBS_PER_S)
        look()
    for _ in range(int(HORIZON_S / 0.05)):
        made.run(0.05)
        look()
    late = math.inf
    on_time = sum(
        done.get(job.id, late) <= job.objective_at_ms() for job in asked
    )
    return on_time / len(asked)


def test_a_turn_gets_machines_of_zones_in_reach(monkeypatch):
    made = _world()
    share = _share_in_time(made)
    made.cut_zones.clear()
    made.run(15.0)
    deployment.check(made)
    monkeypatch.setattr(unseen, "unreachable_zones", lambda state: set())
    assert share >= _share_in_time(_world()) + 0.08


def test_unseen_hosts_are_neither_serving_nor_idle(pool_lines):
    made = _world()
    made.cut_zones.add("b")
    _submit(made, SECONDS)
    lines = [line for line in pool_lines if line["pool"] == "s-one"]
    assert any(line["unseen"] for line in lines)
    in_reach = [
        host
        for host in made.hosts.values()
        if host.up and host.service == "s-one" and host.zone == "a"
    ]
    assert lines[-1]["hosts"] <= len(in_reach)
    made.cut_zones.clear()
    made.run(4.0)
    last = [line for line in pool_lines if line["pool"] == "s-one"][-1]
    assert last["unseen"] == 0


def test_machines_of_a_zone_in_reach_are_taken_first():
    made = _world()
    made.cut_zones.add("b")
    made.run(2.0)
    _submit(made, 1.5)
    lent = [
        machine.zone
        for machine in made.machines.values()
        if machine.name.startswith("spare") and machine.pool == "s-one"
    ]
    assert len(lent) >= 4
    assert set(lent) == {"a"}
    deployment.check(made)


def test_no_host_is_missing_while_entries_cannot_be_read(pool_lines):
    made = _world()
    _submit(made, 1)
    made.store_down = True
    _submit(made, 4)
    assert not any(line["unseen"] for line in pool_lines)
    made.store_down = False
    made.run(20.0)
    deployment.check(made)
