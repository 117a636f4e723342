"""Refusal of jobs that do not fit on any machine."""

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
def test_reason_names_the_step_that_fits_on_no_machine(needs):
    assert feasibility.infeasible_reason(_job(**needs), LARGEST).startswith(
        "step 1"
    )


def test_job_that_fits_on_one_machine_is_feasible():
    job = _job(cpu=4000, memory_mb=8000, gpu=1)
    assert feasibility.infeasible_reason(job, LARGEST) == ""


def test_every_job_is_feasible_before_the_machines_are_known():
    assert (
        feasibility.infeasible_reason(_job(cpu=9000), model.Resources()) == ""
    )


def test_largest_amount_is_found_per_resource():
    rooms = [model.Resources(4000, 10, 0), model.Resources(1, 8000, 1)]
    assert model.largest_of_each(rooms) == LARGEST
    assert model.largest_of_each([]) == model.Resources()
