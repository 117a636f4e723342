"""A stand-in of the platform's store, by its page: a log with topics."""

import base64
import json
import struct
import threading
import time

PAGE_KEYS = 500
ANSWERS_KEPT = 5
READ_BYTES = 1 << 20
RECORD_BYTES = 262144
CALL_BYTES = 2097152


class _Part:
    """One partition: its records, the newest of each key, its producers."""

    def __init__(self, *, keyed):
        self.keyed = keyed
        self.records = []
        self.newest = {}
        self.producers = {}

    def append(self, records):
        """Add records and return the offset of the first."""
        first = len(self.records)
        for number, data in enumerate(records):
            self.records.append(data)
            if self.keyed:
                size = data[0]
                key, value = data[1 : 1 + size].decode(), data[1 + size :]
                self.newest.pop(key, None)
                if value:
                    self.newest[key] = (first + number, value)
        return first


class Store:
    """The store's contents; ``answer`` serves its calls.

    ``note`` is called when a record is too large.
    """

    def __init__(self, note=lambda text: None):
        self._note_text = note
        self._refused = {}
        self._parts = {}
        self._changed = threading.Condition()

    def _part(self, query):
        topic = query["topic"]
        key = (topic, int(query.get("part", 0)))
        if key not in self._parts:
            self._parts[key] = _Part(keyed=topic.startswith("keyed."))
        return self._parts[key]

    def put(self, topic, key, value):
        """Write a record of the operator or of a worker; None deletes it."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        with self._changed:
            part = self._part({"topic": topic})
            part.append([bytes((len(name),)) + name + data])
            self._changed.notify_all()

    def value(self, topic, key):
        """Return the newest value of a key, decoded, or None."""
        with self._changed:
            found = self._part({"topic": topic}).newest.get(key)
        return json.loads(found[1]) if found else None

    def answer(self, method, path, query, body, headers):
        """Carry out a call."""
        match path:
            case "/api/log-append":
                return self._append(query, body)
            case "/api/log-read":
                return self._read(query)
            case "/api/log-newest":
                return self._newest(query)
        return 404, b"{}"

    def _append(self, query, body):
        records = _split(body)
        sizes = [len(data) for data in records]
        if sum(sizes) > CALL_BYTES or max(sizes, default=0) > RECORD_BYTES:
            self._note_refused(query, max(sizes))
            return _json(413, {"reason": "too large"})
        with self._changed:
            part = self._part(query)
            end = len(part.records)
            if "at" in query and int(query["at"]) != end:
                return _json(412, {"end": end})
            if "producer" not in query:
                offset = part.append(records)
            else:
                reply = self._append_once(part, query, records)
                if reply is not None:
                    return reply
                offset = part.append(records)
                self._note(part, query, offset)
            self._changed.notify_all()
            return _json(200, {"offset": offset, "end": len(part.records)})

    def _note_refused(self, query, size):
        topic = query["topic"]
        count = self._refused[topic] = self._refused.get(topic, 0) + 1
        if count in (1, 2, 5, 10, 20, 50):
            self._note_text(
                f"the store refuses a record of {size} bytes in {topic},"
                f" time {count}; {RECORD_BYTES} are allowed"
            )

    def _append_once(self, part, query, records):
        """Return the reply of a call that appends nothing, else None."""
        name, epoch = query["producer"], int(query["epoch"])
        seq = int(query["seq"])
        known = part.producers.get(name)
        if known is not None and epoch < known["epoch"]:
            return _json(409, {"reason": "fenced"})
        if known is None or epoch > known["epoch"]:
            known = {"epoch": epoch, "seq": None, "answers": {}}
            part.producers[name] = known
        if not records:
            end = len(part.records)
            return _json(200, {"offset": end, "end": end})
        if seq in known["answers"]:
            return _json(200, known["answers"][seq])
        if known["seq"] is not None and seq != known["seq"] + 1:
            return _json(409, {"reason": "seq", "seq": known["seq"] + 1})
        return None

    def _note(self, part, query, offset):
        known, seq = part.producers[query["producer"]], int(query["seq"])
        known["seq"] = seq
        answer = {"offset": offset, "end": len(part.records)}
        known["answers"][seq] = answer
        for old in sorted(known["answers"])[:-ANSWERS_KEPT]:
            del known["answers"][old]

    def _read(self, query):
        offset = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            part = self._part(query)
            while len(part.records) <= offset:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self._changed.wait(left)
            parts = [struct.pack(">QQ", len(part.records), 0)]
            size = 0
            for data in part.records[offset:]:
                size += len(data) + 4
                if size > READ_BYTES and len(parts) > 1:
                    break
                parts.append(struct.pack(">I", len(data)) + data)
            return 200, b"".join(parts)

    def _newest(self, query):
        after = query.get("after", "")
        with self._changed:
            part = self._part(query)
            keys = sorted(key for key in part.newest if key > after)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(part.newest[key][1]).decode(),
                    "offset": part.newest[key][0],
                }
                for key in keys[:PAGE_KEYS]
            ]
            more = len(keys) > len(items)
            end = len(part.records)
        return _json(200, {"items": items, "has_more": more, "end": end})


def _split(body):
    records, at = [], 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        records.append(body[at + 4 : at + 4 + size])
        at += 4 + size
    return records


def _json(status, value):
    return status, json.dumps(value).encode()
