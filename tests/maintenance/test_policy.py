"""The pure functions for availability budgets and maintenance waves."""

import hypothesis
from hypothesis import strategies as st
import pytest

from azurewood.fleet import model
from azurewood.policy import budgets
from azurewood.policy import maintenance
from benchmarks import maintenance as rounds

RULES = model.Maintenance(at_once=1, min_budget=0.5, spare_share=0.2)
GATED = maintenance.Gated()
WINDOW_S = 600.0


def host(number, **more):
    return maintenance.PoolHost(
        name=f"h{number}",
        zone=f"z{number % 3}",
        rack=f"r{number // 3}",
        slots=8,
        **({"serving": True} | more),
    )


def pool(demand=10.0, budget_left=1.0, hosts=None):
    return maintenance.PoolFacts(
        name="quoting",
        hosts=hosts or tuple(host(n) for n in range(6)),
        demand=demand,
        budget_left=budget_left,
    )


def chosen(facts, *, policy=GATED, rules=RULES):
    waiting = {item.name for item in facts.hosts}
    return list(maintenance.next_hosts(policy, rules, [facts], waiting))


def test_one_host_is_drained_if_nothing_prevents_it():
    assert chosen(pool()) == ["h0"]


def test_wave_pauses_and_drains_no_host_if_the_budget_is_spent():
    facts = pool(budget_left=0.4)
    assert chosen(facts) == []
    reason = maintenance.pause_reason(GATED, RULES, [facts])
    assert reason == maintenance.Hold.BUDGET


def test_wave_drains_no_host_in_a_peak_but_does_not_pause():
    facts = pool(demand=20.0)
    assert chosen(facts) == []
    assert maintenance.pause_reason(GATED, RULES, [facts]) == ""


def test_no_host_is_drained_while_another_is_out_of_service():
    hosts = (host(0, serving=False, in_wave=True), *map(host, range(1, 6)))
    assert chosen(pool(demand=0.0, hosts=hosts)) == []


def test_next_host_is_in_a_rack_and_zone_that_lost_none():
    hosts = (host(0, serving=False), *map(host, range(3, 9)))
    rules = model.Maintenance(at_once=2, spare_share=0.0)
    assert chosen(pool(demand=0.0, hosts=hosts), rules=rules) == ["h4"]


def test_baseline_wave_drains_every_host():
    policy = maintenance.AllAtOnce()
    assert len(chosen(pool(budget_left=0.0), policy=policy)) == 6


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    serving=st.lists(st.booleans(), min_size=2, max_size=9),
    demand=st.integers(0, 60),
)
def test_remaining_hosts_carry_the_demand_after_any_loss(serving, demand):
    hosts = tuple(host(n, serving=on) for n, on in enumerate(serving))
    facts = pool(demand=float(demand), hosts=hosts)
    for name in chosen(facts):
        rest = [h for h in hosts if h.serving and h.name != name]
        places = {h.zone for h in rest}
        for place in places if len({h.zone for h in hosts}) > 1 else ():
            left = sum(h.slots for h in rest if h.zone != place)
            assert left - demand >= RULES.spare_share * 8 * len(hosts)


def test_short_dip_of_demand_does_not_lower_the_recorded_peak():
    peak = maintenance.Peak()
    assert maintenance.record_demand(peak, 20.0, 100.0) == 20.0
    assert maintenance.record_demand(peak, 1.0, 105.0) == 20.0
    assert maintenance.record_demand(peak, 1.0, 112.0) == 20.0
    assert maintenance.record_demand(peak, 1.0, 123.0) == 1.0


def test_budget_is_spent_by_bad_answers_and_recovers():
    budget = budgets.Budget()
    end = budgets.bucket_end(10.0, WINDOW_S)
    budgets.observe(budget, "a@1", good=990, bad=5, until=end)
    assert 0.49 < budgets.left(budget, 0.99) < 0.51
    budgets.observe(budget, "b@1", good=0, bad=5, until=end)
    assert budgets.left(budget, 0.99) == pytest.approx(0.0, abs=1e-9)
    budgets.expire(budget, end + WINDOW_S, WINDOW_S)
    assert budgets.left(budget, 0.99) == 1.0


def test_budget_counts_repeated_reports_once():
    budget = budgets.Budget()
    for _ in range(3):
        budgets.observe(budget, "a@1", good=100, bad=1, until=10.0)
    assert sum(bucket.bad for bucket in budget.buckets) == 1
    budgets.observe(budget, "a@2", good=1, bad=1, until=10.0)
    assert sum(bucket.bad for bucket in budget.buckets) == 2


def test_whole_fleet_is_maintained_within_seven_weeks():
    """A host takes the full drain of the preset and 15 min.

    Maintenance is allowed for a quarter of the time.
    """
    host_s = RULES.drain_ms / 1000 + 900.0
    found = rounds.days(host_s=host_s, at_once=1, open_share=0.25)
    assert found <= rounds.TARGET_DAYS
    assert (
        rounds.days(host_s=host_s, at_once=1, open_share=0.005)
        > rounds.TARGET_DAYS
    )


def test_round_takes_longer_with_fewer_hosts_at_once():
    days = [
        maintenance.round_days(
            pool_hosts=[100] * 37,
            at_once=at_once,
            host_s=86400.0,
            open_share=0.5,
        )
        for at_once in (1, 3)
    ]
    assert days == [200.0, 68.0]
