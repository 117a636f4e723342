"""What a new leader must know of its predecessor's runs.

Each day is played as it is, and with the mechanism off, which must break a
rule.
"""

import collections
import itertools

import pytest

from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.leadership import base as leadership
from azurewood.scheduling import orders
from azurewood.scheduling import progress
from azurewood.scheduling import runs
from standins.fleet import members
from standins.fleet import platform
from tests.scheduling import deployment

ORDER_PAUSE_S = members.ORDER_PAUSE_S

LONG = model.Step(
    count=1, needs=model.Resources(1000, 500, 0), estimate_ms=4000
)


def _victim(made):
    return next(h for h in made.hosts.values() if h.runs)


def _start_then_lose_host_and_leader(made):
    """Run a task on a host that is cut off as its leader dies."""
    job = deployment.job(made, 1, LONG)
    others = [m for m in made.members if not m.leads]
    made.submit(others[0], job)
    made.run(0.3)
    made.cut_hosts.add(_victim(made).id)
    made.leaders()[0].kill()
    made.run(20.0)
    return job.id


def test_runs_on_hosts_out_of_reach_are_waited_for():
    made = deployment.world()
    job_id = _start_then_lose_host_and_leader(made)
    assert deployment.phase(made, job_id) is model.Phase.COMPLETED
    deployment.check(made)


def test_breaks_if_progress_is_not_read(monkeypatch):
    monkeypatch.setattr(progress, "restore_job", lambda *args: None)
    made = deployment.world()
    _start_then_lose_host_and_leader(made)
    with pytest.raises(AssertionError, match="twice"):
        deployment.check(made)


def test_breaks_if_silent_hosts_are_taken_for_dead_at_once(monkeypatch):
    monkeypatch.setattr(runs, "MAX_LEASE_S", 0.5)
    monkeypatch.setattr(leadership, "VALID_S", 0.5)
    made = deployment.world()
    _start_then_lose_host_and_leader(made)
    with pytest.raises(AssertionError, match="twice"):
        deployment.check(made)


def _start_without_a_store(made):
    """Let the store fail between a job's record and its start's."""
    job = deployment.job(made, 1, LONG)
    leader = made.leaders()[0]
    others = [m for m in made.members if m is not leader]
    made.submit(others[0], job)
    while job.id not in leader.member.desk.register.entries:
        made.run(0.001)
    made.store_down = True
    made.run(0.3)
    started = [h for h in made.hosts.values() if h.runs]
    made.cut_hosts.update(host.id for host in started)
    leader.kill()
    # A call that the leader had sent must not reach the store after all.
    made.run(0.1)
    made.store_down = False
    made.run(20.0)
    return started


def test_nothing_starts_without_its_record():
    made = deployment.world()
    assert not _start_without_a_store(made)
    deployment.check(made)


def test_breaks_if_a_start_does_not_wait_for_its_record(monkeypatch):
    real = runs.send_start

    def at_once(state, host, run, now, *, saved_first=False):
        real(state, host, run, now, saved_first=False)

    monkeypatch.setattr(runs, "send_start", at_once)
    made = deployment.world()
    assert _start_without_a_store(made)
    with pytest.raises(AssertionError, match="twice"):
        deployment.check(made)


def _failures_on_record(made):
    return [
        row.failures
        for value in made.store.values(pages.Topic.PROGRESS).values()
        if isinstance(record := progress.decode(value), progress.JobProgress)
        for row in record.tasks
    ]


def test_failures_on_record_end_the_job_under_a_new_leader():
    """Found on trouble-2 --seed 397029584636 of the second site."""
    made = deployment.world()
    for host in made.hosts.values():
        host.failing = True
    job = deployment.job(made, 1, LONG)
    made.submit(made.members[0], job)
    while max(_failures_on_record(made), default=0) < job.attempts:
        made.run(0.001)
    made.leaders()[0].kill()
    made.run(10.0)
    assert deployment.phase(made, job.id) is model.Phase.FAILED
    deployment.check(made)


