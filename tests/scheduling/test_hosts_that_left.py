"""Hosts that have left for good hold no tasks for their late starts."""

import pytest

from azurewood.jobs import model
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.scheduling import host_records
from azurewood.scheduling import maintenance
from azurewood.scheduling import messages
from standins.fleet import members
from tests.scheduling import deployment

ONE = model.Step(count=1, needs=model.Resources(1000, 500, 0), estimate_ms=900)
MOVED_S = 1.5
"""How long a move takes."""
LISTED_S = 1.5
"""Time for a list that shows the host to have left, and for a start. The
leader moves the machine back afterwards, with a new host."""
TAKEOVER_S = 2.5


def _world(monkeypatch):
    """Return a world and the host of a failed run with a late start."""
    monkeypatch.setattr(members, "LATE_CALL_DELAY_S", (6.0, 6.0))
    made = deployment.world(
        members=3, pools_off=frozenset({"spare"}), **{"s-one": 3, "spare": 1}
    )
    late = deployment.lose_starts(made)
    for host in made.hosts.values():
        host.failing = True
    made.submit(made.members[0], deployment.job(made, 1, ONE))
    made.run(1.5)
    for host in made.hosts.values():
        host.failing = False
    assert made.rules.starts == 1
    return made, made.hosts[late[0]]


def _move_to_standby(made, host):
    """Move the host's machine, as an order of an earlier leader does."""
    machine = made.machines[host.machine]
    moving = messages.MachineState.MOVING
    made._replace(machine, "spare", moving, MOVED_S)


def _take_machine_away(made, host):
    host.crash()
    made.store.add(
        pages.Topic.HOSTS, (appender.Record(key=host.id, value=None),)
    )
    del made.machines[host.machine]


def _started_within(made, seconds):
    made.run(seconds)
    deployment.check(made)
    return made.rules.starts == 2


@pytest.mark.parametrize("leave", [_move_to_standby, _take_machine_away])
def test_a_task_starts_once_the_host_of_its_late_start_has_left(
    monkeypatch, leave
):
    """Guards against LOST: a host that is off held tasks up to 19 s."""
    made, host = _world(monkeypatch)
    leave(made, host)
    assert _started_within(made, MOVED_S + LISTED_S)


def _change_leader_after_a_move(monkeypatch):
    made, host = _world(monkeypatch)
    _move_to_standby(made, host)
    made.leaders()[0].kill()
    return _started_within(made, TAKEOVER_S + MOVED_S + LISTED_S)


def test_a_new_leader_knows_the_machine_of_the_host(monkeypatch):
    assert _change_leader_after_a_move(monkeypatch)


def test_it_waits_if_the_machine_is_not_on_record(monkeypatch):
    monkeypatch.setattr(host_records, "store", lambda state: None)
    assert not _change_leader_after_a_move(monkeypatch)


def test_waits_if_only_another_host_on_the_machine_tells(monkeypatch):
    def has_left(state, host, machine):
        return machine is not None and machine.host not in ("", host.id)

    monkeypatch.setattr(maintenance, "_has_left", has_left)
    made, host = _world(monkeypatch)
    _move_to_standby(made, host)
    assert not _started_within(made, MOVED_S + LISTED_S)


def test_a_host_that_may_restart_under_its_id_still_holds_its_tasks(
    monkeypatch,
):
    """Guards against TWICE: its next incarnation may carry the start out."""
    made, host = _world(monkeypatch)
    host.crash()
    down = messages.MachineState.DOWN
    made._set_machine(host.machine, "s-one", down, "")
    assert not _started_within(made, 3.0)
    made._set_machine(host.machine, "s-one", messages.MachineState.UP, host.id)
    host.restart()
    made.publish_entry(host)
    made.run(20.0)
    deployment.check(made)
