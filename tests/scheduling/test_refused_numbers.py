"""A leader whose sequence number the store refuses."""

import pytest

from azurewood.daemons import takeover
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.journal import appender
from azurewood.journal import pages
from tests.scheduling import deployment

SHORT = model.Step(
    count=1, needs=model.Resources(1000, 500, 0), estimate_ms=200
)


def _run_after_a_late_fencing_call(topic):
    """Return the world and a job that is submitted after such a call.

    The first copy of a leader's fencing call is carried out long after its
    repetition, and sets the sequence number back.
    """
    made = deployment.world()
    first = deployment.job(made, 1, SHORT)
    made.submit(made.members[0], first)
    made.run(5.0)
    assert deployment.phase(made, first.id) is model.Phase.COMPLETED
    term = made.leaders()[0].member.term.number
    made.store.append(topic, (), takeover.PRODUCER, term, 0)
    second = deployment.job(made, 2, SHORT)
    made.submit(made.members[0], second)
    made.run(20.0)
    return made, second.id


@pytest.mark.parametrize("topic", takeover.FENCED_TOPICS)
def test_jobs_run_although_the_store_refuses_a_leaders_number(topic):
    made, job_id = _run_after_a_late_fencing_call(topic)
    assert deployment.phase(made, job_id) is model.Phase.COMPLETED
    deployment.check(made)


def test_a_refused_number_is_noted():
    writer = appender.Appender(epoch=1)
    record = appender.Record(key="a", value=b"v")
    writer.add(appender.Item(records=(record,)))
    writer.next_call(0.0)
    writer.handle_result(appender.Conflict(reason="seq"), 0.1)
    assert writer.out_of_sequence


def test_the_intake_is_emptied_although_the_store_refuses_a_number():
    made = deployment.world()
    made.run(1.0)
    term = made.leaders()[0].member.term.number
    part = 0
    made.store.append(pages.Topic.INTAKE, (), takeover.PRODUCER, term, 5, part)
    job = deployment.job(made, 1, SHORT)
    made.rules.asked[job.id] = job
    record = records.Accepted(job=job)
    stored = appender.Record(key=record.key, value=records.encode(record))
    made.store.add(pages.Topic.INTAKE, (stored,), part)
    made.run(20.0)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    assert not made.store.values(pages.Topic.INTAKE, part)
