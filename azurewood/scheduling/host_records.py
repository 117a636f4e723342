"""The stored machines of hosts with runs.

A host that is gone for good does not answer a new leader, which then waits
until its leases and late starts are over. A list of machines tells sooner that
another host is on its machine, if the leader knows on which machine it was. So
the machine of a host is stored with its first run, before the start leaves.
"""

from azurewood.scheduling import host_state
from azurewood.scheduling import model
from azurewood.scheduling import progress


def note_run(state: model.State, host: host_state.Host) -> None:
    """Have the machine of a host stored that is about to get a run."""
    if host.id not in state.recorded_machines:
        state.dirty_machines.add(host.id)


def note_machine(state: model.State, host_id: str, machine: str) -> None:
    """Note the machine that a list names for a host."""
    state.host_machines[host_id] = machine
    host = state.hosts.get(host_id)
    used = host is not None and (host.runs or host.late_starts)
    if used and state.recorded_machines.get(host_id) != machine:
        state.dirty_machines.add(host_id)


def forget(state: model.State, host_id: str) -> None:
    """Forget the machine of a host that nothing can run on any more."""
    state.host_machines.pop(host_id, None)
    if host_id in state.recorded_machines:
        state.dirty_machines.add(host_id)


def store(state: model.State) -> None:
    """Add the changed machines to the progress that is stored next.

    Those that no list has named yet are stored once one does. Removals wait
    for other progress, as they cost an append else, and until the entries of
    hosts are read, as hosts that are still there have not left.
    """
    if not state.dirty_machines:
        return
    others = state.values or state.dirty_jobs or state.dirty_late_starts
    removes = others and state.hosts_read_at
    waiting = set()
    for host_id in sorted(state.dirty_machines):
        machine = state.host_machines.get(host_id)
        key = f"{progress.HOST_PREFIX}{host_id}"
        if host_id in state.hosts:
            known = state.recorded_machines.get(host_id)
            if machine not in (None, known):
                state.recorded_machines[host_id] = machine
                state.values[key] = progress.encode_host(machine)
        elif not removes:
            waiting.add(host_id)
        elif state.recorded_machines.pop(host_id, None) is not None:
            state.values[key] = None
    state.dirty_machines = waiting


def restore(
    state: model.State, host_id: str, record: progress.HostProgress
) -> None:
    """Restore the machine of a host, or remove the record of an unused one.

    The runs and late starts of earlier leaders have to be restored before.
    """
    state.recorded_machines[host_id] = record.machine
    if host_id in state.hosts:
        state.host_machines.setdefault(host_id, record.machine)
    else:
        state.dirty_machines.add(host_id)
