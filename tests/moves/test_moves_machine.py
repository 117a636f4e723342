"""Moves seen by several daemons under loss, delay, repetition and pauses.

The daemons run the real reducer. The log, the task service and the network
between the daemons are simulated with lists and dicts.
"""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azurewood.policy import placement
from azurewood.state import duties
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import host_owners
from azurewood.state import model
from azurewood.state import records
from azurewood.state import reducer
from azurewood.state import views
from tests.moves import deployment

HOSTS = {"h1": "quoting", "h2": "quoting", "h3": "certs"}
FLEET = deployment.make_fleet(
    HOSTS,
    {name: f"127.1.1.{n}" for n, name in enumerate(HOSTS, 1)},
    {"quoting": 1001, "certs": 1002},
)
NAMES = ("a", "b", "c")
OPEN = ("pending", "running", "stopping")
STEP_S = 0.3


@dataclasses.dataclass(kw_only=True)
class Task:
    host: str
    service: str
    state: str = "pending"


class Daemon:
    """A reducer state and its effects that are not executed yet."""

    def __init__(self, name, hand_over):
        self.state = model.State(
            me=model.Identity(
                name=name, zone=deployment.ZONE, address=name, boot=ord(name)
            ),
            rng=random.Random(name),
            steward=duties.HostDuties(hand_over=hand_over),
            seeds=NAMES,
        )
        self.pending_effects = []

    def step(self, event, now):
        self.pending_effects += reducer.step(self.state, event, now)


def view_of(state):
    """Return the parts of a state that decide where requests are sent."""
    return [
        (host.name, host.service, host.usable, sorted(host.idle))
        for host in state.hosts.values()
    ] + [
        (sorted(view.near.names), sorted(view.far.names))
        for view in state.services.values()
    ]


