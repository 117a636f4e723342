"""Which machines of a wave are emptied and taken down next.

Answers the load of a wave that covers much of the fleet in half a minute
while queues have their peaks: machines without runs go first, those of the
spare pool before others, and as many are emptied ahead as may be down, so
that the next is ready when one comes back.
"""

from collections import abc
import typing

from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import model

EMPTY_AHEAD: typing.Final = 1
"""Machines emptied beyond those that may be down."""


def order(
    state: model.State, names: abc.Iterable[str]
) -> list[messages.MachineEntry]:
    """Return the machines that are up, those to take first first."""
    up = (
        state.machines[name]
        for name in names
        if name in state.machines
        and name not in state.moving
        and state.machines[name].state is messages.MachineState.UP
    )
    return sorted(up, key=lambda machine: _rank(state, machine))


def _rank(state: model.State, machine: messages.MachineEntry) -> tuple:
    host = state.hosts.get(machine.host)
    if host is None:
        return (0, 0, 0, machine.name)
    lasting = sum(1 for run in host.runs.values() if run.step.lasting)
    return (not host.leaving, lasting, host.used.cpu, machine.name)


def may_stop(state: model.State, run: model.Run, now: float) -> bool:
    """Return whether a lasting run may be stopped without harm.

    So many others of its step may be away as the step allows, whatever
    took them away; one if the step says nothing. Nobody misses a run whose
    job is over.
    """
    if run.task.job not in state.jobs:
        return True
    allowed = max(1, run.step.may_be_away)
    return away(state, run, now) < allowed


def away(state: model.State, run: model.Run, now: float) -> int:
    """Return how many other tasks of a run's step are not at work.

    The run's job is not over.
    """
    others = state.jobs[run.task.job].tasks_beside(run.task)
    at_work = sum(1 for task in others if _at_work(state, task))
    return run.step.count - 1 - at_work


def _at_work(state: model.State, task: jobstates.Task) -> bool:
    """Return whether a task's newest run does its work, as far as known."""
    host = state.hosts.get(task.host)
    if host is None or host.unresponsive_since is not None:
        return False
    run = host.runs.get((task.id, task.run))
    return (
        run is not None
        and run.phase is model.RunPhase.RUNNING
        and run.percent >= 100
    )
