"""Cancellations at a daemon that does not know the job."""

from azurewood.jobs import desk
from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.journal import pages
from standins.fleet import platform
from tests.scheduling import deployment

LONG = model.Step(
    count=1, needs=model.Resources(500, 500, 0), estimate_ms=5000
)
CUT_S = 0.3


def _cut_one_off():
    """Cut a daemon off the store, and hand a job in at another one."""
    made = deployment.world()
    leader = made.leaders()[0]
    cut, other = [one for one in made.members if one is not leader]
    made.submit(other, deployment.job(made, 2))
    made.run(0.3)
    cut.cut_from.add(platform.STORE)
    made.run(CUT_S)
    job = deployment.job(made, 1, LONG)
    made.submit(other, job)
    made.run(0.5)
    assert deployment.phase(made, job.id) is not None
    return made, cut, job


def test_a_daemon_that_has_just_been_cut_off_denies_no_job():
    """Guards against UNASKED: review/10."""
    made, cut, job = _cut_one_off()
    assert isinstance(deployment.cancel(made, cut, job.id), verdicts.Refused)


def test_it_does_if_it_does_not_read_first(monkeypatch):
    monkeypatch.setattr(
        desk.JobService, "_await_read", lambda self, timeout_s: True
    )
    made, cut, job = _cut_one_off()
    assert deployment.cancel(made, cut, job.id) == verdicts.NotThere()


def test_a_job_is_cancelled_that_was_accepted_a_moment_before():
    made = deployment.world()
    first, second, _ = made.members
    job = deployment.job(made, 1, LONG)
    known = second.member.job_service.registry.entries
    made.submit(first, job)
    while not made.store.values(pages.Topic.JOBS):
        made.run(0.0005)
    assert job.id not in known
    assert isinstance(deployment.cancel(made, second, job.id), verdicts.Taken)
    made.run(1.0)
    assert deployment.phase(made, job.id) is model.Phase.CANCELLED


def test_a_job_that_nobody_handed_in_is_denied():
    made = deployment.world()
    made.run(2.0)
    for member in made.members:
        verdict = deployment.cancel(made, member, "0" * 16)
        assert verdict == verdicts.NotThere()
