"""Placement of gangs, whose tasks run at the same time or not at all."""

from collections import abc

from azurewood.jobs import model as jobs
from azurewood.policy import host_choice
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import model
from azurewood.scheduling import placement_lines
from azurewood.scheduling import run_starts


def place_gang(
    state: model.State,
    host_index: host_choice.HostIndex,
    job: jobstates.JobState,
    tasks: list[jobstates.Task],
    allowed: abc.Container[str] | None,
    now: float,
) -> int:
    """Place all tasks of a gang at once or none; return how many."""
    if any(
        task.phase is not jobstates.TaskPhase.WAITING
        or not state.may_begin(task, now)
        for task in tasks
    ):
        return 0
    step = job.step_of(tasks[0].id)
    for group in host_choice.gang_candidates(host_index.hosts, step, allowed):
        chosen = _choose_all(state, host_index, step, tasks, group, now)
        if chosen is not None:
            run = max(task.run for task in tasks)
            saved = max(task.saved for task in tasks)
            for task, host in zip(tasks, chosen, strict=True):
                task.run = run
                task.saved = saved
                run_starts.open_run(state, host_index, host, job, task, now)
            placement_lines.log_placed(state, job, tasks, len(tasks))
            return len(tasks)
    return 0


def _choose_all(
    state: model.State,
    host_index: host_choice.HostIndex,
    step: jobs.Step,
    tasks: list[jobstates.Task],
    allowed: abc.Container[str] | None,
    now: float,
) -> list[host_state.Host] | None:
    chosen: list[host_state.Host] = []
    try:
        for task in tasks:
            among = run_starts.among(state, task, allowed, now)
            host = host_index.choose(step, task, among)
            if host is None:
                return None
            chosen.append(host)
            host_index.reserve(host, step, task)
        return chosen
    finally:
        for task, host in zip(tasks, chosen, strict=False):
            host_index.release(host, step, task)
