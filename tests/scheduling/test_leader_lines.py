"""The leader's log lines about its loop, its queue and stuck work."""

import collections
import itertools
import time

from loguru import logger
import pytest

from azurewood.daemons import member as members
from azurewood.daemons import pace
from azurewood.http import multiplex
from azurewood.jobs import model
from azurewood.journal import pages
from azurewood.scheduling import latestarts
from azurewood.scheduling import stuck
from standins.fleet import members as sim_members
from standins.fleet import platform
from tests.scheduling import deployment

SMALL = 75_000
"""Function calls per second: about half of what the jobs below need."""
STEP = model.Step(
    count=6, needs=model.Resources(1000, 500, 0), estimate_ms=800
)


@pytest.fixture
def lines(no_logs):
    """Return a list that receives the fields of all log lines."""
    found = []
    logger.enable("azurewood")
    sink = logger.add(
        lambda message: found.append(message.record["extra"]), level="INFO"
    )
    yield found
    logger.remove(sink)


def _of(lines, event):
    return [line for line in lines if line.get("event") == event]


def _submit_jobs(speed):
    made = deployment.world(members=2, **{"s-one": 30})
    for member in made.members:
        member.processor.speed = speed
    for number in range(60):
        job = deployment.job(made, number, STEP)
        made.submit(made.members[number % 2], job)
        made.run(0.05)
    return made


def test_a_saturated_leader_is_logged(lines):
    _submit_jobs(SMALL)
    saturated = _of(lines, "leader.saturated")
    assert saturated
    for line in saturated:
        assert line["busy_ms"] >= pace.SATURATED_SHARE * line["over_ms"]
    longest = max(
        line["longest_step_ms"] for line in _of(lines, "leader.loop")
    )
    assert longest >= 20


def test_late_leader_ticks_are_logged(lines):
    made = deployment.world()
    made.submit(made.members[0], deployment.job(made, 1, STEP))
    made.run(0.2)
    made.leaders()[0].freeze(0.8)
    made.run(2.5)
    (line,) = _of(lines, "leader.late")
    assert 700 <= line["late_ms"] <= 800
    assert line["jobs"] == 1
    gaps = [line["longest_gap_ms"] for line in _of(lines, "leader.loop")]
    assert max(gaps) >= 750


def test_a_leader_that_keeps_up_is_never_late(lines):
    _submit_jobs(None)
    assert not _of(lines, "leader.late")
    assert not _of(lines, "leader.saturated")
    gaps = [line["longest_gap_ms"] for line in _of(lines, "leader.loop")]
    assert gaps
    assert max(gaps) < pace.LATE_TICK_S * 1000


def test_the_loop_has_one_line_a_second(lines):
    made = deployment.world()
    del lines[:]
    made.run(10.0)
    loops = _of(lines, "leader.loop")
    assert 8 <= len(loops) <= 10
    assert all(line["steps"] > 0 for line in loops)


def test_starts_and_calls_are_counted(lines):
    made = deployment.world()
    del lines[:]
    made.submit(made.members[0], deployment.job(made, 1, STEP))
    made.run(2.5)
    loops = _of(lines, "leader.loop")
    assert sum(line["starts"] for line in loops) == STEP.count
    assert max(line["calls"] for line in loops) > 0


def test_a_wait_for_calls_is_not_busy():
    calls = multiplex.Multiplexer(clock=time.monotonic)
    calls.run_once(0.05)
    assert calls.waited_s >= 0.04
    assert calls.under_way == 0


def _overloaded_world(count):
    """Return a world with more jobs than its single host can run."""
    made = deployment.world(**{"s-one": 1})
    made.run_duration_s = lambda task, step: 30.0
    large = model.Step(
        count=1, needs=model.Resources(4000, 500, 0), estimate_ms=400
    )
    for number in range(count):
        job = deployment.job(made, number, large)
        made.submit(made.members[number % 3], job)
    return made


def test_pool_state_shows_waiting_jobs_and_their_age(lines):
    made = _overloaded_world(6)
    made.run(4.0)
    shown = [p for p in _of(lines, "pool.state") if p["pool"] == "s-one"]
    assert shown[0]["jobs_waiting"] == shown[0]["oldest_ms"] == 0
    assert shown[-1]["jobs_waiting"] == shown[-1]["tasks_waiting"] >= 5
    assert shown[-1]["oldest_ms"] >= 2500


def test_a_jobs_end_shows_its_queue_wait_and_lateness(lines):
    made = deployment.world()
    job = deployment.job(made, 1)
    made.submit(made.members[0], job)
    made.run(5.0)
    (ended,) = _of(lines, "job.ended")
    assert ended["queue"] == "one"
    assert 0 <= ended["wait_ms"] < ended["after_ms"]
    allowed_ms = job.objective_at_ms() - job.accepted_ms
    assert abs(ended["after_ms"] - allowed_ms - ended["late_ms"]) <= 1


