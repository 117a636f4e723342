"""Metrics of an entry daemon: its requests and its state.

Requests are counted in memory and sent once a second, so that not every
request costs a datagram.
"""

import collections
import collections.abc
import threading
import time
import typing

from azurewood.daemons import runtime as runtimes
from azurewood.http import outcomes
from azurewood.log import metrics
from azurewood.state import model

INTERVAL_S = 1.0
MAX_TIMES = 200
OTHER_SERVICE = "other"
MS_PER_S = 1000

Application = collections.abc.Callable[..., collections.abc.Iterable[bytes]]


class MetricsReporter:
    """Collects and sends the metrics of a daemon."""

    __slots__ = (
        "_counts",
        "_lock",
        "_metrics",
        "_refused",
        "_refused_sent",
        "_revision",
        "_runtime",
        "_times",
    )

    def __init__(
        self,
        *,
        runtime: runtimes.Runtime,
        sender: metrics.Metrics,
        refused: collections.abc.Callable[[], int],
    ) -> None:
        """Initialize; ``refused`` returns the count of refused peer frames."""
        self._runtime = runtime
        self._metrics = sender
        self._refused = refused
        self._refused_sent = 0
        self._revision = 0
        self._lock = threading.Lock()
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._times: list[tuple[str, str, float]] = []

    def count_request(self, service: str, outcome: str, ms: float) -> None:
        """Count a request that was answered after ``ms`` milliseconds."""
        with self._lock:
            self._counts[service, outcome] += 1
            if len(self._times) < MAX_TIMES:
                self._times.append((service, outcome, ms))

    def record_roll_out(self) -> None:
        """Record the roll-out time of a revision that was just read."""
        revision, at_ms = self._runtime.read_state(
            lambda state: (state.agreed.revision, state.agreed.at_ms)
        )
        if revision > self._revision:
            took_ms = time.time() * MS_PER_S - at_ms
            self._metrics.time(metrics.ROLL_OUT_TIME, ms=max(0.0, took_ms))
            self._revision = revision

    def run(self, stopping: threading.Event) -> None:
        """Send at a steady interval until the daemon stops."""
        while not stopping.wait(INTERVAL_S):
            self.send()

    def send(self) -> None:
        """Send the request counts and the gauges of the state."""
        self._send_requests()
        self._runtime.read_state(self._send_state)
        refused = self._refused()
        if refused > self._refused_sent:
            self._metrics.count(
                metrics.PEER_FRAMES_REFUSED, by=refused - self._refused_sent
            )
            self._refused_sent = refused

    def _send_requests(self) -> None:
        with self._lock:
            counts, self._counts = self._counts, collections.Counter()
            times, self._times = self._times, []
        for (service, outcome), number in counts.items():
            self._metrics.count(metrics.REQUESTS, service, outcome, by=number)
        for service, outcome, ms in times:
            self._metrics.time(metrics.REQUEST_TIME, service, outcome, ms=ms)

    def _send_state(self, state: model.State) -> None:
        gauge = self._metrics.gauge
        gauge(metrics.QUEUED, value=state.waiting)
        gauge(metrics.REVISION, value=state.agreed.revision)
        gauge(metrics.LOG_REACHABLE, value=int(state.log.reachable))
        gauge(metrics.PEERS, value=len(state.alive))
        for view in state.services.values():
            gauge(metrics.IN_FLIGHT, view.name, value=view.in_flight)
        phases = collections.Counter(
            (host.pool, host.phase.value)
            for host in state.agreed.hosts.values()
        )
        for (pool, phase), number in phases.items():
            gauge(metrics.HOSTS, pool, phase, value=number)


class MeasuredApplication:
    """WSGI middleware that counts callers' requests."""

    __slots__ = ("_application", "_reporter", "_runtime")

    def __init__(
        self,
        *,
        application: Application,
        reporter: MetricsReporter,
        runtime: runtimes.Runtime,
    ) -> None:
        self._application = application
        self._reporter = reporter
        self._runtime = runtime

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Answer one request and count it by its outcome."""
        began_at = time.monotonic()
        outcome = ""

        def start(status, headers, *args):
            nonlocal outcome
            outcome = dict(headers).get(outcomes.OUTCOME_HEADER, "")
            return start_response(status, headers, *args)

        answer = self._application(environ, start)
        took_ms = (time.monotonic() - began_at) * MS_PER_S
        service = self._service(str(environ["PATH_INFO"]))
        self._reporter.count_request(service, outcome, took_ms)
        return answer

    def _service(self, path: str) -> str:
        """Return the service, or a common name for unknown services."""
        name = path.lstrip("/").partition("/")[0]
        return name if name in self._runtime.state.services else OTHER_SERVICE
