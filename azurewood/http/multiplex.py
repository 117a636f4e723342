"""Concurrent HTTP calls from one thread, with pycurl's multi interface.

A ``Multiplexer`` is used by one thread only; ``wake`` may be called by any.
A call other than a GET is sent once, so that its reply is that of its only
copy. libcurl by itself repeats a request whose reused connection is reset.
Connections are kept and reused. A connection on which a call timed out is
closed by libcurl, which resets it: see `azurewood.http.sockets`.
"""

from collections import abc
import dataclasses
import enum
import functools
import io
import selectors
import socket
import time
import typing

import pycurl

from azurewood.http import known_connections
from azurewood.http import options
from azurewood.http import progress
from azurewood.http import sending
from azurewood.http import sockets

MAX_IDLE_CONNECTIONS: typing.Final = 512
"""Connections kept open; more than hosts times concurrent calls to each."""
MAX_CONNECTIONS_PER_HOST: typing.Final = 32
"""Connections to one address; half of the 64 that a host accepts. A leader
holds up to 20 reads of the store open beside its appends."""


class Outcome(enum.Enum):
    """Whether a call was answered, not sent, or may have been processed."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Call:
    """A call to make; the answer must be complete within ``timeout_ms``.

    With ``progress_timeout_ms`` it also fails once no byte of its answer has
    arrived for so long.

    A call that has not been sent by ``send_by``, on the multiplexer's clock,
    is not sent at all. Causes of such a delay are busy connections, a slow
    handshake or a process that was stopped.

    With ``connected_by`` it is only sent over a connection that has answered
    before and was made by then. Nothing else reaches just the process that
    had the address at that time.
    """

    method: str
    url: str
    headers: tuple[str, ...] = ()
    body: bytes | None = None
    timeout_ms: int
    progress_timeout_ms: int | None = None
    send_by: float | None = None
    connected_by: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Reply:
    """The result of a call; ``status`` and ``body`` are set if answered.

    ``sent_at`` is when the call was submitted and ``at`` when it ended, both
    on the multiplexer's clock. ``written_at`` is just before the request of
    an answered call was last written, when its connection had been made.
    ``writes`` is how often the request was written: more than once only a
    GET whose reused connection was reset.
    ``disconnected`` is whether a call with ``connected_by`` failed for want
    of such a connection, or as it was closed, and not for want of time.
    """

    outcome: Outcome
    status: int = 0
    body: bytes = b""
    reason: str = ""
    sent_at: float
    at: float
    written_at: float = 0.0
    writes: int = 0
    disconnected: bool = False


Callback = abc.Callable[[Reply], None]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Transfer:
    call: Call
    done: Callback
    buffer: io.BytesIO
    sent_at: float
    sending: sending.Sending
    written_at: float = 0.0
    connection: known_connections.Connection = ()


class Multiplexer:
    """Makes calls and passes each reply to its callback.

    ``waited_s`` is the total time that it has waited for events.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_idle_handles",
        "_multi",
        "_progress",
        "_selector",
        "_timer_at",
        "_transfers",
        "_unusable",
        "_wake_receiver",
        "_wake_sender",
        "waited_s",
    )

    def __init__(self, *, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._connections = known_connections.KnownConnections()
        self._progress = progress.ProgressWatch(clock=clock)
        self._multi = pycurl.CurlMulti()
        self._selector = selectors.DefaultSelector()
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._unusable: list[tuple[Callback, Reply]] = []
        self._timer_at: float | None = None
        self.waited_s = 0.0
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        multi = self._multi
        multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)
        multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, MAX_CONNECTIONS_PER_HOST)
        multi.setopt(pycurl.M_PIPELINING, 0)

    @property
    def under_way(self) -> int:
        """Return how many calls have no reply yet."""
        return len(self._transfers) + len(self._unusable)

    def submit(self, call: Call, done: Callback) -> None:
        """Start a call; ``run_once`` calls ``done`` with its reply.

        A call that cannot be made, such as one whose URL is no text in
        ASCII, is answered as not sent.
        """
        curl = (
            self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        )
        buffer = io.BytesIO()
        transfer = _Transfer(
            call=call,
            done=done,
            buffer=buffer,
            sent_at=self._clock(),
            sending=sending.Sending(
                may_repeat=call.method == "GET",
                needs_kept=call.connected_by is not None,
            ),
        )
        try:
            options.prepare(curl, call, buffer)
        except _UNUSABLE as exc:
            curl.reset()
            self._idle_handles.append(curl)
            self._unusable.append((done, _not_sent(transfer.sent_at, exc)))
            return
        curl.setopt(pycurl.SOCKOPTFUNCTION, transfer.sending.on_new_socket)
        curl.setopt(
            pycurl.PREREQFUNCTION,
            functools.partial(self._before_writing, transfer),
        )
        if call.progress_timeout_ms is not None:
            self._watch_progress(curl, call.progress_timeout_ms, buffer)
        self._transfers[curl] = transfer
        self._multi.add_handle(curl)

    def _watch_progress(
        self, curl: pycurl.Curl, timeout_ms: int, buffer: io.BytesIO
    ) -> None:
        watch = self._progress
        watch.add(curl, timeout_ms / 1000)

        def receive(data: bytes) -> None:
            watch.note(curl)
            buffer.write(data)

        curl.setopt(pycurl.WRITEFUNCTION, receive)
        curl.setopt(pycurl.HEADERFUNCTION, lambda line: watch.note(curl))

    def _before_writing(self, transfer: _Transfer, *connection: object) -> int:
        """Abort a call that must not be written to a connection.

        libcurl calls this right before it sends a request or repeats one.
        """
        now = self._clock()
        if not self._may_write(transfer, connection, now):
            return pycurl.PREREQFUNC_ABORT
        transfer.connection = connection
        transfer.written_at = now
        transfer.sending.writes += 1
        return pycurl.PREREQFUNC_OK

    def _may_write(
        self,
        transfer: _Transfer,
        connection: known_connections.Connection,
        now: float,
    ) -> bool:
        """Return whether a call is in time and goes over this connection."""
        call = transfer.call
        known = self._connections
        if transfer.sending.descriptor >= 0:
            known.opened(connection, transfer.sending.descriptor)
        if not transfer.sending.may_use(known.descriptor(connection)):
            return False
        if call.send_by is not None and now >= call.send_by:
            return False
        bound_to = call.connected_by
        return bound_to is None or known.made_by(connection, bound_to)

    def wake(self) -> None:
        """Wake ``run_once`` from another thread."""
        try:
            self._wake_sender.send(b"w")
        except BlockingIOError:
            # The socket is full of wakes that have not been read yet.
            return

    def run_once(self, timeout_s: float) -> None:
        """Wait for at most ``timeout_s`` and handle all ready events."""
        began_at = self._clock()
        ready = self._selector.select(self._select_timeout(timeout_s))
        self.waited_s += self._clock() - began_at
        for key, mask in ready:
            if key.fileobj is self._wake_receiver:
                self._drain_wakes()
            else:
                self._socket_action(key.fd, options.select_mask(mask))
        if self._timer_at is not None and time.monotonic() >= self._timer_at:
            self._timer_at = None
            self._socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_all()
        self._finish_stalled()
        self._answer_unusable()

    def _answer_unusable(self) -> None:
        unusable, self._unusable = self._unusable, []
        for done, reply in unusable:
            done(reply)

    def _select_timeout(self, timeout_s: float) -> float:
        if self._unusable:
            return 0.0
        timeout_s = min(timeout_s, self._progress.due_at - self._clock())
        if self._timer_at is None:
            return max(0.0, timeout_s)
        return max(0.0, min(timeout_s, self._timer_at - time.monotonic()))

    def _drain_wakes(self) -> None:
        try:
            while self._wake_receiver.recv(4096):
                pass
        except BlockingIOError:
            return

    def _socket_action(self, fd: int, mask: int) -> None:
        while True:
            status, _ = self._multi.socket_action(fd, mask)
            if status != pycurl.E_CALL_MULTI_PERFORM:
                return

    def _watch_socket(
        self, poll_mode: int, fd: int, multi: object, data: object
    ) -> None:
        if poll_mode == pycurl.POLL_REMOVE:
            try:
                self._selector.unregister(fd)
            except (KeyError, ValueError):
                # libcurl also reports sockets that were never registered.
                return
            return
        mask = 0
        if poll_mode in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_READ
        if poll_mode in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_WRITE
        try:
            self._selector.modify(fd, mask)
        except KeyError:
            self._selector.register(fd, mask)

    def _set_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            self._timer_at = None
        else:
            self._timer_at = time.monotonic() + timeout_ms / 1000

    def _finish_all(self) -> None:
        while True:
            left, good, bad = self._multi.info_read()
            for curl in good:
                self._finish(curl, None)
            for curl, code, text in bad:
                self._finish(curl, (code, text))
            if not left:
                return

    def _finish_stalled(self) -> None:
        """Fail calls without progress, once what has arrived is processed."""
        for curl in self._progress.stalled():
            call = self._transfers[curl].call
            text = f"no byte arrived for {call.progress_timeout_ms} ms"
            self._finish(curl, (pycurl.E_OPERATION_TIMEDOUT, text))

    def _finish(
        self, curl: pycurl.Curl, error: tuple[int, str] | None
    ) -> None:
        transfer = self._transfers[curl]
        if transfer.sending.trouble is sending.Trouble.ENDED:
            self._begin_again(curl, transfer)
            return
        del self._transfers[curl]
        reply = self._reply(curl, transfer, error)
        self._multi.remove_handle(curl)
        self._progress.remove(curl)
        curl.reset()
        self._idle_handles.append(curl)
        transfer.done(reply)

    def _begin_again(self, curl: pycurl.Curl, transfer: _Transfer) -> None:
        """Begin a call again whose connection had ended; nothing was sent."""
        transfer.sending.trouble = None
        self._multi.remove_handle(curl)
        deadline = transfer.sent_at + transfer.call.timeout_ms / 1000
        left_ms = int((deadline - self._clock()) * 1000)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, left_ms))
        self._multi.add_handle(curl)

    def _reply(
        self,
        curl: pycurl.Curl,
        transfer: _Transfer,
        error: tuple[int, str] | None,
    ) -> Reply:
        now = self._clock()
        is_new = curl.getinfo(pycurl.NUM_CONNECTS) > 0
        if error is None:
            self._connections.answered(
                transfer.connection, transfer.written_at, is_new=is_new
            )
            return Reply(
                outcome=Outcome.ANSWERED,
                status=curl.getinfo(pycurl.RESPONSE_CODE),
                body=transfer.buffer.getvalue(),
                sent_at=transfer.sent_at,
                at=now,
                written_at=transfer.written_at,
                writes=transfer.sending.writes,
            )
        self._connections.failed(transfer.connection, is_new=is_new)
        code, text = error
        if transfer.sending.trouble is not None:
            text = transfer.sending.trouble.value
        bound = transfer.call.connected_by is not None
        unsent = sockets.nothing_sent(curl)
        return Reply(
            outcome=Outcome.NOT_SENT if unsent else Outcome.UNKNOWN,
            reason=text,
            sent_at=transfer.sent_at,
            at=now,
            writes=transfer.sending.writes,
            disconnected=bound and code != pycurl.E_OPERATION_TIMEDOUT,
        )


_UNUSABLE: typing.Final = (ValueError, OverflowError, pycurl.error)
"""What libcurl's binding raises for an option's value."""


def _not_sent(at: float, exc: Exception) -> Reply:
    return Reply(outcome=Outcome.NOT_SENT, reason=str(exc), sent_at=at, at=at)
