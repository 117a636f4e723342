"""Measure reducer steps of a request, by hosts and waiting requests."""

import itertools
import typing

from azurewood.fleet import model as fleet_model
from azurewood.state import events
from azurewood.state import model
from azurewood.state import reducer
from azurewood.state import views
from benchmarks.capacity import fleets
from benchmarks.capacity import results
from benchmarks.capacity import timing

WAITING_SIZES = (0, 10, 100, 1000)
REQUESTS = 2000
NOW = 1000.0


def measure() -> typing.Iterator[results.Table]:
    """Measure the arrival and the end of a request."""
    rows = [[size, _request_us(daemon(size))] for size in fleets.SIZES]
    yield _table(
        "request-hosts",
        "Arrival and end of one request in the reducer, µs of CPU",
        "hosts of the service",
        rows,
    )
    rows = [[size, _waiting_us(size)] for size in WAITING_SIZES]
    yield _table(
        "request-waiting",
        "The same while others wait for a slot",
        "waiting requests",
        rows,
    )


def _table(
    name: str, title: str, size: str, rows: list[list[results.Cell]]
) -> results.Table:
    table = results.Table(
        name=name, title=title, columns=[size, "request, µs"], rows=rows
    )
    table.add_fit(size, "request, µs")
    return table


def daemon(hosts: int) -> model.State:
    """Return the state of a single daemon with one zone and one service."""
    log = fleets.log(fleets.fleet(hosts=hosts, pools=1, zones=1))
    state = fleets.daemon(log.state)
    state.limits.waiting_requests = 1_000_000
    # No other daemon used the slots before, so this daemon may use them
    # without a settling time.
    state.lending.is_viewed = True
    views.refresh(state, NOW)
    return state


def arrived(number: int) -> events.RequestArrived:
    """Return the arrival of a request for the only service."""
    return events.RequestArrived(
        id=f"r{number}",
        service="service-00",
        urgency=fleet_model.Urgency.NORMAL,
        deadline=NOW + 60,
    )


def ended(number: int) -> events.RequestEnded:
    """Return the event of a completely answered request."""
    return events.RequestEnded(
        id=f"r{number}",
        result=events.RequestResult.ANSWERED,
        elapsed_s=0.01,
    )


def _request_us(state: model.State) -> float:
    numbers = itertools.count()

    def one() -> None:
        number = next(numbers)
        reducer.step(state, arrived(number), NOW)
        reducer.step(state, ended(number), NOW)

    return timing.cpu_us(one, calls=REQUESTS)


def _waiting_us(waiting: int) -> float:
    """Return the CPU time of one arrival and the end of an older request."""
    state = daemon(fleets.SIZES[0])
    slots = sum(len(host.idle) for host in state.hosts.values())
    for number in range(slots + waiting):
        reducer.step(state, arrived(number), NOW)
    first = itertools.count()
    last = itertools.count(slots + waiting)

    def one() -> None:
        reducer.step(state, arrived(next(last)), NOW)
        reducer.step(state, ended(next(first)), NOW)

    return timing.cpu_us(one, calls=REQUESTS)
