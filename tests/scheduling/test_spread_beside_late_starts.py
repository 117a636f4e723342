"""Tasks of a spread step leave a host to the one that is bound to it."""

from azurewood.incarnations import late_starts
from azurewood.incarnations import limits
from azurewood.jobs import model
from azurewood.policy import restarts
from azurewood.scheduling import placement
from tests.scheduling import deployment

SPREAD = model.Step(
    count=2, needs=model.Resources(500, 500, 0), long_lived=True, per_host=1
)
FOLLOWS_S = restarts.NEXT_RUN_PAUSE_S + 0.5


def _end_a_late_run(made, monkeypatch):
    """Let the first task of a job have a late start, whose run has ended.

    Return the job and the host. The second task waits, too.
    """
    job = deployment.job(made, 1, SPREAD)
    with monkeypatch.context() as patch:
        patch.setattr(placement, "place", lambda *args: None)
        made.submit(made.members[0], job)
        made.run(0.5)
    state = made.leaders()[0].member.term.state
    now = made.clock.now
    host = next(h for h in state.hosts.values() if h.present)
    task = state.task(model.TaskId(job.id, 0, 0, 0))
    task.run = 1
    late = late_starts.LateStart(
        host=host.id,
        run=1,
        incarnation_ms=host.incarnation.began_ms,
        fence=host.fence,
        possible_until=now + limits.MAX_START_DELAY_S,
    )
    late.next_run_at = now + restarts.NEXT_RUN_PAUSE_S
    state.add_late_start(host, (task.id, 1), late)
    return job, host


def test_no_task_takes_the_only_host_of_another(monkeypatch):
    """Guards against LOST: the bound task then waited until 12 s were over."""
    made = deployment.world(**{"s-one": 3})
    job, host = _end_a_late_run(made, monkeypatch)
    made.run(FOLLOWS_S)
    assert deployment.running_tasks(made, job.id) == SPREAD.count
    runs = made.hosts[host.id].runs
    assert [task.index for task, _ in runs] == [0]
    made.run(15.0)
    deployment.check(made)


def test_a_task_takes_that_host_if_no_other_has_room(monkeypatch):
    made = deployment.world(**{"s-one": 1})
    job, host = _end_a_late_run(made, monkeypatch)
    made.run(1.0)
    assert [task.index for task, _ in made.hosts[host.id].runs] == [1]
