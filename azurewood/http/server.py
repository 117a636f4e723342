"""The HTTP server library, set to this project's limits.

cheroot serves WSGI applications with a pool of threads; werkzeug's own
server is meant for development only.
"""

import dataclasses
import ssl
import typing

from cheroot.ssl import builtin
from cheroot import wsgi

from azurewood.http import connections
from azurewood.http import exceptions

BACKLOG = 256
SOCKET_KEY = "azurewood.socket"
CLOSE_HEADER = ("Connection", "close")
SHUTDOWN_S = 5


@dataclasses.dataclass(slots=True, kw_only=True)
class TlsFiles:
    """Paths of a certificate and its private key, in PEM."""

    certificate: str
    key: str


class Gateway(wsgi.Gateway_10):
    """Shows the application the caller's socket, and lets it be closed."""

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment, with the socket in it."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ

    def start_response(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: typing.Any = None,
    ) -> typing.Callable:
        """Close the connection after an answer that says so."""
        if CLOSE_HEADER in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


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
    """Return a server that listens; raise ``HttpError`` if it cannot."""
    server = wsgi.Server(
        (host, port),
        application,
        numthreads=threads,
        max=threads,
        request_queue_size=BACKLOG,
        timeout=timeout_s,
        shutdown_timeout=SHUTDOWN_S,
        accepted_queue_size=threads * 2,
        accepted_queue_timeout=1,
    )
    server.max_request_header_size = max_header_bytes
    server.max_request_body_size = max_body_bytes
    server.nodelay = True
    server.gateway = Gateway
    server.ConnectionClass = connections.ErrorConnection
    server.ssl_adapter = _adapter(tls)
    try:
        server.prepare()
    except OSError as exc:
        raise exceptions.HttpError(
            f"cannot listen on {host}:{port}: {exc}"
        ) from exc
    return server


def _adapter(tls: TlsFiles | None) -> builtin.BuiltinSSLAdapter | None:
    """Return what speaks TLS 1.2 or later, or None without files."""
    if tls is None:
        return None
    try:
        adapter = builtin.BuiltinSSLAdapter(tls.certificate, tls.key)
    except (OSError, ssl.SSLError) as exc:
        raise exceptions.HttpError(
            f"cannot use the TLS certificate {tls.certificate}: {exc}"
        ) from exc
    adapter.context.minimum_version = ssl.TLSVersion.TLSv1_2
    return adapter
