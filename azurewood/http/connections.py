"""Connections of the HTTP server library, with time limits and JSON errors.

The library itself answers a request that is malformed, too large or too
slow. Such a request never reached the application, so it did not run, and
the answer says so. A truncated body is never passed to the application as
if it were complete.
"""

import dataclasses
import socket
import ssl
import threading
import time
import typing

from cheroot import errors
from cheroot import server
from cheroot.ssl import builtin
from cheroot import wsgi
import loguru
import msgspec

from azurewood.http import exceptions
from azurewood.http import open_requests
from azurewood.http import outcomes

SOCKET_KEY = "azurewood.socket"
CLOSE_HEADER = ("Connection", "close")
DEADLINE_CHECK_INTERVAL_S = 0.5
READ_LIMIT_FACTOR = 6
"""Limit for reading a whole request, as a multiple of the socket timeout."""
TOO_LARGE = "Request Entity Too Large"
INTERNAL_ERROR = "500"


class BodyError(exceptions.HttpError):
    """A request's body is truncated, malformed or too large.

    The request did not run.
    """

    def __init__(self, status: str, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclasses.dataclass(slots=True, kw_only=True)
class ReadDeadlines:
    """Deadlines of the connections on which a request is being read.

    A connection past its deadline is shut down for reading, so that a client
    that sends very slowly does not occupy a thread for long.
    """

    limit_s: float
    _deadlines: dict[socket.socket, float] = dataclasses.field(
        default_factory=dict
    )
    _lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def begin(self, sock: socket.socket) -> None:
        """Start the deadline of a request that is being read."""
        with self._lock:
            self._deadlines[sock] = time.monotonic() + self.limit_s

    def end(self, sock: socket.socket) -> None:
        """Remove a deadline: reading has finished or was given up."""
        with self._lock:
            self._deadlines.pop(sock, None)

    def run(self, stopping: threading.Event) -> None:
        """Shut down connections past their deadline until the daemon stops."""
        while not stopping.wait(DEADLINE_CHECK_INTERVAL_S):
            self._shut_down_late(time.monotonic())

    def _shut_down_late(self, now: float) -> None:
        with self._lock:
            late = [s for s, at in self._deadlines.items() if at <= now]
            for sock in late:
                del self._deadlines[sock]
                _shut_down(sock)


def _shut_down(sock: socket.socket) -> None:
    """Shut down a socket for reading, which wakes the thread that reads."""
    try:
        # SSLSocket.shutdown drops the TLS state, after which the thread
        # would go on reading in plain text.
        socket.socket.shutdown(sock, socket.SHUT_RD)
    except OSError:
        return


class BodyReader:
    """A request's body; errors of reading it are raised as ``BodyError``."""

    def __init__(
        self,
        *,
        body: typing.Any,
        chunked: bool,
        on_end: typing.Callable[[], None],
    ) -> None:
        """Set the function that is called once the whole body was read."""
        self._body = body
        self._chunked = chunked
        self._on_end = on_end
        self._call_if_ended()

    def _call_if_ended(self) -> None:
        if self.ended:
            self._on_end()

    @property
    def remaining(self) -> int:
        """Return how many bytes of Content-Length have not been read."""
        return 0 if self._chunked else self._body.remaining

    @property
    def ended(self) -> bool:
        """Return whether the whole body has been read."""
        return self._body.closed if self._chunked else not self.remaining

    def read(self, size: int | None = None) -> bytes:
        """Read up to ``size`` bytes; all if it is None or negative."""
        if size is not None and size < 0:
            size = None
        wanted = self.remaining if size is None else min(size, self.remaining)
        data = _read_checked(self._body.read, size)
        if not self._chunked and len(data) < wanted:
            raise BodyError("400 Bad Request", "the body is cut short")
        self._call_if_ended()
        return data

    def readline(self, size: int | None = None) -> bytes:
        """Read a line of up to ``size`` bytes."""
        return _read_checked(self._body.readline, size)

    def readlines(self, hint: int = 0) -> list[bytes]:
        """Read lines of about ``hint`` bytes in total."""
        return _read_checked(self._body.readlines, hint)

    def close(self) -> None:
        """Close the body."""
        self._body.close()


def _read_checked(read: typing.Callable, size: int | None) -> typing.Any:
    """Call a read function; raise the library's errors as ``BodyError``."""
    try:
        return read(size)
    except errors.MaxSizeExceeded as exc:
        raise _too_large() from exc
    except ValueError as exc:
        raise BodyError(
            "400 Bad Request", "the chunked body is malformed"
        ) from exc
    except OSError as exc:
        if exc.args[:1] == (TOO_LARGE,):
            raise _too_large() from exc
        raise


def _too_large() -> BodyError:
    return BodyError(f"413 {TOO_LARGE}", "the body is too large")


class CheckedGateway(wsgi.Gateway_10):
    """Passes requests to the application, with a ``BodyReader`` as body."""

    def __init__(self, req: server.HTTPRequest) -> None:
        conn = req.conn
        req.rfile = BodyReader(
            body=req.rfile,
            chunked=req.chunked_read,
            on_end=lambda: req.server.read_deadlines.end(conn.socket),
        )
        super().__init__(req)

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment, including the caller's socket."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ

    def start_response(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: typing.Any = None,
    ) -> typing.Callable:
        """Close the connection after an answer with ``Connection: close``."""
        if CLOSE_HEADER in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


class CheckedRequest(server.HTTPRequest):
    """A request whose errors are answered as JSON."""

    def parse_request(self) -> None:
        """Read the request line and the headers."""
        try:
            super().parse_request()
        except ValueError:
            self.simple_response("400 Bad Request", "malformed request")

    def respond(self) -> None:
        """Answer the request, with an error if its body cannot be read."""
        open_reqs = self.server.open_requests
        open_reqs.begin(id(self), self._request_line())
        try:
            super().respond()
        except BodyError as exc:
            self.close_connection = True
            if not self.sent_headers:
                self.simple_response(exc.status, str(exc))
        except OSError as exc:
            if isinstance(self.rfile, BodyReader) and self.rfile.ended:
                open_reqs.log_unanswered(id(self), str(exc))
            raise
        finally:
            open_reqs.end(id(self))

    def _request_line(self) -> open_requests.RequestLine:
        return open_requests.RequestLine(
            method=self.method.decode("latin-1"),
            path=self.path.decode("latin-1"),
        )

    def send_headers(self) -> None:
        """Send the status line and the headers of an answer.

        If a chunked body was not read to its end, close the connection, as
        the rest would be parsed as the next request.
        """
        if self.chunked_read and not self.rfile.ended:
            self.close_connection = True
        super().send_headers()

    def simple_response(self, status: str, msg: str | bytes = "") -> None:
        """Answer with an error and close the connection."""
        self.close_connection = True
        phrase = str(status).partition(" ")[2]
        detail = msg.decode("latin-1") if isinstance(msg, bytes) else msg
        body = msgspec.json.encode(
            outcomes.ErrorBody(
                outcome=_error_outcome(str(status)),
                reason=phrase.lower().replace(" ", "-"),
                detail=detail,
            )
        )
        self._write_error(str(status), body)

    def _write_error(self, status: str, body: bytes) -> None:
        head = (
            f"{self.server.protocol} {status}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\n"
            f"{outcomes.OUTCOME_HEADER}: {_error_outcome(status)}\r\n"
            "Connection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
        except OSError:
            return


def _error_outcome(status: str) -> str:
    """Return the ``Azurewood-Outcome`` value for an error status.

    Only an internal error can occur after the application was called; with
    any other error the request did not run.
    """
    if status.startswith(INTERNAL_ERROR):
        return outcomes.UNKNOWN
    return outcomes.NOT_RUN


class CheckedConnection(server.HTTPConnection):
    """A connection that limits the time for reading each request."""

    RequestHandlerClass: typing.ClassVar[type] = CheckedRequest
    _is_handshake_done = False

    def communicate(self) -> bool:
        """Read and answer one request; return whether to keep it open."""
        self.server.read_deadlines.begin(self.socket)
        try:
            return self._ensure_handshake() and super().communicate()
        finally:
            self.server.read_deadlines.end(self.socket)

    def _ensure_handshake(self) -> bool:
        """Do a pending TLS handshake; return whether it succeeded.

        The request's thread does it, not the thread that accepts
        connections, which an unresponsive client would block.
        """
        if not self._is_handshake_done and isinstance(
            self.socket, ssl.SSLSocket
        ):
            try:
                self.socket.do_handshake()
            except OSError as exc:
                loguru.logger.debug("TLS handshake failed: {}", exc)
                return False
        self._is_handshake_done = True
        return True


class TlsAdapter(builtin.BuiltinSSLAdapter):
    """A TLS adapter that leaves the handshake to the request's thread."""

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict]:
        """Return the socket wrapped in TLS, and its WSGI variables."""
        wrapped = self.context.wrap_socket(
            sock, do_handshake_on_connect=False, server_side=True
        )
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}
