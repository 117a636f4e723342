"""Writes the leader's progress records, one batch at a time.

The records of a batch share calls as far as they fit. A record that the store
refuses for good holds up none of the others.
"""

from collections import abc

from azurewood.daemons import topics
from azurewood.journal import appender
from azurewood.journal import pages


class ProgressWrites:
    """The leader's writer of progress records.

    ``on_saved`` is called once all records of a batch are stored, or refused
    for good; before that ``on_refused`` gets the keys of the latter.
    """

    __slots__ = ("_left", "_on_refused", "_on_saved", "writer")

    def __init__(
        self,
        *,
        writer: abc.Callable[[pages.Topic, topics.OnRefused], topics.Writer],
        on_saved: abc.Callable[[], None],
        on_refused: abc.Callable[[str], None],
    ) -> None:
        self.writer = writer(pages.Topic.PROGRESS, self._on_item_refused)
        self._on_saved = on_saved
        self._on_refused = on_refused
        self._left = 0

    def add(self, values: abc.Mapping[str, bytes | None]) -> None:
        """Append a batch of records by key, None to delete a key."""
        items = list(_items(values))
        self._left = len(items)
        for records in items:
            self.writer.add(records, self._on_stored)

    def _on_stored(self, offset: int) -> None:
        self._finish_one()

    def _finish_one(self) -> None:
        self._left -= 1
        if not self._left:
            self._on_saved()

    def _on_item_refused(self, item: appender.Item, reason: str) -> None:
        """Append the records of a refused item one by one, or give one up."""
        if len(item.records) > 1:
            self._left += len(item.records) - 1
            for record in item.records:
                self.writer.add((record,), self._on_stored, alone=True)
            return
        (record,) = item.records
        self._on_refused(record.key)
        self._finish_one()


def _items(
    values: abc.Mapping[str, bytes | None],
) -> abc.Iterator[tuple[appender.Record, ...]]:
    """Yield records in their order, as many together as a call takes."""
    together: list[appender.Record] = []
    size = 0
    for key, value in values.items():
        record = appender.Record(key=key, value=value)
        if together and size + record.size > appender.BATCH_BYTES:
            yield tuple(together)
            together, size = [], 0
        together.append(record)
        size += record.size
    yield tuple(together)
