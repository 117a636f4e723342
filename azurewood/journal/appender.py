"""Appends records in order, one call at a time, with sequence numbers.

A call without an answer is repeated with the same sequence number, and the
store gives the same answer as to the first call. The outcome of every append
thus becomes known once the store answers again, and nothing is appended
twice. An epoch and a sequence number never stand for two sets of records.
"""

import collections
import dataclasses
import random
import typing

MAX_RECORD_BYTES: typing.Final = 262144
"""The largest record of a store that doesn't tell its limit."""
BATCH_BYTES: typing.Final = 1 << 20
"""Maximum bytes of one call: half of the size that stores accept."""
MIN_RETRY_S: typing.Final = 0.05
"""Pause after the first failed call, doubled up to ``MAX_RETRY_S``."""
MAX_RETRY_S: typing.Final = 0.8
MIN_TIMEOUT_S: typing.Final = 0.25
"""Shortest time-out of a call: over thirty times the usual 7 ms."""
MAX_TIMEOUT_S: typing.Final = 1.0
"""Longest time-out: the slowest store appends in less than half of it."""
TIMEOUT_FACTOR: typing.Final = 4
"""Ratio of the time-out to the latency of the newest answer."""
READ_BACK_GRACE_S: typing.Final = 0.05
"""Time after which a call is repeated whose records were read back."""
SLOW_TIMEOUT_S: typing.Final = 2.0
"""Time-out while the store is known to be slow. A call that is given up keeps
its place in the store's line, and its repetition takes another one."""
MAX_DELAY_S: typing.Final = 12.0
"""Longest time after which the store carries out a call without an answer."""
DELAY_VALID_S: typing.Final = 1.0
"""How long the latency of the newest answer tells the store's delay."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Record:
    """A record to append; a record without a value deletes its key."""

    key: str
    value: bytes | None

    @property
    def size(self) -> int:
        """Size in bytes, with one for the length of the key."""
        return 1 + len(self.key.encode()) + len(self.value or b"")


@dataclasses.dataclass(slots=True, kw_only=True)
class Item:
    """Records that are appended together.

    ``token`` lets the caller recognize the item; it is not stored. ``sends``
    counts the calls that held it. ``alone`` items share no call with others.
    """

    records: tuple[Record, ...]
    token: typing.Any = None
    sends: int = 0
    alone: bool = False

    @property
    def size(self) -> int:
        """Approximate size of the records in bytes."""
        return sum(record.size + 7 for record in self.records)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Appended:
    """The records were stored from ``offset`` on.

    ``end`` is the offset after them, -1 if the store does not tell it.
    """

    offset: int
    end: int = -1


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class NotDone:
    """The store did not carry out this call."""

    reason: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Refused:
    """The store never carries out a call with these records."""

    reason: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Unknown:
    """The call may have taken effect, or may still do so."""

    reason: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Fenced:
    """A later epoch of the same producer has appended."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Conflict:
    """The store rejected the call's condition or sequence number."""

    reason: str
    end: int = -1


Result = Appended | NotDone | Refused | Unknown | Fenced | Conflict


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Request:
    """One append call for all of its records, with a time-out.

    ``number`` tells the calls of an appender apart.
    """

    records: tuple[Record, ...]
    epoch: int
    sequence: int
    timeout_s: float
    number: int = 0


