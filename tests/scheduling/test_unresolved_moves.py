"""Moves of machines whose orders may have been carried out.

A host that is taken for staying would get tasks, which end with it.
"""

import dataclasses

import pytest

from azurewood.scheduling import messages
from azurewood.scheduling import pools
from tests.scheduling import deployment

RESULT = messages.OrderResult
OPEN_RESULTS = (RESULT.UNKNOWN, RESULT.BUSY)
LATE_S = 10.0
"""Time after which a move used to have failed, whatever the list said."""


class _Move:
    """A machine that is moved to another pool by a leader, and its host."""

    def __init__(self):
        self.made = deployment.world()
        self.term = self.made.leaders()[0].member.term
        self.state = self.term.state
        self.began_at = self.made.clock.now
        self.entry = next(
            entry
            for entry in self.state.machines.values()
            if entry.pool == "s-one"
        )
        self.host = self.state.hosts[self.entry.host]
        move = pools.pool_sizes.Move(
            machine=self.entry.name, pool="s-two", reason="test"
        )
        pools._order(self.state, move, self.began_at)

    @property
    def kept(self):
        """Whether the host counts as one that is being moved."""
        return self.host.leaving and self.entry.name in self.state.moving

    def answer(self, *results):
        order = messages.MoveMachine(machine=self.entry.name, pool="s-two")
        for result in results:
            event = messages.OrderAnswered(order=order, result=result)
            self.term.handle_event(event)

    def list(self, after_s, **changed):
        entry = dataclasses.replace(self.entry, **changed)
        self.state.machines[entry.name] = entry
        self.state.machines_at = self.began_at + after_s
        pools.handle_list(self.state, self.state.machines_at)


@pytest.mark.parametrize("later", (RESULT.BUSY, RESULT.NOT_DONE))
def test_a_move_that_may_be_done_is_not_ended_by_a_later_answer(later):
    move = _Move()
    move.answer(RESULT.UNKNOWN, later)
    assert move.kept


def test_a_busy_machine_may_be_moved_by_an_earlier_order():
    move = _Move()
    move.answer(RESULT.BUSY)
    move.list(0.5)
    assert move.kept


@pytest.mark.parametrize("result", OPEN_RESULTS)
def test_a_machine_that_is_still_moving_does_not_stay(result):
    move = _Move()
    move.answer(result)
    move.list(LATE_S, state=messages.MachineState.MOVING)
    assert move.kept


def test_no_list_refutes_a_move_whose_call_is_open():
    move = _Move()
    move.list(LATE_S)
    assert move.kept


def test_a_list_that_began_before_a_move_can_fail_does_not_refute_it():
    move = _Move()
    move.answer(RESULT.UNKNOWN)
    move.state.machines_at = move.began_at + 0.5
    pools.handle_list(move.state, move.began_at + LATE_S)
    assert move.kept


@pytest.mark.parametrize("result", OPEN_RESULTS)
def test_a_machine_that_is_listed_as_before_stays(result):
    move = _Move()
    move.answer(result)
    move.list(LATE_S)
    assert not move.host.leaving
    assert not move.state.moving


@pytest.mark.parametrize("host", ("another", None))
def test_an_unanswered_move_that_is_listed_ends_the_host(host):
    move = _Move()
    move.answer(RESULT.UNKNOWN)
    move.list(LATE_S, pool="s-two", host=host or move.entry.host)
    assert not move.host.present
    assert not move.state.moving
