"""The append-only log, with limited retention and a rate limit."""

import collections
import dataclasses
import secrets
import time
import typing

from standins import exceptions
from standins.platform import waiting

MAX_RECORD_BYTES = 1 << 20
MAX_PAGE_BYTES = 8 << 20
MAX_STREAMS = 4096
MS_PER_S = 1000


class RecordTooLargeError(exceptions.StandinError):
    """The record is over ``MAX_RECORD_BYTES``."""


class RateLimitError(exceptions.StandinError):
    """The append is over the rate limit and did not take effect."""


class TooManyStreamsError(exceptions.StandinError):
    """The log already has ``MAX_STREAMS`` streams."""


class OffsetError(exceptions.StandinError):
    """The offset is before the first record kept or after the next one."""

    def __init__(self, *, incarnation: str, first: int, next_offset: int):
        super().__init__(f"offsets {first} to {next_offset} are readable")
        self.incarnation = incarnation
        self.first = first
        self.next_offset = next_offset


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Record:
    """One record; ``at_ms`` is the platform's wall clock."""

    offset: int
    at_ms: int
    data: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Page:
    """The records that one read answers with."""

    incarnation: str
    first: int
    next_offset: int
    records: list[Record]


def wall_ms() -> int:
    """Return the wall clock in milliseconds."""
    return time.time_ns() // 1_000_000


class TokenBucket:
    """A rate limit; it holds at most one second's worth of tokens.

    The caller serializes the calls.
    """

    def __init__(self, *, per_s: float, clock=time.monotonic):
        self._per_s = per_s
        self._clock = clock
        self._tokens = max(per_s, 1.0)
        self._filled_at = clock()

    def take(self) -> bool:
        """Take one token, or return False if there is none."""
        now = self._clock()
        gained = (now - self._filled_at) * self._per_s
        self._tokens = min(self._tokens + gained, max(self._per_s, 1.0))
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Stream:
    """The records of one stream; its notifier's condition guards it."""

    def __init__(self):
        self.notifier = waiting.Notifier()
        self.incarnation = secrets.token_hex(8)
        self.records: collections.deque[Record] = collections.deque()
        self.next_offset = 0
        self.last_ms = 0

    @property
    def first(self) -> int:
        return self.next_offset - len(self.records)

    def trim(self, *, before: int) -> None:
        while self.records and self.records[0].offset < before:
            self.records.popleft()

    def expire(self, *, min_ms: int, max_records: int) -> None:
        records = self.records
        while records and records[0].at_ms < min_ms:
            records.popleft()
        while len(records) > max_records:
            records.popleft()


class Log:
    """All streams. Every method may be called from any thread.

    ``clock_ms`` gives wall milliseconds, ``clock`` monotonic seconds. The
    rate limit counts the appends of all streams together.
    """

    def __init__(
        self,
        *,
        retention_s: float = 3600.0,
        max_records: int = 1_000_000,
        appends_per_s: float = 300.0,
        clock_ms: typing.Callable[[], int] = wall_ms,
        clock: typing.Callable[[], float] = time.monotonic,
    ):
        self._retention_ms = int(retention_s * MS_PER_S)
        self._max_records = max_records
        self._clock_ms = clock_ms
        self._bucket = TokenBucket(per_s=appends_per_s, clock=clock)
        self._streams: dict[str, _Stream] = {}
        self._guard = waiting.Notifier().condition

    def append(
        self, stream: str, data: bytes, *, limited: bool = True
    ) -> tuple[str, Record]:
        """Append one record; return the incarnation and the record.

        Raises RecordTooLargeError, RateLimitError or TooManyStreamsError;
        the record is then not appended.
        """
        if len(data) > MAX_RECORD_BYTES:
            raise RecordTooLargeError(f"{len(data)} bytes")
        kept = self._stream(stream)
        with self._guard:
            if limited and not self._bucket.take():
                raise RateLimitError("over the rate limit")
        with kept.notifier.condition:
            kept.last_ms = max(kept.last_ms, self._clock_ms())
            record = Record(
                offset=kept.next_offset, at_ms=kept.last_ms, data=data
            )
            kept.records.append(record)
            kept.next_offset += 1
            self._expire(kept)
            kept.notifier.condition.notify_all()
            return kept.incarnation, record

    def read(
        self,
        stream: str,
        offset: int,
        *,
        deadline: float = 0.0,
        limit: int = 1000,
    ) -> Page:
        """Read from an offset on, waiting for a record until the deadline.

        The deadline is in monotonic seconds. Raises OffsetError.
        """
        kept = self._stream(stream)
        with kept.notifier.condition:
            incarnation = kept.incarnation
            kept.notifier.wait_for(
                ready=lambda: (
                    kept.next_offset != offset
                    or kept.incarnation != incarnation
                ),
                deadline=deadline,
            )
            self._expire(kept)
            if not kept.first <= offset <= kept.next_offset:
                raise OffsetError(
                    incarnation=kept.incarnation,
                    first=kept.first,
                    next_offset=kept.next_offset,
                )
            return Page(
                incarnation=kept.incarnation,
                first=kept.first,
                next_offset=kept.next_offset,
                records=list(_page(kept, offset=offset, limit=limit)),
            )

    def trim(self, stream: str, *, before: int) -> None:
        """Drop the records before an offset."""
        kept = self._stream(stream)
        with kept.notifier.condition:
            kept.trim(before=before)

    def lose(self, stream: str) -> None:
        """Lose every record; the stream has a new incarnation from 0 on."""
        kept = self._stream(stream)
        with kept.notifier.condition:
            kept.records.clear()
            kept.next_offset = 0
            kept.incarnation = secrets.token_hex(8)
            kept.notifier.condition.notify_all()

    def interrupt(self) -> None:
        """End the waits of all readers."""
        with self._guard:
            streams = list(self._streams.values())
        for kept in streams:
            kept.notifier.interrupt()

    def _stream(self, name: str) -> _Stream:
        with self._guard:
            kept = self._streams.get(name)
            if kept is None:
                if len(self._streams) >= MAX_STREAMS:
                    raise TooManyStreamsError(name)
                kept = self._streams[name] = _Stream()
            return kept

    def _expire(self, kept: _Stream) -> None:
        kept.expire(
            min_ms=self._clock_ms() - self._retention_ms,
            max_records=self._max_records,
        )


def _page(
    kept: _Stream, *, offset: int, limit: int
) -> typing.Iterator[Record]:
    size = 0
    start = offset - kept.first
    for index in range(start, min(start + limit, len(kept.records))):
        record = kept.records[index]
        size += len(record.data)
        if size > MAX_PAGE_BYTES and index > start:
            return
        yield record
