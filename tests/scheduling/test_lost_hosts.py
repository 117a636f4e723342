"""Tasks of hosts that are gone come back soon, whoever leads by then."""

import random

import pytest

from azurewood.jobs import desk
from azurewood.jobs import model
from azurewood.scheduling import silence
from tests.scheduling import deployment

BACK_S = 11.0
"""From the daemon's end; the users take a lasting task for lost half a
second later."""
STOPPED_BACK_S = 7.0
"""The same if the leader says that it stops: a lease and half a second."""


def _lose_a_host(made):
    """Run a lasting job; end one of its hosts for good."""
    job = deployment.job(made, 1, deployment.LASTING)
    made.submit(made.members[0], job)
    made.run(4.0)
    assert deployment.at_work(made, job.id) == 3
    victim = next(h for h in made.hosts.values() if h.runs)
    victim.crash()
    return job.id


def _all_back(made, job_id, seconds):
    made.run(seconds)
    deployment.check(made)
    return deployment.at_work(made, job_id) == 3


def test_no_lasting_task_is_lost_if_the_leader_dies_after_its_host():
    """The incident LOST: a new leader waited from its own beginning."""
    for seed in range(20):
        made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
        job_id = _lose_a_host(made)
        made.run(2.0)
        made.leaders()[0].kill()
        assert _all_back(made, job_id, BACK_S), seed


def test_no_lasting_task_is_lost_if_the_leader_stops_after_its_host():
    for seed in range(20):
        made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
        job_id = _lose_a_host(made)
        made.run(2.0)
        leader = made.leaders()[0]
        leader.member.leave()
        made.run(0.1)
        leader.kill()
        assert _all_back(made, job_id, STOPPED_BACK_S), seed


def test_no_lasting_task_is_lost_if_all_daemons_die_after_its_host():
    for seed in range(20):
        made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
        job_id = _lose_a_host(made)
        for member in made.members:
            member.kill()
        made.run(0.5)
        for member in made.members:
            member.start()
        assert _all_back(made, job_id, BACK_S), seed


KNOWN_SILENT_BACK_S = 6.5
"""From the leader's death, 3 s after the host's: 2 s until another leads,
and what was left of the host's lease when it was recorded."""


def _lose_a_host_then_the_leader(seed):
    made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
    job_id = _lose_a_host(made)
    made.run(3.0)
    made.leaders()[0].kill()
    return _all_back(made, job_id, KNOWN_SILENT_BACK_S)


def test_a_new_leader_does_not_wait_anew_for_a_host_known_as_silent():
    """Found on replays of hunt-1062-39: 14 s away, on each of four."""
    for seed in range(20):
        assert _lose_a_host_then_the_leader(seed), seed


def test_waits_anew_if_silent_hosts_are_not_adopted(monkeypatch):
    monkeypatch.setattr(silence, "adopt", lambda *args: None)
    assert not _lose_a_host_then_the_leader(0)


def _hear_a_silent_host_and_lose_both(monkeypatch):
    """Cut a host off, join it, then cut it off as its leader stops.

    Its silence is recorded when little of its lease is left.
    """
    monkeypatch.setattr(silence, "RECORD_AFTER_S", 1.2)
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


def test_a_silent_host_that_was_heard_again_is_waited_for(monkeypatch):
    _hear_a_silent_host_and_lose_both(monkeypatch)


def test_breaks_if_a_host_on_record_has_a_lease_at_once(monkeypatch):
    def careless(state, host, now):
        host.answered = True
        host.silent_since = None

    monkeypatch.setattr(silence, "heard", careless)
    with pytest.raises(AssertionError, match="twice"):
        _hear_a_silent_host_and_lose_both(monkeypatch)


LONG = model.Step(
    count=4, needs=model.Resources(500, 500, 0), estimate_ms=2500
)


def _disturb(made, chance):
    """Let one thing go wrong, or be mended."""
    host = chance.choice(list(made.hosts.values()))
    member = chance.choice(made.members)
    match chance.choice(("cut", "cut", "crash", "kill", "store", "lost")):
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


def _mend(made):
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


def _play(seed):
    """Play some faults; return the ids of lasting and of timed jobs."""
    chance = random.Random(seed)
    made = deployment.world(seed=seed, **{"s-one": 5, "s-two": 2})
    long_lived = deployment.job(made, 1, deployment.LASTING)
    asked = {long_lived.id: made.submit(made.members[0], long_lived)}
    made.run(0.5)
    for number in range(2, 14):
        _disturb(made, chance)
        job = deployment.job(made, number, LONG)
        asked[job.id] = made.submit(chance.choice(made.members), job)
        made.run(chance.choice((0.2, 0.9, 1.8)))
        deployment.check(made)
    _mend(made)
    made.run(16.0)
    deployment.check(made)
    taken = [i for i, a in asked.items() if isinstance(a.verdict, desk.Taken)]
    return made, long_lived.id, [i for i in taken if i != long_lived.id]


@pytest.mark.parametrize("first", range(0, 60, 10))
def test_what_was_accepted_comes_back_after_any_faults(first):
    for seed in range(first, first + 10):
        made, long_lived, timed = _play(seed)
        assert deployment.at_work(made, long_lived) == 3, seed
        for job_id in timed:
            phase = deployment.phase(made, job_id)
            assert phase is model.Phase.COMPLETED, (seed, job_id, phase)
