"""The fleet daemon: a fleet member with its servers and its main loop.

One thread owns all state and makes all calls. The servers' threads pass
callers' requests to it and wait.
"""

import concurrent.futures
import ipaddress
import math
import secrets
import threading
import time
import typing

from loguru import logger

from azurewood.conf import fleet
from azurewood.daemons import member
from azurewood.daemons import ports
from azurewood.http import multiplex
from azurewood.http import server

FRONT_THREADS: typing.Final = 24
"""Maximum number of callers that wait at once. Each occupies a thread for the
few milliseconds of a write, or for as long as the store is unreachable."""
READY_THREADS: typing.Final = 2
HTTP_TIMEOUT_S: typing.Final = 15.0
MAX_HEADER_BYTES: typing.Final = 16384
MAX_BODY_BYTES: typing.Final = 1 << 20
STOP_MARGIN_S: typing.Final = 1.5
"""Time reserved for answers under way before the platform kills the
process."""
MAX_ACCEPT_S: typing.Final = 0.5
"""How long a stopping daemon still accepts connections that wait for it."""
ACCEPT_CHECK_INTERVAL_S: typing.Final = 0.02
EXIT_MARGIN_S: typing.Final = 0.5
"""Time reserved for the exit of the process."""
BALANCER_NOTICE_S: typing.Final = 2.5
"""How long the load balancer takes to stop sending callers: two health checks
one second apart."""


def boot_clock() -> float:
    """Return a clock in seconds that includes time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time() * 1000


class FleetDaemon:
    """A fleet daemon: a member, its calls and its servers."""

    __slots__ = (
        "_calls",
        "_pool",
        "_servers",
        "_settings",
        "_stop_at",
        "_stopping",
        "member",
    )

    def __init__(
        self,
        *,
        settings: fleet.FleetSettings,
        platform: ports.Platform,
        metrics: ports.Application | None = None,
    ) -> None:
        """Open the listeners; raise ``HttpError`` on error."""
        self._settings = settings
        self._calls = multiplex.Multiplexer(clock=boot_clock)
        self._stopping = threading.Event()
        self._stop_at: float | None = None
        self.member = member.Member(
            name=settings.name,
            nonce=secrets.token_hex(8),
            platform=platform,
            calls=self._calls,
            clock=boot_clock,
            unix_ms=unix_ms,
            wake=self._calls.wake,
            order_pause_s=settings.turn_pause_s,
            retention_s=settings.retention_s,
            cores=settings.cores,
            store_partitions=settings.store_partitions,
            store_record_bytes=settings.store_record_bytes,
            learned_durations=settings.learned_durations,
            address=_own_address(settings),
        )
        job_service = self.member.job_service
        self._servers = [
            _server(
                settings.ready, platform.readiness(job_service), READY_THREADS
            ),
            _server(
                settings.front, platform.callers(job_service), FRONT_THREADS
            ),
        ]
        if metrics is not None and settings.metrics is not None:
            self._servers.append(
                _server(settings.metrics, metrics, READY_THREADS)
            )
        self._pool = concurrent.futures.ThreadPoolExecutor(
            max_workers=2 * len(self._servers)
        )

    def run(self) -> None:
        """Serve until `stop` is called; return when the servers are closed."""
        for listener in self._servers:
            self._pool.submit(_serve, listener)
        while not self._stop_due():
            self._step()
        end = boot_clock() + self._settings.stop_within_s - BALANCER_NOTICE_S
        end -= EXIT_MARGIN_S
        self._accept_waiting(min(end, boot_clock() + MAX_ACCEPT_S))
        closing = [self._pool.submit(s.stop) for s in self._servers]
        # Answers to callers under way still need this thread.
        while boot_clock() < end and not all(f.done() for f in closing):
            self._step()
        for listener in self._servers:
            listener.open_requests.log_all_unanswered("the daemon ends")
        self._pool.shutdown(wait=False)

    def _accept_waiting(self, deadline: float) -> None:
        """Wait until the servers have accepted the connections that wait.

        Closing a server resets them. They are many if the process was paused
        while it stopped.
        """
        while boot_clock() < deadline and any(
            server.has_waiting(listener) for listener in self._servers
        ):
            self._step(max_wait_s=ACCEPT_CHECK_INTERVAL_S)

    def _step(self, *, max_wait_s: float = math.inf) -> None:
        now = boot_clock()
        self.member.step(now)
        wait_s = self.member.next_at(now) - now
        self._calls.run_once(min(wait_s, max_wait_s))

    def stop(self) -> None:
        """Begin to stop; may be called from a signal handler."""
        self._stopping.set()
        self._calls.wake()

    def _stop_due(self) -> bool:
        now = boot_clock()
        if self._stop_at is None and self._stopping.is_set():
            left = self._settings.stop_within_s - STOP_MARGIN_S
            self._stop_at = now + min(BALANCER_NOTICE_S, left)
            logger.bind(event="daemon.stopping").info("daemon is stopping")
            self.member.leave()
        return self._stop_at is not None and now >= self._stop_at


def _own_address(settings: typing.Any) -> str:
    """Return what no other process shares, "" unless it is an IP address."""
    front = settings.front
    try:
        unspecified = ipaddress.ip_address(front.host).is_unspecified
    except ValueError:
        return ""
    if unspecified:
        return ""
    return f"{settings.name} {front}"


def _server(
    address: typing.Any, application: ports.Application, threads: int
) -> typing.Any:
    return server.make(
        host=address.host,
        port=address.port,
        application=application,
        threads=threads,
        timeout_s=HTTP_TIMEOUT_S,
        max_header_bytes=MAX_HEADER_BYTES,
        max_body_bytes=MAX_BODY_BYTES,
    )


def _serve(listener: typing.Any) -> None:
    try:
        listener.serve()
    except Exception:
        logger.opt(exception=True).error("HTTP server thread failed")
        raise
