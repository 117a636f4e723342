"""Limits of accounts on all hosts together, beside accounts that have room.

The world's rule ``account limit`` watches all starts that hosts carry out.
"""

import msgspec
import pytest

from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.policy import host_crashes
from azurewood.policy import pool_sizes
from azurewood.scheduling import account_limits
from azurewood.scheduling import crashes
from azurewood.scheduling import reducer
from azurewood.scheduling import restoration
from standins.fleet import members
from tests.scheduling import accounts
from tests.scheduling import deployment

RULE = "account limit"
GANG = msgspec.structs.replace(accounts.ONE, count=2, gang=True, per_host=1)


def _no_limit(monkeypatch):
    monkeypatch.setattr(account_limits, "limit_of", lambda *args: None)


def _crowd(*, queued=40):
    """Fill an account's queue, then submit a job of another account.

    Return the world, and the jobs of both.
    """
    made = accounts.world(a=2, b=4)
    ids = accounts.submit(made, range(queued), "a")
    made.run(0.1)
    other = accounts.submit(made, [900], "b")
    made.run(1.5)
    return made, ids, other


def test_an_account_at_its_limit_keeps_to_it_and_blocks_nobody():
    """Guards against QUOTA and LOST."""
    made, ids, other = _crowd()
    assert made.rules.accounts.most["a"].cpu == 2000
    assert accounts.done(made, other) == 1
    assert 0 < accounts.done(made, ids) < len(ids)
    made.run(12.0)
    assert accounts.done(made, ids) == len(ids)
    deployment.check(made)


def test_the_rule_finds_starts_beyond_the_limit(monkeypatch):
    _no_limit(monkeypatch)
    with pytest.raises(AssertionError, match=RULE):
        deployment.check(_crowd()[0])


def test_limits_do_not_bind_without_accounts():
    """Guards against a change for configurations without accounts."""
    made = deployment.world(**{"s-one": 3})
    accounts.submit(made, range(12), "a")
    made.run(0.3)
    assert made.rules.accounts.most["a"].cpu > 6000
    deployment.check(made)


def test_no_hosts_are_wanted_for_more_than_an_account_may_run(monkeypatch):
    """Guards against hosts that stay idle in a pool."""

    def wanted():
        made = accounts.world(pools={"s-one": 2, "spare": 6}, a=2)
        accounts.submit(made, range(40), "a")
        made.run(0.8)
        return made.leaders()[0].member.term.state.demands["s-one"].wanted

    assert wanted() <= 1 + pool_sizes.RESERVE_HOSTS
    _no_limit(monkeypatch)
    assert wanted() >= 6


def _lost_answers():
    """Lose answers to starts at the limit, on hosts that restart."""
    made = accounts.world(seed=5, a=2, b=4)
    made.late_share = 0.3
    ids = accounts.submit(made, range(16), "a")
    other = accounts.submit(made, range(100, 108), "b")
    for _ in range(4):
        made.run(2.5)
        host = min(made.hosts.values(), key=lambda host: host.born_at)
        host.crash()
        host.restart()
        made.publish_entry(host)
    made.late_share = 0.0
    made.run(60.0)
    return made, ids + other


def test_the_limit_holds_while_answers_to_starts_are_lost():
    """Guards against QUOTA, and against late starts that count for good."""
    made, ids = _lost_answers()
    assert accounts.done(made, ids) == len(ids)
    deployment.check(made)


def test_lost_answers_breach_the_rule_without_a_limit(monkeypatch):
    _no_limit(monkeypatch)
    with pytest.raises(AssertionError, match=RULE):
        deployment.check(_lost_answers()[0])


def _killed_leader():
    """Kill the leader while an account is at its limit and has more."""
    made = accounts.world(a=3)
    accounts.submit(made, range(6), "a", accounts.LASTING)
    made.run(1.0)
    assert made.rules.accounts.used["a"].cpu == 3000
    made.leaders()[0].kill()
    made.run(8.0)
    assert made.leaders()
    return made


def test_a_new_leader_knows_what_an_account_has_running():
    """Guards against QUOTA over a change of leader."""
    made = _killed_leader()
    assert made.rules.accounts.most["a"].cpu == 3000
    deployment.check(made)


def test_a_new_leader_breaks_the_limit_if_runs_are_not_restored(monkeypatch):
    usual = restoration._restore_task

    def restore(state, job, task, row, now):
        known = job.job
        job.job = msgspec.structs.replace(known, account="")
        usual(state, job, task, row, now)
        job.job = known

    monkeypatch.setattr(restoration, "_restore_task", restore)
    with pytest.raises(AssertionError, match=RULE):
        deployment.check(_killed_leader())


def test_a_lowered_limit_stops_no_run_and_a_raised_one_lets_more_start():
    """Guards against work that is lost, and against QUOTA."""
    made = accounts.world(a=6)
    ids = accounts.submit(made, range(6), "a", accounts.LASTING)
    made.run(1.0)
    accounts.configure(made, a=2)
    more = accounts.submit(made, range(10, 12), "a", accounts.LASTING)
    made.run(6.0)
    assert sum(deployment.running_tasks(made, id) for id in ids) == 6
    assert not sum(deployment.running_tasks(made, id) for id in more)
    accounts.configure(made, a=7)
    made.run(1.0)
    assert sum(deployment.running_tasks(made, id) for id in more) == 1
    deployment.check(made)


