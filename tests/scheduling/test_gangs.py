"""Gangs on the simulated hosts: they work whole, and end together."""

from azurewood.jobs import model
from azurewood.scheduling import tasks
from tests.scheduling import deployment

GANG = model.Step(
    count=2,
    needs=model.Resources(1000, 500, 0),
    estimate_ms=900,
    gang=True,
    per_host=1,
)


def _play(*, at=0.5, change=None):
    """Play a gang on two hosts, with a change to one; return its ends."""
    made = deployment.world(**{"s-one": 2})
    ends = []

    def observe(what, host, run, how=None):
        if what != "start":
            ends.append((run.run, how.value if how else what))
        made.rules.observe(what, host, run, how)

    for host in made.hosts.values():
        host.observe = observe
    made.submit(made.members[0], deployment.job(made, 1, GANG))
    made.run(at)
    if change is not None:
        change(made, next(iter(made.hosts.values())))
    made.run(25.0)
    deployment.check(made)
    assert deployment.phase(made, f"{1:016x}") is model.Phase.COMPLETED
    return ends


DONE = [(2, "done")] * 2


def test_all_members_of_a_gang_are_done_together():
    assert _play() == [(1, "done")] * 2


def _restart(made, host):
    host.crash()
    host.restart()


def test_a_crash_breaks_the_other_members_of_a_gang():
    assert _play(change=_restart) == [(1, "crashed"), (1, "broken"), *DONE]


def _fail_once(made, host):
    host.failing = True
    made.run(0.06)
    host.failing = False


def test_a_member_that_fails_breaks_the_others():
    ends = _play(at=0.0, change=_fail_once)
    assert ends[:2] == [(1, "failed"), (1, "broken")]


def _cut_off(made, host):
    made.cut_hosts.add(host.id)
    made.run(5.0)
    made.cut_hosts.clear()


def test_a_member_whose_gang_is_not_whole_ends_alone():
    ends = _play(at=0.0, change=_cut_off)
    assert ends[0] == (1, "alone")
    assert ends[-2:] == DONE


def test_a_gang_waits_until_another_run_of_a_member_has_been_stopped():
    made = deployment.world(**{"s-one": 2})
    full = model.Step(
        count=2, needs=model.Resources(4000, 500, 0), estimate_ms=900
    )
    made.submit(made.members[0], deployment.job(made, 1, full))
    made.submit(made.members[0], deployment.job(made, 2, GANG))
    made.run(0.7)
    state = made.leaders()[0].member.term.state
    member = model.TaskId(f"{2:016x}", 0, 0, 0)
    tasks.wait_for_other_run(state, member, made.clock.now)
    made.run(0.9)
    assert deployment.phase(made, f"{1:016x}") is model.Phase.COMPLETED
    assert not deployment.running_tasks(made, member.job)
    made.run(2.0)
    assert deployment.phase(made, member.job) is model.Phase.COMPLETED
