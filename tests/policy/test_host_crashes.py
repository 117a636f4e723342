"""Which tasks are suspected of a crash, and where they start next."""

import dataclasses
import math

import msgspec

from azurewood.jobs import model as jobs
from azurewood.policy import host_crashes
from azurewood.scheduling import host_state
from tests.policy import host_builders

STEP = jobs.Step(count=9, needs=jobs.Resources(500, 100, 0), estimate_ms=900)
LARGE = jobs.Step(count=1, needs=jobs.Resources(3000, 100, 0), estimate_ms=900)
GANG = jobs.Step(
    count=2, needs=jobs.Resources(500, 100, 0), estimate_ms=900, gang=True
)


def _host(id, *ages_s, crashes=0):
    """Return a host whose newest list shows runs of these ages."""
    host = host_builders.make_host(id)
    host.listed_at = 100.0
    for index, age_s in enumerate(ages_s):
        task = jobs.TaskId(f"job-{id}", 0, 0, index)
        run = host_state.Run(task=task, run=1, step=STEP, now=0.0)
        run.phase = host_state.RunPhase.RUNNING
        run.confirmed_at = host.listed_at - age_s
        run.crashes = crashes
        host.add(run)
    return host


def _suspect(step, host=None):
    return host_crashes.WaitingSuspect(
        task=jobs.TaskId("job", 0, 0, 0), step=step, host=host
    )


def _suspected(host):
    found = host_crashes.suspects(host, list(host.runs.values()))
    return [run.task.index for run in found]


def test_new_runs_are_suspected_before_settled_ones():
    assert _suspected(_host("h", 9.0, 0.1, 1.0)) == [1, 2]


def test_settled_runs_are_suspected_if_no_new_one_was_there():
    assert _suspected(_host("h", 9.0, 5.0)) == [0, 1]


def test_a_run_whose_start_was_not_confirmed_is_suspected():
    host = _host("h", 9.0)
    next(iter(host.runs.values())).confirmed_at = None
    assert not host_crashes.is_settled(next(iter(host.runs.values())), 100.0)


def test_long_work_clears_a_task_of_earlier_crashes():
    (old,) = _host("h", 90.0).runs.values()
    (new,) = _host("h", 9.0).runs.values()
    assert host_crashes.next_count(old, 3, 100.0) == 1
    assert host_crashes.next_count(new, 3, 100.0) == 4


def _count(crashed_ms, *, seen_ms=(), sent_ms=(1,), terms=()):
    """Return the crashes of one host that are counted for a task.

    Its incarnations ``crashed_ms`` crash one after another. It listed the run
    in those of ``seen_ms``, and it is started again, under its number, in
    those of ``sent_ms``. New leaders inherit it in those of ``terms``.
    """
    crash, found_at, count = "", -math.inf, 0
    (run,) = _host("h", 9.0).runs.values()
    for incarnation_ms in crashed_ms:
        if incarnation_ms in sent_ms:
            run.phase = host_state.RunPhase.STARTING
            run.confirmed_at = None
            run.incarnation_ms = incarnation_ms
        if incarnation_ms in terms:
            run.phase = host_state.RunPhase.RUNNING
            run.confirmed_at = None
            found_at = -math.inf
        if incarnation_ms in seen_ms:
            run.phase = host_state.RunPhase.RUNNING
            run.confirmed_at = incarnation_ms + 0.5
        if host_crashes.may_be_blamed(run, "h", crash, found_at):
            count += 1
            crash = f"h@{incarnation_ms}"
            found_at = incarnation_ms + 1.0
    return count


def test_a_run_that_began_once_is_not_blamed_for_each_crash():
    """Naively, each crash counts while the leader holds the run."""
    crashes = range(1, 9)
    assert _count(crashes) == 1
    assert _count(crashes, seen_ms=(1,)) == 2
    assert _count(crashes, seen_ms=(2,)) == 2
    assert _count(crashes, seen_ms=(1,), terms=(3, 5, 7)) == 2


def test_an_inherited_run_is_not_blamed_again_unless_it_was_seen():
    """Guards against LOST: a crash counted once more under a new leader."""
    (run,) = _host("h", 9.0).runs.values()
    run.inherited = True
    run.phase = host_state.RunPhase.RUNNING
    run.confirmed_at = None
    run.incarnation_ms = 1
    assert not host_crashes.may_be_blamed(run, "h", "h@1", -math.inf)
    run.incarnation_ms = 2
    assert host_crashes.may_be_blamed(run, "h", "h@1", -math.inf)


def test_a_run_is_blamed_for_each_crash_of_which_it_was_seen_before():
    crashes = range(1, 5)
    assert _count(crashes, seen_ms=crashes) == 4


