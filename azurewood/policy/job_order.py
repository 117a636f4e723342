"""Orders the waiting jobs of a pool.

A queue may ask for five times its mean load during a peak. Not every job can
then meet its objective, so the order maximizes the number of jobs that do.

Long-lived jobs come first, because their users notice every second in which
a task is not running. The other jobs are ordered by priority and, within a
priority, by the end of their objective. If the jobs that can still meet
their objective do not fit into the capacity of the pool until then, those
with the most work are deferred until the rest fits (Moore and Hodgson's
rule, which minimizes the number of late jobs). Late and deferred jobs are
ordered by their remaining work, so that most callers get their answer as
early as possible.
"""

from collections import abc
import heapq
import itertools

from azurewood.scheduling import jobstates


def order_jobs(
    jobs: abc.Iterable[jobstates.JobState], unix_ms: float, capacity_cpu: int
) -> list[jobstates.JobState]:
    """Return jobs of one pool in the order in which they are placed.

    ``capacity_cpu`` is the pool's total capacity in thousandths of a core.
    """
    long_lived = []
    timed = []
    for job in jobs:
        (long_lived if job.long_lived else timed).append(job)
    long_lived.sort(key=lambda job: (job.job.priority, job.accepted_ms))
    timed.sort(key=lambda job: job.job.priority)
    found = long_lived
    for _, group in itertools.groupby(timed, lambda job: job.job.priority):
        found.extend(_by_objective(list(group), unix_ms, capacity_cpu))
    return found


def _by_objective(
    jobs: list[jobstates.JobState], unix_ms: float, capacity_cpu: int
) -> list[jobstates.JobState]:
    feasible = []
    late = []
    for job in jobs:
        latest_start = job.objective_at_ms - job.remaining_ms()
        (feasible if unix_ms <= latest_start else late).append(job)
    feasible.sort(key=lambda job: job.objective_at_ms)
    deferred = _select_deferred(feasible, unix_ms, capacity_cpu)
    in_time = [job for job in feasible if job.job.id not in deferred]
    late.extend(job for job in feasible if job.job.id in deferred)
    late.sort(key=jobstates.JobState.work)
    return in_time + late


def _select_deferred(
    feasible: list[jobstates.JobState], unix_ms: float, capacity_cpu: int
) -> set[str]:
    """Return the ids of the jobs that do not fit before their objective."""
    deferred: set[str] = set()
    kept: list[tuple[float, str]] = []
    total = 0.0
    for job in feasible:
        amount = job.work()
        total += amount
        heapq.heappush(kept, (-amount, job.job.id))
        until_ms = job.objective_at_ms - unix_ms
        while kept and total > capacity_cpu * until_ms:
            largest, job_id = heapq.heappop(kept)
            total += largest
            deferred.add(job_id)
    return deferred
