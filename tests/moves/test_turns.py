"""Bounds of the benchmark in which pools have their peaks in turn."""

import collections

import pytest

from azurewood.fleet import model
from azurewood.policy import demand
from benchmarks import turns

COUNT = 15
BASELINE = model.ThresholdMoves(load=0.8, at_once=1)


@pytest.fixture(
    scope="module",
    params=[(d, p) for d in turns.DEPLOYMENTS for p in ("ordinary", "peak")],
    ids=lambda param: "-".join(param),
)
def scores(request):
    """Scores of fixed pools, the baseline mover and a preset's hysteresis."""
    deployment, preset = request.param
    fleet = turns.load_fleet(deployment)
    policies = (
        model.FixedPools(),
        BASELINE,
        turns.preset_of(fleet, preset).moves,
    )
    return [
        turns.score(fleet, policy, "", turns=COUNT, preset=preset, seed=7)
        for policy in policies
    ]


def test_fixed_pools_lose_requests_that_hysteresis_answers(scores):
    fixed, _, hysteresis = scores
    assert fixed.lost > 0
    assert hysteresis.lost < fixed.lost
    assert hysteresis.slow < fixed.slow


def test_hysteresis_moves_fewer_hosts_than_the_baseline_mover(scores):
    _, baseline, hysteresis = scores
    assert 0 < hysteresis.moves < baseline.moves


def observed(*rows):
    samples = collections.deque()
    for at, busy, waiting, ended in rows:
        sample = demand.Sample(at=at, busy=busy, waiting=waiting, ended=ended)
        demand.observe(samples, sample)
    return demand.slots_wanted(samples)


def test_shrinking_backlog_is_not_sustained_demand():
    wanted = observed(
        (0.0, 48, 200, 0), (0.5, 48, 150, 96), (1.0, 48, 100, 192)
    )
    assert wanted < 48
    baseline = 48 + 100
    assert wanted < baseline


def test_growing_queue_needs_more_slots_than_are_busy():
    assert observed((0.0, 48, 0, 0), (1.0, 48, 96, 192)) > 48 * 1.5
