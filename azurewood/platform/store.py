"""Encodes calls to the platform's store and decodes its replies.

The store is a log over HTTP with topics and partitions. A topic whose name
begins with ``keyed.`` is compacted: it keeps the newest record of each key.
azurewood uses only partition 0 of each topic but the intake. A partition
carries out one append after the other.
"""

import base64
import struct
import typing
import urllib.parse

import msgspec

from azurewood.conf import decoding
from azurewood.http import exchanges
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.platform import exceptions

RECORD_LENGTH: typing.Final = struct.Struct(">I")
"""Precedes each record: the length of the record in bytes."""
PAGE_HEADER: typing.Final = struct.Struct(">QQ")
"""Precedes a page of records: end and first offset of the partition."""
MAX_READ_KB: typing.Final = 1024
READ_MARGIN_MS: typing.Final = 1500
"""Added to a read's wait at the store to get its time-out."""
NEWEST_TIMEOUT_MS: typing.Final = 2500
"""Both time-outs count from the newest byte that arrived. A listing of 1.39 MB
takes 2.3 s on a link of 5 Mbit/s; a time-out on the whole of it cut it
short, and it began again from the start."""
MAX_READ_MS: typing.Final = 15000
"""Longest duration of a read that makes progress."""

TOPIC_NAMES: typing.Final = {
    pages.Topic.JOBS: "keyed.jobs",
    pages.Topic.INTAKE: "keyed.intake",
    pages.Topic.PROGRESS: "keyed.progress",
    pages.Topic.LEADER: "leader",
    pages.Topic.OPERATORS: "keyed.op",
    pages.Topic.HOSTS: "keyed.servers",
    pages.Topic.REPORTS: "keyed.status",
}
FENCED: typing.Final = "fenced"
KEYED_TOPICS: typing.Final = frozenset(TOPIC_NAMES) - {pages.Topic.LEADER}


_Position = typing.Annotated[int, msgspec.Meta(ge=-1, le=decoding.MAX_NUMBER)]
"""An offset, -1 if there is none."""


class _AppendAnswer(msgspec.Struct):
    """``end`` is the partition's end, after the records if there are any.

    The field ``seq`` is not read.
    """

    offset: _Position = -1
    end: _Position = -1
    reason: str = ""


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: _Position


