"""Typed metrics that are declared once and sent over statsd.

Each value is one UDP datagram, which is dropped if sending it would block.
Without an address nothing is sent. No method raises.
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
    """The declaration that all kinds of metrics share.

    The values of ``labels`` are appended to the name, each after a dot.
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
    """A current value."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Timer(Metric):
    """A duration in ms."""


REQUESTS: typing.Final = Counter(
    name="requests",
    unit="requests",
    help="Callers' requests that were answered, by outcome.",
    labels=("service", "outcome"),
)
REQUEST_TIME: typing.Final = Timer(
    name="request_time",
    unit="ms",
    help="Time from a request's arrival to the end of its answer; at most"
    " 200 a second are sent.",
    labels=("service", "outcome"),
)
QUEUED: typing.Final = Gauge(
    name="queued",
    unit="requests",
    help="Requests that wait for a slot.",
)
IN_FLIGHT: typing.Final = Gauge(
    name="in_flight",
    unit="requests",
    help="Requests of a service that are at endpoints.",
    labels=("service",),
)
HOSTS: typing.Final = Gauge(
    name="hosts",
    unit="hosts",
    help="Hosts of a pool in a phase, as agreed.",
    labels=("pool", "phase"),
)
REVISION: typing.Final = Gauge(
    name="revision",
    unit="revision",
    help="Revision of the agreed state that is in force here.",
)
ROLL_OUT_TIME: typing.Final = Timer(
    name="roll_out_time",
    unit="ms",
    help="Time from a change's append, by the platform's clock, to its being"
    " in force here, by this host's clock.",
)
LOG_REACHABLE: typing.Final = Gauge(
    name="log_reachable",
    unit="1 or 0",
    help="Whether the last read of the platform's log succeeded.",
)
PEERS: typing.Final = Gauge(
    name="peers",
    unit="daemons",
    help="Peers that are taken for alive.",
)
PEER_FRAMES_REFUSED: typing.Final = Counter(
    name="peer_frames_refused",
    unit="frames",
    help="Peers' frames with a wrong key or a malformed message.",
)

METRICS: typing.Final[tuple[Metric, ...]] = (
    REQUESTS,
    REQUEST_TIME,
    QUEUED,
    IN_FLIGHT,
    HOSTS,
    REVISION,
    ROLL_OUT_TIME,
    LOG_REACHABLE,
    PEERS,
    PEER_FRAMES_REFUSED,
)


class Client(statsd.StatsClient):
    """A statsd client that drops datagrams which would block."""

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
        self._scope = f"{_sanitize(zone)}.{_sanitize(daemon)}"
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
        parts = (self._scope, metric.name, *map(_sanitize, labels))
        return ".".join(parts)


def documented_name(metric: Metric) -> str:
    """Return the name sent to statsd, with label names in braces."""
    labels: abc.Iterable[str] = ("zone", "daemon")
    parts = [f"{{{label}}}" for label in labels]
    parts.append(metric.name)
    parts.extend(f"{{{label}}}" for label in metric.labels)
    return ".".join([PREFIX, *parts])


def _sanitize(text: str) -> str:
    return UNSAFE.sub(REPLACEMENT, text)