def _lowered_before_the_answers(monkeypatch):
    """Lower a limit while no start of the account's tasks arrives."""
    monkeypatch.setattr(members, "LATE_CALL_DELAY_S", (11.9, 11.9))
    made = accounts.world(a=6)
    usual = made.fault_of
    lost = {"on": True}

    def fault_of(call):
        if lost["on"] and call.target in made.hosts and call.changes:
            return "" if call.renews else "late"
        return usual(call)

    made.fault_of = fault_of
    accounts.submit(made, range(6), "a", accounts.LASTING)
    made.run(0.3)
    accounts.configure(made, a=1)
    made.run(4.0)
    lost["on"] = False
    made.run(30.0)
    assert made.rules.accounts.used["a"].cpu >= 1000
    return made


def test_starts_are_not_repeated_beyond_a_lowered_limit(monkeypatch):
    """Guards against QUOTA: repeated starts pass no placement."""
    deployment.check(_lowered_before_the_answers(monkeypatch))


def test_repeated_starts_break_a_lowered_limit_unchecked(monkeypatch):
    monkeypatch.setattr(account_limits, "is_over", lambda *args: False)
    with pytest.raises(AssertionError, match=RULE):
        deployment.check(_lowered_before_the_answers(monkeypatch))


def _gang_beside_others():
    """Submit a gang to an account with room for one of its members."""
    made = accounts.world(a=3)
    long = msgspec.structs.replace(accounts.ONE, estimate_ms=1500)
    accounts.submit(made, range(2), "a", long)
    made.run(0.2)
    (gang,) = accounts.submit(made, [9], "a", GANG)
    made.run(0.6)
    early = deployment.running_tasks(made, gang)
    made.run(6.0)
    assert accounts.done(made, [gang]) == 1
    deployment.check(made)
    return early


def test_a_gang_starts_only_if_there_is_room_for_all_its_members():
    """Guards against members that start beyond the limit, or alone."""
    assert _gang_beside_others() == 0


def test_a_gang_starts_too_soon_if_its_members_are_counted_as_one(monkeypatch):
    def one(state, job, step):
        return account_limits.has_room(state, job.job, step.needs)

    monkeypatch.setattr(account_limits, "may_start_step", one)
    assert _gang_beside_others() > 0


@pytest.mark.parametrize(
    ("step", "reason"),
    [
        (
            msgspec.structs.replace(
                accounts.ONE, needs=model.Resources(2001, 0, 0)
            ),
            "step 0 needs 2001 mcpu, the account's limit is 2000",
        ),
        (
            msgspec.structs.replace(GANG, count=3),
            "the gang of step 0 needs 3000 mcpu, the account's limit is 2000",
        ),
        (msgspec.structs.replace(accounts.ONE, count=3), ""),
    ],
)
def test_what_no_limit_holds_is_refused_at_once(step, reason):
    """Guards against callers that wait for a job that can never run."""
    made = accounts.world(a=2)
    job = deployment.job(made, 1, step)
    job = msgspec.structs.replace(job, account="a")
    refused = made.members[0].member._admit(job)
    expected = verdicts.Refused(reason=reason, retry_after_s=60)
    assert refused == (expected if reason else None)


def _lines(monkeypatch, event):
    """Return the fields of all lines of one kind from now on."""
    lines = []
    usual = reducer.collect_effects

    def collect(state, now):
        lines.extend(accounts.line_fields(state, event))
        return usual(state, now)

    monkeypatch.setattr(reducer, "collect_effects", collect)
    return lines


def test_accounts_with_anything_running_or_waiting_are_logged(monkeypatch):
    """Guards against gauges that keep the values of an idle account."""
    lines = _lines(monkeypatch, "account.state")
    made = accounts.world(a=2, b=2)
    accounts.submit(made, range(6), "a")
    made.run(6.0)
    assert {line["account"] for line in lines} == {"a"}
    busy = [(line["running"], line["waiting"]) for line in lines]
    assert busy[0][0] == 2 and busy[0][1] > 0 and busy[-1] == (0, 0)
    assert busy.count((0, 0)) == 1
    assert lines[0]["running_cpu"] == lines[0]["limit_cpu"] == 2000


def test_a_changed_limit_is_logged(monkeypatch):
    lines = _lines(monkeypatch, "account.limit")
    made = accounts.world(a=2, b=2)
    lines.clear()
    accounts.configure(made, a=3, b=2)
    (line,) = lines
    assert (line["account"], line["before"], line["after"]) == (
        "a",
        "2000/0/0",
        "3000/0/0",
    )


def _held_for_suspect():
    """Return the hosts held for a task that has to start alone."""
    made = accounts.world(a=1)
    (other,) = accounts.submit(made, [1], "a", accounts.LASTING)
    (suspect,) = accounts.submit(made, [2], "a")
    made.run(0.5)
    assert deployment.running_tasks(made, other) == 1
    state = made.leaders()[0].member.term.state
    task = state.jobs[suspect].task(model.TaskId(suspect, 0, 0, 0))
    task.crashes = host_crashes.MIN_CRASHES_ALONE
    state.suspects.add(task.id)
    hosts = list(state.hosts.values())
    now = made.clock.now
    return crashes.separate(state, "s-one", hosts, now).held


def test_no_host_is_held_for_a_suspect_of_an_account_at_its_limit():
    """Guards against an account at its limit that blocks others."""
    assert not _held_for_suspect()


def test_a_host_is_held_for_a_suspect_if_the_limit_is_not_looked_at(
    monkeypatch,
):
    monkeypatch.setattr(account_limits, "may_start", lambda *args: True)
    assert len(_held_for_suspect()) == 1
