"""Records that a daemon cannot read, and errors that nobody expected.

Neither ends a process, and what cannot be read is not taken for absent.
"""

import pytest

from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import verdicts
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.scheduling import job_records
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import progress
from azurewood.scheduling import reducer
from tests.scheduling import deployment

LONG = model.Step(
    count=1, needs=model.Resources(1000, 500, 0), estimate_ms=9000
)
GARBAGE = b"\xc1 not a record"


def _write(made, topic, key, value):
    made.store.add(topic, (appender.Record(key=key, value=value),))


def _lose_progress_and_leader(made, value):
    """Damage the progress of a job that runs, then kill the leader."""
    job = deployment.job(made, 1, LONG)
    leader = made.leaders()[0]
    others = [member for member in made.members if member is not leader]
    made.submit(others[0], job)
    made.run(1.0)
    assert deployment.running_tasks(made, job.id) == 1
    leader.kill()
    _write(made, pages.Topic.PROGRESS, job_records.PREFIX + job.id, value)
    made.run(4.0)
    return job.id


def test_a_job_whose_progress_is_unreadable_is_left_as_it_is():
    made = deployment.world()
    job_id = _lose_progress_and_leader(made, GARBAGE)
    assert deployment.running_tasks(made, job_id) == 1
    assert made.rules.starts == 1
    other = deployment.job(made, 2)
    made.submit(made.members[0], other)
    made.submit(made.members[1], other)
    made.run(8.0)
    assert deployment.phase(made, other.id) is model.Phase.COMPLETED
    deployment.check(made)


def test_its_work_is_lost_if_the_record_is_taken_for_absent():
    """A deleted record is what an unreadable one used to be taken for."""
    made = deployment.world()
    _lose_progress_and_leader(made, None)
    made.run(12.0)
    assert made.rules.starts == 2


def test_a_cancellation_stops_the_runs_of_such_a_job():
    made = deployment.world()
    job_id = _lose_progress_and_leader(made, GARBAGE)
    alive = next(member for member in made.members if member.up)
    made.cancel(alive, job_id)
    made.run(3.0)
    assert deployment.running_tasks(made, job_id) == 0
    deployment.check(made)


def test_unreadable_orders_block_all_machines_for_the_pause():
    state = reducer.begin(
        term=5,
        found=[],
        stored={progress.ORDERS_KEY: GARBAGE},
        leases_expire_at=0.0,
        order_pause_s=4.0,
        now=100.0,
    )
    assert not state.may_order("any", 103.9)
    assert state.may_order("any", 104.0)


def test_readable_orders_block_only_their_machines():
    earlier = scheduling.State(term=4, leases_expire_at=0.0)
    earlier.ordered_at["m"] = 99.0
    state = reducer.begin(
        term=5,
        found=[],
        stored={progress.ORDERS_KEY: progress.encode_orders(earlier, 100.0)},
        leases_expire_at=0.0,
        order_pause_s=4.0,
        now=100.0,
    )
    assert state.may_order("any", 100.0)
    assert not state.may_order("m", 102.9)


@pytest.mark.parametrize("kind", ["a", "c", "e", "b"])
def test_the_state_of_a_job_with_an_unreadable_record_is_unknown(kind):
    made = deployment.world()
    job = deployment.job(made, 1, LONG)
    if kind != "a":
        made.submit(made.members[0], job)
        made.run(1.0)
    _write(made, pages.Topic.JOBS, f"{kind}/{job.id}", GARBAGE)
    made.run(1.0)
    for member in made.members:
        service = member.member.job_service
        assert service.show(job.id) == verdicts.StatusUnknown()
        assert deployment.cancel(made, member, "0" * 16) == verdicts.NotThere()
    other = deployment.job(made, 2)
    made.submit(made.members[1], other)
    made.run(4.0)
    assert deployment.phase(made, other.id) is model.Phase.COMPLETED
    deployment.check(made)


def test_a_job_with_an_unreadable_record_is_not_accepted_anew():
    made = deployment.world()
    job = deployment.job(made, 1)
    _write(made, pages.Topic.JOBS, f"a/{job.id}", GARBAGE)
    made.run(1.0)
    verdict = made.members[0].member.job_service.submit(job, timeout_s=0.0)
    assert isinstance(verdict, verdicts.OutcomeUnknown)


def test_a_record_of_a_later_version_is_unreadable():
    made = deployment.world()
    job = deployment.job(made, 1)
    later = records.Accepted(job=job, version=records.VERSION + 1)
    _write(made, pages.Topic.JOBS, later.key, records.encode(later))
    made.run(1.0)
    shown = made.members[0].member.job_service.show(job.id)
    assert shown == verdicts.StatusUnknown()
    assert made.rules.starts == 0


def test_an_unexpected_error_ends_the_term_and_not_the_process(monkeypatch):
    made = deployment.world()
    leader = made.leaders()[0]
    handle_event = reducer.handle_event
    failed = []

    def fail_once(state, event, now):
        if not failed:
            failed.append(event)
            raise ZeroDivisionError
        handle_event(state, event, now)

    monkeypatch.setattr(reducer, "handle_event", fail_once)
    made.run(0.5)
    assert failed
    assert not leader.leads
    assert leader.up
    job = deployment.job(made, 1)
    made.submit(leader, job)
    made.run(8.0)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    assert leader.member.job_service.ready()
    deployment.check(made)
