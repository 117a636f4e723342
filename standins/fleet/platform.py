"""The daemons' platform interface, implemented by the simulation.

A call is a closure over the simulation. The simulated network of
`standins.fleet.world` may carry it out late or twice, or lose it.
"""

from collections import abc
import dataclasses
import math
import typing

from azurewood.http import exchanges
from azurewood.jobs import catalog
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.scheduling import messages

STORE = "store"
MACHINES = "machines"
STORE_TIMEOUT_S = 1.0
HOST_TIMEOUT_S = 0.8
MACHINES_TIMEOUT_S = 2.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class SimCall:
    """A call: its target, its effect there, and its timeouts.

    A call with ``wait_s`` is a long poll: ``ready`` returns whether ``act``
    has something to answer, and ``wait`` registers a callback for the time
    when it has. ``partition`` is set for appends, of which a partition
    carries out one at a time. ``renews`` marks lease renewals. A host
    that has begun another incarnation since ``connected_by`` doesn't get the
    call.
    """

    target: str
    act: abc.Callable[[float], typing.Any]
    timeout_s: float
    changes: bool = True
    renews: bool = False
    send_by: float = math.inf
    wait_s: float = 0.0
    ready: abc.Callable[[], bool] | None = None
    wait: abc.Callable[[abc.Callable[[], None]], None] | None = None
    partition: tuple[pages.Topic, int] | None = None
    connected_by: float | None = None


def unwrap(reply: exchanges.Reply, otherwise: typing.Any) -> typing.Any:
    """Return the body of an answered call, ``otherwise`` for any other."""
    if reply.outcome is exchanges.Outcome.ANSWERED:
        return reply.body
    return otherwise


