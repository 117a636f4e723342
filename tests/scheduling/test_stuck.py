"""The logged reasons for stuck work."""

import dataclasses

import msgspec
import pytest

from azurewood.incarnations import late_starts
from azurewood.incarnations import limits
from azurewood.jobs import catalog
from azurewood.jobs import model as jobs
from azurewood.policy import host_choice
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import progress
from azurewood.scheduling import run_starts
from azurewood.scheduling import stuck
from azurewood.scheduling import tasks
from azurewood.scheduling import waiting
from tests.scheduling import deployment

NOW = 100.0
STEP = jobs.Step(count=1, needs=jobs.Resources(1000, 500, 0), estimate_ms=400)


def _entry():
    return messages.HostEntry(
        id="h1",
        address="127.0.0.1:1",
        service="s-one",
        zone="a",
        state=messages.HostState.READY,
        capacity=jobs.Resources(4000, 8000, 0),
        labels=(),
        incarnation_ms=1,
    )


def _state(*, advice=None):
    state = model.State(term=1, leases_expire_at=0.0)
    queue = dataclasses.replace(
        deployment.CATALOG.queues["one"], advice=advice
    )
    state.catalog = dataclasses.replace(
        deployment.CATALOG, queues={"one": queue}
    )
    job = jobs.Job(
        id="j", queue="one", service="s-one", payload="", steps=(STEP,)
    )
    tasks.restore_job(state, job, NOW)
    host = state.host("h1")
    host.describe(_entry())
    host.present = host.incarnation.synced = True
    # A start needs the host's clock.
    host.incarnation.set_clock(1, NOW)
    return state


def _host(state):
    return state.hosts["h1"]


def _task(state):
    return state.jobs["j"].steps[(0, 0)][0]


def _run(state):
    (run,) = _host(state).runs.values()
    return run


def _reserved():
    state = _state()
    reservation = _host(state).reservation
    reservation.begin_pass(occupied=True, now=NOW + 2.0)
    return state


def _opened():
    state = _state()
    host = _host(state)
    rooms = host_choice.HostIndex(hosts=[host])
    run_starts.open_run(state, rooms, host, state.jobs["j"], _task(state), NOW)
    return state


def _without_host():
    state = _state()
    state.hosts.clear()
    return state


def _unsynced_pool():
    state = _state()
    _host(state).incarnation.synced = False
    return state


def _suspended():
    state = _state()
    _host(state).suspended_until = NOW + 60.0
    return state


def _full():
    state = _state()
    big = msgspec.structs.replace(STEP, needs=jobs.Resources(3500, 0, 0))
    _host(state).reserve(jobs.TaskId("other", 0, 0, 0), big)
    return state


def _retry():
    state = _state()
    _task(state).waits_until = NOW + 60.0
    return state


def _at_limit():
    """Guards against a task at its account's limit that waits for room."""
    state = _state()
    job = state.jobs["j"]
    job.job = msgspec.structs.replace(job.job, account="a")
    limit = jobs.Resources(999, 0, 0)
    state.catalog = dataclasses.replace(
        state.catalog,
        accounts={"a": catalog.Account(name="a", limit=limit)},
    )
    return state


def _beyond():
    """Guards against a job beyond its share that seems to lack room only."""
    state = _full()
    state.divisions["s-one"] = waiting.Division(
        beyond=frozenset({"j"}), cpu_of={"a": 1000.0}, at=NOW - 5.0
    )
    return state


def _divided_long_ago():
    """Guards against a share of a pool that is full no more."""
    state = _beyond()
    (division,) = state.divisions.values()
    state.divisions["s-one"] = dataclasses.replace(division, at=0.0)
    return state


def _advice():
    return _state(
        advice=catalog.Advice(decision_ms=1, per_host_ms=1, validity_ms=1)
    )


def _late_start():
    state = _state()
    host = _host(state)
    late = late_starts.LateStart(
        host=host.id,
        run=1,
        incarnation_ms=0,
        fence=0,
        possible_until=NOW + 60.0,
    )
    state.add_late_start(host, (_task(state).id, 1), late)
    return state


