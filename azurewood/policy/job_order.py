"""In which order waiting tasks get room.

Answers the load of queues that ask five times their mean in their turn: not
everything can be in time, so what can still be comes before what cannot.

Lasting tasks come first, since each second that one is away counts for its
users. Then jobs by priority; within one, jobs whose objective can still be
met before those whose cannot, and of these the one with the earliest
latest start. Jobs that are late already go by what is left of them, so that
most callers get their answer soonest.
"""

import typing

from azurewood.scheduling import model

LATE_RANK: typing.Final = 1
IN_TIME_RANK: typing.Final = 0


def key(job: model.JobState, unix_ms: float) -> tuple[float, ...]:
    """Return the sort key of a job's tasks; lower keys go first."""
    asked = job.job
    if asked.lasting:
        return (0, asked.priority, 0, asked.accepted_ms)
    left_ms = remaining_ms(job)
    latest_start = asked.objective_at_ms() - left_ms
    if unix_ms <= latest_start:
        return (1, asked.priority, IN_TIME_RANK, latest_start)
    return (1, asked.priority, LATE_RANK, left_ms, asked.accepted_ms)


def remaining_ms(job: model.JobState) -> float:
    """Return the estimated length of the longest chain that is undone."""
    ends: list[float] = []
    for number, step in enumerate(job.job.steps):
        begin = max((ends[i] for i in step.after), default=0.0)
        undone = job.undone[(0, number)]
        ends.append(begin + (step.estimate_ms if undone else 0.0))
    return max(ends, default=0.0)
