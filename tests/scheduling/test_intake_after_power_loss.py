"""Jobs that wait in the intake while all daemons are lost."""

import pytest

from azurewood.daemons import intake as copier
from azurewood.jobs import verdicts
from azurewood.journal import pages
from azurewood.leadership import base as leadership
from azurewood.policy import intake
from tests.scheduling import deployment
from tests.scheduling import test_intake

DOWN_S = 0.7
WATCHED_S = 8.0
DENIED_WITHIN_S = 10.0
"""Time for a leader to read all partitions, idle ones for 5 s at a time,
for beats and for a read of the jobs."""
UNKNOWN_ID = "f" * 16
COPIED_WITHIN_S = 16.0
"""Time in which daemons learn that the intake is empty, as none uses it."""
FROZEN_S = 4.5
"""Longer than the store is slow, and the power away."""
FROZEN = 4
"""How many daemons are frozen."""
KNOWN_WITHIN_S = 2.0
"""Time for three beats and for a read of the jobs."""
CATCH_UP_S = 0.5
"""Time for a frozen daemon to read the leader's records as it goes on."""


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


def _denials_of_frozen_daemons():
    """Freeze daemons that know the intake while others begin to use it.

    These lose power before a leader has copied their jobs, and each leader is
    lost from then on. Return how often the others denied a job.
    """
    made = deployment.world(members=12)
    made.append_s = test_intake.APPEND_S
    made.run(COPIED_WITHIN_S)
    (leader,) = made.leaders()
    away = [member for member in made.members if member is not leader]
    away = away[-FROZEN:]
    assert all(member.member.job_service.complete for member in away)
    for member in away:
        member.freeze(FROZEN_S)
    thaw_at = made.clock.now + FROZEN_S
    made.slow = test_intake.SLOW
    made.run(1.5)
    using = [member for member in made.members if member not in away]
    ids = _taken_by(made, using)
    assert test_intake._stored_in_intake(made)
    for member in using:
        member.kill()
    made.run(DOWN_S)
    for member in using:
        member.start()
    made.slow = 1.0
    return _watch(made, away, ids, since=thaw_at + CATCH_UP_S)


def _taken_by(made, members):
    """Hand jobs in; return the ids of those that are accepted."""
    asked = {}
    for number in range(1, 61):
        job = deployment.job(made, number, test_intake.SHORT)
        member = members[number % len(members)]
        asked[job.id] = made.submit(member, job)
        made.run(1 / 45)
    return [id for id, a in asked.items() if a.verdict == verdicts.Taken()]


def _watch(made, members, ids, since):
    """Lose each leader; return how often daemons denied jobs ``since``."""
    denied = 0
    until = since + WATCHED_S
    while made.clock.now < until:
        made.run(0.1)
        for leader in made.leaders():
            leader.kill()
        denied += sum(
            member.member.job_service.show(id) == verdicts.NotThere()
            for member in members
            if member.up and made.clock.now >= since
            for id in ids
        )
    return denied


def test_daemons_that_missed_the_use_of_the_intake_deny_no_job_there():
    """Guards against LOST: a claim was their newest record, which is fast."""
    assert not _denials_of_frozen_daemons()


def test_they_do_if_the_newest_report_alone_counts(monkeypatch):
    usual = leadership.Election.step

    def step(self, event, now):
        known = self.slow_reported_at
        try:
            return usual(self, event, now)
        finally:
            self.slow_reported_at = known

    monkeypatch.setattr(leadership.Election, "step", step)
    assert _denials_of_frozen_daemons()


def test_a_job_that_nobody_handed_in_is_denied_soon_after_a_start():
    """Guards against daemons that never learn that the intake is empty."""
    made = deployment.world()
    _restart_all(made)
    made.run(DENIED_WITHIN_S)
    for member in made.members:
        shown = member.member.job_service.show(UNKNOWN_ID)
        assert shown == verdicts.NotThere()


def _knows_soon_after_a_start(made):
    """Restart a daemon under a leader; return whether it soon knows all."""
    member = next(member for member in made.members if not member.member.term)
    member.kill()
    made.run(DOWN_S)
    member.start()
    made.run(KNOWN_WITHIN_S)
    return member.member.job_service.complete


def test_a_daemon_that_starts_alone_soon_knows_that_the_intake_is_empty():
    """Guards against seconds without refusals after each start."""
    made = deployment.world()
    made.run(copier.UNUSED_AFTER_S + 10.0)
    assert _knows_soon_after_a_start(made)


def test_it_waits_for_the_reads_that_the_store_holds_open(monkeypatch):
    monkeypatch.setattr(copier, "UNUSED_AFTER_S", float("inf"))
    made = deployment.world()
    made.run(30.0)
    assert not _knows_soon_after_a_start(made)


def test_after_a_slow_report_the_intake_counts_as_read_by_reads_alone():
    """Guards against LOST: a daemon may store jobs there for seconds."""
    made = deployment.world()
    made.run(copier.UNUSED_AFTER_S + 10.0)
    member = made.leaders()[0].member
    now = made.clock.now
    assert member.term.copied_at(now) == now
    member.election.slow_reported_at = now
    assert now - 2 * copier.IDLE_WAIT_MS / 1000 < member.term.copied_at(now)
    assert member.term.copied_at(now) < now
    made.run(copier.UNUSED_AFTER_S - 1.0)
    assert member.term.copied_at(made.clock.now) < made.clock.now


def test_all_jobs_run_once_a_leader_has_copied_them():
    made, ids = _accepted_in_intake()
    _restart_all(made)
    made.slow = 1.0
    made.run(20.0)
    for id in ids:
        assert deployment.phase(made, id) is not None
    assert not made.store.values(pages.Topic.INTAKE, 0)
    deployment.check(made)