def _not_approved():
    state = _advice()
    state.jobs["j"].advice[(0, 0)] = {
        id: jobstates.HostAdvice(
            ticket="",
            incarnation_ms=host.incarnation.began_ms,
            valid_until=0.0,
        )
        for id, host in state.hosts.items()
    }
    return state


def _starting():
    state = _opened()
    progress.flush(state, 0.0)
    progress.on_saved(state)
    return state


def _stopping():
    state = _starting()
    tasks.stop(_run(state), NOW)
    return state


def _silent():
    state = _starting()
    _run(state).phase = host_state.RunPhase.RUNNING
    _host(state).unresponsive_since = NOW
    return state


def _unsynced():
    state = _starting()
    _run(state).phase = host_state.RunPhase.RUNNING
    _host(state).incarnation.synced = False
    return state


def _no_run():
    state = _starting()
    _host(state).remove(_run(state))
    return state


def _running():
    state = _starting()
    _run(state).phase = host_state.RunPhase.RUNNING
    return state


def _log_lines(state):
    for second in range(4):
        stuck.check(state, NOW + second)
    return [
        effect.fields
        for effect in state.effects
        if isinstance(effect, messages.LogEvent)
        and effect.event == "task.stuck"
    ]


@pytest.mark.parametrize(
    ("made", "why"),
    [
        (_without_host, stuck.Why.NO_HOST),
        (_unsynced_pool, stuck.Why.UNSYNCED),
        (_suspended, stuck.Why.UNUSABLE),
        (_full, stuck.Why.ROOM),
        (_beyond, stuck.Why.SHARE),
        (_divided_long_ago, stuck.Why.ROOM),
        (_retry, stuck.Why.RETRY),
        (_at_limit, stuck.Why.ACCOUNT_LIMIT),
        (_late_start, stuck.Why.LATE_START),
        (_advice, stuck.Why.ADVICE),
        (_not_approved, stuck.Why.NOT_APPROVED),
        (_reserved, stuck.Why.RESERVED),
        (_state, stuck.Why.NOT_PLACED),
        (_opened, stuck.Why.STORE),
        (_starting, stuck.Why.STARTING),
        (_stopping, stuck.Why.STOPPING),
        (_silent, stuck.Why.HOST_SILENT),
        (_unsynced, stuck.Why.HOST_UNSYNCED),
        (_no_run, stuck.Why.NO_RUN),
    ],
)
def test_the_reason_is_logged(made, why):
    (line,) = _log_lines(made())
    assert line["why"] == why.value
    assert (line["job"], line["task"]) == ("j", "(0, 0, 0)")


def test_the_host_that_may_carry_out_an_earlier_start_is_named():
    (line,) = _log_lines(_late_start())
    assert line["late_host"] == "h1"
    lease_ms = limits.MAX_LEASE_S * 1000
    assert line["late_for_ms"] == int(60_000 + lease_ms) - line["stuck_ms"]


def test_every_reason_has_its_case():
    (mark,) = test_the_reason_is_logged.pytestmark
    assert {why for _, why in mark.args[1]} == set(stuck.Why)


def test_running_work_is_not_logged():
    assert not _log_lines(_running())


def test_time_counts_from_when_work_last_became_stuck():
    state = _starting()
    run = _run(state)
    stuck.check(state, NOW)
    run.phase = host_state.RunPhase.RUNNING
    stuck.check(state, NOW + 1.0)
    run.phase = host_state.RunPhase.STARTING
    stuck.check(state, NOW + 2.5)
    assert [found.since for found in state.stuck_work.values()] == [NOW + 2.5]


def test_free_resources_of_several_hosts_do_not_add_up():
    """A task doesn't fit if each host lacks either processor or memory."""
    state = _state()
    big = msgspec.structs.replace(STEP, needs=jobs.Resources(3500, 0, 0))
    _host(state).reserve(jobs.TaskId("other", 0, 0, 0), big)
    other = state.host("h2")
    other.describe(_entry())
    other.present = other.incarnation.synced = True
    light = msgspec.structs.replace(STEP, needs=jobs.Resources(0, 7800, 0))
    other.reserve(jobs.TaskId("other", 0, 0, 1), light)
    (line,) = _log_lines(state)
    assert line["why"] == stuck.Why.ROOM.value
