"""Refusal under load by daemons of a deployment in memory."""

import concurrent.futures
import dataclasses

from loguru import logger
import pytest

from azurewood.jobs import catalog
from azurewood.jobs import desk
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import verdicts
from azurewood.leadership import base
from azurewood.policy import load_shedding
from azurewood.scheduling import load
from azurewood.scheduling import pools
from tests.scheduling import deployment

JOBS = 150
SERVICE = model.Step(
    count=2, needs=model.Resources(500, 500, 0), long_lived=True
)
SMALL = model.Step(
    count=1, needs=model.Resources(500, 500, 0), estimate_ms=100
)


def _loaded(accounts=None):
    """Return a deployment whose first queue has far too many jobs."""
    made = deployment.world(**{"s-one": 2, "s-two": 2})
    if accounts is not None:
        config = dataclasses.replace(
            deployment.CATALOG, version=2, accounts=accounts
        )
        made.configure(config)
    made.run(1.0)
    for number in range(JOBS):
        made.submit(made.members[number % 3], _job(made, number, "flood"))
    made.run(1.5)
    return made


def _job(made, number, account="", *steps, queue="one"):
    job = deployment.job(made, number, *steps, queue=queue)
    args = {f: getattr(job, f) for f in job.__struct_fields__}
    return model.Job(**args | {"account": account})


def _up(made):
    return [member for member in made.members if member.up]


def _admitted(made, job):
    """Return whether each daemon that runs accepts a new job."""
    return [member.member._admit(job) is None for member in _up(made)]


def test_all_daemons_refuse_a_job_of_a_loaded_queue_and_no_other():
    """Guards against refusals in queues that have hosts to spare."""
    made = _loaded()
    assert _admitted(made, _job(made, 900)) == [False] * 3
    assert _admitted(made, _job(made, 901, queue="two")) == [True] * 3
    assert _admitted(made, _job(made, 902, "", SERVICE)) == [True] * 3
    refused = made.members[0].member._admit(_job(made, 900))
    assert refused.busy
    assert refused.retry_after_s <= load_shedding.MAX_RETRY_AFTER_S
    assert refused.details["queue"] == "one"
    assert refused.details["wait_ms"] > 5000


def test_a_quiet_deployment_reports_no_load():
    """Guards against heartbeats that grow without load."""
    made = deployment.world()
    made.submit(made.members[0], deployment.job(made, 1))
    made.run(1.0)
    assert not made.members[1].member.election.load.queues
    assert _admitted(made, _job(made, 900)) == [True] * 3


def test_accounts_within_their_share_are_accepted():
    """Guards against a refusal for the load of another account."""
    names = ("flood", "other", "third")
    made = _loaded({name: catalog.Account(name=name) for name in names})
    assert _admitted(made, _job(made, 900, "flood")) == [False] * 3
    assert _admitted(made, _job(made, 901, "other")) == [True] * 3


def test_jobs_of_an_account_within_its_share_run_before_a_flood():
    """Guards against an account whose burst delays the others."""
    names = ("flood", "other", "third")
    made = _loaded({name: catalog.Account(name=name) for name in names})
    job = _job(made, 901, "other")
    made.submit(made.members[0], job)
    made.run(3.0)
    shown = deployment.phase(made, job.id)
    assert shown is model.Phase.COMPLETED
    deployment.check(made)


def test_a_report_expires_while_no_newer_one_is_read():
    """Guards against refusals by the report of a leader that is cut off."""
    made = _loaded()
    made.store_down = True
    made.run(load_shedding.REPORT_VALID_S - base.BEAT_INTERVAL_S - 0.2)
    assert _admitted(made, _job(made, 900)) == [False] * 3
    made.run(base.BEAT_INTERVAL_S + 0.3)
    assert _admitted(made, _job(made, 900)) == [True] * 3


def test_jobs_are_accepted_until_the_next_leader_reports():
    """Guards against a new leader that reports before it knows its hosts."""
    made = _loaded()
    made.leaders()[0].kill()
    made.run(load_shedding.REPORT_VALID_S + 0.05)
    assert _admitted(made, _job(made, 900)) == [True] * 2
    # The jobs of before are of no use any more, and do not count.
    for number in range(200, 200 + JOBS):
        made.submit(_up(made)[number % 2], _job(made, number, "flood"))
    made.run(3.0)
    assert _admitted(made, _job(made, 900)) == [False] * 2


