"""A small HTTP/1.1 server protocol with keep-alive, for asyncio.

It accepts only bodies with a Content-Length and handles one request at a
time per connection; pipelined requests wait in the connection's buffer.
"""

import asyncio
import dataclasses
import typing

MAX_HEAD_BYTES = 32 << 10
MAX_BODY_BYTES = 4 << 20
# The connection of a caller that pipelines more than this is aborted.
MAX_BUFFER_BYTES = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    500: "Internal Server Error",
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""


class BadRequestError(Exception):
    """The bytes are not a request that this server accepts."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class Connection(asyncio.Protocol):
    """A connection. ``owner`` accepts it and answers its requests."""

    def __init__(self, *, owner: "Owner"):
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.silent = False
        self.busy = False
        self.closing = False
        self._buffer = bytearray()
        self._head: Request | None = None
        self._length = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection if the owner accepts it, else abort it."""
        self.transport = typing.cast(asyncio.Transport, transport)
        if not self.owner.accept(self):
            self.closed = True
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner that the connection is closed."""
        if not self.closed:
            self.closed = True
            self.owner.lost(self)

    def data_received(self, data: bytes) -> None:
        """Buffer the data, and pass a complete request to the owner."""
        if self.silent or self.closed:
            return
        self._buffer += data
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self.abort()
        elif not self.busy:
            self._next_request()

    def answer(
        self, status: int, body: bytes, *, kind: str, close: bool = False
    ) -> None:
        """Answer the current request, then handle the next one."""
        if self.closed or self.silent:
            return
        close = close or self.closing
        self.transport.write(
            _head(status, len(body), kind=kind, close=close) + body
        )
        self.busy = False
        if close:
            self.transport.close()
        elif self._buffer:
            # A direct call would recurse once per pipelined request.
            asyncio.get_running_loop().call_soon(self._take_up)

    def answer_in_part(self, body: bytes, *, kind: str) -> None:
        """Send the first half of an answer and close the connection."""
        if self.closed or self.silent:
            return
        head = _head(200, len(body), kind=kind, close=False)
        self.transport.write(head + body[: len(body) // 2])
        self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self.transport is not None:
            self.transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection, or mark it to close after its answer."""
        self.closing = True
        if not self.busy and not self._buffer and self._head is None:
            self.transport.close()

    def _take_up(self) -> None:
        if not (self.busy or self.closed or self.silent):
            self._next_request()

    def _next_request(self) -> None:
        try:
            req = self._parse()
        except BadRequestError as exc:
            self.busy = True
            self.answer(
                exc.status, str(exc).encode(), kind="text/plain", close=True
            )
            return
        if req is not None:
            self.busy = True
            self.owner.handle(self, req)

    def _parse(self) -> Request | None:
        if self._head is None:
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                if len(self._buffer) > MAX_HEAD_BYTES:
                    raise BadRequestError(400, "the header is too long")
                return None
            self._head = _parse_head(bytes(self._buffer[:end]))
            del self._buffer[: end + 4]
            self._length = _body_length(self._head)
            if self._head.headers.get("expect", "") and self._length:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if len(self._buffer) < self._length:
            return None
        req = self._head
        req.body = bytes(self._buffer[: self._length])
        del self._buffer[: self._length]
        self._head = None
        return req


class Owner(typing.Protocol):
    """Interface of the server that a connection belongs to."""

    def accept(self, conn: Connection) -> bool:
        """Return whether the connection may stay."""

    def lost(self, conn: Connection) -> None:
        """Handle the close of an accepted connection."""

    def handle(self, conn: Connection, req: Request) -> None:
        """Answer a request, immediately or later."""


def _parse_head(head: bytes) -> Request:
    first, *lines = head.decode("latin-1").split("\r\n")
    words = first.split(" ")
    if len(words) != 3 or not words[2].startswith("HTTP/1."):
        raise BadRequestError(400, "malformed request line")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise BadRequestError(400, "malformed header line")
        headers[name.lower()] = value.strip()
    return Request(method=words[0], path=words[1], headers=headers)


def _body_length(req: Request) -> int:
    if "transfer-encoding" in req.headers:
        raise BadRequestError(411, "send a Content-Length")
    text = req.headers.get("content-length", "0")
    if not (text.isascii() and text.isdigit()):
        raise BadRequestError(400, "malformed Content-Length")
    if int(text) > MAX_BODY_BYTES:
        raise BadRequestError(413, "the body is too large")
    return int(text)


def _head(status: int, length: int, *, kind: str, close: bool) -> bytes:
    last = "Connection: close\r\n" if close else ""
    return (
        f"HTTP/1.1 {status} {REASONS[status]}\r\n"
        f"Content-Type: {kind}\r\nContent-Length: {length}\r\n{last}\r\n"
    ).encode()
