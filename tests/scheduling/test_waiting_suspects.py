"""Tasks that start alone follow each other as soon as runs have settled."""

from azurewood.jobs import model
from azurewood.policy import host_crashes
from azurewood.scheduling import placement
from tests.scheduling import deployment

LASTING = model.Step(
    count=1, needs=model.Resources(500, 500, 0), long_lived=True
)
HOSTS = 2
ROUNDS = 2
SLACK_S = 0.3
"""Time for a list and a start, in each round."""


def _suspects(made, monkeypatch):
    """Return lasting jobs whose tasks all wait to start alone."""
    jobs = [
        deployment.job(made, 1 + number, LASTING)
        for number in range(HOSTS * ROUNDS)
    ]
    with monkeypatch.context() as patch:
        patch.setattr(placement, "place", lambda *args: None)
        for job in jobs:
            made.submit(made.members[0], job)
        made.run(0.5)
    state = made.leaders()[0].member.term.state
    for job in jobs:
        id = model.TaskId(job.id, 0, 0, 0)
        state.task(id).crashes = host_crashes.MIN_CRASHES_ALONE
        state.suspects.add(id)
    return jobs


def test_a_suspect_waits_no_longer_than_until_runs_have_settled(monkeypatch):
    """Guards against LOST: twice that time, as lists came late."""
    made = deployment.world(**{"s-one": HOSTS})
    jobs = _suspects(made, monkeypatch)
    made.run(0.5 + (ROUNDS - 1) * (host_crashes.SETTLED_S + SLACK_S))
    running = [deployment.running_tasks(made, job.id) for job in jobs]
    assert running == [1] * len(jobs)
    deployment.check(made)
