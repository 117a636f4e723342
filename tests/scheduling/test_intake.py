"""Jobs that daemons store in the intake while the store is slow."""

import collections

import pytest

from azurewood.daemons import intake as copier
from azurewood.daemons import topics
from azurewood.jobs import desk
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import verdicts
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.policy import intake
from standins.fleet import members
from tests.scheduling import deployment

APPEND_S = 0.003
SLOW = 28.0
SLOW_SECONDS = 5
SHORT = model.Step(
    count=1, needs=model.Resources(500, 100, 0), estimate_ms=200
)


def _slow_world(daemons=12, **pools):
    made = deployment.world(members=daemons, **pools)
    made.append_s = APPEND_S
    made.slow = SLOW
    made.run(1.5)
    return made


def _submit(made, count, per_s, first=1):
    asked = {}
    for number in range(first, first + count):
        job = deployment.job(made, number, SHORT)
        member = made.members[number % len(made.members)]
        asked[job.id] = (made.submit(member, job), made.clock.now)
        made.run(1 / per_s)
    return asked


def _share_taken(asked):
    taken = [a for a, _ in asked.values() if a.verdict == verdicts.Taken()]
    return len(taken) / len(asked)


def _stored_in_intake(made):
    return {
        key
        for part in range(members.STORE_PARTITIONS)
        for key in made.store.values(pages.Topic.INTAKE, part)
    }


def test_a_peak_is_accepted_while_the_store_is_slow():
    made = _slow_world(daemons=36)
    asked = _submit(made, 180, per_s=45)
    made.run(1.0)
    assert _share_taken(asked) >= 0.95
    made.slow = 1.0
    made.run(12.0)
    for job_id in asked:
        assert deployment.phase(made, job_id) is model.Phase.COMPLETED
    assert not _stored_in_intake(made)
    deployment.check(made)


def test_without_the_intake_most_of_it_waits_in_line(monkeypatch):
    monkeypatch.setattr(intake, "SLOW_APPEND_S", float("inf"))
    made = _slow_world(daemons=36)
    asked = _submit(made, 180, per_s=45)
    made.run(1.0)
    assert _share_taken(asked) <= 0.6


def _share_quickly_taken(daemons, per_s):
    """Slow the store for 5 s of a peak; return shares by second.

    A share is that of the jobs whose record was stored within a second.
    """
    made = deployment.world(members=daemons, **{"s-one": 30})
    made.append_s = APPEND_S
    made.run(2.0)
    asked = {}
    quick = set()
    for second in range(SLOW_SECONDS + 1):
        for turn in range(per_s):
            number = second * per_s + turn
            job = deployment.job(made, number + 1, SHORT)
            member = made.members[number % daemons]
            asked[job.id] = (made.submit(member, job), made.clock.now, second)
            made.run(1 / per_s)
            quick.update(_taken_within(asked, 1.0, made.clock.now))
        made.slow = SLOW
    made.slow = 1.0
    made.run(12.0)
    deployment.check(made)
    for job_id, (answer, _, _) in asked.items():
        if answer.verdict == verdicts.Taken():
            shown = deployment.phase(made, job_id)
            assert shown is model.Phase.COMPLETED
    counts = collections.Counter(asked[job_id][2] for job_id in quick)
    return [counts[second] / per_s for second in range(SLOW_SECONDS + 1)]


def _taken_within(asked, seconds, now):
    """Yield the jobs that are taken and were asked for in ``seconds``."""
    for job_id, (answer, asked_at, _) in asked.items():
        if answer.verdict == verdicts.Taken() and now - asked_at <= seconds:
            yield job_id


def test_a_peak_is_taken_from_the_second_after_the_store_became_slow():
    before, first, *later = _share_quickly_taken(36, 45)
    assert before >= 0.95
    assert first >= 0.4
    assert all(share >= 0.95 for share in later[:-1])


def test_calls_that_are_given_up_and_repeated_fill_the_stores_line(
    monkeypatch,
):
    """Each repetition waits in the line behind the call it replaces."""
    monkeypatch.setattr(topics.Writer, "set_slow", lambda self, slow: None)
    _, *later = _share_quickly_taken(36, 45)
    assert min(later) <= 0.3


@pytest.mark.parametrize("daemons", [6, 36])
def test_a_lost_answer_costs_the_time_of_a_read(daemons, monkeypatch):
    """The daemon reads the record back and need not wait for a time-out."""
    waits = _waits_with_lost_answers(daemons)
    assert sum(waits) / len(waits) < appender.MIN_TIMEOUT_S
    monkeypatch.setattr(topics.Writer, "note_read", lambda self, key: None)
    without = _waits_with_lost_answers(daemons)
    assert sum(without) >= 2 * sum(waits)


def test_a_late_append_is_repeated_before_it_is_carried_out(monkeypatch):
    """Four of ten appends are carried out seconds later, without answer."""
    waits = _waits_with_lost_answers(36, lost=0.0, late=0.4)
    quick = sum(wait <= 1.0 for wait in waits)
    assert quick >= 0.8 * len(waits)
    monkeypatch.setattr(appender, "MIN_TIMEOUT_S", 1.4)
    monkeypatch.setattr(appender, "MAX_TIMEOUT_S", 1.4)
    patient = _waits_with_lost_answers(36, lost=0.0, late=0.4)
    assert sum(wait <= 1.0 for wait in patient) <= 0.8 * quick


