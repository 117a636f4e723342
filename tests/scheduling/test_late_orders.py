"""Orders to machines are sent soon after they are decided or not at all.

Machines do not check fences, so a late order of an earlier leader would
take effect. Each scenario runs as it is, and again with the mechanism
disabled, which must breach a rule.
"""

import dataclasses
import math

import pytest

from azurewood.http import sockets
from azurewood.jobs import model
from azurewood.platform import machines
from azurewood.scheduling import orders
from azurewood.scheduling import progress
from standins.fleet import members
from standins.fleet import platform
from tests.scheduling import deployment

MANY = model.Step(
    count=24, needs=model.Resources(1000, 500, 0), estimate_ms=300
)
LEADER_PATHS = frozenset({platform.STORE, platform.MACHINES})


def _intercept_calls(made, act):
    """Pass each sent call to ``act``, which may return a fault."""
    usual = made.fault_of
    made.fault_of = lambda call: act(call) or usual(call)


def _is_order(call):
    return call.target == platform.MACHINES and call.send_by < math.inf


def _world():
    made = deployment.world(**{"s-one": 2, "s-two": 2, "spare": 6})
    made.run(5.0)
    return made


def _submit_jobs(made, numbers, queue):
    """Submit jobs that need more hosts than a pool has."""
    up = next(m for m in made.members if m.up and not m.cut_from)
    for number in numbers:
        made.submit(up, deployment.job(made, number, MANY, queue=queue))


def _partition_leader_on_order(made, job, queue):
    """Partition a leader when it sends an order; heal after its successor's.

    Return how many orders the leader sent into the partition.
    """
    old = made.leaders()[0]
    sent = []

    def cut(call):
        if old.leads and _is_order(call):
            old.cut_from |= LEADER_PATHS
            sent.append(call)

    _intercept_calls(made, cut)
    _submit_jobs(made, (job,), queue)
    made.run(2.6)
    for turn in range(1, 5):
        _submit_jobs(made, (job + turn,), "two" if turn % 2 else "one")
        made.run(1.5)
    old.cut_from.clear()
    made.run(4.0)
    return len(sent)


def test_order_into_a_cut_does_not_arrive_after_a_successors():
    """Found on scale-2 of a grown site: a late order of an old leader."""
    made = _world()
    assert _partition_leader_on_order(made, 1, "one")
    assert _partition_leader_on_order(made, 11, "two")
    deployment.check(made)


def test_breaks_if_what_a_call_has_not_sent_is_not_dropped():
    made = _world()
    made.drops_unsent = False
    _partition_leader_on_order(made, 1, "one")
    with pytest.raises(AssertionError, match="an old order to a machine"):
        deployment.check(made)


def _run_until(made, condition):
    end = made.clock.now + 10.0
    while not condition():
        assert made.clock.now < end
        made.run(0.001)


def _stop_second_leader_soon(made):
    """Kill a leader when it sends orders; stop its successor soon after.

    Both have recorded orders. The third leader needs the same machines.
    """
    _submit_jobs(made, (1,), "one")
    _run_until(made, lambda: made.ordered)
    made.leaders()[0].kill()
    _run_until(made, made.leaders)
    second = made.leaders()[0]
    taken = dict(made.ordered)
    _submit_jobs(made, range(2, 6), "two")
    _run_until(made, lambda: made.ordered != taken)
    second.member.leave()
    made.run(8.0)


def test_orders_stay_on_record_under_a_leader_that_leads_briefly():
    """Found on scale-2 of a grown site: planned stop after a partition."""
    made = _world()
    _stop_second_leader_soon(made)
    deployment.check(made)


def test_breaks_if_a_record_has_only_a_leaders_own_orders(monkeypatch):
    real = orders.restore

    def broken(state, *args):
        real(state, *args)
        state.ordered_at.clear()

    monkeypatch.setattr(orders, "restore", broken)
    made = _world()
    _stop_second_leader_soon(made)
    with pytest.raises(AssertionError, match="leaders order in turns"):
        deployment.check(made)


def _delay_answer_to_record(made, monkeypatch, seconds):
    """Have the store accept a record of orders but answer seconds later.

    Meanwhile the leader plans more orders, and then it stops.
    """
    leader = made.leaders()[0]
    real = platform.SimPlatform.append
    calls = []

    def marked(self, topic, request, producer, *, part=0):
        call = real(self, topic, request, producer, part=part)
        keys = {record.key for record in request.records}
        if progress.ORDERS_KEY in keys or calls:
            calls.append(call)
        return call

    def lose(call):
        late = any(call is sent for sent in calls)
        return "lost" if late and made.clock.now < answered_at else ""

    monkeypatch.setattr(platform.SimPlatform, "append", marked)
    _intercept_calls(made, lose)
    answered_at = made.clock.now + seconds
    _submit_jobs(made, (1,), "one")
    _run_until(made, lambda: calls)
    made.run(seconds - 0.5)
    _submit_jobs(made, (2, 3), "one")
    _run_until(made, lambda: made.ordered)
    made.run(0.05)
    leader.member.leave()
    _submit_jobs(made, range(4, 10), "two")
    made.run(8.0)


def test_order_is_not_sent_long_after_its_record(monkeypatch):
    made = _world()
    _delay_answer_to_record(made, monkeypatch, 3.2)
    deployment.check(made)


def test_breaks_if_an_order_may_wait_for_its_record(monkeypatch):
    real = orders.issue

    def broken(state, *args):
        real(state, *args)
        order = dataclasses.replace(
            state.deferred_effects[-1], send_by=math.inf
        )
        state.deferred_effects[-1] = order

    monkeypatch.setattr(orders, "issue", broken)
    made = _world()
    _delay_answer_to_record(made, monkeypatch, 3.2)
    with pytest.raises(AssertionError, match="leaders order in turns"):
        deployment.check(made)


def test_an_orders_bytes_are_gone_before_a_successors_order():
    call_s = max(machines.CALL_TIMEOUT_MS, sockets.UNSENT_MS) / 1000
    pause_s = members.ORDER_PAUSE_S + orders.SEND_WITHIN_S
    assert orders.SEND_WITHIN_S + call_s < pause_s
    assert pause_s <= orders.RECORD_RETENTION_S
