"""Metrics over statsd: declared once, typed, never in the way.

Sending is one UDP datagram that is dropped if it would block. Without an
address nothing is sent. No method raises.
"""

from collections import abc
import contextlib
import dataclasses
import re
import typing

import statsd

from azurewood.conf import kinds

PREFIX: typing.Final = "azurewood"
UNSAFE: typing.Final = re.compile(r"[^A-Za-z0-9_-]")
REPLACEMENT: typing.Final = "_"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Metric:
    """What all metrics declare.

    ``labels`` name the parts that follow the name, each after a dot.
    """

    name: str
    unit: str
    help: str
    labels: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Counter(Metric):
    """A number of events."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Gauge(Metric):
    """A value as it stands."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Timer(Metric):
    """How long something took, in ms."""


REQUESTS: typing.Final = Counter(
    name="requests",
    unit="requests",
    help="Callers' requests that were answered, by outcome.",
    labels=("service", "outcome"),
)
REQUEST_TIME: typing.Final = Timer(
    name="request_time",
    unit="ms",
    help="Time from a request's arrival to the end of its answer.",
    labels=("service", "urgency"),
)
QUEUED: typing.Final = Gauge(
    name="queued",
    unit="requests",
    help="Requests that wait for a slot.",
)
RETRIES: typing.Final = Counter(
    name="retries",
    unit="attempts",
    help="Further attempts of requests that may be repeated.",
    labels=("service",),
)
MOVES: typing.Final = Counter(
    name="moves",
    unit="hosts",
    help="Hosts whose move to a pool was accepted.",
    labels=("pool",),
)
REVISION: typing.Final = Gauge(
    name="revision",
    unit="revision",
    help="Revision of the agreed state that is in force here.",
)
ROLL_OUT_TIME: typing.Final = Timer(
    name="roll_out_time",
    unit="ms",
    help="Time from a change's acceptance to its being in force here.",
)
PEERS: typing.Final = Gauge(
    name="peers",
    unit="daemons",
    help="Peers that are taken for alive.",
)

METRICS: typing.Final[tuple[Metric, ...]] = (
    REQUESTS,
    REQUEST_TIME,
    QUEUED,
    RETRIES,
    MOVES,
    REVISION,
    ROLL_OUT_TIME,
    PEERS,
)


class Client(statsd.StatsClient):
    """A statsd client whose socket drops what it cannot send at once."""

    def __init__(self, *, address: kinds.Address) -> None:
        super().__init__(
            host=address.host,
            port=address.port,
            prefix=PREFIX,
            ipv6=":" in address.host,
        )
        self._sock.setblocking(False)


class Metrics:
    """Sends declared metrics of one daemon."""

    def __init__(
        self, *, address: kinds.Address | None, zone: str, daemon: str
    ) -> None:
        """Send to ``address``, or nowhere if it is None."""
        self._scope = f"{_part(zone)}.{_part(daemon)}"
        self._client = None
        if address is not None:
            with contextlib.suppress(OSError):
                self._client = Client(address=address)

    def count(self, metric: Counter, *labels: str, by: int = 1) -> None:
        """Add ``by`` events to a counter."""
        if self._client is not None:
            with contextlib.suppress(Exception):
                self._client.incr(self._name(metric, labels), by)

    def gauge(self, metric: Gauge, *labels: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            with contextlib.suppress(Exception):
                self._client.gauge(self._name(metric, labels), value)

    def time(self, metric: Timer, *labels: str, ms: float) -> None:
        """Record that something took ``ms`` milliseconds."""
        if self._client is not None:
            with contextlib.suppress(Exception):
                self._client.timing(self._name(metric, labels), ms)

    def close(self) -> None:
        """Close the socket; nothing is sent afterwards."""
        client, self._client = self._client, None
        if client is not None:
            client.close()

    def _name(self, metric: Metric, labels: tuple[str, ...]) -> str:
        if len(labels) != len(metric.labels):
            raise ValueError(f"{metric.name} has labels {metric.labels}")
        parts = (self._scope, metric.name, *map(_part, labels))
        return ".".join(parts)


def names(metric: Metric) -> str:
    """Return the name that statsd receives, with the labels in braces."""
    labels: abc.Iterable[str] = ("zone", "daemon")
    parts = [f"{{{label}}}" for label in labels]
    parts.append(metric.name)
    parts.extend(f"{{{label}}}" for label in metric.labels)
    return ".".join([PREFIX, *parts])


def _part(text: str) -> str:
    return UNSAFE.sub(REPLACEMENT, text)
