"""The HTTP server library, set to this project's limits.

cheroot serves WSGI applications with a pool of threads; werkzeug's own
server is meant for development only.
"""

import typing

from cheroot import wsgi

from azurewood.http import exceptions

BACKLOG = 256
SHUTDOWN_S = 5


def make(
    *,
    host: str,
    port: int,
    application: typing.Callable,
    threads: int,
    timeout_s: float,
    max_header_bytes: int,
    max_body_bytes: int,
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
    try:
        server.prepare()
    except OSError as exc:
        raise exceptions.HttpError(
            f"cannot listen on {host}:{port}: {exc}"
        ) from exc
    return server