def test_jobs_without_capacity_are_logged_up_to_a_limit(lines):
    made = _overloaded_world(60)
    made.run(10.0)
    logged = _of(lines, "task.stuck")
    assert logged
    assert {line["why"] for line in logged} == {stuck.Why.ROOM.value}
    assert all(line["stuck_ms"] >= 2000 for line in logged)
    assert len(logged) <= 10 * stuck.MAX_LOG_LINES
    assert len({line["job"] for line in logged}) >= 50


def test_a_job_on_an_unresponsive_host_is_logged_with_its_run(lines):
    made = deployment.world()
    made.run_duration_s = lambda task, step: 30.0
    job = deployment.job(made, 1, STEP)
    made.submit(made.members[0], job)
    made.run(1.0)
    running_on = {host.id for host in made.hosts.values() if host.runs}
    made.cut_hosts.update(running_on)
    made.run(5.0)
    (first, *_) = _of(lines, "task.stuck")
    assert first["job"] == job.id
    assert first["host"] in running_on
    assert first["why"] == stuck.Why.HOST_SILENT.value
    assert (first["phase"], first["run_phase"]) == ("open", "running")


def test_each_stuck_long_lived_task_is_logged(lines):
    made = deployment.world(**{"s-one": 2})
    many = model.Step(
        count=3,
        needs=model.Resources(500, 500, 0),
        long_lived=True,
        per_host=1,
    )
    made.submit(made.members[0], deployment.job(made, 1, many))
    made.run(6.0)
    logged = collections.Counter(
        line["task"] for line in _of(lines, "task.stuck")
    )
    assert len(logged) == 1
    # Logged after two seconds, and again after twice that time.
    assert max(logged.values()) <= 2


def test_nothing_is_logged_while_runs_proceed(lines):
    made = deployment.world()
    made.run_duration_s = lambda task, step: 6.0
    made.submit(made.members[0], deployment.job(made, 1, STEP))
    made.run(8.0)
    assert not _of(lines, "task.stuck")


def test_terms_log_the_silence_before_and_unfinished_work(lines):
    made = deployment.world()
    made.run_duration_s = lambda task, step: 30.0
    made.submit(made.members[0], deployment.job(made, 1, STEP))
    made.run(1.0)
    made.leaders()[0].kill()
    made.run(4.0)
    assert _of(lines, "term.begun")[-1]["silent_ms"] >= 1500
    assert _of(lines, "term.leading")[-1]["silent_ms"] >= 1500
    made.leaders()[0].member.leave()
    made.run(2.0)
    over = _of(lines, "term.over")[-1]
    assert (over["jobs"], over["starts_unstored"]) == (1, 0)
    assert over["orders_open"] == 0
    assert _of(lines, "term.begun")[-1]["silent_ms"] < 1500


def test_lines_tell_the_incarnations_of_a_restarted_host_and_its_runs(lines):
    made = deployment.world(**{"s-one": 2})
    job = deployment.job(made, 1, deployment.LONG_LIVED)
    made.submit(made.members[0], job)
    made.run(2.0)
    victim = next(host for host in made.hosts.values() if host.runs)
    before = victim.incarnation_ms
    lost = len(victim.runs)
    victim.crash()
    made.run(0.3)
    victim.restart()
    made.publish_entry(victim)
    made.run(3.0)
    (restarted,) = _of(lines, "host.restarted")
    assert restarted["host"] == victim.id
    assert restarted["before"] == before
    assert restarted["incarnation"] == victim.incarnation_ms
    gone = [line for line in _of(lines, "run.gone") if "age_ms" in line]
    assert [line["incarnation"] for line in gone] == [before] * lost


def test_a_start_without_an_answer_is_logged(lines):
    made = deployment.world(**{"s-one": 2})
    made.late_share = 1.0
    made.submit(made.members[0], deployment.job(made, 1))
    made.run(1.5)
    unanswered = _of(lines, "start.unanswered")
    assert unanswered
    assert all(line["incarnation"] for line in unanswered)


def test_two_runs_that_may_both_be_late_are_logged(lines, monkeypatch):
    monkeypatch.setattr(sim_members, "LATE_CALL_DELAY_S", (10.0, 10.0))
    monkeypatch.setattr(latestarts, "is_repeated", lambda *args: False)
    made = deployment.world(**{"s-one": 1})
    lost = deployment.lose_starts(made)
    step = model.Step(
        count=1, needs=model.Resources(500, 500, 0), long_lived=True
    )
    made.submit(made.members[0], deployment.job(made, 1, step))
    made.run(3.0)
    host = made.hosts[lost[0]]
    host.crash()
    host.restart()
    lost.clear()
    made.run(3.0)
    (restarted,) = _of(lines, "host.restarted")
    assert restarted["late_starts"] == 1
    (line,) = _of(lines, "task.late_twice")
    assert (line["other_run"], line["run"]) == (1, 2)
    assert line["other_incarnation"] < line["incarnation"]
    assert 0 < line["for_ms"] < 12_000


