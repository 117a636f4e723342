"""Orders the machines of a maintenance wave, and says which runs may stop.

A wave may have to cover much of the fleet within half a minute while queues
have their peaks. Machines without runs therefore go first, those of the
spare pool before others. Which of them are emptied is chosen by
`azurewood.policy.emptying`.
"""

from collections import abc

from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import model


def drain_order(
    state: model.State, names: abc.Iterable[str]
) -> list[messages.MachineEntry]:
    """Return the machines that are up, in the order to drain them."""
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
    long_lived = sum(1 for run in host.runs.values() if run.step.long_lived)
    return (not host.emptying, long_lived, host.used.cpu, machine.name)


def may_stop_run(state: model.State, run: host_state.Run, now: float) -> bool:
    """Return whether a long-lived run may be stopped without harm.

    It may if fewer of the step's other tasks are away, for any reason, than
    the step allows to be away. A step that gives no limit allows one. A run
    whose job has ended may always be stopped.
    """
    if run.task.job not in state.jobs:
        return True
    allowed = max(1, run.step.may_be_away)
    return count_away(state, run, now) < allowed


def count_away(state: model.State, run: host_state.Run, now: float) -> int:
    """Return how many other tasks of a run's step are not at work.

    The run's job must not have ended.
    """
    others = state.jobs[run.task.job].tasks_beside(run.task)
    at_work = sum(1 for task in others if _at_work(state, task))
    return run.step.count - 1 - at_work


def _at_work(state: model.State, task: jobstates.Task) -> bool:
    """Return whether a task's newest run is known to run at full speed."""
    host = state.hosts.get(task.host)
    if host is None or host.unresponsive_since is not None:
        return False
    run = host.runs.get((task.id, task.run))
    return (
        run is not None
        and run.phase is host_state.RunPhase.RUNNING
        and run.percent >= 100
    )
