"""Daemons that accept jobs before they have listed all of them."""

import pytest

from azurewood.daemons import job_writes
from azurewood.jobs import catalog
from azurewood.jobs import desk
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import verdicts
from azurewood.journal import appender
from azurewood.journal import pages
from standins.fleet import platform
from standins.fleet import rules
from tests.scheduling import deployment

AIM_S = 1.5
LISTING_S = 4.0
QUIET_S = 1.0
LONG = model.Step(
    count=1, needs=model.Resources(500, 500, 0), estimate_ms=20000
)
QUICK = model.Step(
    count=1, needs=model.Resources(500, 500, 0), estimate_ms=100
)


class _Start:
    """A daemon that starts again while its listing of the jobs is slow."""

    def __init__(self, monkeypatch):
        self.made = deployment.world()
        self.listing = False
        leader = self.made.leaders()[0]
        self.others = [m for m in self.made.members if m is not leader]
        self.daemon = self.others.pop()
        usual = platform.SimPlatform.newest

        def newest(sim, topic, after, *, part=0):
            call = usual(sim, topic, after, part=part)
            if topic is not pages.Topic.JOBS or not self.listing:
                return call
            return platform.SimCall(
                target=call.target,
                act=call.act,
                timeout_s=15.0,
                changes=False,
                wait_s=LISTING_S,
                ready=lambda: False,
                wait=lambda what: None,
            )

        monkeypatch.setattr(platform.SimPlatform, "newest", newest)

    @property
    def service(self):
        return self.daemon.member.job_service

    def restart(self):
        self.daemon.kill()
        self.made.run(0.2)
        self.listing = True
        self.daemon.start()

    def submit(self, job):
        """Hand a job in at the daemon; return the list of its verdict."""
        self.made.rules.asked[job.id] = job
        answers = []
        refused = self.service._refusal(job)
        if refused is not None:
            return [refused]
        self.service.request(
            job.id, records.Accepted(job=job), self.made.clock.now
        ).add_done_callback(lambda fut: answers.append(fut.result()))
        return answers


@pytest.fixture
def start(monkeypatch):
    return _Start(monkeypatch)


def test_the_first_job_is_accepted_within_its_aim(start):
    """Guards against calls refused for as long as the listing takes."""
    start.restart()
    began_at = start.made.clock.now
    while not start.service.ready():
        start.made.run(0.01)
        assert start.made.clock.now < began_at + AIM_S
    answers = start.submit(deployment.job(start.made, 1))
    start.made.run(0.1)
    assert answers == [verdicts.Taken()]
    assert start.made.clock.now < began_at + AIM_S
    assert not start.service.loaded
    while not start.service.caught_up:
        assert start.service.ready()
        start.made.run(0.02)
    assert start.made.clock.now >= began_at + LISTING_S
    start.made.run(4.0)
    assert deployment.phase(start.made, f"{1:016x}").final
    deployment.check(start.made)


def test_it_is_not_if_the_listing_is_awaited(start, monkeypatch):
    monkeypatch.setattr(desk.JobService, "_accepts_early", lambda self: False)
    start.restart()
    start.made.run(AIM_S)
    assert not start.service.ready()


def test_what_is_not_known_yet_is_not_denied(start):
    """Guards against 410 for jobs that are stored and not listed yet."""
    job = deployment.job(start.made, 1, LONG)
    start.made.submit(start.others[0], job)
    start.made.run(0.5)
    start.restart()
    start.made.run(QUIET_S)
    assert start.service.ready() and not start.service.loaded
    assert isinstance(start.service.show(job.id), verdicts.StatusUnknown)
    assert start.service.waiting("one") is None
    for job_id in (job.id, "f" * 16):
        verdict = start.service.cancel(job_id, timeout_s=0.5)
        assert isinstance(verdict, verdicts.Refused)


@pytest.mark.parametrize("lost", ("down", "refusing", "cut"))
def test_nothing_is_accepted_without_the_store(start, lost):
    """Guards against calls lost at a daemon that cannot store their jobs."""
    start.restart()
    start.made.run(0.5)
    assert start.service.ready()
    match lost:
        case "down":
            start.made.store_down = True
        case "cut":
            start.daemon.cut_from.add(platform.STORE)
        case "refusing":
            start.made.append_turn_s = lambda partition: None
            start.submit(deployment.job(start.made, 1))
    start.made.run(AIM_S)
    assert not start.service.ready()
    refused = start.submit(deployment.job(start.made, 2))
    assert isinstance(refused[0], verdicts.Refused)
    deployment.check(start.made)