WAITS = {
    "fence progress": ("begin_epoch", pages.Topic.PROGRESS, None),
    "fence jobs": ("begin_epoch", pages.Topic.JOBS, None),
    "end of jobs": ("read", pages.Topic.JOBS, 0),
    "read progress": ("newest", pages.Topic.PROGRESS, None),
    "catch up with jobs": ("read", pages.Topic.JOBS, members.WAIT_MS),
}
"""What a takeover waits for while the answers to such calls are lost."""
STAGES = {
    "fence progress": "fencing",
    "fence jobs": "fencing",
    "end of jobs": "reading",
    "read progress": "reading",
    "catch up with jobs": "catching_up",
}


def _lose_answers(made, monkeypatch):
    """Return a set to fill; answers to calls that it describes are lost."""
    lost = set()
    known = []

    def describe(name, waits):
        real = getattr(platform.SimPlatform, name)

        def call(self, topic, *args, **fields):
            made_call = real(self, topic, *args, **fields)
            known.append((made_call, (name, topic, waits(*args))))
            return made_call

        monkeypatch.setattr(platform.SimPlatform, name, call)

    describe("begin_epoch", lambda *args: None)
    describe("newest", lambda *args: None)
    describe("read", lambda offset, wait_ms: wait_ms)
    usual = made.fault_of

    def fault_of(call):
        found = [what for other, what in known if other is call]
        known.clear()
        return "lost" if lost.intersection(found) else usual(call)

    made.fault_of = fault_of
    return lost


def _stall_a_takeover(made, monkeypatch, *waits):
    """Kill the leader; have its successor wait for each of ``waits``."""
    lost = _lose_answers(made, monkeypatch)
    lost.add(WAITS[waits[0]])
    made.leaders()[0].kill()
    while not made.leaders():
        made.run(0.001)
    asked = next(m for m in made.members if m.up and not m.leads)
    for number in range(len(waits)):
        lost.clear()
        lost.update(WAITS[w] for w in waits[number:])
        for job in range(4):
            made.submit(asked, deployment.job(made, 10 * number + job))
            made.run(0.1)
        made.run(2.8 / len(waits))
    lost.clear()


@pytest.mark.parametrize("waits_for", WAITS)
def test_a_takeover_logs_what_it_waits_for(lines, monkeypatch, waits_for):
    """Found on scale-1 of a grown site: no line said it."""
    made = deployment.world()
    assert not _of(lines, "takeover.waiting")
    del lines[:]
    waits = [waits_for]
    if waits_for == "catch up with jobs":
        waits = ["end of jobs", waits_for]
    _stall_a_takeover(made, monkeypatch, *waits)
    made.run(2.0)
    (begun,) = _of(lines, "term.begun")
    logged = _of(lines, "takeover.waiting")
    assert 2 <= len(logged) <= 4
    assert {line["term"] for line in logged} == {begun["term"]}
    assert sorted({line["waits_for"] for line in logged}) == sorted(waits)
    for line in logged:
        assert line["stage"] == STAGES[line["waits_for"]]
        assert 0 <= line["since_ms"] <= line["begun_ms"]
    for line, later in itertools.pairwise(logged):
        assert 950 <= later["begun_ms"] - line["begun_ms"] <= 1200
    last = logged[-1]
    if waits_for == "catch up with jobs":
        assert 0 < last["offset"] < last["end"]
        assert last["since_ms"] < last["begun_ms"] - 1000
    else:
        assert last["since_ms"] > last["begun_ms"] - 500
    assert len(_of(lines, "term.leading")) == 1


def test_a_run_that_is_gone_is_logged_with_its_starts(lines):
    made = deployment.world(**{"s-one": 2})
    made.submit(made.members[0], deployment.job(made, 1))
    made.run(0.1)
    victim = next(host for host in made.hosts.values() if host.runs)
    victim.crash()
    made.run(0.3)
    victim.restart()
    made.publish_entry(victim)
    made.run(3.0)
    gone = _of(lines, "run.gone")
    assert gone
    assert {(line["starts"], line["late"]) for line in gone} == {(1, False)}


def test_a_stop_without_an_answer_is_logged(lines):
    made = deployment.world(**{"s-one": 2})
    job = deployment.job(made, 1, deployment.LONG_LIVED)
    made.submit(made.members[0], job)
    made.run(1.0)
    made.late_share = 1.0
    made.cancel(made.members[0], job.id)
    made.run(1.5)
    unanswered = _of(lines, "stop.unanswered")
    assert unanswered
    assert not any(line["late"] for line in unanswered)
