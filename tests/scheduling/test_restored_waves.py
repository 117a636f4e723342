"""A wave that a new leader knows from its progress record only."""

import pytest

from azurewood.journal import pages
from standins.fleet import platform
from standins.fleet import world as worlds
from tests.scheduling import deployment

MACHINES = 4


def _cut_operators(monkeypatch):
    """Have the store answer no read of the operators' records."""
    for name in ("read", "newest"):
        _fail(monkeypatch, name)


def _fail(monkeypatch, name):
    original = getattr(platform.SimPlatform, name)

    def call(self, topic, *args, **kwargs):
        if topic is not pages.Topic.OPERATORS:
            return original(self, topic, *args, **kwargs)
        failed = pages.Failed(reason="the partition is down")
        return platform.SimCall(
            target=platform.STORE,
            act=lambda at: failed,
            timeout_s=platform.STORE_TIMEOUT_S,
            changes=False,
        )

    monkeypatch.setattr(platform.SimPlatform, name, call)


@pytest.fixture
def made():
    """Return a world with one daemon, so that no other one knows the wave."""
    made = worlds.World(seed=1, members=1, pools={"s-one": MACHINES})
    made.configure(deployment.CATALOG)
    made.run(4.0)
    return made


def _begin_wave(made):
    """Request a wave of all machines; run until the first is down."""
    made.request_wave(deployment.wave(1, *made.machines))
    end = made.clock.now + 10.0
    while not _ordered(made):
        assert made.clock.now < end
        made.run(0.01)


def _ordered(made):
    return made.upkeep_done.get(1, set())


def _reports(made):
    page = made.store.read(pages.Topic.REPORTS, 0)
    return [record.value for record in page.records]


def _restart(made):
    (member,) = made.members
    member.kill()
    member.start()


def test_a_wave_is_not_completed_by_its_progress_record(made, monkeypatch):
    """Guards against MIXED: a wave said to be completed that isn't."""
    _begin_wave(made)
    with monkeypatch.context() as patch:
        _cut_operators(patch)
        _restart(made)
        made.run(8.0)
        assert made.leaders()
        assert b"completed" not in _reports(made)
        assert len(_ordered(made)) == 1
    end = made.clock.now + 40.0
    while b"completed" not in _reports(made):
        assert made.clock.now < end
        made.run(0.1)
    assert _ordered(made) == set(made.machines)
    deployment.check(made)


def test_a_completed_wave_goes_on_if_machines_are_added(made):
    """Guards against MIXED: machines that a wave gets after its end."""
    first, *others = sorted(made.machines)
    made.request_wave(deployment.wave(1, first))
    made.run(10.0)
    assert _reports(made)[-1] == b"completed"
    made.request_wave(deployment.wave(1, first, *others))
    made.run(1.0)
    assert _reports(made)[-1] == b"running"
    made.run(30.0)
    assert _reports(made)[-1] == b"completed"
    assert _ordered(made) == set(made.machines)
