"""The cost of host ownership, as counts of calls, and drains by owners."""

import pytest

from azurewood.peers import messages
from azurewood.policy import ownership
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import jobs
from tests.moves import test_moves_machine as machines


@pytest.fixture
def daemon():
    machine = machines.MovesMachine()
    machine.publish()
    machine.run(names=machines.NAMES)
    return machine.daemons["a"], machine.now


def count_calls(monkeypatch, module, name):
    calls = []
    original = getattr(module, name)

    def counted(*args, **kwargs):
        calls.append(args)
        return original(*args, **kwargs)

    monkeypatch.setattr(module, name, counted)
    return calls


def test_tick_without_changes_hashes_and_examines_no_host(daemon, monkeypatch):
    found, now = daemon
    hashes = count_calls(monkeypatch, ownership, "weight")
    looks = count_calls(monkeypatch, jobs, "take_next_step")
    needs = count_calls(monkeypatch, jobs, "needs_action")
    for _ in range(5):
        found.step(events.Tick(), now)
    of_hosts = [args for args in hashes if args[0] in machines.HOSTS]
    assert (of_hosts, looks, needs) == ([], [], [])


def test_failed_stop_of_a_task_is_repeated(daemon):
    found, now = daemon
    state = found.state
    host = state.agreed.hosts[state.steward.mine[0]]
    state.tasks[host.task] = "running"
    host.phase = jobs.HostPhase.QUARANTINED
    state.agreed.hosts_revision += 1
    found.pending_effects.clear()
    found.step(events.Tick(), now)
    failed = events.TaskCallEnded(
        action=events.TaskAction.STOP, subject=host.task, done=False
    )
    found.step(failed, now)
    found.step(events.Tick(), now + jobs.RETRY_CAP_S)
    stops = [
        e for e in found.pending_effects if getattr(e, "id", "") == host.task
    ]
    assert len(stops) == 2


def leaving(daemon, drain_ms):
    """Start the drain of a host that the daemon owns.

    The deadline is ``drain_ms`` after the present time of the log.
    """
    found, now = daemon
    state = found.state
    host = state.agreed.hosts[state.steward.mine[0]]
    state.tasks[host.task] = "running"
    host.phase = jobs.HostPhase.LEAVING
    host.deadline_ms = state.agreed.at_ms + drain_ms
    state.agreed.hosts_revision += 1
    found.pending_effects.clear()
    return found, host, now


def stops(found, host, now, *, draining, revision):
    """Deliver heartbeats of both peers; return the stops that follow."""
    said = messages.Heartbeat(
        zone="z1",
        address="b",
        boot=ord("b"),
        incarnation="one",
        offset=0,
        revision=revision,
        log_reachable=True,
        draining=draining,
    )
    for name in ("b", "c"):
        found.step(events.MessageReceived(sender=name, message=said), now)
    return [
        e for e in found.pending_effects if isinstance(e, effects.StopTask)
    ]


def test_a_drain_ends_when_every_daemon_has_acknowledged(daemon):
    found, host, now = leaving(daemon, 60_000)
    old = host.revision - 1
    assert not stops(found, host, now, draining=(), revision=old)
    busy = (host.name,)
    seen = host.revision
    assert not stops(found, host, now, draining=busy, revision=seen)
    assert stops(found, host, now, draining=(), revision=seen)


def test_a_drain_ends_at_its_deadline_and_not_before(daemon):
    found, host, now = leaving(daemon, 2_000)
    busy = (host.name,)
    for late_s in (0.0, 0.9, 1.9):
        assert not stops(
            found, host, now + late_s, draining=busy, revision=host.revision
        )
    assert stops(found, host, now + 2.1, draining=busy, revision=host.revision)
