"""The cached counts of a job's state agree with counts of its tasks."""

import hypothesis
from hypothesis import strategies

from azurewood.jobs import model
from azurewood.scheduling import jobstates

STEPS = (
    model.Step(count=2, needs=model.Resources(500, 0, 0), estimate_ms=300),
    model.Step(
        count=3,
        needs=model.Resources(1000, 0, 0),
        estimate_ms=200,
        after=(0,),
    ),
    model.Step(
        count=1,
        needs=model.Resources(1000, 0, 0),
        estimate_ms=700,
        after=(0, 1),
    ),
)
SCHEDULE = model.Schedule(count=2, first_ms=1000, interval_ms=500)
CHANGES = strategies.tuples(
    strategies.integers(0, 5),
    strategies.integers(0, 2),
    strategies.sampled_from(list(jobstates.TaskPhase)),
)


def _count(job, key, wanted):
    return sum(wanted(task.phase) for task in job.steps[key])


def _undone(job, key):
    return _count(job, key, lambda p: p is not jobstates.TaskPhase.DONE)


def _open(job, unix_ms):
    return [
        (occurrence, number)
        for occurrence, number in job.steps
        if _undone(job, (occurrence, number))
        and unix_ms >= job.job.due_ms(occurrence)
        and not any(
            _undone(job, (occurrence, other))
            for other in job.job.steps[number].after
        )
    ]


def _work(job):
    return sum(
        STEPS[number].needs.cpu
        * STEPS[number].estimate_ms
        * _undone(job, (occurrence, number))
        for occurrence, number in job.steps
    )


def _remaining_ms(job):
    first, second, third = (
        step.estimate_ms * bool(_undone(job, (0, number)))
        for number, step in enumerate(STEPS)
    )
    return first + second + third


@hypothesis.given(
    schedule=strategies.sampled_from((None, SCHEDULE)),
    changes=strategies.lists(CHANGES, max_size=30),
    unix_ms=strategies.sampled_from((0.0, 1200.0, 1600.0)),
)
def test_what_is_kept_is_what_the_tasks_say(schedule, changes, unix_ms):
    described = model.Job(
        id="j",
        queue="one",
        service="s-one",
        payload="",
        steps=STEPS,
        schedule=schedule,
    )
    job = jobstates.JobState(job=described, now=0.0)
    for place, index, phase in changes:
        key = list(job.steps)[place % len(job.steps)]
        task = job.steps[key][index % len(job.steps[key])]
        if task.phase is not jobstates.TaskPhase.DONE:
            job.set_phase(task, phase)
        for key in job.steps:
            assert job.undone[key] == _undone(job, key)
            assert job.waiting[key] == _count(
                job, key, lambda p: p is jobstates.TaskPhase.WAITING
            )
        assert job.open_steps(unix_ms) == _open(job, unix_ms)
        assert job.work() == _work(job)
        assert job.remaining_ms() == _remaining_ms(job)