def _submit(made, service, job):
    """Return the verdict on a caller's job, who waits for it."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=1) as pool:
        fut = pool.submit(service.submit, job, timeout_s=1.0)
        while not concurrent.futures.wait((fut,), timeout=0.002).done:
            made.run(0.05)
        return fut.result()


class _Service(desk.JobService):
    """Reads ``record`` when a caller waits for a read, if it is answered."""

    record = None
    answered = True

    def _await_read(self, timeout_s):
        if self.record is not None:
            self.registry.apply(self.record)
        return self.answered


def _repeated(job, *, stored, answered=True):
    """Return the verdict on a job, and whether it is to be stored."""
    requests = []
    service = _Service(
        clock=lambda: 0.0,
        enqueue=requests.append,
        admission=lambda job: verdicts.Refused(reason="load", busy=True),
    )
    service.loaded = service.complete = True
    service.record = records.Accepted(job=job) if stored else None
    service.answered = answered
    return service.submit(job, timeout_s=0.0), bool(requests)


def test_a_job_that_another_daemon_stored_is_not_refused():
    """Guards against a refusal of a job that runs.

    The caller repeats its call at a daemon that has not read the job yet.
    """
    job = deployment.job(deployment.world(members=1), 900)
    assert _repeated(job, stored=True) == (verdicts.Taken(), False)
    verdict, requested = _repeated(job, stored=False)
    assert isinstance(verdict, verdicts.Refused)
    assert not requested
    verdict, requested = _repeated(job, stored=False, answered=False)
    assert not isinstance(verdict, verdicts.Refused)
    assert requested


def test_a_refused_job_is_not_stored_and_its_line_tells_why():
    """Guards against REFUSED: a job that was refused and runs."""
    made = _loaded()
    job = _job(made, 900)
    lines = []
    logger.enable("azurewood")
    sink = logger.add(lambda m: lines.append(m.record["extra"]), level="INFO")
    try:
        verdict = _submit(made, made.members[1].member.job_service, job)
    finally:
        logger.remove(sink)
        logger.disable("azurewood")
    assert isinstance(verdict, verdicts.Refused)
    made.run(2.0)
    assert deployment.phase(made, job.id) is None
    (line,) = [line for line in lines if line.get("event") == "job.refused"]
    assert line["reason"] == load_shedding.POOL_FULL
    for field in ("queue", "account", "wait_ms", "report_ms_ago"):
        assert field in line


def test_jobs_are_compared_by_the_estimates_of_their_callers():
    """Guards against small jobs that are refused for the wait of large ones.

    Daemons know the estimates of a new job, but not what was learned of them.
    """
    made = _loaded()
    large = deployment.job(made, 900)
    for number in range(300, 300 + JOBS):
        made.submit(made.members[number % 3], _job(made, number, "", SMALL))
    made.run(0.5)
    state = made.leaders()[0].member.term.state
    for job in state.jobs.values():
        job.set_durations(
            {n: ms // 10 for n, ms in enumerate(job.durations_ms)}
        )
        assert load._remaining_work(state, job) >= 0.0
    (report,) = load.report(state, made.clock.now)
    sizes = {wait.work * 1000 for wait in report.waits}
    assert max(sizes) == sum(
        step.count * step.needs.cpu * step.estimate_ms for step in large.steps
    )


def test_a_report_looks_at_jobs_once_for_all_queues_of_a_priority(monkeypatch):
    """Guards against a loop whose report grows with the number of queues."""
    looked = []
    usual = load._sums

    def sums(before, works):
        looked.extend(before)
        return usual(before, works)

    monkeypatch.setattr(load, "_sums", sums)
    made = _loaded()
    queues = deployment.CATALOG.queues
    more = {
        name: dataclasses.replace(queues["one"], name=name)
        for name in ("three", "four", "five")
    }
    made.configure(
        dataclasses.replace(
            deployment.CATALOG, version=2, queues=queues | more
        )
    )
    made.run(0.3)
    state = made.leaders()[0].member.term.state
    looked.clear()
    report = load.report(state, made.clock.now)
    assert {found.queue for found in report} == {"one", *more}
    assert len({found.waits for found in report}) == 1
    assert len(looked) == len(state.jobs)


def _refusals_at_a_sudden_peak():
    """Return how many daemons refuse jobs while idle hosts are on standby.

    With this seed and time a heartbeat is due between the arrival of the jobs
    and the plan that orders hosts for them.
    """
    made = deployment.world(seed=7, **{"s-one": 2, "s-two": 2, "spare": 40})
    made.run(1.0 + 2 * 0.037)
    for number in range(JOBS):
        made.submit(made.members[number % 3], _job(made, number))
    refusals = 0
    for number in range(20):
        made.run(0.05)
        refusals += _admitted(made, _job(made, 900 + number)).count(False)
    return refusals


def test_no_job_is_refused_while_idle_hosts_are_on_standby(monkeypatch):
    """Guards against refusals before hosts are ordered for a peak."""
    assert not _refusals_at_a_sudden_peak()
    usual = pools._pools

    def without_standby(state, now):
        return [pool for pool in usual(state, now) if not pool.standby]

    def capacities(state, now):
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(pools, "_pools", without_standby)
            return found(state, now)

    found = pools.capacities
    monkeypatch.setattr(pools, "capacities", capacities)
    assert _refusals_at_a_sudden_peak()
