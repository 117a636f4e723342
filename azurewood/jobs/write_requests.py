"""Records of jobs that wait to be stored, as the appender takes them."""

import concurrent.futures
import dataclasses

from azurewood.jobs import records
from azurewood.journal import appender


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class WriteRequest:
    """A record to store, and the future that receives the verdict."""

    record: records.Record
    future: concurrent.futures.Future
    asked_at: float


def append_item(request: WriteRequest) -> appender.Item:
    """Return the item that the appender stores for a write request."""
    return appender.Item(records=(record_of(request.record),), token=request)


def record_of(record: records.Record) -> appender.Record:
    """Return a job's record as the store takes it."""
    return appender.Record(key=record.key, value=records.encode(record))
