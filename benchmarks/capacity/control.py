"""Measure the control work of a daemon: views, host changes and ticks."""

import itertools
import statistics
import typing

from azurewood.state import events
from azurewood.state import host_owners
from azurewood.state import model
from azurewood.state import records
from azurewood.state import reducer
from azurewood.state import views
from benchmarks.capacity import fleets
from benchmarks.capacity import results
from benchmarks.capacity import timing

DAEMONS = 110
DAEMON_SIZES = (33, 66, 110, 300)
NOW = 1000.0
US_PER_MS = 1000
CHANGES = 20


def measure() -> typing.Iterator[results.Table]:
    """Measure views, host changes and ticks."""
    rows = [_row(size, DAEMONS, size) for size in fleets.SIZES]
    yield _table(
        "control-hosts",
        "Control work against hosts, 110 daemons in 11 zones, ms of CPU",
        "hosts",
        rows,
    )
    rows = [_row(size, size, fleets.HOSTS) for size in DAEMON_SIZES]
    yield _table(
        "control-daemons",
        "Control work against daemons, 3,700 hosts in 11 zones, ms of CPU",
        "daemons",
        rows,
    )


def _table(
    name: str, title: str, size: str, rows: list[list[results.Cell]]
) -> results.Table:
    table = results.Table(
        name=name,
        title=title,
        columns=[
            size,
            "first view",
            "a peer lost",
            "a host changed",
            "host list read",
            "tick",
            "of it stewards",
        ],
        rows=rows,
    )
    for column in table.columns[1:]:
        table.add_fit(size, column)
    return table


def _row(size: int, daemons: int, hosts: int) -> list[results.Cell]:
    log = fleets.log(fleets.fleet(hosts=hosts))
    state = fleets.daemon(log.state)
    fleets.deliver_heartbeats(
        state, daemons=daemons, zones=fleets.ZONES, now=NOW
    )
    spent = (
        _first_view(state),
        _peer_lost(state),
        _host_changed(log, state),
        _host_listed(state),
        timing.cpu_us(lambda: reducer.step(state, events.Tick(), NOW)),
        timing.cpu_us(lambda: list(host_owners.tick(state, NOW))),
    )
    return [size, *(value / US_PER_MS for value in spent)]


def _first_view(state: model.State) -> float:
    """Return the CPU time of building the first view of a daemon."""
    state.view_revision = -1
    state.hosts.clear()
    state.services.clear()
    return timing.cpu_us(lambda: views.refresh(state, NOW), repeats=1)


def _peer_lost(state: model.State) -> float:
    """Return the CPU time of a view after a zone peer left or returned."""
    whole = state.alive
    gone = next(
        name for name in whole if state.peers[name].zone == state.me.zone
    )
    spent = []
    for _ in range(3):
        for alive in (tuple(n for n in whole if n != gone), whole):
            state.alive = alive
            state.view_revision = -1
            spent.append(
                timing.cpu_us(lambda: views.refresh(state, NOW), repeats=1)
            )
    return statistics.median(spent)


def _host_changed(log: fleets.Log, state: model.State) -> float:
    """Return the CPU time of handling the record of one host change."""
    spent = []
    for name in itertools.islice(list(log.state.hosts), CHANGES):
        change = records.DrainHost(reason="maintenance", drain_ms=30000)
        proposal = fleets.host_proposal(log.state, name, change)
        event = log.stored(log.record(proposal))
        spent.append(
            timing.cpu_us(
                lambda event=event: reducer.step(state, event, NOW),
                repeats=1,
            )
        )
    return statistics.median(spent)


def _host_listed(state: model.State) -> float:
    """Return the CPU time of handling a host list with one host leaving."""
    names = [host.name for host in state.agreed.fleet.hosts]
    spent = []
    for number in range(6):
        event = events.HostsListed(
            version=number + 1,
            hosts=tuple(
                events.ListedHost(
                    name=name,
                    state="leaving" if place == number else "live",
                )
                for place, name in enumerate(names)
            ),
        )
        spent.append(
            timing.cpu_us(
                lambda event=event: reducer.step(state, event, NOW),
                repeats=1,
            )
        )
    return statistics.median(spent)
