"""Jobs whose append has no outcome yet, at the daemon that appends them."""

from loguru import logger

from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.journal import appender
from azurewood.journal import pages
from standins.fleet import members
from standins.fleet import platform
from standins.fleet import store as stores
from tests.scheduling import deployment

SHORT = model.Step(
    count=1, needs=model.Resources(1000, 500, 0), estimate_ms=200
)
CALLER_WAITS_S = 3.0
REFUSED_S = 1.9
"""Longer than a record waits to be sent."""
LATE_S = members.LATE_CALL_DELAY_S[1]
CALL_S = 2.0
"""Longer than an append waits for its answer."""
STEP_S = 0.1


def _entry(made):
    """Return a daemon that doesn't lead."""
    return next(m for m in made.members if not m.leads)


def _hand_in(made, member, job):
    made.rules.asked[job.id] = job
    return member.member.job_service.submit(job, timeout_s=0.0)


def _carry_out_late(made):
    """Give no answer to appends of jobs and carry them out late."""

    def fault_of(call):
        jobs = call.partition == (pages.Topic.JOBS, 0)
        return "late" if jobs else ""

    made.fault_of = fault_of


def test_a_job_that_may_be_stored_is_not_said_to_be_absent():
    """A caller whose cancellation gets NotThere has no job that may run."""
    made = deployment.world()
    member = _entry(made)
    job = deployment.job(made, 1, SHORT)
    _carry_out_late(made)
    handed_in = _hand_in(made, member, job)
    assert isinstance(handed_in, verdicts.OutcomeUnknown)
    made.run(CALLER_WAITS_S)
    cancelled = member.member.job_service.cancel(job.id, timeout_s=0.0)
    shown = member.member.job_service.show(job.id)
    del made.fault_of
    made.run(LATE_S)
    assert deployment.phase(made, job.id) is not None
    assert verdicts.NotThere() not in (cancelled, shown)


def test_a_job_that_may_be_stored_is_not_refused_when_it_is_handed_in_again():
    """A refusal says that the job never runs."""
    made = deployment.world()
    member = _entry(made)
    job = deployment.job(made, 1, SHORT)
    _carry_out_late(made)
    _hand_in(made, member, job)
    again = made.submit(member, job)
    made.run(CALLER_WAITS_S)
    del made.fault_of
    made.run(LATE_S)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    assert not isinstance(again.verdict, verdicts.Refused)


def test_a_job_is_not_run_again_by_an_append_of_before_its_removal():
    """A daemon that was cut off repeats an append that nobody waits for."""
    made = deployment.world()
    member = _entry(made)
    job = deployment.job(made, 1, SHORT)
    member.cut_from.add(platform.STORE)
    _hand_in(made, member, job)
    made.run(CALLER_WAITS_S)
    made.submit(made.leaders()[0], job)
    made.run(2.0)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    leader = made.leaders()[0].member
    made.run(leader._retention_s + 5.0)
    assert job.id not in leader.job_service.registry.entries
    member.cut_from.clear()
    made.run(5.0)
    deployment.check(made)
    assert job.id not in leader.job_service.registry.entries


def test_a_job_whose_append_is_given_up_is_not_denied_while_it_may_come():
    made = deployment.world()
    member = _entry(made)
    job = deployment.job(made, 1, SHORT)
    member.cut_from.add(platform.STORE)
    _hand_in(made, member, job)
    made.run(member.member._retention_s / 2 - CALL_S)
    _carry_out_late(made)
    made.run(CALL_S)
    member.cut_from.clear()
    shown = []
    for _ in range(int(LATE_S / STEP_S)):
        made.run(STEP_S)
        shown.append(member.member.job_service.show(job.id))
    assert isinstance(shown[-1], verdicts.JobStatus)
    assert verdicts.NotThere() not in shown


def test_no_append_counts_the_failures_of_withdrawn_records(
    monkeypatch, no_logs
):
    """Its line would say that an append which had failed is stored."""
    made = deployment.world()
    member = _entry(made)
    with monkeypatch.context() as patched:
        patched.setattr(
            stores.Store,
            "append",
            lambda *_: appender.NotDone(reason="503"),
        )
        refused = made.submit(member, deployment.job(made, 1, SHORT))
        made.run(REFUSED_S)
    lines = []
    logger.enable("azurewood")
    sink = logger.add(lambda m: lines.append(m.record["extra"]), level="INFO")
    stored = made.submit(member, deployment.job(made, 2, SHORT))
    made.run(REFUSED_S)
    logger.remove(sink)
    assert isinstance(refused.verdict, verdicts.Refused)
    assert stored.verdict == verdicts.Taken()
    resolved = [x for x in lines if x.get("event") == "append.resolved"]
    assert [x for x in resolved if x["topic"] == "jobs"] == []
