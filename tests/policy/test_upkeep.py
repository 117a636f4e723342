"""Which lasting runs may be stopped for a machine's upkeep."""

import hypothesis
from hypothesis import strategies

from azurewood.jobs import model as jobs
from azurewood.policy import upkeep
from azurewood.scheduling import jobstates
from azurewood.scheduling import model

COUNT = 5
STEP = jobs.Step(count=COUNT, needs=jobs.Resources(500, 500, 0), lasting=True)
JOB = jobs.Job(
    id="j", queue="one", service="s-one", payload="", steps=(STEP, STEP)
)

RUNS = strategies.tuples(
    strategies.integers(0, 2),
    strategies.sampled_from(list(model.RunPhase)),
    strategies.sampled_from((50, 100)),
)


def _plain(state, run):
    """Count the other tasks away by a look at all runs of all hosts."""
    at_work = sum(
        1
        for host in state.hosts.values()
        if host.unresponsive_since is None
        for other in host.runs.values()
        if other.task[:3] == run.task[:3]
        and other.task != run.task
        and other.phase is model.RunPhase.RUNNING
        and other.percent >= 100
    )
    return run.step.count - 1 - at_work


def _open_run(state, job, id, number, phase, percent):
    run = model.Run(task=id, run=1, step=STEP, now=0.0)
    run.phase = phase
    run.percent = percent
    host = state.host(f"h{number}")
    host.add(run)
    task = job.task(id)
    task.run = 1
    task.host = host.id
    return run


@hypothesis.given(
    started=strategies.lists(
        strategies.none() | RUNS, min_size=2 * COUNT, max_size=2 * COUNT
    ),
    silent=strategies.sets(strategies.integers(0, 2)),
)
def test_tasks_away_are_those_that_a_look_at_all_runs_finds(started, silent):
    state = model.State(term=1, leases_expire_at=0.0)
    job = jobstates.JobState(job=JOB, now=0.0)
    state.jobs["j"] = job
    for number in silent:
        state.host(f"h{number}").unresponsive_since = 0.0
    runs = [
        _open_run(state, job, jobs.TaskId("j", 0, *divmod(i, COUNT)), *given)
        for i, given in enumerate(started)
        if given is not None
    ]
    for run in runs:
        assert upkeep.away(state, run, 0.0) == _plain(state, run)


def test_a_run_of_a_job_that_is_over_may_be_stopped():
    state = model.State(term=1, leases_expire_at=0.0)
    run = model.Run(task=jobs.TaskId("j", 0, 0, 0), run=1, step=STEP, now=0.0)
    assert upkeep.may_stop(state, run, 0.0)
