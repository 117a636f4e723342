"""A state machine test of several daemons with a failing log and network."""

import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import records
from tests.agreement import world as worlds

ZONES = ("a", "a", "b", "b")
NAMES = tuple(f"d{number}" for number in range(len(ZONES)))
names = st.sampled_from(NAMES)
Resolution = effects.Resolution


class AgreementMachine(stateful.RuleBasedStateMachine):
    """Injects failures in any order, then ends them and compares states."""

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.world = worlds.World(seed=seed, zones=ZONES)
        self.world.run(2)
        self.tickets = []
        self.tickets.append(
            self.world.propose(
                "d0",
                records.FLEET,
                records.PublishFleet(fleet=worlds.FLEET),
            )
        )
        self.world.run(2)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 6.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @stateful.rule(
        name=names, preset=st.sampled_from(["ordinary", "peak", "nope"])
    )
    def use_preset(self, name, preset):
        self.tickets.append(
            self.world.propose(
                name, records.IN_FORCE, records.UsePreset(name=preset)
            )
        )

    @stateful.rule(
        name=names,
        host=st.sampled_from(["h1", "h2", "h3"]),
        pool=st.sampled_from(["one", "two"]),
    )
    def move(self, name, host, pool):
        if host not in self.world.nodes[name].state.agreed.hosts:
            return
        change = records.MoveHost(to_pool=pool, reason="t", drain_ms=1000)
        self.tickets.append(
            self.world.propose(name, records.host_object(host), change)
        )

    @stateful.rule(name=names, cut=st.booleans())
    def cut_from_log(self, name, cut):
        self.world.nodes[name].cut = cut

    @stateful.rule(first=names, second=names, apart=st.booleans())
    def partition(self, first, second, apart):
        ends = frozenset({first, second})
        (self.world.apart.add if apart else self.world.apart.discard)(ends)

    @stateful.rule(name=names, paused=st.booleans())
    def pause(self, name, paused):
        self.world.nodes[name].paused = paused

    @stateful.rule(down=st.booleans())
    def log_down(self, down):
        self.world.log.down = down

    @stateful.rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.world.log.lose_answers += count

    @stateful.rule(count=st.integers(1, 3))
    def defer_appends(self, count):
        self.world.log.defer_appends += count

    @stateful.rule()
    def deliver_late_appends(self):
        self.world.log.deliver_late(self.world.now)

    @stateful.rule(loss=st.sampled_from([0.0, 0.2, 0.6]))
    def lose_messages(self, loss):
        self.world.loss = loss

    @stateful.rule(name=names)
    def restart(self, name):
        zone = self.world.nodes[name].state.me.zone
        self.world.start(name, zone)

    @stateful.invariant()
    def same_place_same_state(self):
        for first, second in itertools.combinations(
            self.world.nodes.values(), 2
        ):
            one, two = first.state.agreed, second.state.agreed
            if (one.incarnation, one.offset) == (two.incarnation, two.offset):
                assert agreed_state.encode(one) == agreed_state.encode(two)

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.heal()
        self.world.run(15)
        self._check_converged()
        self._check_answers()

    def _check_converged(self):
        truth = agreed_state.encode(self.world.whole_fold())
        for name, node in self.world.nodes.items():
            assert agreed_state.encode(node.state.agreed) == truth, name

    def _check_answers(self):
        """Check each answer against the log, with late appends delivered."""
        self.world.log.deliver_late(self.world.now)
        truth = self.world.whole_fold()
        accepted = {
            key for key, verdict in truth.verdicts.items() if verdict.accepted
        }
        for answer in self.world.answers.values():
            for item in answer.resolved:
                match item.resolution:
                    case Resolution.ACCEPTED:
                        assert item.id in accepted
                    case Resolution.REJECTED | Resolution.NOT_ACCEPTED:
                        assert item.id not in accepted


AgreementMachine.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestAgreementMachine = AgreementMachine.TestCase
