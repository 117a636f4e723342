"""Shares of a full pool, compared with first come, first served."""

import cProfile
import types

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from azurewood.jobs import model
from azurewood.policy import job_order
from azurewood.policy import pool_sizes
from azurewood.policy import shares
from azurewood.scheduling import account_shares
from azurewood.scheduling import jobstates
from tests.policy import played_load

CAPACITY = model.Resources(8000, 16_000, 4)
SEEDS = range(6)
AMOUNTS = strategies.builds(
    model.Resources,
    strategies.integers(0, 20_000),
    strategies.integers(0, 40_000),
    strategies.integers(0, 8),
)
CLAIMS = strategies.dictionaries(
    strategies.text("abcdef", min_size=1, max_size=2),
    strategies.builds(
        shares.Claim,
        weight=strategies.floats(0.0, 100.0),
        asked=AMOUNTS,
    ),
    max_size=8,
)


def _sums(claims, parts):
    return [
        sum(
            parts[name] * amount[i]
            for name, claim in claims.items()
            for amount in [msgspec.structs.astuple(claim.asked)]
        )
        for i in range(3)
    ]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(claims=CLAIMS)
def test_no_capacity_is_left_that_an_account_could_use(claims):
    """Guards against capacity that is granted twice, or to nobody."""
    parts = shares.granted_parts(claims, CAPACITY)
    limits = msgspec.structs.astuple(CAPACITY)
    used = _sums(claims, parts)
    for total, most in zip(used, limits, strict=True):
        assert total <= most * 1.000001
    full = [t >= m * 0.999999 for t, m in zip(used, limits, strict=True)]
    for name, claim in claims.items():
        asked = msgspec.structs.astuple(claim.asked)
        needs_full = any(a and f for a, f in zip(asked, full, strict=True))
        assert parts[name] == 1.0 or needs_full


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(claims=CLAIMS)
def test_who_gets_less_than_asked_has_no_less_than_others_by_weight(claims):
    """Guards against an account that gets more than its weight allows."""
    hypothesis.assume(all(c.weight >= 0.1 for c in claims.values()))
    only_cpu = {
        name: shares.Claim(
            weight=claim.weight, asked=model.Resources(claim.asked.cpu, 0, 0)
        )
        for name, claim in claims.items()
    }
    parts = shares.granted_parts(only_cpu, CAPACITY)
    levels = {
        name: parts[name] * claim.asked.cpu / claim.weight
        for name, claim in only_cpu.items()
    }
    for name, level in levels.items():
        if parts[name] < 1.0:
            assert level >= max(levels.values()) * 0.999999


def test_unequal_weights_divide_a_full_pool():
    """Guards against shares that are not proportional to the weights."""
    claims = {
        name: shares.Claim(weight=weight, asked=model.Resources(8000, 0, 0))
        for name, weight in (("a", 3.0), ("b", 1.0), ("none", 0.0))
    }
    parts = shares.granted_parts(claims, CAPACITY)
    assert parts["a"] == pytest.approx(0.75, abs=1e-4)
    assert parts["b"] == pytest.approx(0.25, abs=1e-4)
    assert parts["none"] < 1e-4


def test_jobs_without_an_account_weigh_as_the_mean_account():
    """Guards against public jobs that get nothing or everything."""
    weights = {"a": 3.0, "b": 1.0}
    assert shares.weight_of(weights, "") == 2.0
    assert shares.weight_of(weights, "removed") == 2.0
    assert shares.weight_of(weights, "b") == 1.0


def _order(jobs, *, accounts=True):
    state = played_load.state_of(accounts)
    entry = types.SimpleNamespace(capacity=CAPACITY)
    pool = [types.SimpleNamespace(present=True, entry=entry)]
    found = account_shares.order(state, jobs, pool)
    return [job.job.id for job in found]


def _job(id, account, *, running=0, **step):
    job = played_load.make_job(id, account, 0, **step)
    found = jobstates.JobState(job=job, now=0.0)
    for task in list(found.tasks())[:running]:
        found.set_phase(task, jobstates.TaskPhase.OPEN)
    return found


@pytest.mark.parametrize("kind", [{"long_lived": True}, {"gang": True}])
def test_running_long_lived_tasks_and_gangs_count(kind):
    """Guards against a share on top of what an account has running.

    Both accounts have about the same weight. The one whose tasks run already
    has smaller jobs, which would come first without shares.
    """
    jobs = [_job("held", "a19", cpu=1000, count=5, running=5, **kind)]
    jobs += [_job(f"small{n}", "a19", ms=300) for n in range(4)]
    jobs += [_job(f"large{n}", "a18", ms=400) for n in range(4)]
    found = [id for id in _order(jobs) if id != "held"]
    assert [id[:5] for id in found] == ["large"] * 4 + ["small"] * 4
    usual = [id for id in _order(jobs, accounts=False) if id != "held"]
    assert usual[0].startswith("small")


