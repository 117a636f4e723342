"""Connects followers and appenders of the store's topics to their calls."""

from collections import abc
import typing

from loguru import logger

from azurewood.daemons import ports
from azurewood.http import exchanges
from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages

OnStored = abc.Callable[[int], None]
"""Receives the offset of the append, ``UNKNOWN_OFFSET`` if it is not known."""
OnRefused = abc.Callable[[appender.Item, str], None]
"""Receives an item that the store refuses for good, and the reason."""
UNKNOWN_OFFSET: typing.Final = -1


def read(
    platform: ports.Platform,
    calls: ports.Calls,
    clock: abc.Callable[[], float],
    reader: follower.Follower,
    on_changes: abc.Callable[[follower.Changes], None],
) -> None:
    """Make the next read of a follower if one is due."""
    wanted = reader.next_call(clock())
    topic, part = reader.topic, reader.part

    def on_result(result: pages.ReadResult | pages.NewestResult) -> None:
        failing = reader.failing
        changes = reader.handle_result(result, clock())
        if isinstance(result, pages.Failed) and not failing:
            logger.bind(event="store.lost", topic=topic.value).warning(
                "store cannot be read: {}", result.reason
            )
        elif failing and not reader.failing:
            logger.bind(event="store.back", topic=topic.value).info(
                "store can be read again"
            )
        if changes is not None:
            on_changes(changes)

    match wanted:
        case follower.ReadNewest(after=after):
            calls.submit(
                platform.newest(topic, after, part=part),
                lambda reply: on_result(platform.newest_result(reply)),
            )
        case follower.ReadFrom(offset=offset, wait_ms=wait_ms):
            calls.submit(
                platform.read(topic, offset, wait_ms, part=part),
                lambda reply: on_result(
                    platform.read_result(topic, offset, reply)
                ),
            )


