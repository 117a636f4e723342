"""Records of finished jobs, which the leader stores without payload and steps.

Guards against listings that take a daemon's start several seconds on a slow
link, and against jobs that run again or lose their state by it.
"""

import msgspec
import pytest

from azurewood.daemons import finished_jobs
from azurewood.daemons import intake
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import registry
from azurewood.jobs import verdicts
from azurewood.journal import appender
from azurewood.journal import pages
from standins.fleet import members
from standins.fleet import store as stores
from tests.scheduling import deployment

QUICK = model.Step(
    count=1, needs=model.Resources(500, 500, 0), estimate_ms=100
)
LONG = model.Step(
    count=2, needs=model.Resources(500, 500, 0), estimate_ms=20000
)
JOB = model.Job(
    id="1",
    queue="q",
    service="s",
    payload="p",
    steps=(QUICK,),
    accepted_ms=7,
    account="acme",
)
LINK_BYTES_S = 5e6 / 8
KNOWN_JOBS = 2000
MAX_LISTING_BYTES = 700_000


class _PreviousJob(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as the previous release reads it."""

    id: str
    queue: str
    service: str
    payload: str
    steps: tuple[model.Step, ...]
    schedule: model.Schedule | None = None
    accepted_ms: int = 0
    priority: int = 0
    attempts: int = 1
    objective_factor: float = 1.0
    objective_ms: int = 0


class _PreviousAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    job: _PreviousJob
    version: int = 1


def _stored(made, job_id):
    values = made.store.values(pages.Topic.JOBS)
    found = {key[0]: value for key, value in values.items() if job_id in key}
    return {kind: records.decode(value) for kind, value in found.items()}


@pytest.fixture
def made():
    return deployment.world()


@pytest.fixture
def at_once(monkeypatch):
    """Reduce the records of cancelled and failed jobs at once, too."""
    monkeypatch.setattr(finished_jobs, "RUNS_END_S", 0.0)


def _run_job(made, *, cancel=False, number=1):
    job = deployment.job(made, number, LONG if cancel else QUICK)
    made.submit(made.members[0], job)
    made.run(1.5)
    if cancel:
        assert deployment.running_tasks(made, job.id)
        made.cancel(made.members[0], job.id)
    return job


def test_the_end_is_stored_with_the_reduced_record(made, monkeypatch):
    """Guards against records of completed jobs that stay large."""
    appends = []
    add = stores.Store.add

    def keep(self, topic, found, part=0):
        if topic is pages.Topic.JOBS:
            appends.append([record.key[0] for record in found])
        return add(self, topic, found, part)

    monkeypatch.setattr(stores.Store, "add", keep)
    job = _run_job(made)
    assert ["e", "a", "b"] in appends
    stored = _stored(made, job.id)
    assert sorted(stored) == ["a", "e"]
    assert stored["a"].job == job.without_work()
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    made.run(finished_jobs.RUNS_END_S + 2.0)
    assert appends.count(["e", "a", "b"]) == 1
    assert ["a", "b"] not in appends
    deployment.check(made)


def test_the_record_of_a_cancelled_job_is_reduced(made, at_once):
    """Guards against records of cancelled jobs that stay large."""
    job = _run_job(made, cancel=True)
    made.run(2.0)
    assert sorted(_stored(made, job.id)) == ["a", "c"]
    assert _stored(made, job.id)["a"].job.steps == ()
    assert not deployment.running_tasks(made, job.id)
    deployment.check(made)


def test_it_stays_whole_while_runs_may_go_on(made):
    """Guards against runs whose resources a new leader does not know."""
    job = _run_job(made, cancel=True)
    made.run(13.0)
    assert _stored(made, job.id)["a"].job == job
    made.run(4.0)
    assert _stored(made, job.id)["a"].job == job.without_work()


def test_a_job_that_is_not_over_keeps_its_record(made, at_once):
    """Guards against steps that are lost while a job may still run."""
    job = deployment.job(made, 1, LONG)
    made.submit(made.members[0], job)
    made.run(3.0)
    assert _stored(made, job.id)["a"].job == job


def test_a_leader_killed_between_both_records_is_caught_up_on(made):
    """The cancellation is stored, and the leader can't replace the record."""
    first = made.leaders()[0]
    job = _run_job(made, cancel=True)
    made.run(1.0)
    first.kill()
    made.run(finished_jobs.RUNS_END_S + 10.0)
    assert made.leaders()[0] is not first
    stored = _stored(made, job.id)
    assert sorted(stored) == ["a", "c"]
    assert stored["a"].job == job.without_work()
    deployment.check(made)


def test_a_new_leader_stops_runs_of_a_reduced_job(made, at_once):
    """Guards against runs that go on as their job has no steps any more."""
    job = deployment.job(made, 1, LONG)
    made.submit(made.members[0], job)
    made.run(1.5)
    made.cut_hosts.update(h.id for h in made.hosts.values() if h.runs)
    made.cancel(made.members[0], job.id)
    made.run(0.5)
    assert _stored(made, job.id)["a"].job.steps == ()
    assert deployment.running_tasks(made, job.id)
    old = made.leaders()[0]
    old.kill()
    made.cut_hosts.clear()
    made.run(6.0)
    assert made.leaders()[0] is not old
    assert not deployment.running_tasks(made, job.id)
    old.start()
    made.run(3.0)
    assert not deployment.running_tasks(made, job.id)
    deployment.check(made)


def test_a_new_leader_catches_up_in_small_batches():
    """Guards against a step that stores the records of all jobs at once."""
    known = registry.JobRegistry()
    for number in range(100):
        job = msgspec.structs.replace(JOB, id=str(number))
        known.apply(records.Accepted(job=job))
        known.apply(records.Cancelled(id=job.id))
    appended = []
    made = finished_jobs.FinishedJobs(
        registry=known,
        retention_s=60.0,
        append=lambda found, stored: appended.append(found),
    )
    for job_id in known.entries:
        made.add(job_id, 0.0)
    made.step(finished_jobs.RUNS_END_S - 1.0)
    assert not appended
    for steps in range(1, 6):
        made.step(finished_jobs.RUNS_END_S)
        assert len(appended) == steps * finished_jobs.BATCH
    made.step(finished_jobs.RUNS_END_S)
    assert len(appended) == 100


def test_records_are_removed_after_the_retention_time(made):
    """Guards against records that are kept for good."""
    job = _run_job(made)
    made.run(members.RETENTION_S + 35.0)
    assert not _stored(made, job.id)
    assert deployment.phase(made, job.id) is None


def test_no_record_is_reduced_after_its_removal():
    """Guards against a removed job that comes back without its end."""
    known = registry.JobRegistry()
    known.apply(records.Accepted(job=JOB))
    known.apply(records.Cancelled(id=JOB.id))
    appended = []
    made = finished_jobs.FinishedJobs(
        registry=known,
        retention_s=1.0,
        append=lambda found, stored: appended.append(found),
    )
    made.add(JOB.id, 0.0)
    made.remove_expired(1.0)
    made.step(finished_jobs.RUNS_END_S)
    assert [record.value for record in appended[0]] == [None] * 4
    assert len(appended) == 1


def test_a_late_copy_of_the_whole_record_is_reduced_again(made, at_once):
    """Guards against copies of the intake, and of appends, after the end."""
    job = _run_job(made)
    whole = records.Accepted(job=job)
    record = appender.Record(key=whole.key, value=records.encode(whole))
    made.store.add(pages.Topic.JOBS, (record,))
    made.store.add(pages.Topic.INTAKE, (record,), 1)
    made.run(intake.IDLE_WAIT_MS / 1000 + 2.0)
    assert _stored(made, job.id)["a"].job == job.without_work()
    assert not made.store.values(pages.Topic.INTAKE, 1)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    deployment.check(made)


def test_the_previous_release_reads_reduced_records():
    """Guards against a rolling restart that makes records unreadable."""
    data = records.encode(records.Accepted(job=JOB.without_work()))
    found = msgspec.msgpack.decode(data, type=_PreviousAccepted)
    assert found.job == _PreviousJob(
        id="1", queue="q", service="s", payload="", steps=(), accepted_ms=7
    )
    before = _PreviousAccepted(
        job=_PreviousJob(
            id="1", queue="q", service="s", payload="p", steps=(QUICK,)
        )
    )
    assert records.decode(msgspec.msgpack.encode(before)).job.steps == (QUICK,)


def test_a_reduced_record_without_its_end_starts_nothing(made):
    """Guards against a listing in the middle of the job's removal."""
    job = deployment.job(made, 1)
    reduced = records.Accepted(job=job.without_work())
    record = appender.Record(key=reduced.key, value=records.encode(reduced))
    made.store.add(pages.Topic.JOBS, (record,))
    made.run(1.0)
    first = made.leaders()[0]
    first.kill()
    made.run(6.0)
    assert made.leaders()[0] is not first
    for member in made.members:
        if member.up:
            shown = member.member.job_service.show(job.id)
            assert shown == verdicts.StatusUnknown()
            assert job.id not in _scheduled(member)
    assert sorted(_stored(made, job.id)) == ["a"]


def _scheduled(member):
    term = member.member.term
    return term.state.jobs if term is not None else {}


def test_the_owner_stays_when_the_record_is_reduced():
    """Guards against ended jobs that other accounts may see."""
    assert JOB.without_work().account == "acme"


def _listing_bytes(made, end):
    """Return the bytes of the listing of finished jobs over HTTP."""
    values = {}
    for number in range(KNOWN_JOBS):
        job = deployment.job(made, number)
        step = msgspec.structs.replace(QUICK, image="registry/image:1")
        job = msgspec.structs.replace(
            job, payload="x" * 200, steps=(step, step, step)
        )
        ended = records.Ended(id=job.id, phase=model.Phase.COMPLETED)
        accepted = records.Accepted(job=job)
        for record in end(accepted, ended):
            values[record.key] = records.encode(record)
    return sum(
        len('{"key":"","value":"","offset":123456},')
        + len(key)
        + -(-len(value) // 3) * 4
        for key, value in values.items()
    )


def test_a_listing_of_finished_jobs_is_read_within_the_aim(made):
    """2,000 jobs with a payload of 200 bytes and three steps each."""
    before = _listing_bytes(
        made, lambda a, e: (a, e, records.Begun(ids=(e.id,)))
    )
    after = _listing_bytes(
        made, lambda a, e: (records.Accepted(job=a.job.without_work()), e)
    )
    print(
        f"bytes {before} -> {after}, seconds at 5 Mbit/s"
        f" {before / LINK_BYTES_S:.2f} -> {after / LINK_BYTES_S:.2f}"
    )
    assert after < MAX_LISTING_BYTES < before
    assert after / LINK_BYTES_S < 1.2
