"""Limits of accounts on all hosts together, beside accounts that have room.

The world's rule ``account limit`` watches all starts that hosts carry out.
"""

import msgspec
import pytest

from azurewood.jobs import model
from azurewood.jobs import registry
from azurewood.jobs import verdicts
from azurewood.policy import host_crashes
from azurewood.policy import pool_sizes
from azurewood.scheduling import account_demand
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


def test_places_without_a_run_known_to_exist_are_logged(monkeypatch):
    """Guards against an account that is full without a line that says why."""
    lines = _lines(monkeypatch, "account.state")
    made = accounts.world(a=2, b=2)
    accounts.submit(made, range(2), "a", accounts.LASTING)
    made.run(2.0)
    assert {(line["late"], line["unseen"]) for line in lines} == {(0, 0)}
    lines.clear()
    made.cut_hosts |= set(made.hosts)
    made.leaders()[0].kill()
    made.run(4.0)
    assert (0, 2) in {(line["late"], line["unseen"]) for line in lines}


def test_shares_are_logged_while_a_pool_is_full(monkeypatch):
    """Guards against a share that is not told, or kept for a free pool."""
    lines = _lines(monkeypatch, "account.state")
    placed = _lines(monkeypatch, "step.placed")
    made = accounts.world(a=0, b=0)
    accounts.submit(made, range(200), "a")
    accounts.submit(made, range(200, 210), "b")
    made.run(3.0)
    full = [line for line in lines if line["full_pools"]]
    assert {line["account"] for line in full} == {"a", "b"}
    for line in full:
        assert line["full_pools"] == f"s-one:{line['share_cpu']}"
    assert {line["account"] for line in placed} == {"a", "b"}
    made.run(40.0)
    assert (lines[-1]["share_cpu"], lines[-1]["full_pools"]) == (0, "")


def test_a_changed_limit_is_logged(monkeypatch):
    """Guards against changes of a limit that operators cannot trace."""
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
    for name in ("may_start", "may_start_step"):
        monkeypatch.setattr(account_limits, name, lambda *args: True)
    assert len(_held_for_suspect()) == 1


def _cancelled_before_a_change_of_leader(unreached_s=0.0):
    """Cancel all that an account has running, by a leader that is cut off.

    Its runs go on until the next leader has had them stopped, which does not
    reach their hosts for ``unreached_s``.
    """
    made = accounts.world(a=6)
    step = msgspec.structs.replace(accounts.ONE, estimate_ms=9000)
    running = accounts.submit(made, range(6), "a", step)
    made.run(1.0)
    accounts.submit(made, range(100, 112), "a", step)
    made.run(0.5)
    leader = made.leaders()[0]
    leader.cut_from.update(made.hosts)
    for job_id in running:
        made.cancel(leader, job_id)
    made.run(0.3)
    if unreached_s:
        busy = [host.id for host in made.hosts.values() if host.runs]
        assert len(busy) < len(made.hosts)
        made.cut_hosts.update(busy)
        made.clock.after(unreached_s, made.cut_hosts.clear)
    leader.kill()
    made.run(10.0)
    return made


def test_the_limit_holds_as_jobs_are_cancelled_before_a_change_of_leader():
    """Guards against QUOTA: runs count although their jobs are over."""
    made = _cancelled_before_a_change_of_leader()
    assert made.rules.accounts.used["a"].cpu == 6000
    deployment.check(made)


def test_it_breaks_if_runs_of_jobs_that_are_over_do_not_count(monkeypatch):
    monkeypatch.setattr(
        registry.JobRegistry, "job_of", lambda self, job_id: None
    )
    monkeypatch.setattr(registry.JobRegistry, "stopped_jobs", lambda self: [])
    with pytest.raises(AssertionError, match=RULE):
        deployment.check(_cancelled_before_a_change_of_leader())


def test_the_limit_holds_while_hosts_with_runs_of_ended_jobs_are_silent():
    """Guards against QUOTA: runs count before they are listed."""
    made = _cancelled_before_a_change_of_leader(unreached_s=3.5)
    assert made.rules.accounts.used["a"].cpu == 6000
    deployment.check(made)


def test_it_breaks_if_only_listed_runs_of_ended_jobs_count(monkeypatch):
    monkeypatch.setattr(registry.JobRegistry, "stopped_jobs", lambda self: [])
    with pytest.raises(AssertionError, match=RULE):
        deployment.check(_cancelled_before_a_change_of_leader(unreached_s=3.5))


def test_ended_jobs_count_until_all_hosts_have_listed_their_runs():
    """Guards against LOST: an account must not be blocked for longer."""
    made = accounts.world(a=2)
    ids = accounts.submit(made, range(2), "a", accounts.LASTING)
    made.run(1.0)
    for job_id in ids:
        made.cancel(made.leaders()[0], job_id)
    made.run(1.5)
    made.leaders()[0].kill()
    made.run(8.0)
    state = made.leaders()[0].member.term.state
    assert not state.unlisted_usage
    later = accounts.submit(made, [9], "a")
    made.run(1.5)
    assert accounts.done(made, later) == 1
    deployment.check(made)


def _gangs_of_two_pools():
    """Submit a gang as large as its account's limit to each of two pools."""
    made = accounts.world(pools={"s-one": 2, "s-two": 2, "spare": 12}, a=16)
    gang = msgspec.structs.replace(accounts.ONE, count=16, gang=True)
    ids = []
    for number, queue in enumerate(("one", "two")):
        job = deployment.job(made, number, gang, queue=queue)
        made.submit(made.members[0], msgspec.structs.replace(job, account="a"))
        ids.append(job.id)
    made.run(10.0)
    return accounts.done(made, ids)


def test_pools_want_enough_hosts_for_a_gang_of_an_account_with_a_limit(
    monkeypatch,
):
    """Guards against LOST: neither pool asked for the hosts of a gang."""
    assert _gangs_of_two_pools() == 2
    monkeypatch.setattr(
        account_demand.Limits, "missing_for_gangs", lambda self: {}
    )
    assert _gangs_of_two_pools() == 0