class _Newest(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    end: _Position


class _Trimmed(msgspec.Struct):
    first_offset: decoding.Natural


def append(
    url: str,
    topic: pages.Topic,
    request: appender.Request,
    producer: str,
    *,
    part: int = 0,
) -> exchanges.Call:
    """Return the call that appends records with a sequence number."""
    query = {
        "topic": TOPIC_NAMES[topic],
        "part": part,
        "producer": producer,
        "epoch": request.epoch,
        "seq": request.sequence,
    }
    body = b"".join(_frame(topic, record) for record in request.records)
    return _append(url, query, body, int(request.timeout_s * 1000))


def begin_epoch(
    url: str, topic: pages.Topic, producer: str, epoch: int, timeout_ms: int
) -> exchanges.Call:
    """Return the call that fences a producer's earlier epochs.

    It is an append without records.
    """
    query = {
        "topic": TOPIC_NAMES[topic],
        "part": 0,
        "producer": producer,
        "epoch": epoch,
        "seq": 0,
    }
    return _append(url, query, b"", timeout_ms)


def append_at(
    url: str, topic: pages.Topic, data: bytes, at: int, timeout_ms: int
) -> exchanges.Call:
    """Return the call that appends a record at the topic's end.

    The store refuses the append unless the topic ends at ``at``.
    """
    query = {"topic": TOPIC_NAMES[topic], "part": 0, "at": at}
    body = _frame(topic, appender.Record(key="", value=data))
    return _append(url, query, body, timeout_ms)


def _append(
    url: str, query: dict[str, object], body: bytes, timeout_ms: int
) -> exchanges.Call:
    return exchanges.Call(
        method="POST",
        url=f"{url}/api/log-append?{urllib.parse.urlencode(query)}",
        headers=("Content-Type: application/octet-stream",),
        body=body,
        timeout_ms=timeout_ms,
    )


def _frame(topic: pages.Topic, record: appender.Record) -> bytes:
    data = record.value or b""
    if topic in KEYED_TOPICS:
        key = record.key.encode()
        data = bytes((len(key),)) + key + data
    return RECORD_LENGTH.pack(len(data)) + data


def append_result(reply: exchanges.Reply) -> appender.Result:
    """Return the result of an append."""
    match reply.outcome:
        case exchanges.Outcome.NOT_SENT:
            return appender.NotDone(reason=reply.reason)
        case exchanges.Outcome.UNKNOWN:
            return appender.Unknown(reason=reply.reason)
    if reply.status in (429, 503):
        return appender.NotDone(reason=f"store answered {reply.status}")
    try:
        answer = decoding.decode_json(reply.body or b"{}", _AppendAnswer)
    except decoding.MalformedData as exc:
        return appender.Unknown(reason=f"store's answer is malformed: {exc}")
    match reply.status:
        case 200:
            return appender.Appended(offset=answer.offset, end=answer.end)
        case 409 if answer.reason == FENCED:
            return appender.Fenced()
        case 409 | 412:
            return appender.Conflict(
                reason=answer.reason or "condition", end=answer.end
            )
        case 400 | 413:
            return appender.Refused(reason=f"store answered {reply.status}")
        case 403 | 404 | 507:
            return appender.NotDone(reason=f"store answered {reply.status}")
        case _:
            return appender.Unknown(reason=f"store answered {reply.status}")


def read(
    url: str, topic: pages.Topic, offset: int, wait_ms: int, *, part: int = 0
) -> exchanges.Call:
    """Return the call that reads records starting at an offset."""
    query = {
        "topic": TOPIC_NAMES[topic],
        "part": part,
        "from": offset,
        "max_kb": MAX_READ_KB,
    }
    if wait_ms:
        query["wait_ms"] = wait_ms
    return exchanges.Call(
        method="GET",
        url=f"{url}/api/log-read?{urllib.parse.urlencode(query)}",
        timeout_ms=MAX_READ_MS,
        progress_timeout_ms=wait_ms + READ_MARGIN_MS,
    )


def read_result(
    topic: pages.Topic, offset: int, reply: exchanges.Reply
) -> pages.ReadResult:
    """Return the records in a reply, or why there are none."""
    if reply.outcome is not exchanges.Outcome.ANSWERED:
        return pages.Failed(reason=reply.reason)
    if reply.status == 410:
        return _trimmed(reply.body)
    if reply.status != 200:
        return pages.Failed(reason=f"store answered {reply.status}")
    try:
        end, first = PAGE_HEADER.unpack_from(reply.body)
        records = tuple(_records(topic, reply.body))
    except (struct.error, exceptions.InvalidMessage) as exc:
        return pages.Failed(reason=f"store's answer is malformed: {exc}")
    return pages.Page(offset=offset, records=records, end=end, first=first)


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _trimmed(body: bytes) -> pages.ReadResult:
    try:
        answer = decoding.decode_json(body, _Trimmed)
    except decoding.MalformedData as exc:
        return pages.Failed(reason=f"store's answer is malformed: {exc}")
    return pages.Trimmed(first=answer.first_offset)


def _records(
    topic: pages.Topic, body: bytes
) -> typing.Iterator[appender.Record]:
    position = PAGE_HEADER.size
    while position < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        data = body[position : position + length]
        if len(data) < length:
            raise exceptions.InvalidMessage("a record is cut short")
        position += length
        yield _record(topic, data)


def _record(topic: pages.Topic, data: bytes) -> appender.Record:
    if topic not in KEYED_TOPICS:
        return appender.Record(key="", value=data)
    if not data or len(data) < 1 + data[0]:
        raise exceptions.InvalidMessage("a record's key is cut short")
    key = data[1 : 1 + data[0]].decode("utf-8", "replace")
    return appender.Record(key=key, value=data[1 + data[0] :] or None)


def newest(
    url: str, topic: pages.Topic, after: str, *, part: int = 0
) -> exchanges.Call:
    """Return the call that reads the newest record of each key.

    ``after`` is the last key of the previous page, empty for the first.
    """
    query = {"topic": TOPIC_NAMES[topic], "part": part}
    if after:
        query["after"] = after
    return exchanges.Call(
        method="GET",
        url=f"{url}/api/log-newest?{urllib.parse.urlencode(query)}",
        timeout_ms=MAX_READ_MS,
        progress_timeout_ms=NEWEST_TIMEOUT_MS,
    )


def newest_result(reply: exchanges.Reply) -> pages.NewestResult:
    """Return a page of newest records, or why there is none."""
    if reply.outcome is not exchanges.Outcome.ANSWERED:
        return pages.Failed(reason=reply.reason)
    if reply.status == 404:
        return pages.Newest(records=(), offsets=(), more=False, end=0)
    if reply.status != 200:
        return pages.Failed(reason=f"store answered {reply.status}")
    try:
        page = decoding.decode_json(reply.body, _Newest)
        records = tuple(
            appender.Record(key=i.key, value=_decode_base64(i.value))
            for i in page.items
        )
    except (decoding.MalformedData, ValueError) as exc:
        return pages.Failed(reason=f"store's answer is malformed: {exc}")
    return pages.Newest(
        records=records,
        offsets=tuple(item.offset for item in page.items),
        more=page.has_more,
        end=page.end,
    )
