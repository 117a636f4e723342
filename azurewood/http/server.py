"""Creates HTTP servers with this project's limits.

cheroot serves WSGI applications with a pool of threads; werkzeug's own
server is meant for development only.
"""

import dataclasses
import logging
import select
import ssl
import typing

from cheroot import wsgi
import loguru

from azurewood.http import connections
from azurewood.http import exceptions
from azurewood.http import open_requests

BACKLOG = 256
SHUTDOWN_TIMEOUT_S = 5


@dataclasses.dataclass(slots=True, kw_only=True)
class TlsFiles:
    """Paths of a certificate and its private key, in PEM."""

    certificate: str
    key: str


def make(
    *,
    host: str,
    port: int,
    application: typing.Callable,
    threads: int,
    timeout_s: float,
    max_header_bytes: int,
    max_body_bytes: int,
    tls: TlsFiles | None = None,
) -> wsgi.Server:
    """Return a listening server; raise ``HttpError`` if it cannot listen.

    The same error is raised if the TLS files cannot be used.
    """
    server = wsgi.Server(
        (host, port),
        application,
        numthreads=threads,
        max=threads,
        request_queue_size=BACKLOG,
        timeout=timeout_s,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        accepted_queue_size=threads * 2,
        accepted_queue_timeout=1,
    )
    server.max_request_header_size = max_header_bytes
    server.max_request_body_size = max_body_bytes
    server.nodelay = True
    server.error_log = _log
    server.ConnectionClass = connections.CheckedConnection
    server.gateway = connections.CheckedGateway
    server.read_deadlines = connections.ReadDeadlines(
        limit_s=timeout_s * connections.READ_LIMIT_FACTOR
    )
    server.open_requests = open_requests.OpenRequests()
    server.ssl_adapter = _adapter(tls)
    try:
        server.prepare()
    except OSError as exc:
        raise exceptions.HttpError(
            f"cannot listen on {host}:{port}: {exc}"
        ) from exc
    return server


def has_waiting(listener: wsgi.Server) -> bool:
    """Return whether connections wait for a listening server to accept them.

    The result is False for a server that has been stopped.
    """
    if listener.socket is None:
        return False
    poll = select.poll()
    poll.register(listener.socket, select.POLLIN)
    return bool(poll.poll(0))


def _log(
    message: str = "", level: int = logging.INFO, traceback: bool = False
) -> None:
    """Log a message of the server library."""
    name = logging.getLevelName(level)
    loguru.logger.opt(exception=traceback).log(name, "{}", message)


def _adapter(tls: TlsFiles | None) -> connections.TlsAdapter | None:
    """Return an adapter for TLS 1.2 or later, or None without TLS files."""
    if tls is None:
        return None
    try:
        adapter = connections.TlsAdapter(tls.certificate, tls.key)
    except (OSError, ssl.SSLError) as exc:
        raise exceptions.HttpError(
            f"cannot use the TLS certificate {tls.certificate}: {exc}"
        ) from exc
    adapter.context.minimum_version = ssl.TLSVersion.TLSv1_2
    return adapter
