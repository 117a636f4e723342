"""The job registry, which applies the stored records of jobs."""

import pytest

from azurewood.jobs import exceptions
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import registry

JOB = model.Job(
    id="1", queue="q", service="s", payload="p", steps=(model.Step(count=2),)
)


def test_a_job_goes_from_pending_to_its_end():
    made = registry.JobRegistry()
    assert made.apply(records.Accepted(job=JOB))
    assert not made.apply(records.Accepted(job=JOB))
    assert made.entries["1"].phase is model.Phase.PENDING
    assert made.waiting["q"] == 1
    made.apply(records.Begun(ids=("1",)))
    assert made.entries["1"].phase is model.Phase.RUNNING
    assert made.waiting["q"] == 0
    made.apply(records.Ended(id="1", phase=model.Phase.COMPLETED))
    assert made.entries["1"].phase is model.Phase.COMPLETED


def test_first_end_is_final():
    made = registry.JobRegistry()
    made.apply(records.Accepted(job=JOB))
    made.apply(records.Cancelled(id="1"))
    made.apply(records.Ended(id="1", phase=model.Phase.COMPLETED))
    assert made.entries["1"].phase is model.Phase.CANCELLED
    assert made.waiting["q"] == 0


@pytest.mark.parametrize("first", ["begun", "ended", "cancelled"])
def test_records_before_their_job_are_kept(first):
    made = registry.JobRegistry()
    early = {
        "begun": records.Begun(ids=("1",)),
        "ended": records.Ended(id="1", phase=model.Phase.FAILED),
        "cancelled": records.Cancelled(id="1"),
    }[first]
    made.apply(early)
    made.apply(records.Accepted(job=JOB))
    assert made.entries["1"].phase is not model.Phase.PENDING
    assert made.waiting["q"] == 0


def test_records_are_read_back():
    for record in (
        records.Accepted(job=JOB),
        records.Cancelled(id="1"),
        records.Ended(id="1", phase=model.Phase.FAILED),
        records.Begun(ids=("1", "2")),
    ):
        assert records.decode(records.encode(record)) == record


def test_later_versions_are_refused_and_later_fields_are_not():
    later = records.Cancelled(id="1", version=records.VERSION + 1)
    with pytest.raises(exceptions.InvalidRecord):
        records.decode(records.encode(later))
    with pytest.raises(exceptions.InvalidRecord):
        records.decode(b"\xc1")


def test_objective_is_the_longest_chain_and_more():
    steps = (
        model.Step(count=1, estimate_ms=100),
        model.Step(count=1, estimate_ms=300),
        model.Step(count=1, estimate_ms=50, after=(0, 1)),
    )
    job = model.Job(
        id="1",
        queue="q",
        service="s",
        payload="",
        steps=steps,
        accepted_ms=1000,
        objective_factor=2.0,
        objective_ms=600,
    )
    assert job.critical_path_ms() == 350
    assert job.objective_at_ms() == 1000 + 700 + 600