class Appender:
    """The appends of one producer to one topic, without any input/output.

    ``add`` queues items. ``next_call`` returns the call to make now, if any.
    ``handle_result`` processes its result and returns the stored items.
    ``reads_back`` is whether ``note_read`` is called for the records that the
    topic has. ``slow`` is whether the store is known to be slow.
    ``out_of_sequence`` is whether it refused a sequence number, with which no
    call succeeds any more until a new epoch begins.
    ``unresolved`` is whether the records of the current call may be stored.

    The store may refuse records for good. The items of such a call are sent
    one by one, so that they hold no other up, and one that is refused alone is
    returned by ``take_refused``.
    """

    __slots__ = (
        "_batch",
        "_calls",
        "_epoch",
        "_failures",
        "_in_flight",
        "_pending",
        "_random",
        "_retry_at",
        "_sequence",
        "_sent_at",
        "_stored_at",
        "_unread",
        "_read_at",
        "_reads_back",
        "_refused",
        "_last_latency_s",
        "fenced",
        "last_error",
        "out_of_sequence",
        "slow",
        "unresolved",
    )

    def __init__(
        self, *, epoch: int, seed: int = 0, reads_back: bool = False
    ) -> None:
        self._epoch = epoch
        self._reads_back = reads_back
        self._unread: dict[str, Item] = {}
        self._refused: list[Item] = []
        self._read_at: float | None = None
        self._calls = 0
        self._pending: collections.deque[Item] = collections.deque()
        self._batch: tuple[Item, ...] = ()
        self._in_flight = False
        self.unresolved = False
        self._failures = 0
        self._retry_at = 0.0
        self._sequence = 1
        self._random = random.Random(seed)
        self._sent_at = 0.0
        self._last_latency_s = 0.0
        self._stored_at = 0.0
        self.slow = False
        self.fenced = False
        self.out_of_sequence = False
        self.last_error = ""

    @property
    def idle(self) -> bool:
        """Whether no item waits and no call is in flight."""
        return not self._batch and not self._pending

    @property
    def attempts(self) -> int:
        """How many calls at most have held an item of the current batch."""
        return max((item.sends for item in self._batch), default=0)

    @property
    def failures(self) -> int:
        """How many calls in a row failed."""
        return self._failures

    @property
    def failing(self) -> bool:
        """Whether the latest call failed."""
        return self._failures > 0

    def add(self, item: Item) -> None:
        """Queue an item after all earlier ones."""
        self._pending.append(item)

    def withdraw(self, wanted: typing.Callable[[Item], bool]) -> list[Item]:
        """Remove and return the wanted items that are certainly not stored.

        Items of a call that may have taken effect stay in the queue. No other
        appender may have this one's producer, as a new epoch may begin.
        """
        may_be_stored = self._in_flight or self.unresolved
        if not may_be_stored and any(map(wanted, self._batch)):
            self._put_back()
        taken = [item for item in self._pending if wanted(item)]
        if taken:
            kept = [item for item in self._pending if not wanted(item)]
            self._pending = collections.deque(kept)
        return taken

    def _put_back(self) -> None:
        """Return the batch to the queue, so that another one may be formed.

        The next call begins a new epoch: the store gives no answer to its
        records that it gave to others under the same sequence number, and
        from then on carries out no call of before.
        """
        self._pending.extendleft(reversed(self._batch))
        self._clear_batch()
        self._begin_epoch()

    def _begin_epoch(self) -> None:
        self._epoch += 1
        self.out_of_sequence = False

    def give_up(
        self, wanted: typing.Callable[[Item], bool]
    ) -> tuple[Item, ...]:
        """Remove a batch whose outcome is not known, if it has a wanted item.

        Return its items: they may be stored, or may still be by a call that
        was sent before. No other appender may have this one's producer.
        """
        is_unknown = self.unresolved and not self._in_flight
        if not is_unknown or not any(map(wanted, self._batch)):
            return ()
        batch = self._batch
        self._clear_batch()
        self._begin_epoch()
        return batch

    def renew_epoch(self) -> tuple[Item, ...]:
        """Begin an epoch if the store refused this one's sequence number.

        Return the items that are stored by what was read. The others are
        appended again: nothing of them was stored, or it is not known. No
        call of the earlier epoch is carried out after the next one. No other
        appender may have this one's producer.
        """
        if not self.out_of_sequence or self._in_flight:
            return ()
        self._begin_epoch()
        # A batch is stored as a whole.
        is_stored = len(self._unread) < len(self._expected())
        return self._stored() if is_stored else ()

    def next_call(self, now: float) -> Request | None:
        """Return the call to make now, or None."""
        self._give_up_if_read(now)
        if self._in_flight or self.fenced or now < self._retry_at:
            return None
        if not self._batch:
            self._batch = tuple(self._next_batch())
            self._unread = self._expected()
        if not self._batch:
            return None
        self._in_flight = True
        self._sent_at = now
        self._read_at = None
        self._calls += 1
        for item in self._batch:
            item.sends += 1
        return Request(
            number=self._calls,
            records=tuple(r for item in self._batch for r in item.records),
            epoch=self._epoch,
            sequence=self._sequence,
            timeout_s=self._timeout_s(),
        )

    def _expected(self) -> dict[str, Item]:
        """Return the batch's keys that are to be read back."""
        if not self._reads_back:
            return {}
        return {
            record.key: item
            for item in self._batch
            for record in item.records
            if record.value is not None
        }

    def note_read(self, key: str, now: float) -> Item | None:
        """Note that the topic has a record; return its item, if it is ours.

        The call that appends it is repeated soon unless it is answered: its
        answer may be lost.
        """
        item = self._unread.pop(key, None)
        if item is not None:
            # A batch is stored as a whole.
            self.unresolved = True
            if not self._unread:
                self._read_at = now
        return item

    def _give_up_if_read(self, now: float) -> None:
        """Give up a call whose records are all read and that has no answer."""
        if self._read_at is None or self.slow or not self._in_flight:
            return
        if now >= self._read_at + READ_BACK_GRACE_S:
            self._in_flight = False
            self.unresolved = True

    def latency_s(self, now: float) -> float:
        """Return the latency of the newest answer, 0 if it is too old.

        How long the call under way has waited tells nothing of the store:
        its answer may be lost.
        """
        recent = now < self._stored_at + DELAY_VALID_S
        return self._last_latency_s if recent or self._batch else 0.0

    def _timeout_s(self) -> float:
        if self.slow:
            return SLOW_TIMEOUT_S
        usual = max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * self._last_latency_s)
        return min(MAX_TIMEOUT_S, usual * 2**self._failures)

    def _next_batch(self) -> typing.Iterator[Item]:
        size = 0
        while self._pending:
            item = self._pending[0]
            if size and (item.alone or size + item.size > BATCH_BYTES):
                return
            size += item.size
            yield self._pending.popleft()
            if item.alone:
                return

    def handle_result(
        self, result: Result, now: float, request: Request | None = None
    ) -> tuple[Item, ...]:
        """Process the result of a call and return the items now stored.

        Without ``request`` it is that of the newest call. The result of a
        call that was given up counts only if it says that the records were
        stored.
        """
        if request is not None and not self._counts(request, result):
            return ()
        self._in_flight = False
        match result:
            case Appended():
                self._last_latency_s = now - self._sent_at
                self._stored_at = now
                return self._stored()
            case Fenced():
                self.fenced = True
                self.last_error = "a later epoch has appended"
                return ()
            case NotDone(reason=reason):
                self._fail(reason, now)
            case Refused(reason=reason):
                self.last_error = reason
                self._on_refused()
            case Conflict(reason=reason):
                self.out_of_sequence = True
                self._fail(reason, now)
            case Unknown(reason=reason):
                self.unresolved = True
                self._fail(reason, now)
        return ()

    def _on_refused(self) -> None:
        """Send the items of a refused call one by one, or give up the one.

        Nothing of it was stored, also by an earlier call with its sequence
        number, which the next call therefore has as well.
        """
        if len(self._batch) > 1:
            for item in self._batch:
                item.alone = True
            self._pending.extendleft(reversed(self._batch))
        else:
            self._refused.extend(self._batch)
        self._clear_batch()
        self._failures = 0

    def take_refused(self) -> list[Item]:
        """Return the items that the store has refused for good since."""
        refused, self._refused = self._refused, []
        return refused

    def _counts(self, request: Request, result: Result) -> bool:
        if request.number == self._calls and self._in_flight:
            return True
        current = (request.epoch, request.sequence) == (
            self._epoch,
            self._sequence,
        )
        return current and bool(self._batch) and isinstance(result, Appended)

    def _stored(self) -> tuple[Item, ...]:
        batch = self._batch
        self._clear_batch()
        self._failures = 0
        self._retry_at = 0.0
        self._sequence += 1
        return batch

    def _clear_batch(self) -> None:
        self._batch = ()
        self._unread = {}
        self._read_at = None
        self.unresolved = False

    def _fail(self, reason: str, now: float) -> None:
        self.last_error = reason
        pause = min(MAX_RETRY_S, MIN_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._retry_at = now + pause * self._random.uniform(0.5, 1.0)

    def next_at(self) -> float:
        """Return the time from which ``next_call`` may return a call."""
        return self._retry_at
