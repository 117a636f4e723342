"""Concurrent HTTP calls from one thread, with pycurl's multi interface.

A ``Multiplexer`` is used by one thread only; ``wake`` may be called by any.
A call other than a GET is sent once, so that its reply is that of its only
copy. libcurl by itself repeats a request whose reused connection is reset.
Connections are kept and reused. A connection on which a call timed out is
closed by libcurl, which resets it: see `azurewood.http.sockets`.

Calls with a priority are queued for one of the few connections that their
address may have: see `azurewood.policy.host_connections`.
"""

from collections import abc
import dataclasses
import functools
import io
import typing

import pycurl

from azurewood.http import call_queues
from azurewood.http import curl_loop
from azurewood.http import exchanges
from azurewood.http import known_connections
from azurewood.http import options
from azurewood.http import progress
from azurewood.http import sending
from azurewood.http import sockets

MAX_IDLE_CONNECTIONS: typing.Final = 2048
"""Connections kept open: two to each of a thousand hosts, and half of the
descriptors of an entry host."""
MAX_CONNECTIONS_PER_HOST: typing.Final = 32
"""Connections to one address for calls without a priority. A leader holds up
to 20 reads of the store open beside its appends."""


Callback = abc.Callable[[exchanges.Reply], None]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Transfer:
    call: exchanges.Call
    done: Callback
    buffer: io.BytesIO
    sent_at: float
    sending: sending.Sending
    written_at: float = 0.0
    connection: known_connections.Connection = ()
    queued: call_queues.QueuedCall | None = None
    curl: pycurl.Curl | None = None
    closes: bool = False

    @property
    def deadline(self) -> float:
        """The latest time at which the answer must be complete."""
        return self.sent_at + self.call.timeout_ms / 1000


