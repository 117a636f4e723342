"""The daemon with the most cores becomes the leader where cores differ."""

import pytest

from azurewood.daemons import term
from azurewood.jobs import desk
from azurewood.jobs import model
from azurewood.journal import pages
from azurewood.leadership import base as leadership
from azurewood.leadership import predecessors
from azurewood.leadership import records
from tests.scheduling import deployment

SMALL, LARGE = 0.516, 2.15
MIXED = (SMALL, SMALL, SMALL, LARGE)
SEEDS = range(5)
CRASHES = 12
CRASH_EVERY_S = 3.0
MAX_CLAIMS = 2 * (1 + CRASHES * CRASH_EVERY_S / leadership.CLAIM_COOLDOWN_S)
"""One preemption per cooldown, each followed by a weak daemon's claim."""
STEP = model.Step(
    count=3, needs=model.Resources(1000, 500, 0), estimate_ms=400
)


def _world(seed=1, cores=MIXED):
    """Return a world with an elected leader, and its strong members."""
    made = deployment.world(seed=seed, cores=cores)
    return made, [m for m in made.members if m.cores == max(cores)]


def _claims(made):
    """Return the names of the daemons that claimed, in order."""
    page = made.store.read(pages.Topic.LEADER, 0)
    entries = (records.decode(record.value) for record in page.records)
    return [e.name for e in entries if isinstance(e, records.Claim)]


def _run_jobs(made, seconds):
    """Submit a job every 0.5 s to members that are up."""
    first = len(made.rules.asked)
    for number in range(first, first + int(2 * seconds)):
        up = [m for m in made.members if m.up and not m.cut_from]
        job = deployment.job(made, number, STEP)
        made.submit(up[number % len(up)], job)
        made.run(0.5)


def _run_without_weak_leader(made, seconds):
    """Run for some seconds; fail if a member with few cores leads."""
    while seconds > 0:
        made.run(0.05)
        seconds -= 0.05
        weak = [m.name for m in made.leaders() if m.cores == SMALL]
        assert not weak


@pytest.mark.parametrize("seed", SEEDS)
def test_the_strong_daemon_leads_after_the_start(seed):
    """A daemon on a small machine must not become the leader by chance.

    Its processor would limit the work of the whole fleet.
    """
    made, strong = _world(seed)
    assert made.leaders() == strong
    _run_jobs(made, 3)
    deployment.check(made)


@pytest.mark.parametrize("seed", SEEDS)
def test_another_strong_daemon_follows_a_killed_leader(seed):
    made, _ = _world(seed, (*MIXED, LARGE))
    old = made.leaders()[0]
    claims = len(_claims(made))
    old.kill()
    _run_without_weak_leader(made, 3.0)
    assert [m.cores for m in made.leaders()] == [LARGE]
    assert len(_claims(made)) == claims + 1
    _run_jobs(made, 2)
    deployment.check(made)


@pytest.mark.parametrize("seed", SEEDS)
def test_another_strong_daemon_follows_one_that_resigns(seed):
    made, _ = _world(seed, (*MIXED, LARGE))
    old = made.leaders()[0]
    old.member.leave()
    _run_without_weak_leader(made, 0.4)
    assert [m.cores for m in made.leaders()] == [LARGE]
    _run_jobs(made, 2)
    deployment.check(made)


def test_a_weak_daemon_follows_the_only_strong_one_that_resigns():
    made, (strong,) = _world()
    strong.member.leave()
    made.run(1.2)
    assert [m.cores for m in made.leaders()] == [SMALL]
    deployment.check(made)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("seconds", [2.2, 4.0, 7.0])
def test_a_strong_daemon_leads_after_an_outage_of_the_store(seed, seconds):
    made, _ = _world(seed, (*MIXED, LARGE))
    _run_jobs(made, 1)
    made.store_down = True
    made.run(seconds)
    made.store_down = False
    _run_without_weak_leader(made, 4.0)
    assert [m.cores for m in made.leaders()] == [LARGE]
    _run_jobs(made, 2)
    made.run(5.0)
    deployment.check(made)


def test_a_weak_leader_is_followed_by_a_strong_one_that_starts_later():
    made, strong = _start_strong_daemon_under_weak_leader()
    assert made.leaders() == [strong]
    assert _claims(made)[-2] != strong.name
    _run_jobs(made, 3)
    deployment.check(made)


def test_equal_daemons_never_preempt_each_other():
    made, _ = _world(cores=(LARGE, 1.6, LARGE))
    made.run(10.0)
    assert len(_claims(made)) == 1


