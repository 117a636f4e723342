"""Hosts whose entry is read after their machine was ordered away."""

import pytest

from azurewood.incarnations import late_starts
from azurewood.incarnations import limits
from azurewood.jobs import model as jobs
from azurewood.policy import pool_sizes
from azurewood.scheduling import maintenance
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import pools
from azurewood.scheduling import progress
from azurewood.scheduling import reducer
from tests.scheduling import deployment

AT = 100.0
BEGAN_MS = 7
UP = messages.MachineState.UP
UPKEEP = messages.MachineState.UPKEEP
WAVE = messages.MaintainMachine(machine="x", wave=1)
MOVE = messages.MoveMachine(machine="x", pool="s-two")
DONE = messages.OrderResult.DONE


def _handle(state, event, now):
    reducer.handle_event(state, event, now)
    reducer.collect_effects(state, now)


def _list(state, now, host, *, up=UP, pool="s-one"):
    entry = messages.MachineEntry(
        name="x", pool=pool, state=up, host=host, zone="a"
    )
    event = messages.MachinesListed(machines=(entry,), began_at=now)
    _handle(state, event, now)


def _see(state, now, incarnation_ms=BEGAN_MS):
    entry = messages.HostEntry(
        id="h1",
        address="h1:80",
        service="s-one",
        zone="a",
        state=messages.HostState.READY,
        capacity=jobs.Resources(4000, 8000, 0),
        labels=(),
        incarnation_ms=incarnation_ms,
    )
    _handle(state, messages.HostSeen(entry=entry), now)
    return state.hosts["h1"]


def _answer(state, order, result, now):
    event = messages.OrderAnswered(order=order, result=result)
    _handle(state, event, now)


def _maintain(state):
    _handle(state, deployment.wave(1, "x"), AT + 0.1)
    maintenance.drive_waves(state, AT + 0.1, may_order=True)
    return WAVE


def _move(state):
    move = pool_sizes.Move(machine="x", pool="s-two", reason="test")
    pools._order(state, move, AT + 0.1)
    return MOVE


def _state():
    """Return a state whose list names a host that isn't known."""
    state = model.State(term=1, leases_expire_at=0.0)
    state.catalog = deployment.CATALOG
    _list(state, AT, "h1")
    return state


@pytest.mark.parametrize("order", [_maintain, _move])
def test_a_host_first_seen_after_its_order_takes_no_tasks(order):
    """Guards against LOST: tasks were placed there twice, and waited."""
    state = _state()
    sent = order(state)
    host = _see(state, AT + 0.2)
    assert host.leaving
    _answer(state, sent, DONE, AT + 0.3)
    _see(state, AT + 0.4)
    assert host.leaving


@pytest.mark.parametrize("order", [_maintain, _move])
def test_a_host_first_seen_after_the_answer_takes_no_tasks(order):
    state = _state()
    _answer(state, order(state), DONE, AT + 0.3)
    assert _see(state, AT + 0.4).leaving


def test_a_host_takes_no_tasks_beside_its_successor():
    state = _state()
    host = _see(state, AT)
    _answer(state, _maintain(state), DONE, AT + 0.3)
    _list(state, AT + 3.0, "h2")
    assert host.leaving


def test_a_new_leader_places_nothing_on_a_host_with_an_open_order():
    wave = progress.WaveProgress(ordered={"x": "h1"}, born_ms={"x": BEGAN_MS})
    state = model.State(term=2, leases_expire_at=0.0)
    reducer._restore_wave(state, "w/1", wave, AT)
    assert _see(state, AT).leaving


@pytest.mark.parametrize(
    ("order", "pool"), [(_maintain, "s-one"), (_move, "s-two")]
)
def test_a_host_that_is_back_under_its_id_takes_tasks(order, pool):
    """Guards against LOST: a host that is left out for ever."""
    state = _state()
    sent = order(state)
    host = _see(state, AT + 0.2)
    _answer(state, sent, DONE, AT + 0.3)
    _list(state, AT + 3.0, "h1", pool=pool)
    assert not host.leaving


def test_a_host_whose_later_incarnation_is_seen_first_takes_tasks():
    state = _state()
    _see(state, AT)
    sent = _maintain(state)
    _answer(state, sent, DONE, AT + 0.3)
    del state.hosts["h1"]
    assert not _see(state, AT + 2.0, BEGAN_MS + 1).leaving


def test_a_host_whose_order_was_refused_takes_tasks_again():
    """Guards against LOST: it was left out until the next leader."""
    state = _state()
    host = _see(state, AT)
    sent = _maintain(state)
    assert host.leaving
    _answer(state, sent, messages.OrderResult.REFUSED, AT + 0.3)
    assert not host.leaving


def test_late_starts_of_a_host_end_with_it_that_was_seen_late():
    """Guards against LOST: its tasks waited 18 s for a host that is gone."""
    state = _state()
    _list(state, AT + 0.5, "", up=UPKEEP)
    host = _see(state, AT + 0.6)
    host.present = False
    late = late_starts.LateStart(
        host="h1",
        run=1,
        incarnation_ms=BEGAN_MS,
        fence=1,
        possible_until=AT + limits.MAX_START_DELAY_S,
    )
    state.add_late_start(host, (jobs.TaskId("j", 0, 0, 0), 1), late)
    _list(state, AT + 3.0, "h2")
    assert not host.late_starts
