"""How much may run on hosts that have not listed their runs."""

import hypothesis
from hypothesis import strategies
import pytest

from azurewood.jobs import model
from azurewood.policy import unlisted_runs

LARGEST = model.Resources(4000, 8000, 0)
NOTHING = model.Resources()
STEP = model.Step(count=10, needs=model.Resources(1000, 500, 0))
BACKGROUND = model.Step(
    count=10, needs=model.Resources(1000, 500, 0), background=True
)
LEASE_ENDS_AT = 10.0


def _host(**changes):
    fields = {
        "listed": False,
        "leases_expire_at": LEASE_ENDS_AT,
        "silent": True,
        "on_machine": True,
    }
    return unlisted_runs.HostView(**fields | changes)


@pytest.mark.parametrize(
    ("host", "now", "machines_known", "expected"),
    [
        (_host(), 9.0, True, True),
        (_host(listed=True), 9.0, True, False),
        (_host(), 10.1, True, False),
        (_host(on_machine=False), 9.0, True, False),
        (_host(on_machine=False), 9.0, False, True),
        (_host(on_machine=False, silent=False), 9.0, True, True),
    ],
)
def test_hosts_that_may_have_unlisted_runs(
    host, now, machines_known, expected
):
    found = unlisted_runs.may_have_runs(
        host, now, machines_known=machines_known
    )
    assert found == expected


def _most_used(step, hosts, largest=LARGEST):
    tasks = unlisted_runs.Tasks().with_step(step)
    return unlisted_runs.most_used(tasks, hosts, largest)


@hypothesis.given(
    count=strategies.integers(1, 40),
    cpu=strategies.integers(100, 4000),
    memory_mb=strategies.integers(100, 8000),
    hosts=strategies.integers(0, 6),
    background=strategies.booleans(),
)
def test_no_more_can_run_than_counts(count, cpu, memory_mb, hosts, background):
    """Guards against QUOTA: tasks are put on hosts as long as one fits."""
    needs = model.Resources(cpu, memory_mb, 0)
    step = model.Step(count=count, needs=needs, background=background)
    most = _most_used(step, hosts)
    used, free = NOTHING, [LARGEST] * hosts
    for _ in range(count):
        found = next(
            (n for n, room in enumerate(free) if step.reserved.fits(room)),
            None,
        )
        if found is not None:
            free[found] = free[found].minus(step.reserved)
            used = used.plus(needs)
    assert used.fits(most)
    assert most.fits(needs.times(count))


@pytest.mark.parametrize(
    ("step", "hosts", "largest", "expected"),
    [
        (STEP, 1, LARGEST, model.Resources(4000, 5000, 0)),
        (STEP, 9, LARGEST, model.Resources(10_000, 5000, 0)),
        (STEP, 1, NOTHING, model.Resources(10_000, 5000, 0)),
        (BACKGROUND, 1, LARGEST, model.Resources(10_000, 5000, 0)),
        (STEP, 0, LARGEST, NOTHING),
    ],
)
def test_tasks_count_as_far_as_hosts_could_run_them(
    step, hosts, largest, expected
):
    assert _most_used(step, hosts, largest) == expected