def test_a_daemon_that_starts_without_the_store_is_not_ready(start):
    """Guards against calls that are sent to a daemon that is cut off."""
    start.restart()
    start.daemon.cut_from.add(platform.STORE)
    start.made.run(3.0)
    assert not start.service.ready()


def test_appends_are_probed_after_they_failed(start):
    """Guards against a daemon that refuses all jobs after one outage."""
    usual = start.made.append_turn_s
    start.restart()
    start.made.run(0.5)
    start.made.append_turn_s = lambda partition: None
    start.submit(deployment.job(start.made, 1))
    start.made.run(0.5)
    assert not start.service.ready()
    start.made.append_turn_s = usual
    start.made.run(appender.MAX_RETRY_S + job_writes.APPENDS_FAIL_S + 0.1)
    assert start.service.ready() and not start.service.loaded


def _repeated(start, job):
    start.restart()
    start.made.run(0.5)
    assert not start.service.loaded
    answers = start.submit(job)
    start.made.run(0.2)
    assert answers == [verdicts.Taken()]
    return answers


def _count_starts(monkeypatch):
    """Return the list of runs that are started from now on."""
    started = []
    observe = rules.Rules.observe

    def count(self, what, host, run, how=None):
        if what == "start":
            started.append(run.task)
        observe(self, what, host, run, how)

    monkeypatch.setattr(rules.Rules, "observe", count)
    return started


@pytest.mark.parametrize("state", ("running", "ended", "cancelled"))
def test_a_repeated_job_stays_one_job(start, state, monkeypatch):
    """Guards against a job that runs again, or whose end is forgotten."""
    made = start.made
    step = QUICK if state == "ended" else LONG
    job = deployment.job(made, 1, step)
    made.submit(start.others[0], job)
    made.run(2.0)
    if state == "cancelled":
        made.cancel(start.others[0], job.id)
        made.run(2.0)
    started = _count_starts(monkeypatch)
    phase = deployment.phase(made, job.id)
    _repeated(start, job)
    # Guards against a job that has begun or ended and is shown as pending.
    assert start.service.show(job.id) == verdicts.StatusUnknown()
    made.run(LISTING_S + 2.0)
    shown = [m.member.job_service.show(job.id) for m in made.members]
    assert shown == [verdicts.JobStatus(phase=phase)] * 3
    # A leader that lists the jobs now finds the same.
    leader = made.leaders()[0]
    leader.kill()
    made.run(1.0)
    start.listing = False
    leader.start()
    made.run(6.0)
    assert not started
    assert leader.member.job_service.show(job.id) == shown[0]
    deployment.check(made)


def test_a_repeated_job_keeps_its_first_record(start):
    """Guards against an id that is handed in with another account or body."""
    made = start.made
    job = deployment.job(made, 1, LONG)
    other = deployment.job(made, 1, QUICK, queue="two")
    made.submit(start.others[0], job)
    made.run(1.0)
    _repeated(start, other)
    made.run(0.5)
    stored = made.store.values(pages.Topic.JOBS)[f"a/{job.id}"]
    assert records.decode(stored) == records.Accepted(job=job)


def test_a_job_that_is_being_removed_stays_removed(start):
    """Guards against a job that is shown as pending for ever."""
    made = start.made
    job = deployment.job(made, 1, QUICK)
    made.submit(start.others[0], job)
    made.run(2.0)
    _repeated(start, job)
    assert start.service.show(job.id) == verdicts.StatusUnknown()
    made.store.add(
        pages.Topic.JOBS,
        tuple(
            appender.Record(key=key, value=None)
            for key in records.keys(job.id)
        ),
    )
    made.run(LISTING_S + 1.0)
    assert start.service.caught_up
    assert start.service.show(job.id) == verdicts.NotThere()


def test_a_configuration_is_needed(monkeypatch):
    """Guards against a daemon that is ready without a configuration."""
    service = desk.JobService(
        clock=lambda: 1.0, enqueue=lambda request: None, admission=None
    )
    service.catalog_fresh_at = 0.9
    assert not service.ready()
    service.catalog = catalog.Catalog(version=1, queues={}, pools={})
    assert service.ready() and not service.knows_jobs()
    service.stopping = True
    assert not service.ready()