class Writer:
    """Appends records to a partition of a topic as one producer.

    ``reads_back`` is whether ``note_read`` is called for each record of the
    topic. An item whose record is read counts as stored, and its token is
    called once more when the append is answered.
    """

    __slots__ = (
        "_appender",
        "_calls",
        "_clock",
        "_end",
        "_on_refused",
        "_part",
        "_platform",
        "_producer",
        "_renews_epoch",
        "_topic",
    )

    def __init__(
        self,
        *,
        platform: ports.Platform,
        calls: ports.Calls,
        clock: abc.Callable[[], float],
        topic: pages.Topic,
        producer: str,
        epoch: int,
        part: int = 0,
        reads_back: bool = False,
        renews_epoch: bool = False,
        on_refused: OnRefused | None = None,
    ) -> None:
        self._renews_epoch = renews_epoch
        self._on_refused = on_refused
        self._part = part
        self._end = 0
        self._platform = platform
        self._calls = calls
        self._clock = clock
        self._topic = topic
        self._producer = producer
        self._appender = appender.Appender(
            epoch=epoch, seed=epoch, reads_back=reads_back
        )

    @property
    def fenced(self) -> bool:
        """Whether a later epoch of this producer has begun."""
        return self._appender.fenced

    @property
    def out_of_sequence(self) -> bool:
        """Whether no append succeeds any more in this epoch."""
        return self._appender.out_of_sequence

    @property
    def idle(self) -> bool:
        """Whether no record waits to be stored."""
        return self._appender.idle

    @property
    def failures(self) -> int:
        """How many appends in a row failed."""
        return self._appender.failures

    def latency_s(self, now: float) -> float:
        """Return the latency of the newest append, 0 if it is too old."""
        return self._appender.latency_s(now)

    def set_slow(self, slow: bool) -> None:
        """Record whether the store is known to be slow."""
        self._appender.slow = slow

    def add(
        self,
        records: tuple[appender.Record, ...],
        stored: OnStored | None,
        *,
        alone: bool = False,
    ) -> None:
        """Append records; call ``stored`` once they are stored.

        With ``alone`` they share no call with others.
        """
        item = appender.Item(records=records, token=stored, alone=alone)
        self._appender.add(item)
        self.step(self._clock())

    @property
    def last_error(self) -> str:
        """Why the newest append that failed did so, empty if none has."""
        return self._appender.last_error

    def withdraw(
        self, wanted: abc.Callable[[appender.Item], bool]
    ) -> list[appender.Item]:
        """Remove and return wanted items that are certainly not stored."""
        return self._appender.withdraw(wanted)

    def give_up(
        self, wanted: abc.Callable[[appender.Item], bool]
    ) -> tuple[appender.Item, ...]:
        """Remove the batch of a wanted item whose outcome is not known."""
        return self._appender.give_up(wanted)

    def add_item(self, item: appender.Item) -> None:
        """Queue an item whose token is called once it is stored."""
        self._appender.add(item)

    def step(self, now: float) -> None:
        """Make the next append call, if one is due."""
        request = self._appender.next_call(now)
        if request is not None:
            self._calls.submit(
                self._platform.append(
                    self._topic, request, self._producer, part=self._part
                ),
                lambda reply: self._on_reply(request, reply),
            )

    def note_read(self, key: str) -> None:
        """Confirm the item of this writer whose record the topic has."""
        item = self._appender.note_read(key, self._clock())
        if item is not None and item.token is not None:
            item.token(UNKNOWN_OFFSET)

    def _on_reply(
        self, request: appender.Request, reply: exchanges.Reply
    ) -> None:
        result = self._platform.append_result(reply)
        attempts = self._appender.attempts
        stored = self._appender.handle_result(result, self._clock(), request)
        is_answered = isinstance(result, appender.Appended)
        if self._appender.failing and not is_answered:
            self._log(
                "append.failed",
                request,
                attempts=attempts,
                unresolved=self._appender.unresolved,
                writes=reply.writes,
            ).warning("append failed; trying again: {}", result)
        elif stored:
            self._log_stored(request, result, attempts)
        for item in stored:
            if item.token is not None:
                item.token(result.offset)
        for item in self._appender.take_refused():
            self._handle_refused(item)
        if self._renews_epoch and self._appender.out_of_sequence:
            self._renew_epoch()
        self.step(self._clock())

    def _handle_refused(self, item: appender.Item) -> None:
        """Log records that the store refuses for good, and drop them."""
        reason = self._appender.last_error
        for record in item.records:
            logger.bind(
                event="append.refused",
                topic=self._topic.value,
                key=record.key,
                bytes=len(record.value or b""),
                records=len(item.records),
                reason=reason,
            ).error("the store refuses a record for good")
        if self._on_refused is not None:
            self._on_refused(item, reason)

    def _renew_epoch(self) -> None:
        for item in self._appender.renew_epoch():
            if item.token is not None:
                item.token(UNKNOWN_OFFSET)

    def _log_stored(
        self,
        request: appender.Request,
        stored: appender.Appended,
        attempts: int,
    ) -> None:
        """Log an append that took several calls, or whose answer is odd.

        An answer that counts other records than this call's, or begins before
        the end of the append before, is that of another call. One that counts
        as many and begins later cannot be told from this call's.
        """
        end = stored.offset + len(request.records)
        fields = {
            "attempts": attempts,
            "offset": stored.offset,
            "end": stored.end,
        }
        if stored.end not in (UNKNOWN_OFFSET, end) or (
            stored.offset < self._end
        ):
            self._log(
                "append.replayed", request, after=self._end, **fields
            ).error("the store gave the answer of another append")
        elif attempts > 1:
            self._log("append.resolved", request, **fields).info(
                "an append that had failed is stored"
            )
        self._end = max(self._end, end)

    def _log(
        self, event: str, request: appender.Request, **fields: typing.Any
    ) -> typing.Any:
        """Return a logger with the fields of a call."""
        return logger.bind(
            event=event,
            topic=self._topic.value,
            epoch=request.epoch,
            sequence=request.sequence,
            records=len(request.records),
            **fields,
        )
