"""Logs records that cannot be read, once for each change of a record."""

from loguru import logger

from azurewood.journal import appender
from azurewood.platform import exceptions


class UnreadableRecords:
    """The unreadable records of a topic, with a digest of their values."""

    __slots__ = ("_logged",)

    def __init__(self) -> None:
        self._logged: dict[str, int] = {}

    def add(
        self, record: appender.Record, exc: exceptions.InvalidMessage
    ) -> None:
        """Log a record, unless it was logged with the same value."""
        digest = hash(record.value)
        if self._logged.get(record.key) == digest:
            return
        self._logged[record.key] = digest
        logger.bind(event="record.unreadable", key=record.key).warning(
            "ignoring a record: {}", exc
        )

    def remove(self, key: str) -> None:
        """Forget a record that was deleted or can be read."""
        self._logged.pop(key, None)
