"""Calls that wait in line for one of the few connections to their address.

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
    """A call of an owner; ``deadline`` is the latest time to begin it."""

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
    """The calls to one address: those under way and those in line.

    ``aside`` has the calls that went aside, the oldest first.
    """

    __slots__ = ("aside", "slots", "waiting")

    def __init__(self) -> None:
        self.aside: list[QueuedCall] = []
        self.slots: dict[Slot, QueuedCall] = {}
        self.waiting: dict[Priority, collections.deque[QueuedCall]] = {
            priority: collections.deque() for priority in Priority
        }

    @property
    def under_way(self) -> int:
        """How many calls are under way."""
        return len(self.slots) + len(self.aside)

    def in_line(self) -> abc.Iterator[QueuedCall]:
        """Yield the waiting calls in the order in which they may begin."""
        for line in self.waiting.values():
            yield from line

    def blocking(self) -> QueuedCall | None:
        """Return the call in `Slot.KEPT` if others wait for that slot."""
        waits = any(
            line
            for priority, line in self.waiting.items()
            if host_connections.slot_of(priority) is Slot.KEPT
        )
        return self.slots.get(Slot.KEPT) if waits else None

    def startable(self, now: float) -> abc.Iterator[QueuedCall]:
        """Take the calls that may begin now out of the line."""
        for priority, line in self.waiting.items():
            slot = host_connections.slot_of(priority)
            if line and slot not in self.slots:
                call = line.popleft()
                call.slot, call.began_at = slot, now
                self.slots[slot] = call
                yield call

    def go_aside(self, now: float) -> abc.Iterator[QueuedCall]:
        """Yield the call that now goes aside for those in line, if any."""
        call = self.blocking()
        if call is not None and host_connections.goes_aside(
            began_at=call.began_at, now=now, aside=len(self.aside)
        ):
            del self.slots[Slot.KEPT]
            call.slot = Slot.ASIDE
            self.aside.append(call)
            yield call

    def given_up(self, now: float) -> abc.Iterator[QueuedCall]:
        """Yield the call under way that is to end for those in line."""
        if self.blocking() is None or not self.aside:
            return
        if len(self.aside) < host_connections.MAX_ASIDE:
            return
        if host_connections.gives_up(
            oldest_aside_began_at=self.aside[0].began_at, now=now
        ):
            yield self.aside[0]

    def end(self, call: QueuedCall) -> None:
        """Forget a call under way."""
        if call.slot is Slot.ASIDE:
            self.aside.remove(call)
        else:
            del self.slots[call.slot]

    def expire(self, now: float) -> abc.Iterator[QueuedCall]:
        """Take the calls whose deadline has passed out of the line."""
        for line in self.waiting.values():
            late = [call for call in line if now >= call.deadline]
            for call in late:
                line.remove(call)
            yield from late

    def due_at(self) -> float:
        """Return when a waiting call may begin or ends."""
        times = [call.deadline for call in self.in_line()]
        call = self.blocking()
        if call is not None:
            full = len(self.aside) >= host_connections.MAX_ASIDE
            times.append(
                host_connections.gives_up_at(self.aside[0].began_at)
                if full
                else host_connections.goes_aside_at(call.began_at)
            )
        return min(times, default=math.inf)


class CallQueues:
    """The queues of all addresses; those without calls are dropped."""

    __slots__ = ("_crowded", "_queues")

    def __init__(self) -> None:
        self._queues: dict[str, _AddressQueue] = {}
        self._crowded: dict[str, _AddressQueue] = {}

    @property
    def waiting(self) -> int:
        """How many calls wait in line."""
        return sum(
            len(line)
            for queue in self._crowded.values()
            for line in queue.waiting.values()
        )

    def add(self, call: QueuedCall) -> None:
        """Put a call at the end of its line."""
        queue = self._queues.setdefault(call.address, _AddressQueue())
        queue.waiting[call.priority].append(call)
        self._crowded[call.address] = queue

    def ended(self, call: QueuedCall) -> None:
        """Free the slot of a call that has ended."""
        queue = self._queues[call.address]
        queue.end(call)
        if not queue.under_way and call.address not in self._crowded:
            del self._queues[call.address]

    def startable(self, now: float) -> abc.Iterator[QueuedCall]:
        """Take the calls that may begin now out of their lines."""
        for address in tuple(self._crowded):
            yield from self.startable_to(address, now)

    def startable_to(
        self, address: str, now: float
    ) -> abc.Iterator[QueuedCall]:
        """Take the calls to one address that may begin out of its line."""
        queue = self._crowded.get(address)
        if queue is not None:
            yield from list(queue.startable(now))
            self._settle(address, queue)

    def expired(self, now: float) -> abc.Iterator[QueuedCall]:
        """Take the calls that waited for too long out of their lines."""
        for address, queue in tuple(self._crowded.items()):
            yield from queue.expire(now)
            self._settle(address, queue)

    def gone_aside(self, now: float) -> list[QueuedCall]:
        """Let calls without an answer go aside, and return them."""
        return [
            call
            for queue in self._crowded.values()
            for call in queue.go_aside(now)
        ]

    def given_up(self, now: float) -> list[QueuedCall]:
        """Return the calls under way that are to end for those in line."""
        return [
            call
            for queue in self._crowded.values()
            for call in queue.given_up(now)
        ]

    def clear(self) -> list[QueuedCall]:
        """Take all calls out of their lines, and return them."""
        taken = [
            call
            for queue in self._crowded.values()
            for call in queue.in_line()
        ]
        for queue in self._crowded.values():
            for line in queue.waiting.values():
                line.clear()
        for address, queue in tuple(self._crowded.items()):
            self._settle(address, queue)
        return taken

    def due_at(self) -> float:
        """Return when one of the methods has something to return."""
        return min(
            (queue.due_at() for queue in self._crowded.values()),
            default=math.inf,
        )

    def lengths(self) -> abc.Iterator[QueueLength]:
        """Yield the lengths of the lines that aren't empty."""
        for address, queue in self._crowded.items():
            calls = list(queue.in_line())
            yield QueueLength(
                address=address,
                under_way=queue.under_way,
                waiting=len(calls),
                oldest_at=min(call.added_at for call in calls),
            )

    def _settle(self, address: str, queue: _AddressQueue) -> None:
        """Forget the line of an address if no call waits in it."""
        if any(queue.waiting.values()):
            return
        self._crowded.pop(address, None)
        if not queue.under_way:
            self._queues.pop(address, None)
