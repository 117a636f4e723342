"""Calls that are queued for one of the few connections to their address.

The queues know nothing of HTTP. Their owner adds each call, begins those
that it is given by `CallQueues.startable` and `CallQueues.startable_to`, and
tells when a call has ended. All times are on one clock, in seconds.
"""

import collections
from collections import abc
import dataclasses
import math
import typing

from azurewood.policy import host_connections

Priority = host_connections.Priority
Slot = host_connections.Slot


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class QueuedCall:
    """A call of an owner; ``deadline`` is the latest time to begin it.

    Calls to one address with the same priority have the same time-out, so
    that the first of a queue is the first whose deadline passes.
    """

    address: str
    priority: Priority
    added_at: float
    deadline: float
    payload: typing.Any
    slot: Slot | None = None
    began_at: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class QueueLength:
    """How many calls to an address wait, and since when the oldest does."""

    address: str
    under_way: int
    waiting: int
    oldest_at: float


class _AddressQueue:
    """The calls to one address: those under way and those that wait.

    ``overflow`` has the calls in `Slot.OVERFLOW`, the oldest first.
    """

    __slots__ = ("overflow", "slots", "waiting")

    def __init__(self) -> None:
        self.overflow: list[QueuedCall] = []
        self.slots: dict[Slot, QueuedCall] = {}
        self.waiting: dict[Priority, collections.deque[QueuedCall]] = {
            priority: collections.deque() for priority in Priority
        }

    @property
    def under_way(self) -> int:
        """How many calls are under way."""
        return len(self.slots) + len(self.overflow)

    def firsts(self) -> list[QueuedCall]:
        """Return the first waiting call of each priority."""
        return [calls[0] for calls in self.waiting.values() if calls]

    def blocking(self) -> QueuedCall | None:
        """Return the call in `Slot.REGULAR` if others wait for that slot."""
        for call in self.firsts():
            if host_connections.slot_of(call.priority) is Slot.REGULAR:
                return self.slots.get(Slot.REGULAR)
        return None

    def startable(self, now: float) -> abc.Iterator[QueuedCall]:
        """Take the calls that may begin now out of the queue."""
        for priority, calls in self.waiting.items():
            slot = host_connections.slot_of(priority)
            if calls and slot not in self.slots:
                call = calls.popleft()
                call.slot, call.began_at = slot, now
                self.slots[slot] = call
                yield call

    def let_overflow(self, now: float) -> abc.Iterator[QueuedCall]:
        """Yield the call that now makes way for those that wait, if any."""
        call = self.blocking()
        if call is not None and host_connections.overflows(
            began_at=call.began_at, now=now, overflowing=len(self.overflow)
        ):
            del self.slots[Slot.REGULAR]
            call.slot = Slot.OVERFLOW
            self.overflow.append(call)
            yield call

    def given_up(self, now: float) -> abc.Iterator[QueuedCall]:
        """Yield the call under way that is to end for those that wait."""
        if self.blocking() is None or not self._overflow_is_full:
            return
        oldest = self.overflow[0]
        if host_connections.gives_up(oldest_began_at=oldest.began_at, now=now):
            yield oldest

    @property
    def _overflow_is_full(self) -> bool:
        return 0 < host_connections.MAX_OVERFLOW <= len(self.overflow)

    def end(self, call: QueuedCall) -> None:
        """Forget a call under way."""
        if call.slot is Slot.OVERFLOW:
            self.overflow.remove(call)
        else:
            del self.slots[call.slot]

    def expire(self, now: float) -> abc.Iterator[QueuedCall]:
        """Take the calls whose deadline has passed out of the queue."""
        for calls in self.waiting.values():
            while calls and now >= calls[0].deadline:
                yield calls.popleft()

    def due_at(self) -> float:
        """Return when a waiting call may begin or ends."""
        times = [call.deadline for call in self.firsts()]
        call = self.blocking()
        if call is not None:
            times.append(
                host_connections.gives_up_at(self.overflow[0].began_at)
                if self._overflow_is_full
                else host_connections.overflows_at(call.began_at)
            )
        return min(times, default=math.inf)


class CallQueues:
    """The queues of all addresses.

    ``_backlogged`` has those in which calls wait.
    """

    __slots__ = ("_backlogged", "_queues")

    def __init__(self) -> None:
        self._queues: dict[str, _AddressQueue] = {}
        self._backlogged: dict[str, _AddressQueue] = {}

    @property
    def waiting(self) -> int:
        """How many calls wait."""
        return sum(
            len(calls)
            for queue in self._backlogged.values()
            for calls in queue.waiting.values()
        )

    def add(self, call: QueuedCall) -> None:
        """Put a call at the end of its queue."""
        queue = self._queues.setdefault(call.address, _AddressQueue())
        queue.waiting[call.priority].append(call)
        self._backlogged[call.address] = queue

    def ended(self, call: QueuedCall) -> None:
        """Free the slot of a call that has ended."""
        queue = self._queues[call.address]
        queue.end(call)
        if not queue.under_way and call.address not in self._backlogged:
            del self._queues[call.address]

    def startable(self, now: float) -> abc.Iterator[QueuedCall]:
        """Take the calls that may begin now out of their queues."""
        for address in tuple(self._backlogged):
            yield from self.startable_to(address, now)

    def startable_to(
        self, address: str, now: float
    ) -> abc.Iterator[QueuedCall]:
        """Take the calls to one address that may begin out of its queue."""
        queue = self._backlogged.get(address)
        if queue is not None:
            yield from list(queue.startable(now))
            self._settle(address, queue)

    def expired(self, now: float) -> abc.Iterator[QueuedCall]:
        """Take the calls that waited for too long out of their queues."""
        for address, queue in tuple(self._backlogged.items()):
            yield from queue.expire(now)
            self._settle(address, queue)

    def overflowing(self, now: float) -> list[QueuedCall]:
        """Let calls make way for those that wait, and return them."""
        return [
            call
            for queue in self._backlogged.values()
            for call in queue.let_overflow(now)
        ]

    def given_up(self, now: float) -> list[QueuedCall]:
        """Return the calls under way that are to end for those that wait."""
        return [
            call
            for queue in self._backlogged.values()
            for call in queue.given_up(now)
        ]

    def clear(self) -> list[QueuedCall]:
        """Take all waiting calls out of their queues, and return them."""
        taken = []
        for address, queue in tuple(self._backlogged.items()):
            for calls in queue.waiting.values():
                taken.extend(calls)
                calls.clear()
            self._settle(address, queue)
        return taken

    def due_at(self) -> float:
        """Return when one of the methods has something to return."""
        return min(
            (queue.due_at() for queue in self._backlogged.values()),
            default=math.inf,
        )

    def lengths(self) -> abc.Iterator[QueueLength]:
        """Yield the lengths of the queues in which calls wait."""
        for address, queue in self._backlogged.items():
            yield QueueLength(
                address=address,
                under_way=queue.under_way,
                waiting=sum(map(len, queue.waiting.values())),
                oldest_at=min(call.added_at for call in queue.firsts()),
            )

    def _settle(self, address: str, queue: _AddressQueue) -> None:
        """Forget that calls wait for an address if none does."""
        if any(queue.waiting.values()):
            return
        self._backlogged.pop(address, None)
        if not queue.under_way:
            self._queues.pop(address, None)
