"""A log writer that never blocks the work.

Lines wait in a queue of bounded length for a thread that writes them. A
line is left out if the queue is full, or if its kind has had its share of
the second; how many were left out is written, by kind, once there is room.
"""

import collections
import json
import threading
import time
import typing

MAX_QUEUED_LINES: typing.Final = 2048
"""Lines that may wait: about half a megabyte."""
MAX_KIND_LINES_PER_S: typing.Final = 200
"""Most lines of one kind a second: twice what a peak of one pool makes."""
CLOSE_TIMEOUT_S: typing.Final = 1.0


class BoundedWriter:
    """Writes lines to a stream from a thread of its own."""

    __slots__ = (
        "_lines_by_kind",
        "_dropped",
        "_lines",
        "_ready",
        "_second",
        "_stopping",
        "_stream",
        "_thread",
    )

    def __init__(self, *, stream: typing.TextIO) -> None:
        self._stream = stream
        self._lines: collections.deque[str] = collections.deque()
        self._lines_by_kind: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()
        self._second = 0
        self._ready = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    def offer(self, kind: str, line: str) -> bool:
        """Queue a line; return False if it is left out."""
        with self._ready:
            self._start_new_second()
            self._lines_by_kind[kind] += 1
            full = len(self._lines) >= MAX_QUEUED_LINES
            if full or self._lines_by_kind[kind] > MAX_KIND_LINES_PER_S:
                self._dropped[kind] += 1
                return False
            self._lines.append(line)
            self._ready.notify()
            return True

    def _start_new_second(self) -> None:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_by_kind.clear()
            if len(self._lines) < MAX_QUEUED_LINES:
                self._append_dropped_counts()

    def _append_dropped_counts(self) -> None:
        if self._dropped:
            counts = dict(self._dropped)
            self._dropped.clear()
            fields = {"event": "log.left_out", "lines": counts}
            self._lines.append(json.dumps(fields) + "\n")

    def _run(self) -> None:
        while True:
            with self._ready:
                while not self._lines and not self._stopping:
                    self._ready.wait()
                if not self._lines:
                    return
                lines = "".join(self._lines)
                self._lines.clear()
            try:
                self._stream.write(lines)
                self._stream.flush()
            except OSError:
                # Nobody reads any more, and there is nowhere to say so.
                return

    def close(self) -> None:
        """Write what waits, for a while at most."""
        with self._ready:
            self._append_dropped_counts()
            self._stopping = True
            self._ready.notify()
        self._thread.join(CLOSE_TIMEOUT_S)
