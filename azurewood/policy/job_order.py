"""In which order waiting tasks get room.

Answers the load of queues that ask five times their mean in their turn: not
everything can be in time, so room goes to the jobs with which the most can
be.

Lasting tasks come first, since each second that one is away counts for its
users. Then jobs by priority; within one, those that can be in time by their
objective's end. If these do not fit into the pool's room by then, the ones
with the most work are put off until the rest does (Moore and Hodgson's rule
for the least number of late jobs). What is late or put off goes by the work
that is left, so that most callers get their answer soonest.
"""

from collections import abc
import heapq
import itertools

from azurewood.scheduling import jobstates


def in_order(
    jobs: abc.Iterable[jobstates.JobState], unix_ms: float, room_cpu: int
) -> list[jobstates.JobState]:
    """Return jobs of one pool in the order in which they get room.

    ``room_cpu`` is the pool's whole room in thousandths of a core.
    """
    long_lived = []
    timed = []
    for job in jobs:
        (long_lived if job.long_lived else timed).append(job)
    long_lived.sort(key=lambda job: (job.job.priority, job.job.accepted_ms))
    timed.sort(key=lambda job: job.job.priority)
    found = long_lived
    for _, group in itertools.groupby(timed, lambda job: job.job.priority):
        found.extend(_by_objective(list(group), unix_ms, room_cpu))
    return found


def _by_objective(
    jobs: list[jobstates.JobState], unix_ms: float, room_cpu: int
) -> list[jobstates.JobState]:
    feasible = []
    late = []
    for job in jobs:
        latest_start = job.objective_at_ms - job.remaining_ms()
        (feasible if unix_ms <= latest_start else late).append(job)
    feasible.sort(key=lambda job: job.objective_at_ms)
    put_off = _put_off(feasible, unix_ms, room_cpu)
    in_time = [job for job in feasible if job.job.id not in put_off]
    late.extend(job for job in feasible if job.job.id in put_off)
    late.sort(key=jobstates.JobState.work)
    return in_time + late


def _put_off(
    feasible: list[jobstates.JobState], unix_ms: float, room_cpu: int
) -> set[str]:
    """Return the ids of the jobs for which there is no room in time."""
    put_off: set[str] = set()
    kept: list[tuple[float, str]] = []
    total = 0.0
    for job in feasible:
        amount = job.work()
        total += amount
        heapq.heappush(kept, (-amount, job.job.id))
        until_ms = job.objective_at_ms - unix_ms
        while kept and total > room_cpu * until_ms:
            largest, job_id = heapq.heappop(kept)
            total += largest
            put_off.add(job_id)
    return put_off
