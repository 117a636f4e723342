"""Jobs that were removed while a daemon could not read their removal.

Guards against ended jobs that run again under a later leader, as the store
dropped the history that has their removal.
"""

import msgspec
import pytest

from azurewood.daemons import job_reads
from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.journal import pages
from standins.fleet import members
from standins.fleet import platform
from standins.fleet import rules
from tests.scheduling import deployment

REMOVED_S = members.RETENTION_S + 40.0
QUICK = model.Step(
    count=1, needs=model.Resources(500, 500, 0), estimate_ms=100
)
LONG = model.Step(
    count=1, needs=model.Resources(500, 500, 0), estimate_ms=2000
)


@pytest.fixture
def started(monkeypatch):
    """Return the list of jobs whose tasks are started from now on."""
    found = []
    observe = rules.Rules.observe

    def count(self, what, host, run, how=None):
        if what == "start":
            found.append(run.task.job)
        observe(self, what, host, run, how)

    monkeypatch.setattr(rules.Rules, "observe", count)
    return found


def _miss_removal(job_of, *, ended, again=False):
    """Have a daemon miss a job's removal, and then be the only one.

    ``ended`` is whether it reads the job's end. With ``again`` the job's id is
    handed in again after the removal. Return the world, the daemon and job.
    """
    made = deployment.world()
    cut = next(m for m in made.members if not m.leads)
    job = job_of(made)
    made.submit(made.leaders()[0], job)
    made.run(2.0 if ended else 0.5)
    cut.cut_from.add(platform.STORE)
    made.run(REMOVED_S)
    if again:
        job = msgspec.structs.replace(
            job, accepted_ms=int(made.clock.now * 1000), steps=(LONG,)
        )
        made.rules.asked[job.id] = job
        made.submit(made.leaders()[0], job)
        made.run(0.5)
    made.store.forget(pages.Topic.JOBS)
    cut.cut_from.clear()
    made.run(1.0)
    return made, cut, job


def _lead_alone(made, member):
    for other in made.members:
        if other is not member:
            other.kill()
    made.run(8.0)
    assert made.leaders() == [member]


def _long(made):
    return deployment.job(made, 1, LONG)


def _quick(made):
    return deployment.job(made, 1, QUICK)


def test_a_removed_job_does_not_run_again(started):
    """Guards against UNASKED: a removed job that a new leader runs."""
    made, cut, job = _miss_removal(_long, ended=False)
    assert cut.member.job_service.show(job.id) == verdicts.NotThere()
    started.clear()
    _lead_alone(made, cut)
    assert not started


def test_it_does_if_the_listing_drops_nothing(started, monkeypatch):
    monkeypatch.setattr(job_reads, "drop_removed", lambda *args: None)
    made, cut, job = _miss_removal(_long, ended=False)
    started.clear()
    _lead_alone(made, cut)
    assert job.id in started


def test_an_id_handed_in_again_is_a_new_job():
    """Guards against a new job that is shown with the end of the old one."""
    made, cut, job = _miss_removal(_quick, ended=True, again=True)
    shown = {m.member.job_service.show(job.id).phase for m in made.members}
    assert shown == {model.Phase.RUNNING}
