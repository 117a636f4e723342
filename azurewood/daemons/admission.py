"""Refuses jobs that cannot be served, before they are stored."""

from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.leadership import base as leadership
from azurewood.policy import feasibility
from azurewood.policy import load_shedding


def refusal(
    job: model.Job,
    known: catalog.Catalog | None,
    election: leadership.Election,
    now: float,
) -> verdicts.Refused | None:
    """Return why a job is refused, None if it is accepted.

    Called by any thread.
    """
    reason = feasibility.infeasible_reason(
        job, election.largest
    ) or feasibility.over_limit_reason(job, known)
    if reason:
        return verdicts.Refused(
            reason=reason, retry_after_s=feasibility.RETRY_AFTER_S
        )
    load = election.load
    age_s = now - load.read_at
    match load_shedding.decide(job, load.queues, age_s):
        case load_shedding.Refuse() as refuse:
            return verdicts.Refused(
                reason=refuse.reason,
                retry_after_s=refuse.retry_after_s,
                busy=True,
                details={
                    "queue": job.queue,
                    "wait_ms": refuse.wait_ms,
                    "report_ms_ago": int(age_s * 1000),
                },
            )
    return None
