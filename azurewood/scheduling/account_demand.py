"""Caps what accounts ask of pools by their limits.

Hosts for more than an account may have running would stay idle. What runs
counts as it is. What waits is scaled down to what the limit leaves, for each
resource by itself and by the same factor in all pools: an account whose tasks
differ is thus never counted for less than it can use. A gang that may start is
counted as a whole, as a part of its hosts is of no use to it. Otherwise the
gangs of two pools may each wait for hosts that neither pool asks for.
"""

from collections import abc
import math
import typing

from azurewood.jobs import model as jobs
from azurewood.scheduling import account_limits
from azurewood.scheduling import jobstates
from azurewood.scheduling import model

_Factors = tuple[float, float, float]
_Owner = tuple[str, str]
"""An account and a pool."""
ALL: typing.Final[_Factors] = (1.0, 1.0, 1.0)


class Limits:
    """The share of each account's waiting tasks that its limit allows."""

    __slots__ = ("_factors", "_gangs", "_scaled", "_state")

    def __init__(self, state: model.State) -> None:
        self._state = state
        self._factors: dict[str, _Factors] = {}
        self._gangs: dict[_Owner, jobs.Resources] = {}
        self._scaled: dict[_Owner, jobs.Resources] = {}
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
        scaled = jobs.Resources(
            math.ceil(waiting.cpu * factors[0]),
            math.ceil(waiting.memory_mb * factors[1]),
            math.ceil(waiting.gpu * factors[2]),
        )
        owner = (job.job.account, self._state.service_of(job.job))
        known = self._scaled.get(owner, jobs.Resources())
        self._scaled[owner] = known.plus(scaled)
        gangs = [self._gangs.get(owner, jobs.Resources())]
        gangs.extend(_waiting_gangs(self._state, job))
        self._gangs[owner] = jobs.largest_of_each(gangs)
        return requested.minus(waiting).plus(scaled)

    def missing_for_gangs(self) -> dict[_Owner, jobs.Resources]:
        """Return what the capped requests lack for the largest gang.

        All jobs must have been capped before.
        """
        missing = {
            owner: jobs.largest_of_each(
                (jobs.Resources(), gang.minus(self._scaled[owner]))
            )
            for owner, gang in self._gangs.items()
        }
        return {
            owner: amount
            for owner, amount in missing.items()
            if amount != jobs.Resources()
        }


def _waiting_gangs(
    state: model.State, job: jobstates.JobState
) -> abc.Iterator[jobs.Resources]:
    """Yield what the waiting gangs of a job need that its limit lets start."""
    for key in job.open_steps(state.unix_ms):
        step = job.job.steps[key[1]]
        whole = step.gang and job.waiting[key] == step.count
        if whole and account_limits.may_start_step(state, job, step):
            yield step.reserved.times(step.count)


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