class MovesMachine(stateful.RuleBasedStateMachine):
    hand_over = placement.AfterStop()

    @stateful.initialize()
    def publish(self):
        self.now = 1.0
        self.log = []
        self.tasks = {}
        self.daemons = {n: Daemon(n, self.hand_over) for n in NAMES}
        change = records.PublishFleet(fleet=FLEET)
        self.append(records.FLEET, 0, change, writer="operator")
        self.run(names=NAMES)

    @stateful.rule(
        names=st.lists(st.sampled_from(NAMES), unique=True, min_size=1)
    )
    def run(self, names):
        """Let some daemons run for a while; the others are paused."""
        for number in range(9):
            for name in names:
                self.tick(name)
                self.execute_effects(name)
                self.read_log(name)
                self.list_tasks(name)
                self.one_job_on_a_host()
            self.start_jobs()
            if number % 4 == 3:
                self.finish_stops()

    def append(self, name, base, change, *, writer):
        proposal = records.Proposal(object=name, base=base, change=change)
        record = records.Proposals(
            writer=f"{writer}@{len(self.log)}",
            sequence=1,
            proposals=(proposal,),
        )
        self.log.append(records.encode(record))

    @stateful.rule(name=st.sampled_from(NAMES))
    def tick(self, name):
        self.now += STEP_S
        self.daemons[name].step(events.Tick(), self.now)

    @stateful.rule(name=st.sampled_from(NAMES), limit=st.integers(1, 9))
    def read_log(self, name, limit=99):
        daemon = self.daemons[name]
        first = daemon.state.agreed.offset
        stored = tuple(
            events.StoredRecord(
                offset=offset, at_ms=int(self.now * 1000), data=data
            )
            for offset, data in enumerate(self.log)
        )[first : first + limit]
        read = events.RecordsRead(
            incarnation="one",
            first=0,
            next=len(self.log),
            records=stored,
        )
        daemon.step(read, self.now)

    @stateful.rule(name=st.sampled_from(NAMES))
    def list_tasks(self, name):
        listed = tuple(
            events.ListedTask(
                id=key, host=t.host, service=t.service, state=t.state
            )
            for key, t in self.tasks.items()
        )
        listing = events.TasksListed(version=1, tasks=listed)
        self.daemons[name].step(listing, self.now)

    @stateful.rule(
        name=st.sampled_from(NAMES),
        lost=st.booleans(),
        twice=st.booleans(),
    )
    def execute_effects(self, name, lost=False, twice=False):
        """Execute all pending effects, also old ones; lose or repeat some."""
        daemon = self.daemons[name]
        wanted, daemon.pending_effects = daemon.pending_effects, []
        for effect in wanted * (2 if twice else 1):
            self.execute_effect(daemon, effect, lost)

    def execute_effect(self, daemon, effect, lost):
        match effect:
            case effects.SendPeer(address=address, message=message):
                if not lost and address in self.daemons:
                    said = events.MessageReceived(
                        sender=daemon.state.me.name, message=message
                    )
                    self.daemons[address].step(said, self.now)
            case effects.AppendRecord(sequence=sequence, data=data):
                self.log.append(data)
                outcome = events.AppendOutcome.DONE
                if lost:
                    outcome = events.AppendOutcome.UNKNOWN
                ended = events.AppendEnded(sequence=sequence, outcome=outcome)
                daemon.step(ended, self.now)
            case effects.StartTask():
                fresh = Task(host=effect.host, service=effect.service)
                self.tasks.setdefault(effect.id, fresh)
                self.answer(daemon, events.TaskAction.START, effect.id, lost)
            case effects.StopTask():
                if self.tasks[effect.id].state in ("pending", "running"):
                    self.tasks[effect.id].state = "stopping"
                self.answer(daemon, events.TaskAction.STOP, effect.id, lost)

    def answer(self, daemon, action, task, lost):
        ended = events.TaskCallEnded(
            action=action,
            subject=task,
            done=not lost,
            state="" if lost else self.tasks[task].state,
        )
        daemon.step(ended, self.now)

    @stateful.rule()
    def start_jobs(self):
        for task in self.tasks.values():
            if task.state == "pending":
                task.state = "running"

    @stateful.rule()
    def finish_stops(self):
        for task in self.tasks.values():
            if task.state == "stopping":
                task.state = "stopped"

    @stateful.rule(host=st.sampled_from(sorted(HOSTS)))
    def expire_lease(self, host):
        """Expire the lease of a host, as if its holder were paused."""
        for task in self.tasks.values():
            if task.host == host and task.state == "running":
                task.state = "stopping"

    @stateful.rule(
        name=st.sampled_from(NAMES),
        host=st.sampled_from(sorted(HOSTS)),
        pool=st.sampled_from(["quoting", "certs"]),
    )
    def move(self, name, host, pool):
        """Propose a move based on one daemon's view, which may be stale."""
        known = self.daemons[name].state.agreed.hosts.get(host)
        if known is not None:
            change = records.MoveHost(to_pool=pool, reason="", drain_ms=600)
            self.append(
                records.host_object(host),
                known.revision,
                change,
                writer=name,
            )

    @stateful.rule(host=st.sampled_from(sorted(HOSTS)))
    def race(self, host):
        """Propose two moves on one revision; exactly one is accepted."""
        for name in NAMES:
            self.read_log(name)
        known = self.daemons["a"].state.agreed.hosts[host]
        if known.phase != "serving":
            return
        other = {"quoting": "certs", "certs": "quoting"}[known.pool]
        before = len(self.log)
        self.move("a", host, other)
        self.move("b", host, other)
        self.read_log("c")
        agreed = self.daemons["c"].state.agreed
        assert agreed.offset == before + 2
        assert agreed.hosts[host].revision == agreed.revision
        assert agreed.revision == self.daemons["a"].state.agreed.revision + 1

    @stateful.rule(name=st.sampled_from(NAMES))
    def view_equals_a_full_refresh(self, name):
        state = self.daemons[name].state
        kept = view_of(state)
        state.view_revision = -1
        state.view_basis = ""
        views.refresh(state, self.now)
        assert view_of(state) == kept

    @stateful.invariant()
    def one_job_on_a_host(self):
        for host in HOSTS:
            open_jobs = [
                task
                for task in self.tasks.values()
                if task.host == host and task.state in OPEN
            ]
            assert len(open_jobs) <= 1, (host, open_jobs)

    @stateful.invariant()
    def same_offset_gives_same_pools(self):
        seen = {}
        for daemon in self.daemons.values():
            agreed = daemon.state.agreed
            pools = {h.name: (h.pool, h.phase) for h in agreed.hosts.values()}
            assert seen.setdefault(agreed.offset, pools) == pools


class BaselineMachine(MovesMachine):
    hand_over = placement.AtOnce()


SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    phases=(hypothesis.Phase.generate,),
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_host_never_has_two_pools_or_two_jobs():
    stateful.run_state_machine_as_test(MovesMachine, settings=SETTINGS)


def test_late_start_of_a_job_that_was_moved_away():
    """The owner of a host is paused before a start and resumes after a move.

    Its start of the old job must not put a second job on the host.
    """
    machine = MovesMachine()
    machine.publish()
    daemons = machine.daemons
    known = daemons["a"].state.agreed.hosts["h1"]
    machine.tasks[known.task].state = "stopped"
    change = records.RestartJob(reason="test", failed=False)
    machine.append("host:h1", known.revision, change, writer="operator")
    paused = host_owners.owner_of(daemons["a"].state, "h1")
    machine.read_log(paused)
    starts = [type(effect) for effect in daemons[paused].pending_effects]
    assert effects.StartTask in starts
    others = [name for name in NAMES if name != paused]
    machine.read_log(others[0])
    machine.move(others[0], "h1", "certs")
    machine.run(names=others)
    machine.execute_effects(paused)
    machine.start_jobs()
    machine.one_job_on_a_host()
    assert daemons[others[0]].state.agreed.hosts["h1"].pool == "certs"


def test_baseline_hand_over_puts_two_jobs_on_a_host():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(BaselineMachine, settings=SETTINGS)
