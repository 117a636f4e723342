"""Checks of single values of a configuration: ranges, routes, methods."""

from collections import abc
import dataclasses
import typing

from azurewood.checks import base
from azurewood.fleet import checks
from azurewood.fleet import draft
from azurewood.fleet import model

METHODS: typing.Final = frozenset(
    ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
)
DAY_S: typing.Final = 86400
DAY_MS: typing.Final = DAY_S * 1000
MAX_HOSTS: typing.Final = 1000000
MAX_WEIGHT: typing.Final = 1000000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Range:
    """A range of numbers, which includes its bounds unless it is ``open``."""

    low: float
    high: float
    open: bool = False

    def __contains__(self, value: float) -> bool:
        if self.open:
            return self.low < value < self.high
        return self.low <= value <= self.high

    def __str__(self) -> str:
        kind = "between" if self.open else "from"
        word = "and" if self.open else "to"
        return f"{kind} {self.low:.12g} {word} {self.high:.12g}"


SHARE: typing.Final = Range(low=0, high=1)
AT_ONCE: typing.Final = Range(low=1, high=10000)
DURATION_MS: typing.Final = Range(low=0, high=DAY_MS)
WEIGHT: typing.Final = Range(low=0, high=MAX_WEIGHT)
HOST_COUNT: typing.Final = Range(low=0, high=MAX_HOSTS)

RANGES: typing.Final[dict[type, dict[str, Range]]] = {
    model.Host: {
        "cores": Range(low=1, high=10000),
        "memory_gb": Range(low=1, high=1000000),
        "accelerators": Range(low=0, high=10000),
        "slots": Range(low=1, high=10000),
        "connections": Range(low=1, high=100000),
    },
    model.Service: {
        "port": Range(low=1, high=65535),
        "availability": Range(low=0, high=1, open=True),
        "window_s": Range(low=1, high=366 * DAY_S),
        "deadline_ms": Range(low=1, high=DAY_MS),
        "quota": Range(low=0.001, high=1),
    },
    model.Team: {"host_quota": HOST_COUNT},
    model.PoolTarget: {"min_hosts": HOST_COUNT, "max_hosts": HOST_COUNT},
    model.ThresholdMoves: {"load": SHARE, "at_once": AT_ONCE},
    model.HysteresisMoves: {
        "gain_load": SHARE,
        "give_load": SHARE,
        "hold_ms": DURATION_MS,
        "rest_ms": DURATION_MS,
        "at_once": AT_ONCE,
        "buffer": SHARE,
        "buffer_weight": WEIGHT,
        "roll_out_weight": WEIGHT,
        "move_weight": WEIGHT,
    },
    model.Maintenance: {
        "at_once": AT_ONCE,
        "min_budget": SHARE,
        "spare_share": SHARE,
        "drain_ms": DURATION_MS,
    },
}


@base.register(checks.TAG)
def check_ranges(subject: draft.Draft) -> checks.Findings:
    """Check that numbers are in the ranges of their fields."""
    for path, item in _objects(subject):
        for field, bounds in RANGES.get(type(item), {}).items():
            value = getattr(item, field)
            if value is not None and value not in bounds:
                yield subject.finding(
                    "azurewood.E016",
                    (*path, field),
                    f"{field} is {value}, not {bounds}",
                )


@base.register(checks.TAG)
def check_routes(subject: draft.Draft) -> checks.Findings:
    """Check the path prefixes and HTTP methods of routes."""
    for path, service in checks.entries(subject, "services"):
        for index, route in enumerate(service.routes):
            place = (*path, "routes", index)
            if route.prefix is not None and route.prefix[:1] != "/":
                yield subject.finding(
                    "azurewood.E124",
                    (*place, "prefix"),
                    f"prefix {route.prefix[:80]!r} does not begin with '/'",
                )
            for method in route.methods:
                if method not in METHODS:
                    yield subject.finding(
                        "azurewood.E125",
                        (*place, "methods"),
                        f"unknown method {method[:80]!r}",
                        f"one of {', '.join(sorted(METHODS))}",
                    )


def _objects(subject: draft.Draft) -> abc.Iterator[checks.Entry]:
    for section in ("hosts", "services", "teams"):
        yield from checks.entries(subject, section)
    for path, preset in checks.entries(subject, "presets"):
        yield (*path, "moves"), preset.moves
        yield (*path, "maintenance"), preset.maintenance
        for index, target in enumerate(preset.targets):
            yield (*path, "targets", index), target
