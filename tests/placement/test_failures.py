"""Tests of failing jobs and hosts, expired leases and removed hosts."""

import collections

import pytest

from azurewood.policy import placement
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import jobs
from azurewood.state import records
from azurewood.state import views
from tests.moves import deployment
from tests.moves import test_moves_machine as machines

HOSTS = {f"h{n}": "quoting" for n in range(1, 7)}
BASELINE = placement.RetryPlacement()


class World(machines.MovesMachine):
    """Daemons with hosts, some of which fail every job they start."""

    def __init__(self, policy):
        super().__init__()
        self.policy = policy
        self.bad = set()
        self.reports = []
        self.starts = collections.Counter()

    def run_rounds(self, rounds):
        """Run all daemons for a number of rounds."""
        for daemon in self.daemons.values():
            daemon.state.steward.placement_policy = self.policy
        for _ in range(rounds):
            self.run(names=machines.NAMES)

    def execute_effect(self, daemon, effect, lost):
        if isinstance(effect, effects.Report):
            self.reports.append(effect.name)
        if isinstance(effect, effects.StartTask):
            self.starts[effect.host] += effect.id not in self.tasks
        super().execute_effect(daemon, effect, lost)

    def start_jobs(self):
        for task in self.tasks.values():
            if task.state == "pending":
                is_bad = task.host in self.bad
                task.state = "failed" if is_bad else "running"

    def end_jobs(self, hosts, state):
        """End the running jobs of some hosts at the same time."""
        for task in self.tasks.values():
            if task.host in hosts and task.state == "running":
                task.state = state

    def host(self, name):
        return self.daemons["a"].state.agreed.hosts[name]

    def phases(self):
        return collections.Counter(self.host(name).phase for name in HOSTS)


@pytest.fixture
def make_world(monkeypatch):
    addresses = {name: f"127.1.1.{n}" for n, name in enumerate(HOSTS, 1)}
    fleet = deployment.make_fleet(HOSTS, addresses, {"quoting": 1001})
    monkeypatch.setattr(machines, "HOSTS", HOSTS)
    monkeypatch.setattr(machines, "FLEET", fleet)

    def make(policy=None):
        world = World(policy or placement.BlamePlacement())
        world.publish()
        world.run_rounds(1)
        assert world.phases()["serving"] == len(HOSTS)
        return world

    return make


def test_a_host_that_fails_every_job_is_quarantined(make_world):
    world = make_world()
    world.bad = {"h1"}
    world.end_jobs({"h1"}, "failed")
    world.run_rounds(3)
    assert world.host("h1").phase == "quarantined"
    assert world.starts["h1"] <= 1 + world.policy.host_failures
    assert world.phases()["serving"] == len(HOSTS) - 1


def test_baseline_placement_keeps_starting_on_a_bad_host(make_world):
    world = make_world(BASELINE)
    world.bad = {"h1"}
    world.end_jobs({"h1"}, "failed")
    world.run_rounds(3)
    assert world.host("h1").phase != "quarantined"
    assert world.starts["h1"] > 1 + placement.BlamePlacement().host_failures


def test_a_quarantined_host_serves_again_when_it_is_returned(make_world):
    world = make_world()
    world.bad = {"h1"}
    world.end_jobs({"h1"}, "failed")
    world.run_rounds(3)
    world.bad.clear()
    revision = world.host("h1").revision
    change = records.ReturnHost(reason="repaired")
    world.append("host:h1", revision, change, writer="operator")
    world.run_rounds(2)
    assert world.host("h1").phase == "serving"


def test_a_job_that_fails_everywhere_backs_off_and_is_reported(make_world):
    world = make_world()
    world.bad = set(HOSTS)
    world.end_jobs(HOSTS, "failed")
    world.run_rounds(8)
    assert world.phases()["quarantined"] == 0
    assert "job_failing" in world.reports
    before = sum(world.starts.values())
    world.run_rounds(2)
    baseline = make_world(BASELINE)
    baseline.bad = set(HOSTS)
    baseline.end_jobs(HOSTS, "failed")
    baseline.run_rounds(10)
    assert sum(world.starts.values()) - before <= len(HOSTS)
    assert sum(baseline.starts.values()) > 2 * sum(world.starts.values())


def test_a_job_with_an_expired_lease_restarts_once_it_has_stopped(make_world):
    world = make_world()
    old = world.host("h1").task
    world.end_jobs({"h1"}, "stopping")
    world.finish_stops = lambda: None
    world.run_rounds(1)
    assert world.host("h1").task == old
    assert not world.daemons["a"].state.hosts["h1"].usable
    world.tasks[old].state = "stopped"
    world.run_rounds(1)
    assert world.host("h1").task != old
    assert world.host("h1").phase == "serving"
    assert world.host("h1").failures == 0


def test_jobs_cancelled_together_are_all_restarted(make_world):
    world = make_world()
    world.end_jobs(HOSTS, "stopped")
    world.run_rounds(2)
    assert world.phases()["serving"] == len(HOSTS)
    assert set(world.starts.values()) == {2}


def test_concurrent_calls_are_limited(make_world, monkeypatch):
    monkeypatch.setattr(jobs, "MAX_CONCURRENT_STARTS", 1)
    world = make_world()
    world.end_jobs(HOSTS, "stopped")
    for _ in range(6):
        for name in machines.NAMES:
            world.read_log(name)
            world.list_tasks(name)
            world.tick(name)
            daemon = world.daemons[name]
            starts = [
                effect
                for effect in daemon.pending_effects
                if isinstance(effect, effects.StartTask)
            ]
            assert len(starts) <= 1
            calls = [e for e in daemon.pending_effects if e not in starts]
            daemon.pending_effects = calls
            world.execute_effects(name)
            daemon.pending_effects += starts


def test_a_host_that_is_gone_stays_in_its_pool_as_lost_capacity(make_world):
    world = make_world()
    daemon = world.daemons["a"]
    listed = [events.ListedHost(name=name, state=views.LIVE) for name in HOSTS]
    listed[0] = events.ListedHost(name="h1", state="gone")
    task = world.host("h1").task
    world.tasks[task].state = events.LOST
    daemon.step(events.HostsListed(version=2, hosts=tuple(listed)), 99.0)
    world.now = 99.0
    world.run_rounds(1)
    assert world.host("h1").pool == "quoting"
    assert world.host("h1").task == task
    assert not daemon.state.hosts["h1"].usable
