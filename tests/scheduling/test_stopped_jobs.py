"""Jobs that were stopped before a term, beside hosts that list nothing."""

import dataclasses

from loguru import logger
import msgspec
import pytest

from azurewood.jobs import model
from azurewood.policy import unlisted_runs
from azurewood.scheduling import messages
from tests.scheduling import accounts
from tests.scheduling import deployment

DOWN_S = 0.7
STARTED_WITHIN_S = 5.0
"""Time for an election, and for a list of machines that is a second younger
than the term. The leases of earlier leaders may last until 10.4 s."""


def _power_loss_with_a_host(made, *, machine_is_down=True):
    """Lose all daemons, and a host without runs for good."""
    for member in made.members:
        member.kill()
    host = next(
        host
        for host in made.hosts.values()
        if host.up and not host.runs and not _is_spare(made, host)
    )
    host.crash()
    machine = made.machines[host.machine]
    if machine_is_down:
        down = messages.MachineState.DOWN
        made._set_machine(machine.name, machine.pool, down, "")
    made.run(DOWN_S)
    for member in made.members:
        member.start()
    return host


def _is_spare(made, host):
    return made.machines[host.machine].pool != "s-one"


def _later_jobs_done(*, machine_is_down=True, capacity=None, count=12):
    """Return how many later jobs of an account are done after a power loss.

    A job of the account, with more tasks than its limit allows, was cancelled
    and its runs were stopped before.
    """
    made = accounts.world(pools={"s-one": 4}, a=5)
    if capacity is not None:
        for name, machine in made.machines.items():
            made.machines[name] = dataclasses.replace(
                machine, capacity=capacity
            )
    wide = msgspec.structs.replace(accounts.LASTING, count=count)
    (first,) = accounts.submit(made, [1], "a", wide)
    made.run(1.0)
    made.cancel(made.leaders()[0], first)
    made.run(2.0)
    assert deployment.running_tasks(made, first) == 0
    _power_loss_with_a_host(made, machine_is_down=machine_is_down)
    made.run(0.5)
    later = accounts.submit(made, [9], "a")
    made.run(STARTED_WITHIN_S - 0.5)
    deployment.check(made)
    return accounts.done(made, later)


def test_a_host_that_is_gone_for_good_holds_no_room_of_an_account():
    """Guards against LOST: a job that had been accepted waited for 10 s."""
    assert _later_jobs_done() == 1


def test_it_waits_if_lists_of_machines_tell_nothing(monkeypatch):
    monkeypatch.setattr(
        unlisted_runs,
        "may_have_runs",
        lambda host, now, machines_known: (
            not host.listed and now <= host.leases_expire_at
        ),
    )
    assert _later_jobs_done() == 0


def test_a_silent_host_holds_no_more_room_than_it_has():
    """Guards against LOST: all tasks of a stopped job counted for one host."""
    capacity = model.Resources(4000, 8000, 0)
    assert _later_jobs_done(machine_is_down=False, capacity=capacity) == 1


def test_a_silent_host_may_have_all_runs_if_no_capacity_is_known():
    """Guards against QUOTA: its runs may have begun before."""
    assert _later_jobs_done(machine_is_down=False) == 0


@pytest.mark.usefixtures("no_logs")
def test_the_log_says_for_which_hosts_stopped_jobs_count():
    lines = []
    logger.enable("azurewood")
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    try:
        _later_jobs_done()
    finally:
        logger.remove(sink)
    found = [e for e in lines if e.get("event") == "stopped.unlisted"]
    assert [line["hosts"] for line in found][-1] == 0
    assert any(line["hosts"] == 1 and line["first"] for line in found)
