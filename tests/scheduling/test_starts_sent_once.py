"""A start that is known to have been sent once, and has been carried out."""

import pytest

from azurewood.jobs import model
from azurewood.scheduling import messages
from tests.scheduling import deployment
from tests.scheduling import late_calls

LASTING = model.Step(
    count=1, needs=model.Resources(500, 500, 0), long_lived=True
)
TIMED = model.Step(
    count=1, needs=model.Resources(500, 500, 0), estimate_ms=9000
)
UNANSWERED_S = 0.9
"""When the first start has got no answer and isn't repeated yet."""
LATE_S = 1.5
REPEATED_LATE_S = 2.5
ELECTED_S = 4.0


def _fail_the_first_run(monkeypatch, step, *, killed_at):
    """Kill a leader beside a late start, whose run then fails.

    Return the course and the job once the next leader leads.
    """
    made = deployment.world(**{"s-one": 2})
    made.run_duration_s = lambda task, step: 9.0
    sent = []

    def choose(effect, now):
        if not isinstance(effect, messages.StartRun) or now > killed_at:
            return None
        sent.append(effect.host)
        return LATE_S if len(sent) == 1 else REPEATED_LATE_S

    course = late_calls.LateCalls(
        made=made, monkeypatch=monkeypatch, choose=choose
    )
    job = deployment.job(made, 1, step)
    made.submit(made.members[0], job)
    course.run_until(killed_at)
    made.leaders()[0].kill()
    host = made.hosts[sent[0]]
    host.failing = True
    course.run_until(2.0)
    host.failing = False
    course.run_until(ELECTED_S)
    deployment.check(made)
    return course, made, job, sent


@pytest.mark.parametrize("step", (LASTING, TIMED))
def test_a_new_leader_does_not_wait_for_a_start_that_was_carried_out(
    monkeypatch, step
):
    """Guards against LOST: it waited up to 12 s for a copy never sent."""
    _, made, job, sent = _fail_the_first_run(
        monkeypatch, step, killed_at=UNANSWERED_S
    )
    assert len(sent) == 1
    assert deployment.running_tasks(made, job.id) == 1


@pytest.mark.parametrize("step", (LASTING, TIMED))
def test_it_waits_if_the_start_may_have_been_repeated(monkeypatch, step):
    """Guards against TWICE: a repeated start is on record before."""
    course, made, job, sent = _fail_the_first_run(
        monkeypatch, step, killed_at=1.3
    )
    assert len(sent) == 2
    assert not deployment.running_tasks(made, job.id)
    host = made.hosts[sent[0]]
    assert course.now < REPEATED_LATE_S + 1.3 + ELECTED_S
    late_calls.restart(made, host, cut=True)
    made.run(20.0)
    deployment.check(made)
