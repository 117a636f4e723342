"""An HTTP client that sends requests to endpoints over pooled links.

Each link keeps one connection to one endpoint. An answer is read completely
before any part of it is passed on.
"""

import collections
import concurrent.futures
import dataclasses
import threading
import time

import pycurl

from azurewood.http import links
from azurewood.http import sockets
from azurewood.http import watch
from azurewood.state import events

MAX_ANSWER_BYTES = 32 << 20
IDLE_LINKS_PER_ENDPOINT = 16

Endpoint = tuple[str, int]
Result = events.RequestResult


@dataclasses.dataclass(slots=True, kw_only=True)
class OutgoingRequest:
    """A request to send to an endpoint."""

    method: str
    path: str
    headers: list[str]
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Reply:
    """The result of an attempt, with the complete answer if there is one."""

    result: Result
    elapsed_s: float
    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    reason: str = ""


def unsent_reply(reason: str) -> Reply:
    """Return the reply of a request that was not sent."""
    return Reply(result=Result.UNSENT, elapsed_s=0.0, reason=reason)


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
    """Sends requests to endpoints and keeps idle links for later requests."""

    __slots__ = ("_idle", "_lock", "_monitor")

    def __init__(self) -> None:
        self._idle: dict[Endpoint, collections.deque[links.Link]] = {}
        self._lock = threading.Lock()
        self._monitor = watch.HedgeMonitor()

    def send(
        self,
        address: str,
        port: int,
        outgoing: OutgoingRequest,
        *,
        timeout_s: float,
        fresh: bool = False,
        hedge_at: float = 0.0,
    ) -> Reply:
        """Send a request and return its result; raise no exception.

        With ``fresh`` the request uses a new connection, on which libcurl
        never repeats a request by itself. If ``hedge_at`` is not 0 and a
        reused connection has received nothing by then, the request is also
        sent on a new connection.
        """
        endpoint = (address, port)
        link = links.new_link() if fresh else self._acquire_link(endpoint)
        if not hedge_at or link.sock is None:
            return self._perform(link, endpoint, outgoing, _Sink(), timeout_s)
        return self._send_hedged(link, endpoint, outgoing, timeout_s, hedge_at)

    def _send_hedged(
        self,
        link: links.Link,
        endpoint: Endpoint,
        outgoing: OutgoingRequest,
        timeout_s: float,
        hedge_at: float,
    ) -> Reply:
        """Send on a reused connection; hedge if it receives nothing."""
        until = time.monotonic() + timeout_s
        sink = _Sink()
        hedged: list[Reply] = []

        def resend(attempt: watch.Attempt) -> Reply | None:
            attempt.hedge_link = links.new_link()
            left_s = until - time.monotonic()
            reply = self._perform(
                attempt.hedge_link, endpoint, outgoing, _Sink(), left_s
            )
            hedged.append(reply)
            return reply if reply.status else None

        attempt = watch.Attempt(
            hedge_at=hedge_at,
            link=link,
            has_answer_begun=lambda: bool(sink.lines),
            resend=resend,
        )
        self._monitor.add(attempt)
        reply = self._perform(link, endpoint, outgoing, sink, timeout_s)
        if not reply.status and attempt.hedge is not None:
            concurrent.futures.wait(
                [attempt.hedge], timeout=max(0.0, until - time.monotonic())
            )
        self._monitor.remove(attempt)
        if reply.status:
            return reply
        if attempt.winning_reply is None:
            return _without_answer(reply, attempt, hedged)
        self._close_idle(endpoint)
        return attempt.winning_reply

    def _perform(
        self,
        link: links.Link,
        endpoint: Endpoint,
        outgoing: OutgoingRequest,
        sink: _Sink,
        timeout_s: float,
    ) -> Reply:
        """Send over a link and keep the link, unless the attempt failed."""
        curl = link.curl
        _prepare(curl, *endpoint, outgoing, sink)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        begun = time.monotonic()
        try:
            curl.perform()
        except pycurl.error as exc:
            reply = _failure_reply(curl, exc, time.monotonic() - begun)
            link.close()
            return reply
        link.idle_since = time.monotonic()
        elapsed_s = link.idle_since - begun
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        headers = sink.parsed()
        if not _is_framed(outgoing.method, status, headers):
            link.close()
            return Reply(
                result=Result.BROKEN,
                elapsed_s=elapsed_s,
                reason="the answer's end is not marked",
            )
        self._release_link(endpoint, link)
        return Reply(
            result=Result.FAILED if status >= 500 else Result.ANSWERED,
            elapsed_s=elapsed_s,
            status=status,
            headers=headers,
            body=b"".join(sink.chunks),
        )

    def _acquire_link(self, endpoint: Endpoint) -> links.Link:
        """Return an idle link that still seems usable, or a new link."""
        now = time.monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(endpoint)
                link = idle.pop() if idle else None
            if link is None:
                return links.new_link()
            if not (link.is_expired(now) or link.is_closed_by_endpoint(now)):
                return link
            link.close()

    def _release_link(self, endpoint: Endpoint, link: links.Link) -> None:
        """Add a link to the idle links and close expired and surplus ones."""
        with self._lock:
            idle = self._idle.setdefault(endpoint, collections.deque())
            idle.append(link)
            old = []
            while idle[0].is_expired(link.idle_since) or (
                len(idle) > IDLE_LINKS_PER_ENDPOINT
            ):
                old.append(idle.popleft())
        for link in old:
            link.close()

    def _close_idle(self, endpoint: Endpoint) -> None:
        """Close all idle links to an endpoint, as they may be stalled too."""
        with self._lock:
            dropped = self._idle.pop(endpoint, ())
        for link in dropped:
            link.close()

    def close(self) -> None:
        """Close all idle connections."""
        self._monitor.close()
        for endpoint in tuple(self._idle):
            self._close_idle(endpoint)


def _is_framed(
    method: str, status: int, headers: list[tuple[str, str]]
) -> bool:
    """Return whether an answer declares its length (RFC 9112, 6.3).

    If it does not, it ends where the connection ends, so that an answer
    truncated by a broken connection would look complete.
    """
    if method == "HEAD" or status in (204, 304):
        return True
    names = {name.lower() for name, _ in headers}
    return bool(names & {"content-length", "transfer-encoding"})


def _prepare(
    curl: pycurl.Curl,
    address: str,
    port: int,
    outgoing: OutgoingRequest,
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


def _without_answer(
    reply: Reply, attempt: watch.Attempt, hedged: list[Reply]
) -> Reply:
    """Return the reply of a failed attempt whose hedge got no answer either.

    It is only refused if no byte of the hedge was sent.
    """
    if reply.result != Result.REFUSED or not attempt.has_hedge_begun:
        return reply
    if hedged and hedged[0].result == Result.REFUSED:
        return reply
    return dataclasses.replace(reply, result=Result.BROKEN)


def _failure_reply(
    curl: pycurl.Curl, exc: pycurl.error, elapsed: float
) -> Reply:
    """Return the reply of a failed transfer.

    Its result says whether the request can have run.
    """
    code, text = exc.args
    if sockets.nothing_sent(curl):
        result = Result.REFUSED
    elif code == pycurl.E_OPERATION_TIMEDOUT:
        result = Result.TIMED_OUT
    else:
        result = Result.BROKEN
    return Reply(result=result, elapsed_s=elapsed, reason=text)
