"""Slots shared by reducers: never more in use than a worker has."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from azurewood.peers import messages
from azurewood.policy import slots as policy
from azurewood.state import events
from azurewood.state import lending
from azurewood.state import model
from tests.requests import reducers

SLOTS = 8
NAMES = ("e0", "e1", "e2")
ON_SLOTS = (
    messages.Borrow,
    messages.Lend,
    messages.GiveBack,
    messages.TakeOver,
    messages.SlotsFree,
)


class SharedSlots(stateful.RuleBasedStateMachine):
    """Slot messages are lost, late and reordered; heartbeats all arrive.

    Daemons are paused, killed and replaced. Requests end by their deadline.
    """

    def __init__(self):
        super().__init__()
        self.net = reducers.Net(configuration=reducers.fleet(hosts=2))
        self.count = 0
        for name in NAMES:
            self.net.add(name)
        self.net.run(2.0)

    def deliver_heartbeats(self):
        """Deliver all but slot messages, which the rules deliver."""
        kept, self.net.messages = self.net.messages, []
        for sender, address, message in kept:
            if isinstance(message, ON_SLOTS):
                self.net.messages.append((sender, address, message))
            elif address in self.net.nodes:
                self.net.step(
                    address,
                    events.MessageReceived(sender=sender, message=message),
                )

    @stateful.rule(
        name=strategies.sampled_from(NAMES), count=strategies.integers(1, 16)
    )
    def request(self, name, count):
        for _ in range(count):
            self.count += 1
            self.net.request(name, f"{name}-{self.count}")

    @stateful.rule(index=strategies.integers(0, 50))
    def deliver(self, index):
        self.net.deliver(index)

    @stateful.rule(index=strategies.integers(0, 50))
    def lose(self, index):
        self.net.drop(index)

    @stateful.rule(index=strategies.integers(0, 50))
    def duplicate(self, index):
        self.net.deliver(index, keep=True)

    @stateful.rule()
    def deliver_all(self):
        for _ in range(len(self.net.messages)):
            self.net.deliver()

    @stateful.rule(ticks=strategies.sampled_from((1, 3, 12, 30)))
    def time_passes(self, ticks):
        for _ in range(ticks):
            self.net.advance(0.1)
            self.net.tick()
            self.deliver_heartbeats()
            self.end_late()

    def end_late(self):
        """End requests past their deadline, also those of paused daemons."""
        for request_id, start in tuple(self.net.started.items()):
            if start.effect.deadline <= self.net.now:
                self.net.end(request_id, events.RequestResult.TIMED_OUT)

    @stateful.rule(
        name=strategies.sampled_from(NAMES), frozen=strategies.booleans()
    )
    def pause(self, name, frozen):
        self.net.nodes[name].frozen = frozen

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def replace(self, name):
        self.net.kill(name)
        self.net.add(name)

    @stateful.precondition(lambda self: self.net.started)
    @stateful.rule(data=strategies.data(), count=strategies.integers(1, 8))
    def workers_end(self, data, count):
        for _ in range(min(count, len(self.net.started))):
            request_id = data.draw(
                strategies.sampled_from(sorted(self.net.started))
            )
            self.net.end(request_id)

    @stateful.invariant()
    def within_the_workers_slots(self):
        for host in ("w0", "w1"):
            assert self.net.busy(host) <= SLOTS


SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_never_more_than_a_workers_slots():
    stateful.run_state_machine_as_test(SharedSlots, settings=SETTINGS)


def expect_violation():
    settings = hypothesis.settings(
        SETTINGS, phases=(hypothesis.Phase.generate,)
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(SharedSlots, settings=settings)


def test_slots_are_oversubscribed_without_settling(monkeypatch):
    monkeypatch.setattr(lending.slots, "start_settling", lambda *args: None)
    expect_violation()


def test_a_late_return_does_not_free_a_slot_lent_again():
    net = reducers.Net(configuration=reducers.fleet(hosts=1, slots=1))
    for name in NAMES[:2]:
        net.add(name)
    net.run(3.0)
    owner, borrower = sorted(
        net.nodes,
        key=lambda name: net.nodes[name].state.hosts["w0"].owned,
        reverse=True,
    )
    net.request(borrower, "first")
    net.run(0.2)
    net.end("first")
    late = []
    while not late:
        net.advance(0.1)
        net.tick()
        late = [m for m in net.messages if isinstance(m[2], messages.GiveBack)]
    net.settle()
    net.request(borrower, "second")
    net.run(0.2)
    assert net.started["second"].node == borrower
    net.messages = late
    net.deliver()
    net.request(owner, "third", deadline_s=2.0)
    net.run(0.5)
    assert net.busy("w0") == 1


def saturate(daemons, slot_policy, *, hosts=2, everywhere=True):
    """Return the share of busy slots when there are more requests."""
    net = reducers.Net(configuration=reducers.fleet(hosts=hosts))
    names = [f"e{n}" for n in range(daemons)]
    for name in names:
        policies = model.Policies(slots=slot_policy)
        net.add(name, policies=policies)
    net.run(3.0)
    asked = names if everywhere else names[:1]
    for name in asked:
        for number in range(3 * SLOTS * hosts):
            net.request(name, f"{name}-{number}", deadline_s=4.5)
    net.run(0.5)
    busy = [net.busy(f"w{n}") for n in range(hosts)]
    assert max(busy) <= SLOTS
    return sum(busy) / (SLOTS * hosts)


@pytest.mark.parametrize("daemons", [1, 2, 3, 9])
@pytest.mark.parametrize("everywhere", [True, False])
def test_all_slots_are_used_at_saturation(daemons, everywhere):
    share = saturate(daemons, policy.LentSlots(), everywhere=everywhere)
    assert share == 1.0


@pytest.mark.parametrize(
    ("daemons", "everywhere", "share"),
    [(2, True, 1.0), (2, False, 0.5), (3, True, 0.75), (9, True, 0.0)],
)
def test_a_fixed_share_leaves_slots_unused(daemons, everywhere, share):
    baseline = saturate(daemons, policy.FixedShare(), everywhere=everywhere)
    assert baseline == share


def two_zones():
    net = reducers.Net(configuration=reducers.fleet(hosts=4, zones=2))
    for number in range(4):
        net.add(f"e{number}", zone=f"z{number % 2}")
    net.run(3.0)
    return net


def test_slots_of_the_own_zone_are_used_first():
    net = two_zones()
    near = {"w0", "w2"}
    for number in range(16):
        net.request("e0", f"near-{number}")
    net.run(0.5)
    assert {s.effect.host for s in net.started.values()} == near
    assert len(net.started) == 16
    for number in range(16):
        net.request("e0", f"far-{number}")
    net.run(1.0)
    assert len(net.started) == 32
    assert all(net.busy(f"w{n}") == SLOTS for n in range(4))


def test_idle_borrowed_slots_go_back():
    net = two_zones()
    for number in range(16):
        net.request("e0", f"r-{number}")
    net.run(0.5)
    for request_id in tuple(net.started):
        net.end(request_id)
    net.run(1.0)
    for node in net.nodes.values():
        for host in node.state.hosts.values():
            assert not host.lent
            assert not host.borrowed


def test_a_dead_daemons_slots_are_used_after_they_settled():
    net = reducers.Net(configuration=reducers.fleet(hosts=1))
    for name in NAMES[:2]:
        net.add(name)
    net.run(3.0)
    net.nodes["e0"].frozen = True
    for number in range(SLOTS):
        net.request("e1", f"r-{number}", deadline_s=20.0)
    net.run(2.0)
    before = net.busy("w0")
    assert before < SLOTS
    net.run(10.0)
    assert net.busy("w0") == SLOTS


def pair_on_one_host(*, second=True):
    net = reducers.Net(configuration=reducers.fleet(hosts=1))
    net.add("e0")
    if second:
        net.add("e1")
    net.run(3.0)
    return net


def test_a_joining_daemon_waits_for_requests_in_flight():
    net = pair_on_one_host(second=False)
    for number in range(SLOTS):
        net.request("e0", f"old-{number}")
    assert net.busy("w0") == SLOTS
    net.add("e1")
    net.run(2.0)
    for number in range(SLOTS):
        net.request("e1", f"new-{number}")
    net.run(0.5)
    assert net.busy("w0") == SLOTS
    for number in range(SLOTS):
        net.end(f"old-{number}")
    net.run(0.5)
    assert net.busy("w0") == SLOTS


def test_a_resumed_daemon_settles_all_its_slots():
    net = pair_on_one_host()
    net.nodes["e0"].frozen = True
    net.run(12.0)
    for number in range(SLOTS):
        net.request("e1", f"new-{number}", deadline_s=30.0)
    assert net.busy("w0") == SLOTS
    net.nodes["e0"].frozen = False
    for number in range(SLOTS):
        net.request("e0", f"old-{number}", deadline_s=30.0)
    assert net.busy("w0") == SLOTS
    net.run(3.0)
    assert net.busy("w0") == SLOTS


def test_a_borrowed_slots_deadline_counts_from_when_it_was_asked():
    net = pair_on_one_host()
    for number in range(SLOTS):
        net.request("e0", f"r-{number}", deadline_s=20.0)
    own = len(net.started)
    asked_at = net.now
    borrow = next(m for m in net.messages if isinstance(m[2], messages.Borrow))
    net.messages = [borrow]
    net.deliver()
    lend = next(m for m in net.messages if isinstance(m[2], messages.Lend))
    net.messages = []
    # The loan arrives shortly before its end and no request is queued.
    for number in range(SLOTS):
        net.step("e0", events.RequestAbandoned(id=f"r-{number}"))
    net.now = asked_at + 0.9
    net.tick()
    net.messages = [lend]
    net.deliver()
    assert net.nodes["e0"].state.hosts["w0"].borrowed
    net.now = asked_at + 1.1
    net.request("e0", "late")
    assert len(net.started) == own
