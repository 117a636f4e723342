"""Refusal under load by daemons of a deployment in memory."""

import concurrent.futures
import dataclasses

from loguru import logger

from azurewood.jobs import catalog
from azurewood.jobs import desk
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import verdicts
from azurewood.leadership import base
from azurewood.policy import load_shedding
from tests.scheduling import deployment

JOBS = 150
SERVICE = model.Step(
    count=2, needs=model.Resources(500, 500, 0), long_lived=True
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
    names = ("flood", "other", "third")
    made = _loaded({name: catalog.Account(name=name) for name in names})
    job = _job(made, 901, "other")
    made.submit(made.members[0], job)
    made.run(3.0)
    shown = deployment.phase(made, job.id, "other")
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
    service.loaded = True
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
