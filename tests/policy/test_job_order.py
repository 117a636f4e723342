"""The order of waiting jobs, compared with first come, first served."""

import random

from azurewood.jobs import model
from azurewood.policy import job_order
from azurewood.scheduling import jobstates

CAPACITY_CPU = 8000
STEP_MS = 50


def _job(
    number, *, cpu, count, ms, accepted_ms=0, priority=0, long_lived=False
):
    step = model.Step(
        count=count,
        needs=model.Resources(cpu, 0, 0),
        estimate_ms=ms,
        long_lived=long_lived,
    )
    job = model.Job(
        id=f"{number:03d}",
        queue="q",
        service="s",
        payload="",
        steps=(step,),
        accepted_ms=accepted_ms,
        priority=priority,
        objective_factor=1.6,
        objective_ms=600,
    )
    return jobstates.JobState(job=job, now=0.0)


def _ids(jobs):
    return [job.job.id for job in jobs]


def test_long_lived_jobs_come_first_then_priority_then_objective():
    jobs = [
        _job(1, cpu=100, count=1, ms=500, accepted_ms=300),
        _job(2, cpu=100, count=1, ms=500, accepted_ms=0),
        _job(3, cpu=100, count=1, ms=500, priority=1),
        _job(4, cpu=100, count=1, ms=0, long_lived=True, priority=1),
    ]
    found = job_order.order_jobs(jobs, 300.0, CAPACITY_CPU)
    assert _ids(found) == ["004", "002", "001", "003"]


def test_late_jobs_come_after_jobs_that_can_meet_their_objective():
    late = _job(1, cpu=100, count=1, ms=500, accepted_ms=-9000)
    fresh = _job(2, cpu=100, count=1, ms=500)
    found = job_order.order_jobs([late, fresh], 0.0, CAPACITY_CPU)
    assert _ids(found) == ["002", "001"]


def test_largest_job_is_deferred_if_not_all_fit():
    jobs = [_job(1, cpu=8000, count=2, ms=1000)]
    jobs += [_job(n, cpu=1000, count=4, ms=1000) for n in (2, 3, 4)]
    found = job_order.order_jobs(jobs, 0.0, CAPACITY_CPU)
    assert _ids(found)[-1] == "001"


def _peak(seed):
    """Yield the jobs of a peak that needs 1.7 times the capacity."""
    source = random.Random(seed)
    now = 0.0
    for number in range(60):
        now += source.expovariate(1 / 120.0)
        yield _job(
            number,
            cpu=source.choice((500, 1000, 1500)),
            count=source.randint(1, 5),
            ms=source.randint(300, 900),
            accepted_ms=int(now),
        )


def _simulate(order, seed):
    """Return how many jobs of a peak meet their objective."""
    coming = list(_peak(seed))
    waiting = []
    running = []
    in_time = 0
    now = 0.0
    while coming or waiting or running:
        now += STEP_MS
        running = [run for run in running if run[0] > now]
        while coming and coming[0].job.accepted_ms <= now:
            waiting.append(coming.pop(0))
        free = CAPACITY_CPU - sum(run[1] for run in running)
        for job in list(order(waiting, now)):
            step = job.job.steps[0]
            while job.undone[(0, 0)] and step.needs.cpu <= free:
                free -= step.needs.cpu
                running.append((now + step.estimate_ms, step.needs.cpu))
                task = job.steps[(0, 0)][job.undone[(0, 0)] - 1]
                job.set_phase(task, jobstates.TaskPhase.DONE)
            if not job.undone[(0, 0)]:
                waiting.remove(job)
                end = now + step.estimate_ms
                in_time += end <= job.job.objective_at_ms()
    return in_time


def test_more_jobs_of_a_peak_are_in_time_than_first_come_first_served():
    def first_come(jobs, now):
        return list(jobs)

    def by_policy(jobs, now):
        return job_order.order_jobs(jobs, now, CAPACITY_CPU)

    better = [_simulate(by_policy, seed) for seed in range(10)]
    baseline = [_simulate(first_come, seed) for seed in range(10)]
    assert all(b >= n for b, n in zip(better, baseline, strict=True))
    assert sum(better) >= 1.25 * sum(baseline)
