"""Machines that are up and whose hosts are not known, and their zones.

The load: a zone is cut off and a turn begins. The platform's list shows the
zone's machines as up, but their new hosts cannot write their entries to the
store, so no task can be placed on them. A pool that is lent machines of that
zone waits beside machines of other zones that could serve it.
"""

import collections
import typing

from azurewood.scheduling import messages
from azurewood.scheduling import model

REGISTRATION_S: typing.Final = 1.5
"""Time in which a host's entry is expected after its machine is up."""


def handle_list(state: model.State, now: float) -> None:
    """Record since when machines in a list are up without a known host."""
    known = state.unseen_since
    state.unseen_since = {
        machine.host: known.get(machine.host, now)
        for machine in state.machines.values()
        if _lacks_host(state, machine)
    }


def _lacks_host(state: model.State, machine: messages.MachineEntry) -> bool:
    """Return whether a machine should have a host that is not known.

    The machines of a standby pool are off and have none.
    """
    return (
        machine.state is messages.MachineState.UP
        and machine.host != ""
        and machine.host not in state.hosts
        and not _in_standby(state, machine)
    )


def _in_standby(state: model.State, machine: messages.MachineEntry) -> bool:
    pool = state.catalog and state.catalog.pools.get(machine.pool)
    return pool is not None and pool.standby


def is_unseen(state: model.State, machine: messages.MachineEntry) -> bool:
    """Return whether a machine's host should be known by now and isn't.

    Only entries read after the time of registration tell that; while they
    cannot be read, no host counts as missing.
    """
    if machine.host in state.hosts:
        return False
    since = state.unseen_since.get(machine.host)
    return since is not None and state.hosts_read_at > since + REGISTRATION_S


def unreachable_zones(state: model.State) -> set[str]:
    """Return the zones of which most hosts are unseen or unresponsive."""
    hosts = collections.Counter()
    missing = collections.Counter()
    for machine in state.machines.values():
        if machine.state is not messages.MachineState.UP:
            continue
        host = state.hosts.get(machine.host)
        if host is None and not is_unseen(state, machine):
            continue
        hosts[machine.zone] += 1
        missing[machine.zone] += (
            host is None or host.unresponsive_since is not None
        )
    return {zone for zone, count in missing.items() if 2 * count > hosts[zone]}