class Multiplexer:
    """Makes calls and passes each reply to its callback.

    ``waited_s`` is the total time that it has waited for events.
    """

    __slots__ = (
        "_clock",
        "_closing",
        "_connections",
        "_idle_handles",
        "_loop",
        "_progress",
        "_queues",
        "_transfers",
        "_unsent",
        "waited_s",
    )

    def __init__(self, *, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._connections = known_connections.KnownConnections()
        self._progress = progress.ProgressWatch(clock=clock)
        self._queues = call_queues.CallQueues()
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._unsent: list[tuple[Callback, exchanges.Reply]] = []
        self._closing = False
        self.waited_s = 0.0
        self._loop = curl_loop.CurlLoop()
        multi = self._loop.multi
        multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)
        multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, MAX_CONNECTIONS_PER_HOST)
        multi.setopt(pycurl.M_PIPELINING, 0)

    @property
    def under_way(self) -> int:
        """Return how many calls have no reply yet."""
        waiting = self._queues.waiting
        return len(self._transfers) + len(self._unsent) + waiting

    def queue_lengths(self) -> abc.Iterator[call_queues.QueueLength]:
        """Yield the lengths of the queues in which calls wait."""
        return self._queues.lengths()

    def submit(self, call: exchanges.Call, done: Callback) -> None:
        """Start a call; ``run_once`` calls ``done`` with its reply.

        A call that cannot be made, such as one whose URL is no text in
        ASCII, is answered as not sent.
        """
        now = self._clock()
        transfer = _Transfer(
            call=call,
            done=done,
            buffer=io.BytesIO(),
            sent_at=now,
            sending=sending.Sending(
                may_repeat=call.method == "GET",
                needs_kept=call.connected_by is not None,
            ),
        )
        if call.priority is None:
            self._begin(transfer)
            return
        transfer.queued = call_queues.QueuedCall(
            address=_address(call.url),
            priority=call.priority,
            added_at=now,
            deadline=transfer.deadline,
            payload=transfer,
        )
        self._queues.add(transfer.queued)
        self._begin_all(
            self._queues.startable_to(transfer.queued.address, now)
        )

    def close_limited(self) -> None:
        """Close the connections of all calls with a priority, and end these.

        ``run_once`` ends those that wait as not sent. Those under way end by
        themselves, and then their connections do.
        """
        self._closing = True

    def _begin_all(
        self, startable: abc.Iterable[call_queues.QueuedCall]
    ) -> None:
        for queued in startable:
            self._begin(queued.payload)

    def _begin(self, transfer: _Transfer) -> None:
        """Hand a call to libcurl."""
        call = transfer.call
        curl = (
            self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        )
        try:
            options.prepare(curl, call, transfer.buffer)
            if transfer.queued is not None:
                curl.setopt(pycurl.TIMEOUT_MS, self._left_ms(transfer))
        except _UNUSABLE as exc:
            curl.reset()
            self._idle_handles.append(curl)
            self._end_unsent(transfer, str(exc))
            return
        curl.setopt(pycurl.SOCKOPTFUNCTION, transfer.sending.on_new_socket)
        curl.setopt(
            pycurl.PREREQFUNCTION,
            functools.partial(self._before_writing, transfer),
        )
        if call.progress_timeout_ms is not None:
            self._watch_progress(
                curl, call.progress_timeout_ms, transfer.buffer
            )
        transfer.curl = curl
        self._transfers[curl] = transfer
        self._loop.multi.add_handle(curl)

    def _end_unsent(self, transfer: _Transfer, reason: str) -> None:
        """Let ``run_once`` answer a call that was not sent."""
        now = self._clock()
        reply = exchanges.Reply(
            outcome=exchanges.Outcome.NOT_SENT,
            reason=reason,
            sent_at=transfer.sent_at,
            at=now,
        )
        self._unsent.append((transfer.done, reply))
        if transfer.queued is not None and transfer.queued.slot is not None:
            self._leave_slot(transfer.queued, now)

    def _leave_slot(self, queued: call_queues.QueuedCall, now: float) -> None:
        self._queues.ended(queued)
        self._begin_all(self._queues.startable_to(queued.address, now))

    def _left_ms(self, transfer: _Transfer) -> int:
        return max(1, int((transfer.deadline - self._clock()) * 1000))

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
            known.opened(
                connection,
                transfer.sending.descriptor,
                limited=transfer.queued is not None,
            )
        if not transfer.sending.may_use(known.descriptor(connection)):
            return False
        if call.send_by is not None and now >= call.send_by:
            return False
        bound_to = call.connected_by
        return bound_to is None or known.made_by(connection, bound_to)

    def wake(self) -> None:
        """Wake ``run_once`` from another thread."""
        self._loop.wake()

    def run_once(self, timeout_s: float) -> None:
        """Wait for at most ``timeout_s`` and handle all ready events."""
        began_at = self._clock()
        ready = self._loop.wait(self._wait_s(timeout_s))
        self.waited_s += self._clock() - began_at
        self._loop.handle(ready)
        for curl, error in self._loop.ended():
            self._finish(curl, error)
        self._finish_stalled()
        self._step_queues()
        if self._closing:
            self._closing = False
            self._close_limited()
        self._answer_unsent()

    def _step_queues(self) -> None:
        """Begin, give up and expire queued calls."""
        now = self._clock()
        if now < self._queues.due_at():
            return
        for queued in list(self._queues.expired(now)):
            self._end_unsent(queued.payload, "no connection was free in time")
        for queued in self._queues.given_up(now):
            text = "no answer, and other calls wait"
            error = (pycurl.E_OPERATION_TIMEDOUT, text)
            self._finish(queued.payload.curl, error)
        for queued in self._queues.overflowing(now):
            queued.payload.curl.setopt(pycurl.FORBID_REUSE, 1)
        self._begin_all(self._queues.startable(now))

    def _close_limited(self) -> None:
        for queued in self._queues.clear():
            self._end_unsent(queued.payload, "its connections are closed")
        in_use = set()
        for transfer in self._transfers.values():
            if transfer.queued is not None:
                transfer.closes = True
                in_use.add(transfer.connection)
        for connection in self._connections.limited - in_use:
            self._shut_down(connection)

    def _shut_down(self, connection: known_connections.Connection) -> None:
        fd = self._connections.take_descriptor(connection)
        sockets.shut_down(fd, connection)

    def _answer_unsent(self) -> None:
        unsent, self._unsent = self._unsent, []
        for done, reply in unsent:
            done(reply)

    def _wait_s(self, timeout_s: float) -> float:
        if self._unsent or self._closing:
            return 0.0
        due_at = min(self._progress.due_at, self._queues.due_at())
        return min(timeout_s, due_at - self._clock())

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
        self._loop.multi.remove_handle(curl)
        self._progress.remove(curl)
        curl.reset()
        self._idle_handles.append(curl)
        if transfer.closes:
            self._shut_down(transfer.connection)
        if transfer.queued is not None:
            self._leave_slot(transfer.queued, reply.at)
        transfer.done(reply)

    def _begin_again(self, curl: pycurl.Curl, transfer: _Transfer) -> None:
        """Begin a call again whose connection had ended; nothing was sent."""
        transfer.sending.trouble = None
        self._loop.multi.remove_handle(curl)
        curl.setopt(pycurl.TIMEOUT_MS, self._left_ms(transfer))
        self._loop.multi.add_handle(curl)

    def _reply(
        self,
        curl: pycurl.Curl,
        transfer: _Transfer,
        error: tuple[int, str] | None,
    ) -> exchanges.Reply:
        now = self._clock()
        is_new = curl.getinfo(pycurl.NUM_CONNECTS) > 0
        if error is None:
            self._connections.answered(
                transfer.connection, transfer.written_at, is_new=is_new
            )
            return exchanges.Reply(
                outcome=exchanges.Outcome.ANSWERED,
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
        return exchanges.Reply(
            outcome=exchanges.Outcome.NOT_SENT
            if unsent
            else exchanges.Outcome.UNKNOWN,
            reason=text,
            sent_at=transfer.sent_at,
            at=now,
            writes=transfer.sending.writes,
            disconnected=bound and code != pycurl.E_OPERATION_TIMEDOUT,
            new_reset=transfer.sending.descriptor >= 0
            and sockets.was_reset(curl),
        )


_UNUSABLE: typing.Final = (ValueError, OverflowError, pycurl.error)
"""What libcurl's binding raises for an option's value."""


def _address(url: str) -> str:
    """Return the host and port of a URL."""
    return url.partition("//")[2].partition("/")[0]
