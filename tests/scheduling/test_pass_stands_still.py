"""A leader that stood still in the middle of a pass over the queue."""

from azurewood.jobs import model
from azurewood.scheduling import reducer
from tests.scheduling import deployment

SPEED = 2_000_000
STOOD_S = 1.2
"""Shorter than the silence after which others claim."""
STEP = model.Step(
    count=1, needs=model.Resources(1000, 500, 0), estimate_ms=300
)


def test_a_leader_that_stood_still_in_a_pass_places_soon_again(monkeypatch):
    """Guards against SHORT: the rest grows with the time of a freeze."""
    made = deployment.world(members=1)
    leader = made.leaders()[0]
    leader.processor.speed = SPEED
    real = reducer.place
    stood = []

    def place(state, now):
        real(state, now)
        if not stood:
            stood.append(now)
            leader.processor.charge(int(STOOD_S * SPEED))

    monkeypatch.setattr(reducer, "place", place)
    made.run(0.3 + STOOD_S)
    assert stood
    job = deployment.job(made, 1, STEP)
    made.submit(leader, job)
    made.run(1.0)
    assert job.id in made.rules.started_jobs
