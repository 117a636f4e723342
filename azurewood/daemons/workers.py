"""The worker threads of an entry daemon; each handles one kind of effect.

A loop ends when the daemon's ``stopping`` event is set. An error of the
platform becomes an event, and the reducer decides how to handle it.
"""

import queue
import threading
import time
import typing

import loguru

from azurewood.daemons import runtime as runtimes
from azurewood.peers import transport as transports
from azurewood.provider import base as provider
from azurewood.provider import exceptions
from azurewood.provider import hosts
from azurewood.provider import log
from azurewood.provider import tasks
from azurewood.state import effects
from azurewood.state import events

TICK_S = 0.1
QUEUE_WAIT_S = 0.5
READ_WAIT_MS = 5000
POLL_WAIT_MS = 5000
POLL_RETRY_S = 1.0
APPEND_TIMEOUT_S = 2.0
SNAPSHOT_TIMEOUT_S = 10.0

Outcome = events.AppendOutcome


class Workers:
    """The loops of a daemon, each run in its own thread."""

    __slots__ = (
        "_after_read",
        "_runtime",
        "_stopping",
        "_stream",
        "_transport",
        "_url",
        "_zone",
    )

    def __init__(
        self,
        *,
        runtime: runtimes.Runtime,
        transport: transports.Transport,
        url: str,
        stream: str,
        zone: str,
        stopping: threading.Event,
        after_read: typing.Callable[[], None] | None = None,
    ) -> None:
        """Initialize; ``after_read`` is called after each read of the log."""
        self._runtime = runtime
        self._transport = transport
        self._url = url
        self._stream = stream
        self._zone = zone
        self._stopping = stopping
        self._after_read = after_read

    def loops(self) -> tuple[typing.Callable[[], None], ...]:
        """Return the functions to run, each in a thread."""
        return (
            self.tick,
            self.read_log,
            self.append,
            self.list_hosts,
            self.list_tasks,
            self.carry_out_tasks,
            self.send_to_peers,
            self.receive_from_peers,
        )

    def _connection(self) -> provider.Connection:
        return provider.Connection(url=self._url, zone=self._zone)

    def _effects(
        self, source: queue.SimpleQueue
    ) -> typing.Iterator[effects.AnyEffect]:
        """Yield effects from a queue until the daemon stops."""
        while not self._stopping.is_set():
            try:
                yield source.get(timeout=QUEUE_WAIT_S)
            except queue.Empty:
                continue

    def _wait_until(self, not_before: float) -> None:
        left = not_before - time.monotonic()
        if left > 0:
            self._stopping.wait(left)

    def tick(self) -> None:
        """Post a tick at a steady interval."""
        while not self._stopping.wait(TICK_S):
            self._runtime.post(events.Tick())

    def read_log(self) -> None:
        """Read the log and its snapshots as effects request."""
        client = log.LogClient(conn=self._connection(), stream=self._stream)
        for effect in self._effects(self._runtime.reads):
            self._wait_until(effect.not_before)
            self._runtime.post(_read(client, effect))
            if self._after_read is not None:
                self._after_read()

    def append(self) -> None:
        """Append records, seeds and snapshots sequentially."""
        client = log.LogClient(conn=self._connection(), stream=self._stream)
        for effect in self._effects(self._runtime.appends):
            match effect:
                case effects.AppendRecord():
                    self._append_record(client, effect)
                case effects.AppendSeed(data=data):
                    _append_best_effort(client.append, data)
                case effects.AppendSnapshot(state=state):
                    _append_best_effort(client.append_snapshot, state)

    def _append_record(
        self, client: log.LogClient, effect: effects.AppendRecord
    ) -> None:
        try:
            client.append(effect.data, timeout_s=APPEND_TIMEOUT_S)
            outcome = Outcome.DONE
        except (exceptions.NotDone, exceptions.Rejected):
            outcome = Outcome.NOT_DONE
        except exceptions.OutcomeUnknown:
            outcome = Outcome.UNKNOWN
        self._runtime.post(
            events.AppendEnded(sequence=effect.sequence, outcome=outcome)
        )

    def list_hosts(self) -> None:
        """Post changes of the platform's host list."""
        client = hosts.HostListClient(conn=self._connection())
        self._follow(client.read)

    def list_tasks(self) -> None:
        """Post changes of the task service's tasks."""
        client = tasks.TaskClient(conn=self._connection())
        self._follow(client.read)

    def _follow(self, read: typing.Callable[..., events.AnyEvent]) -> None:
        """Post each new version of a listing."""
        version = 0
        while not self._stopping.is_set():
            try:
                listing = read(version, wait_ms=POLL_WAIT_MS)
            except exceptions.PlatformError:
                self._stopping.wait(POLL_RETRY_S)
                continue
            if listing.version != version:
                version = listing.version
                self._runtime.post(listing)

    def carry_out_tasks(self) -> None:
        """Carry out effects on tasks and hosts."""
        client = tasks.TaskClient(conn=self._connection())
        for effect in self._effects(self._runtime.tasks):
            for event in _call_task(client, effect):
                self._runtime.post(event)

    def send_to_peers(self) -> None:
        """Send messages to peers."""
        for effect in self._effects(self._runtime.peer_messages):
            self._transport.send(effect.address, effect.message)

    def receive_from_peers(self) -> None:
        """Post the messages of peers."""
        for envelope in self._transport.receive():
            self._runtime.post(
                events.MessageReceived(
                    sender=envelope.sender, message=envelope.message
                )
            )


def _read(client: log.LogClient, effect: effects.AnyEffect) -> events.AnyEvent:
    try:
        match effect:
            case effects.ReadLog(offset=offset):
                return client.read(offset, wait_ms=READ_WAIT_MS)
            case _:
                return client.read_snapshot()
    except exceptions.PlatformError as exc:
        return events.LogUnreachable(reason=str(exc))


def _append_best_effort(
    append: typing.Callable[..., None], data: bytes
) -> None:
    """Append data; an error is only logged, as it is appended again later."""
    try:
        append(data, timeout_s=SNAPSHOT_TIMEOUT_S)
    except exceptions.PlatformError as exc:
        loguru.logger.warning("append failed: {}", exc)


def _call_task(
    client: tasks.TaskClient, effect: effects.AnyEffect
) -> typing.Iterator[events.AnyEvent]:
    """Carry out an effect on a task or host; yield the call's outcome.

    An effect whose deadline has passed, for example because this process was
    paused, is not started.
    """
    state, done, not_done = "", False, _is_late(effect)
    try:
        if not not_done:
            state = client.carry_out(effect)
            done = True
    except (exceptions.NotDone, exceptions.Rejected) as exc:
        not_done = True
        loguru.logger.warning("task call failed: {}", exc)
    except exceptions.PlatformError as exc:
        loguru.logger.warning("task call has no known outcome: {}", exc)
    match effect:
        case effects.StartTask(id=subject):
            action = events.TaskAction.START
        case effects.StopTask(id=subject):
            action = events.TaskAction.STOP
        case effects.RebootHost(host=subject):
            action = events.TaskAction.REBOOT
        case _:
            return
    yield events.TaskCallEnded(
        action=action,
        subject=subject,
        done=done,
        not_done=not_done,
        state=state,
    )


def _is_late(effect: effects.AnyEffect) -> bool:
    return isinstance(effect, effects.RebootHost) and (
        effect.not_after < time.monotonic()
    )
