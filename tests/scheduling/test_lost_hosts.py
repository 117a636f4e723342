"""Tasks of lost hosts soon run elsewhere, also across a takeover."""

import random

import pytest

from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.scheduling import unresponsive
from tests.scheduling import deployment

RECOVERY_S = 11.0
"""Time limit after a daemon's death.

Users count a long-lived task as lost half a second later.
"""
STOPPED_RECOVERY_S = 7.0
"""Time limit after a planned stop: a lease and half a second."""


def _crash_a_host(made):
    """Run a long-lived job and crash one of its hosts permanently."""
    job = deployment.job(made, 1, deployment.LONG_LIVED)
    made.submit(made.members[0], job)
    made.run(4.0)
    assert deployment.running_tasks(made, job.id) == 3
    victim = next(h for h in made.hosts.values() if h.runs)
    victim.crash()
    return job.id


def _all_recovered(made, job_id, seconds):
    made.run(seconds)
    deployment.check(made)
    return deployment.running_tasks(made, job_id) == 3


def test_no_long_lived_task_is_lost_if_the_leader_dies_after_its_host():
    """Guards against incident LOST.

    A new leader waited a full lease from the start of its own term.
    """
    for seed in range(20):
        made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
        job_id = _crash_a_host(made)
        made.run(2.0)
        made.leaders()[0].kill()
        assert _all_recovered(made, job_id, RECOVERY_S), seed


def test_no_long_lived_task_is_lost_if_the_leader_stops_after_its_host():
    for seed in range(20):
        made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
        job_id = _crash_a_host(made)
        made.run(2.0)
        leader = made.leaders()[0]
        leader.member.leave()
        made.run(0.1)
        leader.kill()
        assert _all_recovered(made, job_id, STOPPED_RECOVERY_S), seed


def test_no_long_lived_task_is_lost_if_all_daemons_die_after_its_host():
    for seed in range(20):
        made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
        job_id = _crash_a_host(made)
        for member in made.members:
            member.kill()
        made.run(0.5)
        for member in made.members:
            member.start()
        assert _all_recovered(made, job_id, RECOVERY_S), seed


RECORDED_RECOVERY_S = 6.5
"""Time limit after a leader's death, 3 s after a host's.

It covers 2 s until another daemon leads, and the rest of the host's lease.
"""


def _crash_a_host_then_the_leader(seed):
    made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
    job_id = _crash_a_host(made)
    made.run(3.0)
    made.leaders()[0].kill()
    return _all_recovered(made, job_id, RECORDED_RECOVERY_S)


def test_a_new_leader_does_not_wait_anew_for_a_recorded_host():
    """Found on replays of hunt-1062-39: 14 s away in all four."""
    for seed in range(20):
        assert _crash_a_host_then_the_leader(seed), seed


def test_waits_anew_if_unresponsive_hosts_are_not_restored(monkeypatch):
    monkeypatch.setattr(unresponsive, "restore", lambda *args: None)
    assert not _crash_a_host_then_the_leader(0)


def _reconnect_host_then_lose_both(monkeypatch):
    """Cut a host off, reconnect it, and cut it off when the leader stops.

    The host is recorded as unresponsive shortly before its lease expires.
    """
    monkeypatch.setattr(unresponsive, "RECORD_AFTER_S", 1.2)
    made = deployment.world(**{"s-one": 5, "s-two": 2})
    made.run_duration_s = lambda task, step: 30.0
    job = deployment.job(made, 1)
    made.submit(made.members[0], job)
    made.run(1.0)
    victim = next(h for h in made.hosts.values() if h.runs)
    made.cut_hosts.add(victim.id)
    made.run(3.4)
    made.cut_hosts.clear()
    made.run(2.0)
    assert victim.runs
    made.cut_hosts.add(victim.id)
    made.leaders()[0].member.leave()
    made.run(12.0)
    deployment.check(made)


def test_a_host_that_was_responsive_again_is_waited_for(monkeypatch):
    _reconnect_host_then_lose_both(monkeypatch)


def test_breaks_if_a_host_on_record_has_a_lease_at_once(monkeypatch):
    def broken(state, host, now):
        host.answered = True
        host.unresponsive_since = None

    monkeypatch.setattr(unresponsive, "on_answer", broken)
    with pytest.raises(AssertionError, match="twice"):
        _reconnect_host_then_lose_both(monkeypatch)


LONG = model.Step(
    count=4, needs=model.Resources(500, 500, 0), estimate_ms=2500
)


def _inject_fault(made, rng):
    """Inject or clear one fault."""
    host = rng.choice(list(made.hosts.values()))
    member = rng.choice(made.members)
    match rng.choice(("cut", "cut", "crash", "kill", "store", "lost")):
        case "cut":
            made.cut_hosts ^= {host.id}
        case "crash" if host.up:
            host.crash()
        case "crash" if made.machines[host.machine].host == host.id:
            host.restart()
        case "kill" if member.up:
            member.kill()
        case "kill":
            member.start()
        case "store":
            member.cut_from ^= {"store"}
        case "lost":
            made.lost_share = 0.3 - made.lost_share


def _repair(made):
    made.cut_hosts.clear()
    made.lost_share = 0.0
    for host in made.hosts.values():
        if not host.up and made.machines[host.machine].host == host.id:
            host.restart()
            made.publish_entry(host)
    for member in made.members:
        member.cut_from.clear()
        if not member.up:
            member.start()


def _run_with_faults(seed):
    """Run jobs with random faults.

    Return the world, the id of its long-lived job and those of the timed
    jobs that were accepted.
    """
    rng = random.Random(seed)
    made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
    long_lived = deployment.job(made, 1, deployment.LONG_LIVED)
    asked = {long_lived.id: made.submit(made.members[0], long_lived)}
    made.run(0.5)
    for number in range(2, 14):
        _inject_fault(made, rng)
        job = deployment.job(made, number, LONG)
        asked[job.id] = made.submit(rng.choice(made.members), job)
        made.run(rng.choice((0.2, 0.9, 1.8)))
        deployment.check(made)
    _repair(made)
    made.run(16.0)
    deployment.check(made)
    taken = [
        i for i, a in asked.items() if isinstance(a.verdict, verdicts.Taken)
    ]
    return made, long_lived.id, [i for i in taken if i != long_lived.id]


@pytest.mark.parametrize("first", range(0, 60, 10))
def test_what_was_accepted_comes_back_after_any_faults(first):
    for seed in range(first, first + 10):
        made, long_lived, timed = _run_with_faults(seed)
        assert deployment.running_tasks(made, long_lived) == 3, seed
        for job_id in timed:
            phase = deployment.phase(made, job_id)
            assert phase is model.Phase.COMPLETED, (seed, job_id, phase)
