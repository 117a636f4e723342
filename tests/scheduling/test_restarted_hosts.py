"""Hosts restart under their id while starts of before are under way.

A late start reaches a host that has forgotten what barred it. ``python -m
tests.scheduling.restarted_hosts`` plays more seeds.
"""

import pytest

from tests.scheduling import restarted_hosts

SEEDS = 40
FEWER_SEEDS = 20
"""Seeds of the modes with met hosts, and with gangs."""
KNOWN_RED = frozenset({("all", 16), ("all-met", 16)})
"""Modes and seeds that are passed over, as ``KNOWN-RED.txt`` lists them."""


@pytest.mark.parametrize("name", restarted_hosts.MODES)
def test_rules_hold(name):
    mode = restarted_hosts.MODES[name]
    broken = {}
    for seed in range(FEWER_SEEDS if mode.met or mode.gangs else SEEDS):
        if (name, seed) in KNOWN_RED:
            continue
        breaches = restarted_hosts.Course(seed=seed, mode=mode).play()
        if breaches:
            broken[seed] = str(breaches[0])
    assert not broken


def test_no_room_is_exceeded_beside_an_unwanted_run_of_a_late_start():
    mode = restarted_hosts.MODES["gangs-reborn"]
    assert not restarted_hosts.Course(seed=35, mode=mode).play()


@pytest.mark.parametrize(
    ("name", "seed"),
    (("all", 12040), ("all-reborn", 12070), ("late-down", 12077)),
)
def test_no_task_begins_again_as_its_noted_end_was_given_up(name, seed):
    mode = restarted_hosts.MODES[name]
    assert not restarted_hosts.Course(seed=seed, mode=mode).play()
