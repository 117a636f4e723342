"""A leader that is paused in the middle of a scheduling pass."""

from azurewood.jobs import model
from azurewood.scheduling import reducer
from tests.scheduling import deployment

SPEED = 2_000_000
PAUSE_S = 1.2
"""Shorter than the time without beats after which others claim the lead."""
STEP = model.Step(
    count=1, needs=model.Resources(1000, 500, 0), estimate_ms=300
)


def test_a_leader_that_paused_in_a_pass_soon_places_again(monkeypatch):
    """Guards against incident SHORT.

    The rest after a pass grew with its duration, and so with the pause.
    """
    made = deployment.world(members=1)
    leader = made.leaders()[0]
    leader.processor.speed = SPEED
    real = reducer.place
    paused_at = []

    def place(state, now):
        real(state, now)
        if not paused_at:
            paused_at.append(now)
            leader.processor.charge(int(PAUSE_S * SPEED))

    monkeypatch.setattr(reducer, "place", place)
    made.run(0.3 + PAUSE_S)
    assert paused_at
    job = deployment.job(made, 1, STEP)
    made.submit(leader, job)
    made.run(1.0)
    assert job.id in made.rules.started_jobs