def test_a_waiting_gang_uses_up_the_share():
    """Guards against a gang that counts as one task."""
    jobs = [_job("gang", "a19", count=4, ms=100, gang=True)]
    jobs += [_job(f"own{n}", "a19", ms=300) for n in range(4)]
    jobs += [_job(f"other{n}", "a18", ms=400) for n in range(8)]
    found = _order(jobs)
    assert found.index("gang") < 5
    assert set(found[-4:]) > {"own3"}
    assert found.index("own0") > found.index("other0")


def test_long_lived_jobs_come_first_also_beyond_the_share():
    """Guards against long-lived jobs that wait behind others."""
    jobs = [
        _job(f"{kind}{n}", "a19", cpu=2000, long_lived=kind == "service")
        for kind in ("timed", "service")
        for n in range(6)
    ]
    assert [id[:5] for id in _order(jobs)] == ["servi"] * 6 + ["timed"] * 6


def test_without_accounts_and_with_room_the_order_is_as_before():
    """Guards against another order where no share is to be divided."""
    for accounts, count in ((False, 30), (True, 8)):
        jobs = [
            _job(f"{n}", f"a{n % 3:02d}", ms=900 - 10 * n)
            for n in range(count)
        ]
        usual = job_order.order_jobs(jobs, 0.0, CAPACITY.cpu)
        assert _order(jobs, accounts=accounts) == [j.job.id for j in usual]


def _drops(order, accounts):
    """Return by how much a flood lowers the others' jobs in time."""
    in_time = {False: {}, True: {}}
    for flood, counts in in_time.items():
        for seed in SEEDS:
            coming = played_load.arrivals(seed, flood=flood)
            played = played_load.play(coming, order, accounts=accounts)
            for job in coming:
                if job.account != played_load.FLOODING:
                    counts.setdefault(job.account, []).append(
                        played.useful(job.id)
                    )
    mean = {
        flood: {name: sum(c) / len(c) for name, c in counts.items()}
        for flood, counts in in_time.items()
    }
    weights = {name: played_load.WEIGHTS[name] for name in mean[False]}
    drops = {name: mean[False][name] - mean[True][name] for name in weights}
    total = sum(weights.values())
    return (
        sum(weights[name] * drop for name, drop in drops.items()) / total,
        max(drops.values()),
        min(mean[True].values()),
    )


def test_a_flood_changes_little_for_others():
    """Guards against one account at 12 times its rate in a peak.

    The baselines lose several times as much: first come, first served, and
    the order without accounts.
    """
    mean, worst_drop, worst = _drops(played_load.by_shares, True)
    first_mean, first_drop, first_worst = _drops(played_load.first_come, True)
    usual_mean, _, _ = _drops(played_load.by_shares, False)
    assert mean <= 0.02
    assert worst_drop <= 0.15
    assert first_mean >= 10 * mean
    assert usual_mean >= 3 * mean
    assert worst >= first_worst + 0.2
    assert first_drop >= 2 * worst_drop


def _plan(beyond):
    flooded = pool_sizes.Demand()
    flooded.record(20, 10.0)
    flooded.beyond_share = beyond
    other = pool_sizes.Demand()
    other.record(6, 10.0)
    pools = [
        pool_sizes.Pool(name="flooded", hosts=4, coming=0, idle=()),
        pool_sizes.Pool(name="other", hosts=2, coming=0, idle=()),
        pool_sizes.Pool(
            name="spare", hosts=0, coming=0, idle=tuple("abcdef"), standby=True
        ),
    ]
    moves = pool_sizes.plan(pools, {"flooded": flooded, "other": other})
    return [move.pool for move in moves]


def test_demand_beyond_the_share_takes_no_hosts_from_other_pools():
    """Guards against a flood that gets the hosts which another pool lacks."""
    assert _plan(beyond=14) == ["other"] * 4 + ["flooded"] * 2
    assert _plan(beyond=0) == ["flooded"] * 6


def test_demand_within_the_shares_is_that_of_all_machines():
    state = played_load.state_of()
    state.full_capacities = {"m": CAPACITY}
    asked = {
        ("a19", "one"): model.Resources(80_000, 0, 0),
        ("a18", "two"): model.Resources(2000, 0, 0),
    }
    within = account_shares.demand_within(state, asked)
    assert within["two"].cpu == 2000
    assert within["one"].cpu == pytest.approx(6000, abs=1)
    assert pool_sizes.hosts_beyond_share(
        20, asked["a19", "one"], within["one"]
    )
    state.catalog = played_load.state_of(accounts=False).catalog
    within = account_shares.demand_within(state, asked)
    assert within["one"] == asked["a19", "one"]


def _calls(count):
    """Return the function calls of one ordering of ``count`` waiting jobs."""
    jobs = [_job(f"{n}", f"a{n % 20:02d}", ms=900) for n in range(count)]
    profile = cProfile.Profile()
    profile.runcall(_order, jobs)
    return sum(entry.callcount for entry in profile.getstats())


def test_the_cost_of_a_pass_grows_with_the_jobs():
    """Guards against a scan of all jobs for each account or job."""
    assert _calls(2000) <= 4.5 * _calls(500)
