"""Answers to orders and to requests for advice overtake each other."""

import pytest

from azurewood.jobs import model as jobs
from azurewood.journal import pages
from azurewood.scheduling import advice_queue
from azurewood.scheduling import machine_orders
from azurewood.scheduling import messages
from tests.scheduling import deployment

MANY = jobs.Step(
    count=90, needs=jobs.Resources(4000, 500, 0), estimate_ms=1000
)
"""Tasks for all hosts for longer than two waves take."""


def _play_two_waves():
    """Play two waves with the same machines while all hosts are in use.

    Return the world and the runs that each order to a machine ended.
    """
    made = deployment.world(**{"s-one": 4})
    made.submit(made.members[0], deployment.job(made, 1, MANY))
    made.run(1.0)
    order = made.order
    ended = []

    def recorded(wanted, fence):
        machine = made.machines[wanted.machine]
        if machine.state is messages.MachineState.UP:
            ended.extend(made.hosts[machine.host].runs)
        return order(wanted, fence)

    made.order = recorded
    for number in (1, 2):
        wave = deployment.wave(number, *made.machines, max_down=3)
        made.request_wave(wave)
    completed = {f"wave/{number}": b"completed" for number in (1, 2)}
    end = made.clock.now + 60.0
    while made.store.values(pages.Topic.REPORTS) != completed:
        assert made.clock.now < end
        made.run(0.5)
    return made, ended


def test_two_waves_with_the_same_machines_both_take_them_down():
    """Guards against MIXED: the answer to one wave's order ended another's."""
    made, _ = _play_two_waves()
    names = set(made.machines)
    assert made.upkeep_done == {1: names, 2: names}
    deployment.check(made)


def test_a_machine_back_from_one_wave_is_drained_for_the_next():
    """Guards against AVAIL."""
    _, ended = _play_two_waves()
    assert not ended


@pytest.fixture
def term():
    made = deployment.world()
    return made.leaders()[0].member.term


def _moving(term, pool):
    """Record that an idle machine is moved; return the move and its host."""
    state = term.state
    machine = next(iter(state.machines.values()))
    move = machine_orders.MachineMove(
        pool=pool, host=machine.host, refutable_at=1e9
    )
    state.moving[machine.name] = move
    return machine.name, move, state.hosts[machine.host]


def test_the_answer_to_an_earlier_move_does_not_end_the_host(term):
    name, move, host = _moving(term, "s-two")
    earlier = messages.MoveMachine(machine=name, pool="s-one")
    done = messages.OrderResult.DONE
    term.handle_event(messages.OrderAnswered(order=earlier, result=done))
    assert move.confirmed_at is None
    assert host.present
    order = messages.MoveMachine(machine=name, pool="s-two")
    term.handle_event(messages.OrderAnswered(order=order, result=done))
    assert move.confirmed_at is not None
    assert not host.present


def test_the_answer_to_a_move_does_not_confirm_a_maintenance(term):
    """Guards against MIXED and against two runs of one task."""
    name, _, host = _moving(term, "s-two")
    request = deployment.wave(1, name)
    wave = machine_orders.Wave(number=1, now=0.0)
    wave.request = request
    wave.ordered[name] = host.id
    term.state.waves[1] = wave
    term.state.orders[name] = float("inf")
    move = messages.MoveMachine(machine=name, pool="s-two")
    done = messages.OrderResult.DONE
    term.handle_event(messages.OrderAnswered(order=move, result=done))
    assert not wave.confirmed
    assert term.state.orders[name] == float("inf")
    order = messages.MaintainMachine(machine=name, wave=1)
    term.handle_event(messages.OrderAnswered(order=order, result=done))
    assert name in wave.confirmed


def test_older_advice_does_not_replace_newer():
    """Its tickets are those of hosts that may have restarted since.

    Advice is used once, for the call of its step that is open.
    """
    made = deployment.world()
    job = deployment.job(made, 1, MANY)
    made.submit(made.members[0], job)
    made.run(0.5)
    term = made.leaders()[0].member.term
    state = term.state
    key = (job.id, 0, 0)

    def ask(*ids):
        state.advice.open_calls[key] = advice_queue.OpenCall(
            answer_ms=1, incarnations=dict.fromkeys(ids, 7)
        )

    def handle(ticket, valid_until):
        term.handle_event(
            messages.Advised(
                job=job.id,
                occurrence=0,
                step=0,
                tickets={"h1": ticket} if ticket else {},
                valid_until=valid_until,
            )
        )
        known = state.jobs[job.id].advice.get((0, 0), {})
        return {id: found.ticket for id, found in known.items()}

    ask("h1")
    assert handle("", 5.0) == {"h1": ""}
    assert handle("old", 6.0) == {"h1": ""}
    ask("h1")
    assert handle("new", 4.0) == {"h1": "new"}
    assert handle("", 9.0) == {"h1": "new"}
    assert handle("old", 3.0) == {"h1": "new"}
    ask("h2")
    assert handle("not asked", 4.5) == {"h1": "new", "h2": ""}
