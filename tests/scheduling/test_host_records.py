"""Hosts that are gone for good while no daemon is there."""

import pytest

from azurewood.journal import pages
from azurewood.scheduling import host_records
from azurewood.scheduling import messages
from azurewood.scheduling import progress
from tests.scheduling import accounts
from tests.scheduling import deployment

DOWN_S = 0.7
PLACED_S = 1.0
STARTED_WITHIN_S = 6.0
"""Time for an election, for a list of machines that is a second younger than
the term, and for a start."""


def _lose_all_with_a_host(made, *, keeps_entry=False):
    """End all daemons; the machines of hosts with runs get other hosts.

    With ``keeps_entry`` the entries of the former hosts stay in the store.
    """
    for member in made.members:
        member.kill()
    for machine in list(made.machines.values()):
        host = made.hosts.get(machine.host)
        if host is not None and host.runs:
            host.crash()
            if not keeps_entry:
                made._remove_entry(host)
            made._back(machine)
    made.run(DOWN_S)
    for member in made.members:
        member.start()


def _run_on_a_host_that_goes(made, job_ids):
    made.run(PLACED_S)
    assert any(deployment.running_tasks(made, id) for id in job_ids)
    _lose_all_with_a_host(made)
    made.run(STARTED_WITHIN_S)
    assert made.rules.breaches == []
    return all(deployment.running_tasks(made, id) for id in job_ids)


def test_a_task_of_a_replaced_host_starts_under_a_new_leader():
    """Guards against LOST: it waited for 18.4 s of the leader's term."""
    made = deployment.world(**{"s-one": 3})
    job = deployment.job(made, 1, accounts.LASTING)
    made.submit(made.members[0], job)
    assert _run_on_a_host_that_goes(made, [job.id])


def test_an_account_that_is_full_of_runs_of_replaced_hosts_has_room_again():
    """Guards against LOST: its other jobs waited beside free hosts."""
    made = accounts.world(pools={"s-one": 3}, a=1)
    first = accounts.submit(made, [1], "a", accounts.LASTING)
    made.run(PLACED_S)
    accounts.submit(made, range(2, 4), "a")
    assert _run_on_a_host_that_goes(made, first)


@pytest.mark.parametrize("keeps_entry", [False, True])
def test_the_end_of_a_replaced_host_counts_as_one_crash(keeps_entry):
    """Guards against LOST: a job that is shown as failed without cause."""
    made = deployment.world(**{"s-one": 3})
    job = deployment.job(made, 1, accounts.LASTING)
    made.submit(made.members[0], job)
    made.run(PLACED_S)
    _lose_all_with_a_host(made, keeps_entry=keeps_entry)
    made.run(STARTED_WITHIN_S)
    state = made.leaders()[0].member.term.state
    assert [task.crashes for task in state.jobs[job.id].tasks()] == [1]


def test_it_waits_if_the_machine_is_not_on_record(monkeypatch):
    monkeypatch.setattr(host_records, "store", lambda state: None)
    made = deployment.world(**{"s-one": 3})
    job = deployment.job(made, 1, accounts.LASTING)
    made.submit(made.members[0], job)
    assert not _run_on_a_host_that_goes(made, [job.id])


def _recorded(made):
    """Return the recorded machines of hosts."""
    values = made.store.values(pages.Topic.PROGRESS)
    return {
        key.removeprefix(progress.HOST_PREFIX): progress.decode(value).machine
        for key, value in values.items()
        if key.startswith(progress.HOST_PREFIX)
    }


def test_only_hosts_that_may_have_runs_stay_on_record():
    """Guards against records that pile up as machines get other hosts."""
    made = deployment.world(**{"s-one": 3})
    jobs = iter(range(1, 1000))
    for _ in range(4):
        for _ in range(6):
            made.submit(made.members[0], deployment.job(made, next(jobs)))
        made.run(PLACED_S)
        _lose_all_with_a_host(made)
        made.run(20.0)
    made.submit(made.members[0], deployment.job(made, next(jobs)))
    made.run(PLACED_S)
    listed = {machine.host: name for name, machine in made.machines.items()}
    assert _recorded(made)
    assert _recorded(made).items() <= listed.items()


def _records_written_again(monkeypatch):
    """Change the leader beside idle hosts; return which of them it stores."""
    made = deployment.world(**{"s-one": 6})
    for number in range(1, 13):
        made.submit(made.members[0], deployment.job(made, number))
    made.run(4.0)
    before = set(_recorded(made))
    assert before
    written = []
    usual = host_records.store

    def store(state):
        usual(state)
        prefix = progress.HOST_PREFIX
        written.extend(k for k in state.values if k.startswith(prefix))

    monkeypatch.setattr(host_records, "store", store)
    made.submit(made.members[0], deployment.job(made, 99, accounts.LASTING))
    made.leaders()[0].kill()
    made.run(STARTED_WITHIN_S)
    assert written
    return before & {k.removeprefix(progress.HOST_PREFIX) for k in written}


def test_a_new_leader_stores_no_machine_again(monkeypatch):
    """Guards against a record of each idle host with each change of leader."""
    assert not _records_written_again(monkeypatch)


@pytest.mark.parametrize("state", list(messages.MachineState))
def test_a_host_that_its_machine_still_has_is_not_replaced(state):
    """Guards against TWICE: its runs go on."""
    made = deployment.world(**{"s-one": 3})
    job = deployment.job(made, 1, accounts.LASTING)
    made.submit(made.members[0], job)
    made.run(PLACED_S)
    (host,) = [host for host in made.hosts.values() if host.runs]
    for member in made.members:
        member.kill()
    made.cut_hosts.add(host.id)
    made._set_machine(host.machine, "s-one", state, host.id)
    made.run(DOWN_S)
    for member in made.members:
        member.start()
    made.run(3.0)
    made._set_machine(host.machine, "s-one", messages.MachineState.UP, host.id)
    made.cut_hosts.clear()
    made.run(20.0)
    assert made.rules.breaches == []
