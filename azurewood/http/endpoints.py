"""Sending requests to endpoints with pooled pycurl handles.

Each handle keeps one connection to one endpoint. A request's answer is read
whole before anything of it is passed on.
"""

import collections
import dataclasses
import threading
import time

import pycurl

from azurewood.state import events

CONNECT_TIMEOUT_MS = 1000
MAX_ANSWER_BYTES = 32 << 20
IDLE_HANDLES_PER_ENDPOINT = 16
IDLE_CONNECTION_S = 30

Result = events.RequestResult


@dataclasses.dataclass(slots=True, kw_only=True)
class Outgoing:
    """A request to be sent to an endpoint."""

    method: str
    path: str
    headers: list[str]
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Reply:
    """How an attempt ended, with the whole answer if there is one."""

    result: Result
    elapsed_s: float
    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    reason: str = ""


def unsent(reason: str) -> Reply:
    """Return the reply of a request that was not sent."""
    return Reply(result=Result.REFUSED, elapsed_s=0.0, reason=reason)


class _Sink:
    """Collects an answer's header lines and body, within limits."""

    __slots__ = ("chunks", "lines", "size")

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.chunks: list[bytes] = []
        self.size = 0

    def header(self, line: bytes) -> None:
        if line.startswith(b"HTTP/"):
            self.lines.clear()
        else:
            self.lines.append(line)

    def write(self, chunk: bytes) -> int:
        self.size += len(chunk)
        if self.size > MAX_ANSWER_BYTES:
            return 0
        self.chunks.append(chunk)
        return len(chunk)

    def parsed(self) -> list[tuple[str, str]]:
        pairs = (line.decode("latin-1").partition(":") for line in self.lines)
        return [
            (name.strip(), value.strip())
            for name, colon, value in pairs
            if colon
        ]


class EndpointClient:
    """Keeps idle handles for each endpoint and sends requests."""

    __slots__ = ("_idle", "_lock")

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], collections.deque[pycurl.Curl]] = {}
        self._lock = threading.Lock()

    def send(
        self,
        address: str,
        port: int,
        outgoing: Outgoing,
        *,
        timeout_s: float,
        fresh: bool = False,
    ) -> Reply:
        """Send a request and return how it ended; raise nothing.

        With ``fresh`` it goes over a new connection, which libcurl never
        sends again by itself.
        """
        key = (address, port)
        curl = self._take(key)
        sink = _Sink()
        _prepare(curl, address, port, outgoing, sink)
        curl.setopt(pycurl.FRESH_CONNECT, 1 if fresh else 0)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        begun = time.monotonic()
        try:
            curl.perform()
        except pycurl.error as exc:
            elapsed = time.monotonic() - begun
            reply = _failure(curl, exc, elapsed)
            curl.close()
            return reply
        elapsed = time.monotonic() - begun
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        self._put_back(key, curl)
        return Reply(
            result=Result.FAILED if status >= 500 else Result.ANSWERED,
            elapsed_s=elapsed,
            status=status,
            headers=sink.parsed(),
            body=b"".join(sink.chunks),
        )

    def _take(self, key: tuple[str, int]) -> pycurl.Curl:
        with self._lock:
            idle = self._idle.get(key)
            if idle:
                return idle.pop()
        return _new_handle()

    def _put_back(self, key: tuple[str, int], curl: pycurl.Curl) -> None:
        with self._lock:
            idle = self._idle.setdefault(key, collections.deque())
            if len(idle) < IDLE_HANDLES_PER_ENDPOINT:
                idle.append(curl)
                return
        curl.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            for idle in self._idle.values():
                for curl in idle:
                    curl.close()
            self._idle.clear()


def _new_handle() -> pycurl.Curl:
    curl = pycurl.Curl()
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.MAXCONNECTS, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.MAXAGE_CONN, IDLE_CONNECTION_S)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    return curl


def _prepare(
    curl: pycurl.Curl,
    address: str,
    port: int,
    outgoing: Outgoing,
    sink: _Sink,
) -> None:
    curl.setopt(pycurl.URL, f"http://{address}:{port}{outgoing.path}")
    curl.setopt(pycurl.HTTPHEADER, outgoing.headers)
    curl.setopt(pycurl.WRITEFUNCTION, sink.write)
    curl.setopt(pycurl.HEADERFUNCTION, sink.header)
    if outgoing.body:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDSIZE, len(outgoing.body))
        curl.setopt(pycurl.POSTFIELDS, outgoing.body)
    else:
        curl.setopt(pycurl.HTTPGET, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, outgoing.method)
    curl.setopt(pycurl.NOBODY, 1 if outgoing.method == "HEAD" else 0)


def _failure(curl: pycurl.Curl, exc: pycurl.error, elapsed: float) -> Reply:
    """Tell what an error means for whether the request ran."""
    code, text = exc.args
    if not curl.getinfo(pycurl.REQUEST_SIZE):
        result = Result.REFUSED
    elif code == pycurl.E_OPERATION_TIMEDOUT:
        result = Result.TIMED_OUT
    else:
        result = Result.BROKEN
    return Reply(result=result, elapsed_s=elapsed, reason=text)
