"""Gangs on the simulated hosts: they work whole, and end together."""

from azurewood.jobs import model
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
