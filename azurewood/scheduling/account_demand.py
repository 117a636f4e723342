"""Caps what accounts ask of pools by their limits.

Hosts for more than an account may have running would stay idle. What runs
counts as it is. What waits is scaled down to what the limit leaves, for each
resource by itself and by the same factor in all pools: an account whose tasks
differ is thus never counted for less than it can use.
"""

import math
import typing

from azurewood.jobs import model as jobs
from azurewood.scheduling import account_limits
from azurewood.scheduling import jobstates
from azurewood.scheduling import model

_Factors = tuple[float, float, float]
ALL: typing.Final[_Factors] = (1.0, 1.0, 1.0)


class Limits:
    """The share of each account's waiting tasks that its limit allows."""

    __slots__ = ("_factors", "_state")

    def __init__(self, state: model.State) -> None:
        self._state = state
        self._factors: dict[str, _Factors] = {}
        asked: dict[str, jobs.Resources] = {}
        if state.catalog.accounts is None:
            return
        for job in state.jobs.values():
            account = job.job.account
            if job.cancelled or job.closing or not account:
                continue
            if account_limits.limit_of(state, account) is not None:
                known = asked.get(account, jobs.Resources())
                asked[account] = known.plus(_waiting(state, job, "needs"))
        for account, waiting in asked.items():
            self._factors[account] = _factors(state, account, waiting)

    def capped(
        self, job: jobstates.JobState, requested: jobs.Resources
    ) -> jobs.Resources:
        """Return what counts of a job's request for running and waiting."""
        factors = self._factors.get(job.job.account, ALL)
        if factors == ALL:
            return requested
        waiting = _waiting(self._state, job, "reserved")
        running = requested.minus(waiting)
        return jobs.Resources(
            running.cpu + math.ceil(waiting.cpu * factors[0]),
            running.memory_mb + math.ceil(waiting.memory_mb * factors[1]),
            running.gpu + math.ceil(waiting.gpu * factors[2]),
        )


def _waiting(
    state: model.State, job: jobstates.JobState, field: str
) -> jobs.Resources:
    """Return the sum of a step's ``field`` over a job's waiting tasks."""
    cpu = memory_mb = gpu = 0
    for key in job.open_steps(state.unix_ms):
        count = job.waiting[key]
        one = getattr(job.job.steps[key[1]], field)
        cpu += one.cpu * count
        memory_mb += one.memory_mb * count
        gpu += one.gpu * count
    return jobs.Resources(cpu, memory_mb, gpu)


def _factors(
    state: model.State, account: str, waiting: jobs.Resources
) -> _Factors:
    limit = account_limits.limit_of(state, account)
    room = state.usage.room(account, limit)
    return (
        _factor(room.cpu, waiting.cpu),
        _factor(room.memory_mb, waiting.memory_mb),
        _factor(room.gpu, waiting.gpu),
    )


def _factor(room: int, waiting: int) -> float:
    return max(0.0, min(1.0, room / waiting)) if waiting else 1.0
