"""A log writer that never blocks the threads that log.

A background thread writes the lines from a bounded queue. A line is dropped
if the queue is full, or if its kind has reached its limit for the current
second. The numbers of dropped lines are logged by kind (``log.left_out``)
once the queue has space in a later second, and when the writer is closed.
"""

import collections
import json
import threading
import time
import typing

MAX_QUEUED_LINES: typing.Final = 2048
"""Maximum length of the queue: about half a megabyte of text."""
MAX_KIND_LINES_PER_S: typing.Final = 200
"""Limit for one kind: twice what one pool logs at peak load."""
CLOSE_TIMEOUT_S: typing.Final = 1.0


class BoundedWriter:
    """Writes queued lines to a stream from a background thread."""

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
        """Queue a line; return False if the line is dropped."""
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
                # The reader has closed the stream, and there is no other
                # place to report it.
                return

    def close(self) -> None:
        """Write the queued lines, waiting ``CLOSE_TIMEOUT_S`` at most."""
        with self._ready:
            self._append_dropped_counts()
            self._stopping = True
            self._ready.notify()
        self._thread.join(CLOSE_TIMEOUT_S)
