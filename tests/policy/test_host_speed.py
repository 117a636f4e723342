"""Slow hosts are found by their runs, and sound hosts stay sound."""

import math
import random

import pytest

from azurewood.policy import host_speed

VARIANCE = 0.1
RUNS = 20000


def _ratio(source, *, slow=1.0):
    """Return the logarithm of a run's time over the expected one."""
    tail = 7.0 if source.random() < 0.03 else 1.0
    return math.log(slow * tail * source.lognormvariate(0, 0.3))


def _runs_until_slow(seed, slow):
    source = random.Random(seed)
    speed = host_speed.HostSpeed()
    for number in range(1, 100):
        speed.on_ended(number, _ratio(source, slow=slow), VARIANCE, 0.0)
        if speed.judge(0.0):
            return number
    return 100


def test_a_host_five_times_slower_is_found_by_some_runs():
    """Guards against slow hosts that get tasks all day."""
    found = [_runs_until_slow(seed, 5.0) for seed in range(50)]
    assert min(found) >= 3
    assert max(found) <= 8


def test_a_host_three_times_slower_is_found_as_well():
    assert max(_runs_until_slow(seed, 3.0) for seed in range(50)) <= 20


def _times_judged_slow():
    source = random.Random(1)
    speed = host_speed.HostSpeed()
    found = 0
    for number in range(RUNS):
        speed.on_ended(number, _ratio(source), VARIANCE, 0.0)
        found += speed.judge(0.0) and speed.slow
    return found


def test_sound_hosts_stay_sound_with_stragglers():
    """Guards against sound hosts that are left idle: 1 in 10,000 runs."""
    assert _times_judged_slow() <= 2


def test_unbounded_scores_take_stragglers_for_slow_hosts(monkeypatch):
    """The test above fails with its mechanism off."""
    monkeypatch.setattr(host_speed, "MAX_SCORE", math.inf)
    assert _times_judged_slow() > 100


def test_the_tasks_of_one_step_make_no_host_slow():
    """Guards against one wrong estimate that counts for each of its tasks."""
    speed = host_speed.HostSpeed()
    for _ in range(20):
        speed.on_ended("step", math.log(10), VARIANCE, 0.0)
        speed.on_overdue("step", math.log(20), VARIANCE)
        assert not speed.judge(0.0)


def test_runs_that_go_on_count_too():
    """Guards against a slow host that gets tasks until its first run ends."""
    speed = host_speed.HostSpeed()
    for step in range(3):
        speed.on_overdue(step, math.log(4), VARIANCE)
    assert speed.judge(5.0)
    assert speed.probe_at == 5.0 + host_speed.FIRST_PROBE_S


def _slow_host():
    speed = host_speed.HostSpeed()
    for step in range(3):
        speed.on_ended(step, math.log(5), VARIANCE, 0.0)
    assert speed.judge(0.0)
    return speed


def test_a_slow_host_recovers_by_its_probes():
    """Guards against a host that is avoided for good after a short fault."""
    speed = _slow_host()
    for probe in range(2):
        speed.on_ended(f"probe-{probe}", 0.0, VARIANCE, 10.0)
        assert speed.probe_at == 10.0
    assert speed.judge(10.0)
    assert not speed.slow


def test_slow_probes_become_rarer():
    """Guards against a task every 3 s that takes five times as long."""
    speed = _slow_host()
    pauses = []
    for probe in range(5):
        speed.on_ended(f"probe-{probe}", math.log(5), VARIANCE, 100.0)
        pauses.append(speed.probe_at - 100.0)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(host_speed.MAX_PROBE_S)
