"""Maintenance waves driven by several daemons: budgets and races."""

import pytest

from azurewood.fleet import model
from azurewood.policy import maintenance
from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import fold
from azurewood.state import records
from tests.moves import deployment
from tests.moves import test_moves_machine as machines

HOSTS = {f"h{n}": "quoting" for n in range(1, 5)}
WINDOW_S = 60
LIST_LAG_S = 1.0
RULES = model.Maintenance(at_once=1, min_budget=0.5, spare_share=0.0)


def make_fleet():
    addresses = {name: f"127.1.1.{n}" for n, name in enumerate(HOSTS, 1)}
    preset = model.Preset(name="ordinary", maintenance=RULES)
    fleet = deployment.make_fleet(HOSTS, addresses, {"quoting": 1}, preset)
    fleet.services[0].window_s = WINDOW_S
    return fleet


class World(machines.MovesMachine):
    """Daemons of a fleet whose hosts reboot without delay."""

    most_out = 0

    def execute_effect(self, daemon, effect, lost):
        super().execute_effect(daemon, effect, lost)
        if not isinstance(effect, effects.RebootHost):
            return
        for version, shown in enumerate(("gone", "live"), 1):
            listed = tuple(
                events.ListedHost(
                    name=name, state=shown if name == effect.host else "live"
                )
                for name in HOSTS
            )
            listing = events.HostsListed(version=version, hosts=listed)
            daemon.step(listing, self.now)

    def run_rounds(self, rounds):
        for _ in range(rounds):
            self.run(names=machines.NAMES)

    def one_job_on_a_host(self):
        """Also record the most hosts that were in the wave at one time."""
        super().one_job_on_a_host()
        hosts = self.daemons["a"].state.agreed.hosts.values()
        out = sum(bool(host.wave) for host in hosts)
        self.most_out = max(self.most_out, out)

    @property
    def wave(self):
        return self.daemons["a"].state.agreed.waves["w1"]


@pytest.fixture
def world_of(monkeypatch):
    """Return a function that makes a world in which a wave has begun."""
    monkeypatch.setattr(machines, "HOSTS", HOSTS)
    monkeypatch.setattr(machines, "FLEET", make_fleet())

    def make(kind):
        found = kind()
        found.publish()
        found.run_rounds(2)
        change = records.StartWave(hosts=tuple(HOSTS))
        found.append("wave:w1", 0, change, writer="operator")
        return found

    return make


@pytest.fixture
def world(world_of):
    return world_of(World)


def spend_budget(world):
    """Spend the budget with bad answers that one daemon reports."""
    count = world.daemons["b"].state.services["quoting"].count
    count.good += 100
    count.bad += 50


def test_wave_maintains_one_host_at_a_time(world):
    world.run_rounds(20)
    assert world.wave.phase == "done"
    assert sorted(world.wave.done) == sorted(HOSTS)
    assert world.most_out == 1


def test_wave_pauses_while_the_budget_is_spent_and_resumes(world):
    spend_budget(world)
    world.run_rounds(3)
    assert world.wave.phase == "paused"
    assert maintenance.Hold.BUDGET in world.wave.reason
    assert world.wave.done == []
    world.now += 2 * WINDOW_S
    world.run_rounds(25)
    assert world.wave.phase == "done"


def test_baseline_wave_continues_with_a_spent_budget(world):
    for daemon in world.daemons.values():
        daemon.state.budgets.wave_policy = maintenance.AllAtOnce()
    spend_budget(world)
    world.run_rounds(6)
    assert world.wave.phase == "running"
    assert world.wave.done


def test_pause_by_an_operator_is_not_ended_by_the_wave_policy(world):
    world.run_rounds(1)
    change = records.PauseWave(reason="paused by an operator")
    world.append("wave:w1", world.wave.revision, change, writer="operator")
    world.run_rounds(10)
    assert world.wave.phase == "paused"


def test_racing_drivers_take_no_more_hosts_than_allowed():
    state = agreed_state.Agreed()
    apply(state, "fleet", records.PublishFleet(fleet=make_fleet()))
    apply(state, "wave:w1", records.StartWave(hosts=tuple(HOSTS)))
    for name in HOSTS:
        state.hosts[name].phase = agreed_state.HostPhase.SERVING
    change = records.DrainHost(reason="", drain_ms=1, wave="w1")
    verdicts = [
        apply(state, f"host:{name}", change, base=state.hosts[name].revision)
        for name in HOSTS
    ]
    assert [v.accepted for v in verdicts] == [True, False, False, False]


def apply(state, name, change, *, base=0):
    proposal = records.Proposal(object=name, base=base, change=change)
    record = records.Proposals(
        writer=f"w{state.offset}", sequence=1, proposals=(proposal,)
    )
    return fold.apply(state, offset=state.offset, at_ms=1, record=record)[0]


class _LostReboots(World):
    """The answer to a reboot is lost; the host list shows it a second late."""

    def __init__(self):
        super().__init__()
        self.reboots = []
        self.unseen = []

    def execute_effect(self, daemon, effect, lost):
        if not isinstance(effect, effects.RebootHost):
            machines.MovesMachine.execute_effect(self, daemon, effect, lost)
            return
        self.reboots.append(effect.host)
        self.unseen.append((self.now + LIST_LAG_S, daemon, effect))
        ended = events.TaskCallEnded(
            action=events.TaskAction.REBOOT,
            subject=effect.host,
            done=False,
            state="",
        )
        daemon.step(ended, self.now)

    def tick(self, name):
        super().tick(name)
        due = [item for item in self.unseen if item[0] <= self.now]
        self.unseen = [item for item in self.unseen if item not in due]
        for _, daemon, effect in due:
            World.execute_effect(self, daemon, effect, lost=False)


def test_a_reboot_whose_answer_is_lost_is_ordered_once(world_of):
    """A second one may end what runs on the host by then."""
    found = world_of(_LostReboots)
    found.run_rounds(20)
    assert found.wave.phase == "done"
    assert sorted(found.reboots) == sorted(HOSTS)
