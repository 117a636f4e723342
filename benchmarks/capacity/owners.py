"""Count the owners of each worker's slots, by number of daemons."""

import typing

from azurewood.policy import ownership
from benchmarks.capacity import fleets
from benchmarks.capacity import results

DAEMON_SIZES = (33, 66, 110, 300)
CONNECTIONS = 64


def measure() -> typing.Iterator[results.Table]:
    """Yield the table of slot owners."""
    rows = [_row(size) for size in DAEMON_SIZES]
    yield results.Table(
        name="owners",
        title=(
            "Owners of the slots of the first zone's workers, 3,700 hosts "
            "with 8 slots and 64 connections in 11 zones"
        ),
        columns=[
            "daemons",
            "daemons in the zone",
            "workers in the zone",
            "slots a daemon, least",
            "slots a daemon, most",
            "workers a daemon, most",
            "owners a worker, most",
            "connections an owner may open",
        ],
        rows=rows,
        note=(
            "Counted by rendezvous hashing, not sampled. Workers a daemon "
            "is how many workers it keeps connections to."
        ),
    )


def _row(daemons: int) -> list[results.Cell]:
    hosts = [
        host
        for host in fleets.fleet().hosts
        if host.zone == fleets.zone_name(0)
    ]
    members = tuple(
        name
        for name, zone in fleets.peer_names(daemons, fleets.ZONES).items()
        if zone == 0
    )
    slots = dict.fromkeys(members, 0)
    workers = dict.fromkeys(members, 0)
    most = 0
    for host in hosts:
        owners = [
            ownership.slot_owner(host.name, number, members)
            for number in range(host.slots)
        ]
        most = max(most, len(set(owners)))
        for owner in owners:
            slots[owner] += 1
        for owner in set(owners):
            workers[owner] += 1
    return [
        daemons,
        len(members),
        len(hosts),
        min(slots.values()),
        max(slots.values()),
        max(workers.values()),
        most,
        CONNECTIONS // most,
    ]
