"""Runs of an earlier leader settle, also those of suspected tasks."""

from azurewood.jobs import model
from azurewood.policy import host_crashes
from azurewood.scheduling import runs
from tests.scheduling import deployment

FIRST = model.Step(
    count=3, needs=model.Resources(500, 500, 0), long_lived=True, per_host=1
)
LATER = model.Step(
    count=3, needs=model.Resources(700, 500, 0), long_lived=True, per_host=1
)


def _inherited_suspects():
    """Crash all hosts twice under a job, then kill the leader."""
    made = deployment.world(**{"s-one": 3})
    first = deployment.job(made, 1, FIRST)
    made.submit(made.members[0], first)
    made.run(3.0)
    for _ in range(2):
        for host in list(made.hosts.values()):
            host.crash()
            host.restart()
        made.run(15.0)
    assert deployment.running_tasks(made, first.id) == 3
    made.leaders()[0].kill()
    made.run(6.0)
    return made


def test_work_starts_beside_suspects_of_an_earlier_leader():
    """Guards against LOST: hosts held for suspects that never settle."""
    made = _inherited_suspects()
    later = deployment.job(made, 2, LATER)
    up = next(member for member in made.members if member.up)
    made.submit(up, later)
    made.run(10.0)
    assert deployment.running_tasks(made, later.id) == 3
    deployment.check(made)


def test_they_settle_from_the_new_leaders_first_list_on():
    made = _inherited_suspects()
    state = made.leaders()[0].member.term.state
    for host in state.hosts.values():
        for run in host.runs.values():
            assert run.inherited
            assert run.crashes >= host_crashes.MIN_CRASHES_ALONE
            assert host_crashes.is_settled(run, host.listed_at)


def test_a_repeated_start_of_a_run_that_was_listed_is_not_confirmed():
    """A list without the run would show it gone while it may still begin."""
    made = _inherited_suspects()
    state = made.leaders()[0].member.term.state
    host = next(host for host in state.hosts.values() if host.runs)
    run = next(iter(host.runs.values()))
    assert run.confirmed_at is not None
    runs.repeat_inherited_start(state, host, run, made.clock.now)
    assert run.confirmed_at is None
