"""Jobs that wait in the intake while all daemons are lost."""

import pytest

from azurewood.jobs import verdicts
from azurewood.journal import pages
from azurewood.policy import intake
from tests.scheduling import deployment
from tests.scheduling import test_intake

DOWN_S = 0.7
WATCHED_S = 8.0
DENIED_WITHIN_S = 10.0
"""Time for a leader to read all partitions, idle ones for 5 s at a time,
for beats and for a read of the jobs."""
UNKNOWN_ID = "f" * 16


def _restart_all(made):
    for member in made.members:
        member.kill()
    made.run(DOWN_S)
    for member in made.members:
        member.start()


def _denials(made, ids, *, slow, leaderless):
    """Restart all daemons; return how often a stored job was denied."""
    _restart_all(made)
    made.slow = slow
    denied = 0
    until = made.clock.now + WATCHED_S
    while made.clock.now < until:
        made.run(0.1)
        for leader in made.leaders() if leaderless else ():
            leader.kill()
        denied += sum(
            member.member.job_service.show(id) == verdicts.NotThere()
            for member in made.members
            if member.up
            for id in ids
        )
    return denied


def _accepted_in_intake():
    made = test_intake._slow_world(daemons=12)
    asked = test_intake._submit(made, 60, per_s=45)
    taken = [
        id for id, (a, _) in asked.items() if a.verdict == verdicts.Taken()
    ]
    assert len(taken) > 20
    assert test_intake._stored_in_intake(made)
    return made, taken


@pytest.mark.parametrize(
    ("slow", "leaderless"), [(test_intake.SLOW, False), (1.0, True)]
)
def test_daemons_that_start_anew_deny_no_job_in_the_intake(slow, leaderless):
    """Guards against LOST: accepted, and denied for as long as none copies."""
    made, ids = _accepted_in_intake()
    assert not _denials(made, ids, slow=slow, leaderless=leaderless)


def test_they_do_if_they_take_the_intake_for_empty(monkeypatch):
    monkeypatch.setattr(intake, "knows_all", lambda **known: True)
    made, ids = _accepted_in_intake()
    assert _denials(made, ids, slow=1.0, leaderless=True)


def test_a_job_that_nobody_handed_in_is_denied_soon_after_a_start():
    """Guards against daemons that never learn that the intake is empty."""
    made = deployment.world()
    _restart_all(made)
    made.run(DENIED_WITHIN_S)
    for member in made.members:
        shown = member.member.job_service.show(UNKNOWN_ID)
        assert shown == verdicts.NotThere()


def test_all_jobs_run_once_a_leader_has_copied_them():
    made, ids = _accepted_in_intake()
    _restart_all(made)
    made.slow = 1.0
    made.run(20.0)
    for id in ids:
        assert deployment.phase(made, id) is not None
    assert not made.store.values(pages.Topic.INTAKE, 0)
    deployment.check(made)
