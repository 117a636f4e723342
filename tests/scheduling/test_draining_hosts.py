"""Lasting tasks whose start is late on a host that drains."""

import pytest

from azurewood.jobs import model
from azurewood.policy import restarts
from azurewood.policy import withheld_ends
from azurewood.scheduling import messages
from tests.scheduling import deployment
from tests.scheduling import late_calls

LASTING = model.Step(
    count=1, needs=model.Resources(500, 500, 0), long_lived=True
)
JOB = f"{1:016x}"
LATE_S = 6.0
OTHER_AT_S = 2.5
"""When another start, whose answer is lost, is asked for."""
ANSWER_S = 1.0
"""Time until a start counts as unanswered."""
PLACED_S = 0.3


def _drain(monkeypatch):
    """Drain the host of a late start; return the course and the host."""
    made = deployment.world(**{"s-one": 3})
    hosts = []

    def choose(effect, now):
        if not isinstance(effect, messages.StartRun):
            return None
        if effect.task.job != JOB:
            return "lost" if now < OTHER_AT_S + ANSWER_S else None
        if hosts:
            return None
        hosts.append(effect.host)
        return LATE_S

    course = late_calls.LateCalls(
        made=made, monkeypatch=monkeypatch, choose=choose
    )
    made.submit(made.members[0], deployment.job(made, 1, LASTING))
    course.run_until(1.0)
    host = made.hosts[hosts[0]]
    host.draining = True
    made.publish_entry(host)
    course.run_until(OTHER_AT_S)
    made.submit(made.members[0], deployment.job(made, 2, LASTING))
    return course, made, host


def _restart(monkeypatch):
    """Restart the host under its id soon after."""
    course, made, host = _drain(monkeypatch)
    course.run_until(3.5)
    late_calls.restart(made, host, cut=True)
    course.run_until(10.0)
    made.cut_hosts.discard(host.id)
    course.run_until(45.0)
    deployment.check(made)
    assert deployment.running_tasks(made, JOB) == 1


def test_a_lasting_task_waits_while_starts_get_no_answer(monkeypatch):
    """Guards against TWICE: a draining host restarts under its id."""
    _restart(monkeypatch)


def test_runs_twice_if_it_waits_for_no_draining_host(monkeypatch):
    usual = restarts.where_to_start

    def where_to_start(sent, now, *, long_lived):
        if sent.draining and long_lived:
            return restarts.Anywhere()
        return usual(sent, now, long_lived=long_lived)

    monkeypatch.setattr(restarts, "where_to_start", where_to_start)
    with pytest.raises(AssertionError, match="twice"):
        _restart(monkeypatch)


def test_it_waits_for_a_draining_host_no_longer(monkeypatch):
    """Guards against LOST: 7 s of a calm time without a run."""
    course, made, host = _drain(monkeypatch)
    calm_at = OTHER_AT_S + ANSWER_S + withheld_ends.CALM_S
    course.run_until(calm_at + PLACED_S)
    assert not host.runs
    assert deployment.running_tasks(made, JOB) == 1
