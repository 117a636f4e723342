"""Machines whose hosts are back under their id after an order."""

import dataclasses
import math

import pytest

from azurewood.jobs import model
from azurewood.policy import pool_sizes
from azurewood.scheduling import host_ends
from azurewood.scheduling import machine_orders
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import pools
from standins.fleet import world as worlds
from tests.scheduling import deployment

ONE = model.Step(count=1, needs=model.Resources(1000, 500, 0), estimate_ms=900)
RUN_S = 20.0


def _world(**counts):
    made = deployment.world(**counts)
    made.keep_ids = True
    made.run_duration_s = lambda task, step: RUN_S
    return made


def _submit(made, queue, jobs):
    """Submit a job each half second."""
    for number in range(1, jobs + 1):
        made.run(0.5)
        member = next(member for member in made.members if member.up)
        job = deployment.job(made, number, ONE, queue=queue)
        made.submit(member, job)


def _maintain_under_two_leaders(monkeypatch):
    """Kill the leader before it knows that its order is done.

    Return the machine's host.
    """
    ordered = []
    usual = worlds.World.order

    def order(self, effect, fence):
        ordered.append(effect)
        return usual(self, effect, fence)

    monkeypatch.setattr(worlds.World, "order", order)
    made = _world(**{"s-one": 2})
    name = min(made.machines)
    host = made.hosts[made.machines[name].host]
    made.request_wave(deployment.wave(1, name))
    while not ordered:
        made.run(0.0005)
    made.leaders()[0].kill()
    _submit(made, "one", 8)
    made.run(10.0)
    assert len(ordered) == 2
    deployment.check(made)
    return host


def _place_on_ordered_hosts(monkeypatch):
    """Have hosts take tasks while an order may end them."""
    monkeypatch.setattr(
        scheduling.State, "is_ordered_away", lambda state, host: False
    )


def test_a_repeated_maintenance_order_ends_no_run_of_a_host_that_is_back(
    monkeypatch,
):
    host = _maintain_under_two_leaders(monkeypatch)
    assert host.runs


def test_it_ends_none_either_if_tasks_are_placed_before_its_answer(
    monkeypatch,
):
    _place_on_ordered_hosts(monkeypatch)
    assert _maintain_under_two_leaders(monkeypatch).runs


def test_runs_twice_if_its_incarnation_is_not_on_record(monkeypatch):
    usual = host_ends.end

    def broken(state, host, proof, now):
        if isinstance(proof, host_ends.Maintained):
            proof = dataclasses.replace(proof, last_incarnation_ms=math.inf)
        usual(state, host, proof, now)

    _place_on_ordered_hosts(monkeypatch)
    monkeypatch.setattr(host_ends, "end", broken)
    with pytest.raises(AssertionError, match="twice"):
        _maintain_under_two_leaders(monkeypatch)


def _move():
    """Move a machine whose host is back under its id; return the host."""
    made = _world(**{"s-one": 2})
    state = made.leaders()[0].member.term.state
    name = min(made.machines)
    host = made.hosts[made.machines[name].host]
    move = pool_sizes.Move(machine=name, pool="s-two", reason="test")
    pools._order(state, move, made.clock.now)
    _submit(made, "two", 8)
    made.run(10.0)
    deployment.check(made)
    return host


def test_a_move_ends_no_run_of_a_host_that_is_back():
    assert _move().runs


def test_it_ends_none_either_if_tasks_are_placed_before_it_is_over(
    monkeypatch,
):
    _place_on_ordered_hosts(monkeypatch)
    assert _move().runs


def test_runs_twice_if_a_move_ends_every_incarnation(monkeypatch):
    usual = machine_orders.MachineMove

    def broken(*, incarnation_ms, **options):
        return usual(**options)

    _place_on_ordered_hosts(monkeypatch)
    monkeypatch.setattr(machine_orders, "MachineMove", broken)
    with pytest.raises(AssertionError, match="twice"):
        _move()