def _waits_with_lost_answers(daemons, lost=0.3, late=0.0):
    """Lose answers of appends, or delay appends; return the waits in s."""
    made = deployment.world(members=daemons, **{"s-one": 30})
    made.lost_share = lost
    made.late_write_share = late
    asked = {}
    waits = {}
    for number in range(90):
        job = deployment.job(made, number + 1, SHORT)
        answer = made.submit(made.members[number % daemons], job)
        asked[job.id] = (answer, made.clock.now)
        for _ in range(5):
            made.run(0.01)
            for job_id, (answer, at) in asked.items():
                if answer.verdict is not None:
                    waits.setdefault(job_id, made.clock.now - at)
    made.lost_share = 0.0
    made.late_write_share = 0.0
    made.run(8.0)
    deployment.check(made)
    return [waits.get(job_id, 3.0) for job_id in asked]


def test_a_daemon_keeps_to_the_intake_while_reports_are_late():
    made = _slow_world()
    member = next(m for m in made.members if not m.leads)
    made.leaders()[0].frozen = True
    made.run(1.8)
    asked = made.submit(member, deployment.job(made, 1, SHORT))
    made.run(0.5)
    assert asked.verdict == verdicts.Taken()
    assert _stored_in_intake(made) == {f"a/{1:016x}"}


def test_a_late_request_is_not_refused_while_the_intake_may_have_its_job():
    made = _slow_world(daemons=4)
    member = next(m for m in made.members if not m.leads)
    made.slow = 10_000.0
    made.submit(member, deployment.job(made, 1, SHORT))
    made.run(0.1)
    asked = made.submit(member, deployment.job(made, 2, SHORT))
    made.run(desk.SEND_TIMEOUT_S + 0.5)
    assert isinstance(asked.verdict, verdicts.OutcomeUnknown)


def test_nothing_goes_to_the_intake_while_the_store_is_quick():
    made = deployment.world()
    made.append_s = APPEND_S
    asked = _submit(made, 20, per_s=30)
    made.run(2.0)
    assert _share_taken(asked) == 1.0
    for part in range(members.STORE_PARTITIONS):
        assert made.store.end(pages.Topic.INTAKE, part) == 0


def _job_in_intake_without_a_leader():
    """Store a job in the intake and kill the leader before it is copied."""
    made = _slow_world(daemons=4)
    (leader,) = made.leaders()
    member = next(m for m in made.members if m is not leader)
    leader.frozen = True
    job = deployment.job(made, 1)
    asked = made.submit(member, job)
    for _ in range(100):
        if asked.verdict is None:
            made.run(0.01)
    assert asked.verdict == verdicts.Taken()
    assert _stored_in_intake(made) == {f"a/{job.id}"}
    leader.kill()
    return made, member, job


def test_a_new_leader_copies_what_its_predecessor_left():
    made, _, job = _job_in_intake_without_a_leader()
    made.slow = 1.0
    made.run(10.0)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    assert not _stored_in_intake(made)
    assert made.rules.starts == 5
    deployment.check(made)


def test_a_job_in_the_intake_is_lost_if_nobody_copies_it(monkeypatch):
    monkeypatch.setattr(copier.IntakeCopier, "step", lambda *args, **kw: None)
    made, member, job = _job_in_intake_without_a_leader()
    made.slow = 1.0
    made.run(10.0)
    shown = member.member.job_service.show(job.id)
    assert shown == verdicts.JobStatus(phase=model.Phase.PENDING)


def test_no_daemon_denies_a_job_that_may_be_in_the_intake():
    made, member, job = _job_in_intake_without_a_leader()
    for other in made.members:
        if not other.up:
            continue
        shown = other.member.job_service.show(job.id)
        if other is member:
            assert shown == verdicts.JobStatus(phase=model.Phase.PENDING)
        else:
            assert shown == verdicts.StatusUnknown()
            refused = other.member.job_service.cancel(job.id, timeout_s=0.0)
            assert isinstance(refused, verdicts.Refused)


def test_a_job_cancelled_before_it_is_copied_never_starts():
    made, member, job = _job_in_intake_without_a_leader()
    made.cancel(member, job.id)
    made.slow = 1.0
    made.run(10.0)
    assert deployment.phase(made, job.id) is model.Phase.CANCELLED
    assert made.rules.starts == 0
    made.run(members.RETENTION_S + 35.0)
    assert not made.store.values(pages.Topic.JOBS)
    deployment.check(made)


@pytest.mark.parametrize("ended", [False, True])
def test_a_late_copy_of_a_known_job_starts_nothing_again(ended):
    """A call without an answer is carried out seconds later.

    Meanwhile the caller submitted the job again, at another daemon.
    """
    made = deployment.world()
    job = deployment.job(made, 1)
    made.submit(made.members[0], job)
    made.run(4.0 if ended else 0.2)
    record = records.Accepted(job=job)
    late = appender.Record(key=record.key, value=records.encode(record))
    made.store.add(pages.Topic.INTAKE, (late,), 2)
    made.run(8.0)
    assert made.rules.starts == 5
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    assert not _stored_in_intake(made)
    deployment.check(made)


def test_faults_of_the_slow_store_lose_and_repeat_nothing():
    """Answers are lost and leaders die while the intake is in use."""
    made = _slow_world(daemons=6)
    made.lost_share = 0.2
    asked = _submit(made, 20, per_s=10)
    made.leaders()[0].kill()
    asked |= _submit(made, 20, per_s=10, first=21)
    made.lost_share = 0.0
    made.slow = 1.0
    made.run(20.0)
    for job_id, (answer, _) in asked.items():
        if answer.verdict == verdicts.Taken():
            shown = deployment.phase(made, job_id)
            assert shown is model.Phase.COMPLETED
    assert not _stored_in_intake(made)
    deployment.check(made)
