"""Reads a topic: first its newest records, then every change in order.

The newest records are also returned in the order in which they were
appended, so that a daemon that lists them reaches the same state as one that
read them as they were appended.

This module has no clock and makes no calls. ``next_call`` returns what to
read and ``handle_result`` processes the answer. If the records to read next
were deleted, the newest records are read again.
"""

from collections import abc
import dataclasses
import random
import typing

from azurewood.journal import appender
from azurewood.journal import pages

MIN_RETRY_S: typing.Final = 0.1
"""Pause after the first failed read, doubled up to ``MAX_RETRY_S``."""
MAX_RETRY_S: typing.Final = 0.8


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReadNewest:
    """Read the newest record of each key that sorts after ``after``."""

    after: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReadFrom:
    """Read records from ``offset`` on.

    The store waits up to ``wait_ms`` for the first one.
    """

    offset: int
    wait_ms: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Changes:
    """Records in the order of their appends.

    ``whole`` is true if they are a complete listing of the topic.
    """

    records: tuple[appender.Record, ...]
    whole: bool = False


class Follower:
    """The position of one daemon in a topic, and the read to make next.

    ``part`` is the number of the topic's partition.

    ``pause_s`` is the minimum time from the start of a read to that of the
    next. ``began_at`` is when the latest read started. What was appended
    before ``fresh_at`` has been read: it is when the latest read that reached
    the end began; for a listing, when the read of its first page began. While
    ``hurried``, reads wait for no records.
    """

    __slots__ = (
        "_after",
        "_failures",
        "_found",
        "_latency_s",
        "_listed_end",
        "_listing_began_at",
        "_next_at",
        "_random",
        "_reading",
        "began_at",
        "fresh_at",
        "hurried",
        "keyed",
        "offset",
        "part",
        "pause_s",
        "topic",
        "wait_ms",
    )

    def __init__(
        self,
        *,
        topic: pages.Topic,
        keyed: bool,
        wait_ms: int,
        pause_s: float,
        seed: int = 0,
        part: int = 0,
    ) -> None:
        self.topic = topic
        self.part = part
        self.keyed = keyed
        self.wait_ms = wait_ms
        self.pause_s = pause_s
        self.offset = -1 if keyed else 0
        self.fresh_at = 0.0
        self.began_at = 0.0
        self.hurried = False
        self._after = ""
        self._found: list[tuple[int, appender.Record]] = []
        self._latency_s = 0.0
        self._listed_end = 0
        self._listing_began_at = 0.0
        self._failures = 0
        self._next_at = 0.0
        self._reading = False
        self._random = random.Random(seed)

    @property
    def listed(self) -> bool:
        """Whether the listing of the newest records is complete."""
        return self.offset >= 0

    @property
    def failing(self) -> bool:
        """Whether the latest read failed."""
        return self._failures > 0

    def next_at(self) -> float | None:
        """Return when the next read is due, None while one is in flight."""
        return None if self._reading else self._next_at

    def delay_s(self, now: float) -> float:
        """Return how long a read takes that the store doesn't hold open.

        A read under way tells it before its answer does.
        """
        if self._reading:
            return max(self._latency_s, now - self.began_at)
        return self._latency_s

    def next_call(self, now: float) -> ReadNewest | ReadFrom | None:
        """Return the read to make now, if one is due."""
        if self._reading or now < self._next_at:
            return None
        self._reading = True
        self.began_at = now
        if self.offset < 0:
            return ReadNewest(after=self._after)
        wait_ms = 0 if self.hurried else self.wait_ms
        return ReadFrom(offset=self.offset, wait_ms=wait_ms)

    def handle_result(
        self, result: pages.ReadResult | pages.NewestResult, now: float
    ) -> Changes | None:
        """Process the answer of a read and return the changes, if any."""
        self._reading = False
        match result:
            case pages.Failed():
                self._fail(now)
                return None
            case pages.Trimmed(first=first):
                self._restart_reading(first)
                return None
        self._failures = 0
        self._latency_s = now - self.began_at
        self._next_at = max(now, self.began_at + self.pause_s)
        match result:
            case pages.Page(records=records, end=end):
                self.offset += len(records)
                if self.offset >= end:
                    self.fresh_at = self.began_at
                return Changes(records=records)
            case pages.Newest():
                return self._add_listing_page(result, now)

    def _add_listing_page(
        self, page: pages.Newest, now: float
    ) -> Changes | None:
        if not self._after:
            self._found = []
            self._listed_end = page.end
            self._listing_began_at = self.began_at
        self._found.extend(zip(page.offsets, page.records, strict=True))
        self._next_at = now
        if page.more and page.records:
            self._after = page.records[-1].key
            return None
        self._after = ""
        self.offset = self._listed_end
        self.fresh_at = self._listing_began_at
        found, self._found = self._found, []
        found.sort(key=lambda item: item[0])
        records = tuple(record for _, record in found)
        return Changes(records=records, whole=True)

    def _fail(self, now: float) -> None:
        pause = min(MAX_RETRY_S, MIN_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._next_at = now + pause * self._random.uniform(0.5, 1.0)

    def _restart_reading(self, first: int) -> None:
        self._after = ""
        self.offset = -1 if self.keyed else max(0, first)


def removed_keys(
    known: abc.Iterable[str], changes: Changes
) -> abc.Iterator[str]:
    """Yield the known keys that are missing in a complete listing."""
    if changes.whole:
        listed = {record.key for record in changes.records}
        yield from (key for key in known if key not in listed)
