"""Jobs that no machine can hold."""

import pytest

from azurewood.jobs import model
from azurewood.policy import feasibility

LARGEST = model.Resources(4000, 8000, 1)


def _job(**needs):
    step = model.Step(count=1, needs=model.Resources(**needs))
    small = model.Step(count=1, needs=model.Resources(cpu=1))
    return model.Job(
        id="a", queue="q", service="s", payload="", steps=(small, step)
    )


@pytest.mark.parametrize(
    "needs", [{"cpu": 4001}, {"memory_mb": 8001}, {"gpu": 2}]
)
def test_what_no_machine_has_is_told_with_its_step(needs):
    assert feasibility.misfit(_job(**needs), LARGEST).startswith("step 1")


def test_what_one_machine_has_is_taken():
    job = _job(cpu=4000, memory_mb=8000, gpu=1)
    assert feasibility.misfit(job, LARGEST) == ""


def test_nothing_is_refused_before_the_machines_are_known():
    assert feasibility.misfit(_job(cpu=9000), model.Resources()) == ""


def test_the_largest_is_taken_by_resource():
    rooms = [model.Resources(4000, 10, 0), model.Resources(1, 8000, 1)]
    assert model.largest_of_each(rooms) == LARGEST
    assert model.largest_of_each([]) == model.Resources()
