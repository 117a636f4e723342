"""The pure functions that decide on moves between pools."""

import collections

import hypothesis
from hypothesis import strategies as st

from azurewood.fleet import model
from azurewood.policy import moves

POLICY = model.HysteresisMoves(hold_ms=1000, rest_ms=5000, at_once=2)


def pool(name, demand, hosts, **more):
    return moves.PoolLoad(
        name=name,
        demand=demand,
        busy=min(demand, 8 * hosts),
        waiting=max(0, demand - 8 * hosts),
        slots=8 * hosts,
        hosts=hosts,
        **more,
    )


def hosts_of(name, count, zones=3, racks=2):
    return [
        moves.HostLoad(
            name=f"{name}-{n}",
            zone=f"z{n % zones}",
            rack=f"r{n // zones % racks}",
            slots=8,
        )
        for n in range(count)
    ]


def plan(policy, loads, memory=None, now=0.0, hosts=None, room=None):
    by_name = {load.name: load for load in loads}
    memory = memory or moves.MoveDeadlines()
    needs = moves.find_needs(policy, by_name, memory, now)
    hosts = hosts or {x.name: hosts_of(x.name, x.hosts) for x in loads}
    return list(moves.choose_hosts(policy, needs, by_name, hosts, room or {}))


LOADED = (pool("a", 60, 6), pool("b", 2, 6), pool("s", 40, 6, spare=True))


def test_fixed_pools_never_move():
    assert plan(model.FixedPools(), LOADED) == []


def test_baseline_mover_moves_without_a_hold():
    assert len(plan(model.ThresholdMoves(), LOADED)) == 2


def test_a_pool_gains_only_after_its_hold():
    memory = moves.MoveDeadlines()
    assert plan(POLICY, LOADED, memory, now=10.0) == []
    assert plan(POLICY, LOADED, memory, now=10.9) == []
    found = plan(POLICY, LOADED, memory, now=11.0)
    assert {move.from_pool for move in found} == {"b"}
    assert len(found) == POLICY.at_once


def test_hold_restarts_after_the_load_has_dropped():
    memory = moves.MoveDeadlines()
    plan(POLICY, LOADED, memory, now=10.0)
    calm = (pool("a", 20, 6), *LOADED[1:])
    plan(POLICY, calm, memory, now=10.5)
    assert plan(POLICY, LOADED, memory, now=11.2) == []


def test_pool_that_has_gained_gives_nothing_during_its_rest():
    memory = moves.MoveDeadlines(give_at={"b": 0.0}, gain_at={"a": 0.0})
    without_spare = (LOADED[0], pool("b", 2, 6, incoming=8))
    assert plan(POLICY, without_spare, memory, now=1.0) == []
    later = (LOADED[0], LOADED[1])
    assert plan(POLICY, later, memory, now=7.0)


def test_pool_gives_nothing_while_its_load_is_unknown():
    memory = moves.MoveDeadlines(give_at={"b": 0.0}, gain_at={"a": 0.0})
    loads = (LOADED[0], pool("b", 0, 6, known=False))
    assert plan(POLICY, loads, memory, now=9.0) == []


def test_idle_host_of_the_fullest_zone_moves_first():
    memory = moves.MoveDeadlines(gain_at={"a": 0.0})
    members = hosts_of("s", 6)
    members[0].busy = 5
    hosts = {
        "a": [h for h in hosts_of("a", 6) if h.zone != "z0"],
        "s": members,
        "b": hosts_of("b", 6),
    }
    found = plan(POLICY, LOADED, memory, now=9.0, hosts=hosts)
    assert found[0].host == "s-3"


def test_a_team_gains_no_host_beyond_its_quota():
    memory = moves.MoveDeadlines(gain_at={"a": 0.0})
    loads = (
        pool("a", 60, 6, team="sales"),
        pool("s", 0, 6, team="office", spare=True),
    )
    found = plan(POLICY, loads, memory, now=9.0, room={"sales": 1})
    assert len(found) == 1


def test_weights_decide_how_many_hosts_move_and_when_they_return():
    frugal = model.HysteresisMoves(buffer_weight=4.0, at_once=9)
    quick = model.HysteresisMoves(roll_out_weight=4.0, at_once=9)
    counts = [
        len(
            plan(
                policy,
                LOADED,
                moves.MoveDeadlines(gain_at={"a": 0.0}),
                now=9.0,
            )
        )
        for policy in (frugal, quick)
    ]
    assert 0 < counts[0] < counts[1]
    assert moves.return_hold_s(frugal) < moves.return_hold_s(quick)


def test_idle_hosts_return_to_the_spare_pool_but_needed_ones_stay():
    loads = (pool("b", 12, 6), pool("s", 40, 2, spare=True))
    memory = moves.MoveDeadlines()
    hold_s = moves.return_hold_s(POLICY)
    assert plan(POLICY, loads, memory, now=1.0) == []
    found = plan(POLICY, loads, memory, now=1.0 + hold_s)
    assert [(m.from_pool, m.to_pool) for m in found] == [("b", "s")] * 2
    memory = moves.MoveDeadlines(return_at={"b": 0.0})
    few = (pool("b", 12, 3), loads[1])
    assert plan(POLICY, few, memory, now=1.0) == []


@st.composite
def fleets(draw):
    loads, hosts = [], {}
    for name in draw(st.sampled_from([("a", "b"), ("a", "b", "c", "s")])):
        count = draw(st.integers(0, 8))
        loads.append(
            pool(
                name,
                draw(st.integers(0, 80)),
                count,
                min_hosts=draw(st.integers(0, 4)),
                max_hosts=draw(st.integers(4, 9)),
                spare=name == "s",
            )
        )
        hosts[name] = hosts_of(name, count, racks=draw(st.integers(1, 3)))
    return loads, hosts


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(fleet=fleets())
def test_no_pool_falls_below_what_it_needs(fleet):
    loads, hosts = fleet
    names = [load.name for load in loads]
    memory = moves.MoveDeadlines(
        gain_at=dict.fromkeys(names, 0.0), give_at=dict.fromkeys(names, 0.0)
    )
    found = plan(POLICY, loads, memory, now=9.0, hosts=hosts)
    taken = [move.host for move in found]
    assert len(taken) == len(set(taken))
    gained = collections.Counter(move.to_pool for move in found)
    given = collections.Counter(move.from_pool for move in found)
    assert not gained.keys() & {load.name for load in loads if load.spare}
    for load in loads:
        assert not (gained[load.name] and given[load.name])
        if gained[load.name]:
            assert load.hosts + gained[load.name] <= load.max_hosts
        if given[load.name]:
            left = [h for h in hosts[load.name] if h.name not in taken]
            assert len(left) >= load.min_hosts
            worst = collections.Counter()
            for host in left:
                worst[(host.zone, host.rack)] += host.slots
            rest = 8 * len(left) - max(worst.values(), default=0)
            assert load.spare or load.demand <= rest
