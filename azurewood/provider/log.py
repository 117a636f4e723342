"""A client of the platform's append-only log."""

import urllib.parse

import msgspec

from azurewood.provider import base
from azurewood.state import events

READ_LIMIT = 512
WAIT_MARGIN_S = 2.0
SNAPSHOT_SUFFIX = "-snapshots"


class _Place(msgspec.Struct, kw_only=True):
    incarnation: str
    first: int
    next: int


class _Stored(msgspec.Struct, kw_only=True):
    offset: int
    at_ms: int
    data: bytes


class _Page(_Place, kw_only=True):
    records: list[_Stored]


class LogClient:
    """Reads and appends to one stream and the stream of its snapshots."""

    __slots__ = ("_conn", "_stream")

    def __init__(self, *, conn: base.Connection, stream: str) -> None:
        self._conn = conn
        self._stream = stream

    def _path(self, suffix: str = "") -> str:
        name = urllib.parse.quote(self._stream + suffix, safe="")
        return f"/v1/streams/{name}/records"

    def append(self, data: bytes, *, timeout_s: float) -> None:
        """Append a record; raise ``NotDone`` or ``OutcomeUnknown``."""
        answer = self._conn.call(
            "POST", self._path(), body=data, timeout_s=timeout_s
        )
        base.check_status(answer, 201)

    def append_snapshot(self, data: bytes, *, timeout_s: float) -> None:
        """Append a snapshot; raise ``NotDone`` or ``OutcomeUnknown``."""
        answer = self._conn.call(
            "POST",
            self._path(SNAPSHOT_SUFFIX),
            body=data,
            timeout_s=timeout_s,
        )
        base.check_status(answer, 201)

    def read(
        self, offset: int, *, wait_ms: int
    ) -> events.RecordsRead | events.LogTrimmed:
        """Read records from ``offset`` on, waiting for at least one."""
        return self._read(self._path(), offset, wait_ms)

    def _read(
        self, path: str, offset: int, wait_ms: int
    ) -> events.RecordsRead | events.LogTrimmed:
        answer = self._conn.call(
            "GET",
            f"{path}?from={offset}&wait_ms={wait_ms}&limit={READ_LIMIT}",
            timeout_s=wait_ms / 1000 + WAIT_MARGIN_S,
        )
        base.check_status(answer, 200, 410)
        if answer.status == 410:
            place = base.decode(answer.body, _Place)
            return events.LogTrimmed(
                incarnation=place.incarnation,
                first=place.first,
                next=place.next,
            )
        page = base.decode(answer.body, _Page)
        return events.RecordsRead(
            incarnation=page.incarnation,
            first=page.first,
            next=page.next,
            records=tuple(
                events.StoredRecord(
                    offset=record.offset,
                    at_ms=record.at_ms,
                    data=record.data,
                )
                for record in page.records
            ),
        )

    def read_snapshot(self) -> events.SnapshotRead:
        """Read the newest snapshot; its state is empty if there is none."""
        path = self._path(SNAPSHOT_SUFFIX)
        place = self._read(path, 0, 0)
        if place.next == place.first:
            return events.SnapshotRead(incarnation=place.incarnation)
        newest = self._read(path, place.next - 1, 0)
        match newest:
            case events.RecordsRead(records=(*_, last)):
                return events.SnapshotRead(
                    incarnation=newest.incarnation, state=last.data
                )
            case _:
                return events.SnapshotRead(incarnation=newest.incarnation)
