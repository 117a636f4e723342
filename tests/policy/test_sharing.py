"""Background tasks beside tasks that serve users."""

from azurewood.jobs import model
from azurewood.policy import sharing
from azurewood.scheduling import model as scheduling

SERVING = model.Step(count=1, lasting=True, latency_target_ms=100)
FILLING = model.Step(count=1, background=True)


def _host():
    host = scheduling.Host(id="h", leases_expire_at=0.0)
    for number, step in enumerate((SERVING, FILLING)):
        task = model.TaskId("j", 0, number, 0)
        run = scheduling.Run(task=task, run=1, step=step, now=0.0)
        run.phase = scheduling.RunPhase.RUNNING
        host.add(run)
    return host


def _play(paced, seconds=30.0):
    """Return how long the tail was over its target, and the work done."""
    host = _host()
    serving, filling = host.runs.values()
    over = work = longest = now = 0.0
    while now < seconds:
        now += 0.1
        # Beside a full background the tail is twice its target.
        disturbed = 8.0 < now < 20.0
        serving.measure = 40 + (1.6 * filling.speed if disturbed else 0)
        over = over + 0.1 if serving.measure > 100 else 0.0
        longest = max(longest, over)
        work += filling.speed / 1000
        if paced:
            for run, speed in sharing.paces(host, now):
                run.speed = speed
                run.speed_changed_at = now
    return longest, work


def test_a_tail_is_over_its_target_for_less_than_counts_as_harm():
    harmed, _ = _play(paced=False)
    longest, work = _play(paced=True)
    assert harmed > 4.0
    assert longest < 2.0
    assert work > 15.0


def test_background_alone_is_not_slowed():
    host = _host()
    serving = next(iter(host.runs.values()))
    host.remove(serving)
    assert list(sharing.paces(host, 99.0)) == []
