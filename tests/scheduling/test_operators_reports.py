"""What operators of similar systems reported, provoked on the platform.

Each scenario is played as it is, and again with its mechanism disabled,
which must break a rule of the simulation or the promise itself. The other
reports have their scenarios in test_late_orders.py, test_takeover.py and
test_unreadable_records.py.
"""

import pytest

from azurewood.daemons import topics
from azurewood.incarnations import limits
from azurewood.jobs import desk
from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.leadership import predecessors
from azurewood.policy import host_health
from azurewood.policy import intake
from azurewood.scheduling import pools
from tests.scheduling import deployment

LONG = model.Step(
    count=2, needs=model.Resources(1000, 500, 0), estimate_ms=9000
)


def _start_long_job(made, seconds=1.0):
    job = deployment.job(made, 1, LONG)
    made.submit(made.members[0], job)
    made.run(seconds)
    assert deployment.running_tasks(made, job.id) == 2
    return job


def _silence_hosts(made, seconds):
    """Cut off all hosts with runs for less than a lease."""
    silent = {host.id for host in made.hosts.values() if host.runs}
    made.cut_hosts.update(silent)
    made.run(seconds)
    made.cut_hosts.clear()


@pytest.mark.parametrize("silent_s", [1.0, 2.5, 4.0])
def test_work_of_a_host_that_was_silent_for_a_while_goes_on(silent_s):
    made = deployment.world()
    job = _start_long_job(made)
    _silence_hosts(made, silent_s)
    made.run(12.0)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    assert made.rules.starts == 2
    deployment.check(made)


@pytest.mark.parametrize("silent_s", [1.0, 2.5, 4.0])
def test_it_goes_on_under_a_leader_that_came_meanwhile(silent_s):
    made = deployment.world()
    job = _start_long_job(made)
    made.leaders()[0].kill()
    _silence_hosts(made, silent_s)
    made.run(12.0)
    assert deployment.phase(made, job.id) is model.Phase.COMPLETED
    assert made.rules.starts == 2
    deployment.check(made)


def test_breaks_if_a_silent_host_is_given_up_before_its_lease(monkeypatch):
    monkeypatch.setattr(limits, "MAX_LEASE_S", 0.5)
    monkeypatch.setattr(predecessors, "RENEWAL_VALID_S", 0.5)
    made = deployment.world()
    _start_long_job(made)
    made.leaders()[0].kill()
    _silence_hosts(made, 4.0)
    made.run(12.0)
    with pytest.raises(AssertionError, match="twice"):
        deployment.check(made)


def _restart_while_a_host_drains(made):
    """Let a host drain, restart all daemons, and return its later runs."""
    made.run_duration_s = lambda task, step: 3.0
    (leaving, *_) = [h for h in made.hosts.values() if h.service == "s-one"]
    leaving.draining = True
    made.publish_entry(leaving)
    made.run(1.0)
    for member in made.members:
        member.kill()
    made.run(1.0)
    for member in made.members:
        member.start()
    jobs = [deployment.job(made, number) for number in range(1, 13)]
    found = set()
    for _ in range(200):
        made.run(0.05)
        ready = [m for m in made.members if m.member.job_service.ready()]
        if ready and jobs:
            made.submit(ready[0], jobs.pop())
        found.update(leaving.runs)
    return found


@pytest.fixture
def fixed_pools(monkeypatch):
    monkeypatch.setattr(pools, "plan_moves", lambda *args, **kwargs: None)


def test_a_host_that_leaves_gets_no_work_after_daemons_restarted(fixed_pools):
    made = deployment.world()
    assert not _restart_while_a_host_drains(made)
    deployment.check(made)


def test_breaks_if_a_leaving_host_counts_as_usable(fixed_pools, monkeypatch):
    monkeypatch.setattr(
        host_health, "usable", lambda host, now: host.entry is not None
    )
    made = deployment.world()
    assert _restart_while_a_host_drains(made)


def _forget_a_host_while_a_daemon_is_away(made):
    """Remove a host while the next leader cannot read its removal.

    The store drops its history, so the removal itself is not to be read any
    more.
    """
    (gone, *_) = [h for h in made.hosts.values() if h.service == "s-one"]
    gone.crash()
    made.run(8.0)
    made.store.forget(follower.pages.Topic.HOSTS)
    made.leaders()[0].kill()
    made.run(4.0)
    (leader,) = made.leaders()
    state = leader.member.term.state
    found = state.hosts.get(gone.id)
    return found is not None and host_health.usable(found, made.clock.now)


def test_a_host_that_has_left_is_not_used_by_a_later_leader():
    made = deployment.world()
    assert not _forget_a_host_while_a_daemon_is_away(made)


def _lose_answers(made):
    """Submit jobs while the store loses answers; ask again elsewhere."""
    made.lost_share = 0.4
    asked = {}
    for number in range(1, 9):
        job = deployment.job(made, number)
        first = made.submit(made.members[number % 3], job)
        made.run(0.3)
        second = made.submit(made.members[(number + 1) % 3], job)
        asked[job.id] = (first, second)
        made.run(0.1)
    made.run(4.0)
    made.lost_share = 0.0
    made.run(8.0)
    return asked


def test_lost_answers_run_nothing_again_and_hide_nothing():
    made = deployment.world()
    for job_id, answers in _lose_answers(made).items():
        told = [asked.verdict for asked in answers]
        if any(verdict == verdicts.Taken() for verdict in told):
            shown = deployment.phase(made, job_id)
            assert shown is model.Phase.COMPLETED
    assert made.rules.starts == 5 * 8
    deployment.check(made)


def test_breaks_if_an_append_without_an_answer_counts_as_not_done(
    monkeypatch,
):
    """Callers would be told that jobs were not run which did run.

    They would not if the record was read back before, or while the store
    counts as slow, so neither is the case here.
    """
    monkeypatch.setattr(intake, "SLOW_APPEND_S", float("inf"))
    monkeypatch.setattr(topics.Writer, "note_read", lambda self, key: None)
    handle_result = appender.Appender.handle_result

    def forget(self, result, now, request):
        if isinstance(result, appender.Unknown):
            result = appender.NotDone(reason=result.reason)
        return handle_result(self, result, now, request)

    monkeypatch.setattr(appender.Appender, "handle_result", forget)
    monkeypatch.setattr(desk, "SEND_TIMEOUT_S", 0.2)
    monkeypatch.setattr(desk, "SEND_TIMEOUT_STORE_LOST_S", 0.2)
    made = deployment.world()
    made.lost_share = 0.4
    for number in range(1, 25):
        job = deployment.job(made, number)
        made.submit(made.members[number % 3], job)
        made.run(0.3)
    made.lost_share = 0.0
    made.run(8.0)
    with pytest.raises(AssertionError, match="refused"):
        deployment.check(made)