def test_each_start_that_was_decided_on_is_blamed_for_a_crash():
    """Naively, one crash counts for all starts under a run's number."""
    crashes = range(1, 5)
    assert _count(crashes, sent_ms=crashes) == 4


def test_a_task_with_two_crashes_starts_alone():
    hosts = [_host("a", 0.1), _host("b", 9.0), _host("c")]
    found = host_crashes.Separation()
    found.hold(hosts, [_suspect(STEP)])
    allowed = [h.id for h in hosts if found.allows(h, STEP, 2)]
    assert allowed == ["b", "c"]
    others = [h.id for h in hosts if found.allows(h, STEP, 0)]
    assert others == ["a", "c"]
    assert found.allows(hosts[0], GANG, 2)


def test_no_two_tasks_start_alone_on_one_host():
    host = _host("a")
    found = host_crashes.Separation()
    found.hold([host], [_suspect(STEP)])
    run = host_state.Run(
        task=jobs.TaskId("job", 0, 0, 0), run=3, step=STEP, now=0.0
    )
    run.crashes = 2
    host.add(run)
    found.add(host, run)
    assert not found.allows(host, STEP, 2)
    assert not found.allows(host, STEP, 0)


def test_only_a_share_of_the_hosts_is_held():
    hosts = [_host(f"h{number}") for number in range(8)]
    found = host_crashes.Separation()
    found.hold(hosts, [_suspect(STEP)] * 8)
    assert len(found.held) == 2


BOUND = jobs.TaskId("bound", 0, 0, 0)


def _passes_until_started(host_of_bound):
    """Play passes in which other suspects come before one that waits.

    It may start on host "a" only. Return the pass in which it started.
    """
    hosts = [_host("a"), _host("b")]
    waiting = host_crashes.WaitingSuspect(
        task=BOUND, step=STEP, host=host_of_bound
    )
    for number in range(5):
        at = 200.0 + number * 2 * host_crashes.SETTLED_S
        for host in hosts:
            host.listed_at = at
        separation = host_crashes.Separation()
        other = jobs.TaskId(f"job-{number}", 0, 0, 0)
        separation.hold(hosts, [waiting])
        for id in (other, BOUND):
            for host in hosts[: 1 if id == BOUND else 2]:
                if separation.allows(host, STEP, 2, id):
                    if id == BOUND:
                        return number
                    run = host_state.Run(task=id, run=1, step=STEP, now=at)
                    run.phase = host_state.RunPhase.RUNNING
                    run.confirmed_at = at
                    run.crashes = 2
                    host.add(run)
                    separation.add(host, run)
                    break
    return None


def test_a_suspect_with_one_host_is_not_overtaken_there():
    """Naively, suspects that may start anywhere take its host each time."""
    assert _passes_until_started("a") == 0
    assert _passes_until_started(None) is None


def test_a_suspect_without_room_on_its_only_host_bars_no_other():
    host = _host("a")
    host.reserve(jobs.TaskId("big", 0, 0, 0), LARGE)
    found = host_crashes.Separation()
    found.hold([host], [_suspect(LARGE, "a")])
    assert found.held == {"a"}
    assert found.allows(host, STEP, 2, jobs.TaskId("other", 0, 0, 0))


def test_all_suspects_with_one_host_hold_no_more_than_the_share():
    hosts = [_host(f"h{number}") for number in range(8)]
    found = host_crashes.Separation()
    found.hold(hosts, [_suspect(STEP, host.id) for host in hosts])
    assert len(found.held) == 2
    assert len(found.bound) == 8


def test_a_host_without_the_label_is_not_held():
    """Guards against LOST: a suspect whose held host can't run it."""
    hosts = [_host("a"), _host("b", 0.1), _host("c", 0.1), _host("d", 0.1)]
    with_label = hosts[1]
    with_label.describe(dataclasses.replace(with_label.entry, labels=("ssd",)))
    found = host_crashes.Separation()
    step = msgspec.structs.replace(STEP, label="ssd")
    found.hold(hosts, [_suspect(step)])
    assert found.held == {"b"}


def test_a_host_with_another_task_of_a_spread_step_is_not_held():
    """Guards against LOST: a suspect whose held host can't run it."""
    hosts = [_host("a", 9.0), _host("b", 0.1), _host("c", 0.1)]
    step = msgspec.structs.replace(STEP, per_host=1)
    hosts[0].reserve(jobs.TaskId("job", 0, 0, 1), step)
    found = host_crashes.Separation()
    found.hold(hosts, [_suspect(step)])
    assert found.held == {"b"}


def test_a_suspect_endangers_least_where_no_other_suspect_is():
    crowded, suspect = _host("a", 0.1, 0.1), _host("b", 0.1, crashes=1)
    assert host_crashes.danger(crowded) < host_crashes.danger(suspect)
