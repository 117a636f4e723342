"""Refuses jobs whose answer would come too late to be of use.

The load: demand rises to several times what a pool can hold for some
seconds. Jobs that are accepted then wait until their answers are worth
nothing, and delay the jobs that come after the peak.

The leader reports the expected wait of loaded queues, by the work of a job:
jobs that can't meet their objective are served in the order of their work, so
that in a peak a small job is still answered in time. A daemon refuses a job
if its answer would come after ``WORTHLESS_AFTER`` times its objective length.
Accounts beyond their share wait for longer, so that their jobs are refused
first. A wrong refusal is worse than a late answer: without a recent report,
and for a job without an objective, jobs are accepted.
"""

import dataclasses
import math
import typing
import zlib

from azurewood.jobs import model
from azurewood.leadership import records

REPORT_VALID_S: typing.Final = 1.5
"""How long a report is used after it was read: until another daemon may claim
the term of a leader that is gone."""
WORTHLESS_AFTER: typing.Final = 3.0
"""Multiple of the objective length after which an answer is worth nothing."""
MAX_RETRY_AFTER_S: typing.Final = 10
MIN_SPREAD_S: typing.Final = 2
"""Least difference between the shortest and the longest time to a retry."""
POOL_FULL: typing.Final = "too many jobs wait"
BEYOND_SHARE: typing.Final = "the account is beyond its share"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Accept:
    """The job is accepted."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Refuse:
    """The job is refused, with the wait that was expected for it."""

    reason: str
    wait_ms: int
    retry_after_s: int


def decide(
    job: model.Job, queues: tuple[records.QueueLoad, ...], age_s: float
) -> Accept | Refuse:
    """Return whether a job is accepted.

    ``queues`` is the newest report of loaded queues, read ``age_s`` ago.
    """
    if job.long_lived or job.schedule is not None or age_s > REPORT_VALID_S:
        return Accept()
    load = next((q for q in queues if q.queue == job.queue), None)
    length_ms = job.objective_at_ms() - job.accepted_ms
    if load is None or length_ms <= 0:
        return Accept()
    beyond = next((a for a in load.beyond if a.account == job.account), None)
    wait_ms = _wait_ms(load.waits if beyond is None else beyond.waits, job)
    late_ms = wait_ms + job.critical_path_ms() - WORTHLESS_AFTER * length_ms
    if late_ms <= 0:
        return Accept()
    return Refuse(
        reason=POOL_FULL if beyond is None else BEYOND_SHARE,
        wait_ms=wait_ms,
        retry_after_s=retry_after_s(job.id, late_ms),
    )


def _wait_ms(waits: tuple[records.Wait, ...], job: model.Job) -> int:
    """Return the expected wait of a job, 0 if none of its size is listed."""
    work = sum(
        step.count * step.needs.cpu * step.estimate_ms for step in job.steps
    )
    return max(
        (wait.wait_ms for wait in waits if wait.work * 1000 <= work), default=0
    )


def retry_after_s(job_id: str, late_ms: float) -> int:
    """Return the seconds after which a caller should retry.

    ``late_ms`` is by how much the backlog has to shrink until the job would
    be accepted. A hash of the id spreads the callers from that time to twice
    that time, so that they do not all return at once.
    """
    longest = MAX_RETRY_AFTER_S
    first = min(math.ceil(late_ms / 1000), longest // 2)
    last = min(max(2 * first, first + MIN_SPREAD_S), longest)
    return first + zlib.crc32(job_id.encode()) % (last - first + 1)