class SimPlatform:
    """Platform interface for one daemon of `standins.fleet.world.World`."""

    __slots__ = ("_world",)

    def __init__(self, *, world: typing.Any) -> None:
        self._world = world

    def append(
        self,
        topic: pages.Topic,
        request: appender.Request,
        producer: str,
        *,
        part: int = 0,
    ) -> SimCall:
        """Append records under a producer's sequence number."""
        store = self._world.store
        return SimCall(
            target=STORE,
            act=lambda at: store.append(
                topic,
                request.records,
                producer,
                request.epoch,
                request.sequence,
                part,
            ),
            timeout_s=request.timeout_s,
            partition=(topic, part),
        )

    def begin_epoch(
        self, topic: pages.Topic, producer: str, epoch: int
    ) -> SimCall:
        """Fence earlier epochs of a producer off from a topic."""
        store = self._world.store
        return SimCall(
            target=STORE,
            act=lambda at: store.append(topic, (), producer, epoch, 0),
            timeout_s=STORE_TIMEOUT_S,
        )

    def append_at(self, topic: pages.Topic, data: bytes, at: int) -> SimCall:
        """Append a record if ``at`` is the end offset of the topic."""
        store = self._world.store
        record = appender.Record(key="", value=data)
        return SimCall(
            target=STORE,
            act=lambda _: store.append_at(topic, record, at),
            timeout_s=STORE_TIMEOUT_S,
            partition=(topic, 0),
        )

    def append_result(self, reply: exchanges.Reply) -> appender.Result:
        """Return the result of an append."""
        if reply.outcome is exchanges.Outcome.NOT_SENT:
            return appender.NotDone(reason=reply.reason)
        return unwrap(reply, appender.Unknown(reason=reply.reason))

    def read(
        self, topic: pages.Topic, offset: int, wait_ms: int, *, part: int = 0
    ) -> SimCall:
        """Read records, starting at an offset."""
        store = self._world.store
        return SimCall(
            target=STORE,
            act=lambda at: store.read(topic, offset, part),
            timeout_s=STORE_TIMEOUT_S + wait_ms / 1000,
            changes=False,
            wait_s=wait_ms / 1000,
            ready=lambda: store.end(topic, part) > offset,
            wait=lambda what: store.call_at_next_append(topic, what, part),
        )

    def read_result(
        self, topic: pages.Topic, offset: int, reply: exchanges.Reply
    ) -> pages.ReadResult:
        """Return the result of a read."""
        return unwrap(reply, pages.Failed(reason=reply.reason))

    def newest(
        self, topic: pages.Topic, after: str, *, part: int = 0
    ) -> SimCall:
        """Read the newest record of each key greater than ``after``."""
        store = self._world.store
        return SimCall(
            target=STORE,
            act=lambda at: store.newest(topic, after, part),
            timeout_s=STORE_TIMEOUT_S,
            changes=False,
        )

    def newest_result(self, reply: exchanges.Reply) -> pages.NewestResult:
        """Return a page of newest records."""
        return unwrap(reply, pages.Failed(reason=reply.reason))

    def host_call(self, effect: messages.Effect) -> SimCall:
        """Carry out an effect on a host."""
        world = self._world
        wait_s = 0.0
        connected_by = None
        if isinstance(effect, messages.RenewLease):
            wait_s = effect.wait_ms / 1000
            if effect.acknowledged or effect.connected_by:
                connected_by = effect.connected_by
        return SimCall(
            target=effect.host,
            act=lambda at: world.on_host(effect, at),
            timeout_s=HOST_TIMEOUT_S + wait_s,
            changes=not isinstance(effect, messages.RenewLease),
            renews=isinstance(effect, messages.RenewLease),
            wait_s=wait_s,
            ready=lambda: world.hosts[effect.host].has_ends(),
            wait=lambda what: world.hosts[effect.host].call_at_next_end(what),
            connected_by=connected_by,
        )

    def host_event(
        self, effect: messages.Effect, reply: exchanges.Reply
    ) -> messages.Event | None:
        """Return the event for a host's reply, or for a missing reply."""
        found = unwrap(reply, None)
        if found is not None:
            return found
        unsent = reply.outcome is exchanges.Outcome.NOT_SENT
        reason = messages.Refusal.NOT_SENT
        if not unsent:
            reason = messages.Refusal.UNKNOWN
        if reply.disconnected:
            reason = messages.Refusal.DISCONNECTED
        match effect:
            case messages.StartRun():
                return messages.StartAnswered(
                    host=effect.host,
                    incarnation_ms=effect.incarnation_ms,
                    fence=effect.fence,
                    task=effect.task,
                    run=effect.run,
                    refusal=reason,
                )
            case messages.StopRun():
                return messages.StopAnswered(
                    host=effect.host,
                    incarnation_ms=effect.incarnation_ms,
                    fence=effect.fence,
                    task=effect.task,
                    run=effect.run,
                    refusal=reason,
                )
            case messages.SetRunSpeed():
                return messages.SpeedAnswered(
                    host=effect.host,
                    task=effect.task,
                    run=effect.run,
                    refusal=reason,
                )
            case messages.RenewLease():
                return messages.RenewalFailed(
                    host=effect.host, number=effect.number, reason=reason
                )
            case _:
                return None

    def machines_call(self, token: str) -> SimCall:
        """Read the list of machines."""
        return SimCall(
            target=MACHINES,
            act=lambda at: self._world.machine_page(token),
            timeout_s=MACHINES_TIMEOUT_S,
            changes=False,
        )

    def machines_page(self, reply: exchanges.Reply) -> typing.Any:
        """Return the list of machines."""
        return unwrap(reply, None)

    def order_call(self, order: messages.Effect, fence: int) -> SimCall:
        """Send an order to a machine."""
        return SimCall(
            target=MACHINES,
            act=lambda at: self._world.order(order, fence),
            timeout_s=MACHINES_TIMEOUT_S,
            send_by=order.send_by,
        )

    def order_result(self, reply: exchanges.Reply) -> messages.OrderResult:
        """Return the result of an order."""
        if reply.outcome is exchanges.Outcome.NOT_SENT:
            return messages.OrderResult.NOT_DONE
        return unwrap(reply, messages.OrderResult.UNKNOWN)

    def advice_call(self, ask: messages.AskAdvice) -> SimCall:
        """Ask which hosts may run a step."""
        service = self._world.advice
        timeout_s = MACHINES_TIMEOUT_S + ask.wait_ms / 1000
        if service.is_full():
            return SimCall(
                target=MACHINES,
                act=lambda at: service.refuse(ask),
                timeout_s=timeout_s,
                changes=False,
            )
        return SimCall(
            target=MACHINES,
            act=lambda at: service.answer(ask),
            timeout_s=timeout_s,
            changes=False,
            wait_s=math.inf,
            ready=lambda: False,
            wait=lambda done: service.wait(ask, done),
        )

    def advice_event(
        self, ask: messages.AskAdvice, reply: exchanges.Reply
    ) -> messages.Advised | messages.AdviceFailed:
        """Return the advice of a reply, or that the call failed."""
        failed = messages.AdviceFailed(
            job=ask.job, occurrence=ask.occurrence, step=ask.step
        )
        return unwrap(reply, failed)

    def operators_record(
        self, record: appender.Record
    ) -> catalog.Catalog | messages.WaveRequested | None:
        """Return the value of an operators' record, which is not encoded."""
        return record.value

    def host_record(
        self, record: appender.Record
    ) -> messages.HostSeen | messages.HostGone | None:
        """Return the event for a record of a host's entry.

        Return None for an entry in bytes, which stands for an odd one.
        """
        if record.value is None:
            return messages.HostGone(id=record.key)
        if isinstance(record.value, bytes):
            return None
        return messages.HostSeen(entry=record.value)

    def wave_report(self, report: messages.ReportWave) -> appender.Record:
        """Encode the progress report of a wave."""
        state = b"completed" if report.completed else b"running"
        return appender.Record(key=f"wave/{report.number}", value=state)