def test_leader_that_stops_is_succeeded_at_once():
    made = deployment.world()
    old = made.leaders()[0]
    made.run(0.4)
    old.member.leave()
    made.run(0.6)
    assert [m for m in made.leaders() if m is not old]
    deployment.check(made)


def _orders_around_a_new_leader():
    """Ask for hosts, let the leader leave after its first orders.

    Return each machine's orders: when, and by which leader's fence.
    """
    made = deployment.world(**{"s-one": 2, "s-two": 2, "spare": 6})
    made.run(5.0)
    given = collections.defaultdict(list)
    order = made.order

    def noted(wanted, fence):
        given[wanted.machine].append((made.clock.now, fence))
        return order(wanted, fence)

    made.order = noted
    many = model.Step(
        count=24, needs=model.Resources(1000, 500, 0), estimate_ms=300
    )
    made.submit(made.members[0], deployment.job(made, 1, many))
    while not given:
        made.run(0.01)
    made.leaders()[0].kill()
    # Another turn wants the machines that were moved just now.
    made.run(2.6)
    others = [member for member in made.members if member.up]
    for number in range(2, 8):
        job = deployment.job(made, number, many, queue="two")
        made.submit(others[0], job)
    made.run(8.0)
    return given


def _pauses(given):
    """Yield the seconds between orders of two leaders about a machine."""
    for machine in given.values():
        for (at, fence), (later, other) in itertools.pairwise(machine):
            if fence != other:
                yield later - at


def test_two_leaders_orders_keep_their_pause():
    pauses = list(_pauses(_orders_around_a_new_leader()))
    assert pauses
    assert min(pauses) >= ORDER_PAUSE_S


def test_breaks_if_earlier_orders_are_not_adopted(monkeypatch):
    monkeypatch.setattr(orders, "restore", lambda *args: None)
    assert min(_pauses(_orders_around_a_new_leader())) < ORDER_PAUSE_S


def _report_into_a_cut(made, monkeypatch):
    """Cut a leader off as it reports a wave; its successor ends the wave.

    The cut is over while the first leader repeats its report. Return what
    operators read one after another.
    """
    old = made.leaders()[0]
    real = platform.SimPlatform.wave_report

    def cut(self, report):
        if made.leaders() == [old]:
            old.cut_from.update((platform.STORE, *made.hosts))
        return real(self, report)

    def reported():
        page = made.store.read(pages.Topic.REPORTS, 0)
        return [record.value for record in page.records]

    monkeypatch.setattr(platform.SimPlatform, "wave_report", cut)
    made.request_wave(deployment.wave(1, min(made.machines)))
    end = made.clock.now + 20.0
    while b"completed" not in reported():
        assert made.clock.now < end
        made.run(0.01)
    assert old.cut_from
    old.cut_from.clear()
    made.run(5.0)
    return reported()


def test_earlier_leaders_report_does_not_replace_a_later_ones(monkeypatch):
    made = deployment.world()
    reported = _report_into_a_cut(made, monkeypatch)
    assert reported == sorted(reported, reverse=True)
    assert reported[-1] == b"completed"
    deployment.check(made)


def test_a_daemon_that_starts_later_shows_the_same_end():
    """Found by seed 14 of the soak: a job's end raced its cancellation.

    The end was stored first. Daemons that were there showed the job as
    completed, those that started later as cancelled, as the store lists
    records by their keys.
    """
    made = deployment.world()
    job = deployment.job(made, 1, LONG)
    made.submit(made.members[0], job)
    made.run(6.0)
    late = records.Cancelled(id=job.id)
    stored = appender.Record(key=late.key, value=records.encode(late))
    made.store.add(pages.Topic.JOBS, (stored,))
    made.run(1.0)
    restarted = made.members[2]
    restarted.kill()
    restarted.start()
    made.run(6.0)
    shown = {member.member.desk.show(job.id).phase for member in made.members}
    assert shown == {model.Phase.COMPLETED}