def test_a_strong_daemon_that_crashes_repeatedly_is_not_always_elected():
    made, (strong,) = _world()
    before = len(_claims(made))
    for _ in range(CRASHES):
        strong.kill()
        made.run(0.5)
        strong.start()
        made.run(CRASH_EVERY_S - 0.5)
    assert len(_claims(made)) - before <= MAX_CLAIMS
    deployment.check(made)


def _start_strong_daemon_under_weak_leader():
    made, (strong,) = _world()
    strong.kill()
    made.run(3.0)
    strong.start()
    made.run(1.5 * leadership.CLAIM_COOLDOWN_S)
    return made, strong


def test_a_daemon_that_is_not_ready_preempts_no_leader(monkeypatch):
    monkeypatch.setattr(desk.JobService, "knows_jobs", lambda self: False)
    made, _ = _start_strong_daemon_under_weak_leader()
    assert [m.cores for m in made.leaders()] == [SMALL]


def test_a_paused_strong_leader_leads_again_after_its_cooldown():
    made, (strong,) = _world()
    strong.freeze(3.0)
    made.run(4.0)
    assert [m.cores for m in made.leaders()] == [SMALL]
    _run_jobs(made, 4)
    assert strong not in made.leaders()
    made.run(leadership.CLAIM_COOLDOWN_S)
    assert made.leaders() == [strong]
    deployment.check(made)


def _start_strong_daemon_without_hosts():
    made, (strong,) = _world()
    strong.kill()
    made.run(3.0)
    strong.cut_from |= set(made.hosts)
    strong.start()
    made.run(1.5 * leadership.CLAIM_COOLDOWN_S)
    return made, strong


def test_a_strong_daemon_that_reaches_no_host_releases_the_term():
    made, strong = _start_strong_daemon_without_hosts()
    assert strong.name in _claims(made)[2:]
    assert [m.cores for m in made.leaders()] == [SMALL]
    _run_jobs(made, 2)
    deployment.check(made)


def test_keeps_a_term_without_hosts_if_it_is_not_released(monkeypatch):
    monkeypatch.setattr(term, "HOST_ANSWER_TIMEOUT_S", float("inf"))
    made, strong = _start_strong_daemon_without_hosts()
    assert made.leaders() == [strong]


def _order_times_around_a_claim():
    """Return the end of the old leader's orders and the start of the new's."""
    made, (strong,) = _world()
    strong.kill()
    made.run(3.0)
    weak = made.leaders()[0]
    strong.start()
    old = new = 0.0
    while not new:
        made.run(0.01)
        now = made.clock.now
        elections = weak.member.election, strong.member.election
        if elections[0].may_order(now):
            old = elections[0].confirmed_at + predecessors.ORDER_VALID_S
        if elections[1].may_order(now):
            new = now
    return old, new


def test_two_leaders_never_order_machines_at_the_same_time():
    """The preempted leader may send orders until it reads the claim."""
    old, new = _order_times_around_a_claim()
    assert new >= old


def test_breaks_if_an_earlier_leader_is_not_waited_for(monkeypatch):
    monkeypatch.setattr(
        leadership.Election,
        "may_order",
        lambda self, now: self.leads(now, within_s=predecessors.ORDER_VALID_S),
    )
    old, new = _order_times_around_a_claim()
    assert new < old


def test_any_daemon_may_lead_if_cores_do_not_count(monkeypatch):
    monkeypatch.setattr(leadership, "MIN_CORES_RATIO", float("inf"))
    made = [_world(seed) for seed in SEEDS]
    assert any(world.leaders() != strong for world, strong in made)


@pytest.mark.parametrize("way", ["kill", "resign", "outage"])
def test_weak_daemons_claim_first_if_they_do_not_yield(monkeypatch, way):
    monkeypatch.setattr(leadership, "YIELD_S", 0.0)
    scenarios = {
        "kill": test_another_strong_daemon_follows_a_killed_leader,
        "resign": test_another_strong_daemon_follows_one_that_resigns,
        "outage": lambda seed: (
            test_a_strong_daemon_leads_after_an_outage_of_the_store(seed, 7.0)
        ),
    }
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            scenarios[way](seed)


def test_the_leader_changes_each_time_without_a_cooldown(monkeypatch):
    monkeypatch.setattr(leadership, "CLAIM_COOLDOWN_S", 0.0)
    with pytest.raises(AssertionError):
        test_a_strong_daemon_that_crashes_repeatedly_is_not_always_elected()
