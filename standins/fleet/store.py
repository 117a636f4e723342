"""Simulated store: topics with conditional and idempotent appends."""

import collections
from collections import abc
import dataclasses

from azurewood.journal import appender
from azurewood.journal import pages

MAX_KEPT_ANSWERS = 5
"""Number of a producer's newest appends whose repetition is answered."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Producer:
    epoch: int = -1
    sequence: int | None = None
    answers: dict[int, appender.Result] = dataclasses.field(
        default_factory=dict
    )


class _Topic:
    __slots__ = ("first", "newest", "producers", "records", "waiters")

    def __init__(self) -> None:
        self.records: list[appender.Record] = []
        self.first = 0
        self.newest: dict[str, tuple[int, appender.Record]] = {}
        self.producers: dict[str, _Producer] = {}
        self.waiters: list[abc.Callable[[], None]] = []

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)


class Store:
    """The contents of the store; every call takes effect immediately.

    It refuses calls with a record of more than ``max_record_bytes``, whose
    keys are in ``refused``.
    """

    __slots__ = ("_topics", "appended", "max_record_bytes", "refused")

    def __init__(self) -> None:
        self._topics: dict[tuple[pages.Topic, int], _Topic] = (
            collections.defaultdict(_Topic)
        )
        self.appended = 0
        self.max_record_bytes = appender.MAX_RECORD_BYTES
        self.refused: list[str] = []

    def append(
        self,
        topic: pages.Topic,
        records: tuple[appender.Record, ...],
        producer: str,
        epoch: int,
        sequence: int,
        part: int = 0,
    ) -> appender.Result:
        """Append records under a producer's epoch and sequence number.

        Without records, the call only begins the epoch. A repeated sequence
        number gets the earlier answer.
        """
        found = self._topics[topic, part]
        known = found.producers.setdefault(producer, _Producer())
        if epoch < known.epoch:
            return appender.Fenced()
        if epoch > known.epoch:
            known.epoch = epoch
            known.sequence = None
            known.answers = {}
        if not records:
            known.sequence = sequence
            return appender.Appended(offset=found.end, end=found.end)
        if sequence in known.answers:
            return known.answers[sequence]
        large = [r.key for r in records if r.size > self.max_record_bytes]
        if large:
            self.refused.extend(large)
            return appender.Refused(reason="the record is too large")
        if known.sequence is not None and sequence != known.sequence + 1:
            return appender.Conflict(reason="sequence")
        known.sequence = sequence
        answer = self.add(topic, records, part)
        known.answers[sequence] = answer
        for old in sorted(known.answers)[:-MAX_KEPT_ANSWERS]:
            del known.answers[old]
        return answer

    def append_at(
        self, topic: pages.Topic, record: appender.Record, at: int
    ) -> appender.Result:
        """Append a record if ``at`` is the end offset of the topic."""
        end = self._topics[topic, 0].end
        if end != at:
            return appender.Conflict(reason="condition", end=end)
        return self.add(topic, (record,))

    def add(
        self,
        topic: pages.Topic,
        records: tuple[appender.Record, ...],
        part: int = 0,
    ) -> appender.Appended:
        """Append records unconditionally."""
        found = self._topics[topic, part]
        offset = found.end
        found.records.extend(records)
        self.appended += len(records)
        for number, record in enumerate(records):
            found.newest.pop(record.key, None)
            if record.value is not None:
                found.newest[record.key] = (offset + number, record)
        waiters, found.waiters = found.waiters, []
        for waiter in waiters:
            waiter()
        return appender.Appended(offset=offset, end=found.end)

    def end(self, topic: pages.Topic, part: int = 0) -> int:
        """Return the offset of the next record."""
        return self._topics[topic, part].end

    def read(
        self, topic: pages.Topic, offset: int, part: int = 0
    ) -> pages.ReadResult:
        """Return the records, starting at an offset."""
        found = self._topics[topic, part]
        if offset < found.first:
            return pages.Trimmed(first=found.first)
        records = tuple(found.records[offset - found.first :])
        return pages.Page(
            offset=offset, records=records, end=found.end, first=found.first
        )

    def call_at_next_append(
        self, topic: pages.Topic, what: abc.Callable[[], None], part: int = 0
    ) -> None:
        """Call ``what`` once when the next record of a topic is appended."""
        self._topics[topic, part].waiters.append(what)

    def newest(
        self, topic: pages.Topic, after: str, part: int = 0
    ) -> pages.NewestResult:
        """Return a page with the newest record of each key after ``after``."""
        found = self._topics[topic, part]
        keys = sorted(key for key in found.newest if key > after)
        page = [found.newest[key] for key in keys[:50]]
        return pages.Newest(
            records=tuple(record for _, record in page),
            offsets=tuple(offset for offset, _ in page),
            more=len(keys) > len(page),
            end=found.end,
        )

    def values(self, topic: pages.Topic, part: int = 0) -> dict[str, bytes]:
        """Return the newest value of each key."""
        newest = self._topics[topic, part].newest
        return {key: record.value for key, (_, record) in newest.items()}

    def forget(self, topic: pages.Topic) -> None:
        """Drop the history of a topic, but keep each key's newest record."""
        found = self._topics[topic, 0]
        found.first = found.end
        found.records = []
        waiters, found.waiters = found.waiters, []
        for waiter in waiters:
            waiter()
