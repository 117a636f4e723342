"""The entry daemon: forwards callers' requests to endpoints."""

import concurrent.futures
import contextlib
import functools
import random
import secrets
import threading
import time
import typing

from azurewood.conf import entry as settings_module
from azurewood.daemons import measures
from azurewood.daemons import runtime as runtimes
from azurewood.daemons import workers
from azurewood.http import callers
from azurewood.http import endpoints
from azurewood.http import server
from azurewood.log import metrics
from azurewood.operators import application as operators
from azurewood.peers import transport as transports
from azurewood.state import events
from azurewood.state import log_reader
from azurewood.state import model

OPERATORS_THREADS = 8
EXIT_MARGIN_S = 1.0
BALANCER_NOTICE_S = 1.5
"""How long a stopping daemon keeps refusing requests, so that load balancers
notice that it stops."""


class EntryDaemon:
    """An entry daemon: its state, threads and listeners."""

    __slots__ = (
        "_callers",
        "_failed",
        "_operators",
        "_pool",
        "_refuse_until",
        "_reporter",
        "_settings",
        "_stopping",
        "_transport",
        "runtime",
    )

    def __init__(self, *, settings: settings_module.EntrySettings) -> None:
        """Open the listeners; raise ``PeerError`` or ``HttpError``."""
        self._settings = settings
        self._stopping = threading.Event()
        self._refuse_until = 0.0
        self.runtime = runtimes.Runtime(state=_state(settings))
        self._transport = transports.Transport(
            name=settings.name,
            listen=settings.peers_listen,
            key=settings.peers_key.encode(),
        )
        self._failed = False
        self._reporter = _reporter(settings, self.runtime, self._transport)
        with contextlib.ExitStack() as listeners:
            self._transport.open()
            listeners.callback(self._transport.close)
            self._callers = _callers_server(
                settings, self.runtime, self._reporter
            )
            listeners.callback(self._callers.stop)
            self._operators = _operators_server(
                settings, self.runtime, self._transport
            )
            listeners.pop_all()
        self._pool = concurrent.futures.ThreadPoolExecutor(
            max_workers=16, thread_name_prefix="entry"
        )

    def start(self) -> None:
        """Start the threads."""
        loops = workers.Workers(
            runtime=self.runtime,
            transport=self._transport,
            url=self._settings.platform_url,
            stream=self._settings.stream,
            zone=self._settings.zone,
            stopping=self._stopping,
            after_read=self._reporter.record_roll_out
            if self._reporter
            else None,
        ).loops()
        self.runtime.carry_out(
            log_reader.start(self.runtime.state, time.monotonic())
        )
        for loop in (*loops, *self._loops()):
            self._pool.submit(loop).add_done_callback(self._ended)

    def _loops(self) -> typing.Iterator[typing.Callable[[], None]]:
        """Yield the functions that serve requests and report metrics."""
        for http_server in (self._callers, self._operators):
            yield http_server.serve
            yield functools.partial(
                http_server.read_deadlines.run, self._stopping
            )
        yield self._measure

    def _measure(self) -> None:
        if self._reporter is not None:
            self._reporter.run(self._stopping)

    def _ended(self, fut: concurrent.futures.Future) -> None:
        """Stop the daemon when one of its threads fails."""
        exc = fut.exception()
        if exc is not None:
            operators.report_failure(exc)
            self._failed = True
            self.runtime.exited.set()

    def stop(self) -> None:
        """Request a graceful stop: finish requests under way, then exit."""
        left = self._settings.drain_timeout_ms / 1000
        self._refuse_until = time.monotonic() + min(left, BALANCER_NOTICE_S)
        self.runtime.post(
            events.StopRequested(deadline=time.monotonic() + left)
        )

    def wait(self) -> bool:
        """Wait until the daemon is drained or the drain time-out expires.

        Return whether no thread failed.
        """
        while not self.runtime.exited.wait(0.2):
            until = self.runtime.state.stopping_until
            if until and time.monotonic() > until + EXIT_MARGIN_S:
                break
        self._stopping.wait(max(0.0, self._refuse_until - time.monotonic()))
        self.close()
        return not self._failed

    def close(self) -> None:
        """Close the listeners and end the threads."""
        self._stopping.set()
        self._callers.stop()
        self._operators.stop()
        self._transport.close()
        self._pool.shutdown(wait=True)


def _state(settings: settings_module.EntrySettings) -> model.State:
    boot = secrets.randbits(48)
    return model.State(
        me=model.Identity(
            name=settings.name,
            zone=settings.zone,
            address=settings.peers_listen,
            boot=boot,
        ),
        rng=random.Random(boot),
        limits=model.Limits(
            waiting_requests=settings.queue_count,
            waiting_bytes=settings.queue_bytes,
        ),
        timing=model.Timing(
            heartbeat_s=settings.heartbeat_ms / 1000,
            peer_timeout_s=settings.peer_timeout_ms / 1000,
        ),
        seeds=tuple(settings.peers),
    )


def _reporter(
    settings: settings_module.EntrySettings,
    runtime: runtimes.Runtime,
    transport: transports.Transport,
) -> measures.MetricsReporter | None:
    """Return the metrics reporter, or None if no address is set."""
    if settings.statsd is None:
        return None
    return measures.MetricsReporter(
        runtime=runtime,
        sender=metrics.Metrics(
            address=settings.statsd, zone=settings.zone, daemon=settings.name
        ),
        refused=lambda: transport.refused,
    )


def _callers_server(
    settings: settings_module.EntrySettings,
    runtime: runtimes.Runtime,
    reporter: measures.MetricsReporter | None,
) -> server.wsgi.Server:
    application = callers.CallerApplication(
        name=settings.name,
        runtime=runtime,
        client=endpoints.EndpointClient(),
        max_body_bytes=settings.max_body_bytes,
    )
    if reporter is not None:
        application = measures.MeasuredApplication(
            application=application, reporter=reporter, runtime=runtime
        )
    return server.make(
        host=settings.listen.host,
        port=settings.listen.port,
        application=application,
        threads=settings.threads,
        timeout_s=settings.sender_timeout_ms / 1000,
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        tls=_tls(settings),
    )


def _operators_server(
    settings: settings_module.EntrySettings,
    runtime: runtimes.Runtime,
    transport: transports.Transport,
) -> server.wsgi.Server:
    return server.make(
        host=settings.operators_listen.host,
        port=settings.operators_listen.port,
        application=operators.OperatorsApplication(
            runtime=runtime,
            token=settings.operators_token,
            max_body_bytes=settings.max_body_bytes,
            counters=lambda: {"peer_frames_refused": transport.refused},
        ),
        threads=OPERATORS_THREADS,
        timeout_s=settings.sender_timeout_ms / 1000,
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        tls=_tls(settings),
    )


def _tls(settings: settings_module.EntrySettings) -> server.TlsFiles | None:
    if settings.tls_certificate is None or settings.tls_key is None:
        return None
    return server.TlsFiles(
        certificate=settings.tls_certificate, key=settings.tls_key
    )
