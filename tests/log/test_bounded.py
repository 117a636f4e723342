"""Logging never blocks, and dropped lines are counted."""

import json
import os
import threading
import time

from azurewood.log import bounded


class BlockedStream:
    """A stream whose writes block until the test releases them."""

    def __init__(self):
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.released.wait(20)
        self.text += text

    def flush(self):
        pass


def _dropped_counts(text):
    lines = [json.loads(line) for line in text.splitlines() if line[0] == "{"]
    return [line["lines"] for line in lines if "lines" in line]


def test_a_blocked_reader_does_not_block_the_writer():
    stream = BlockedStream()
    writer = bounded.BoundedWriter(stream=stream)
    queued = sum(
        writer.offer(f"kind-{number % 50}", "line\n")
        for number in range(3 * bounded.MAX_QUEUED_LINES)
    )
    assert queued <= 2 * bounded.MAX_QUEUED_LINES
    stream.released.set()
    writer.close()
    written = stream.text.count("line\n")
    dropped = sum(sum(c.values()) for c in _dropped_counts(stream.text))
    assert written == queued
    assert written + dropped == 3 * bounded.MAX_QUEUED_LINES


def test_a_full_pipe_does_not_block_the_writer():
    read, write = os.pipe()
    with os.fdopen(write, "w") as stream, os.fdopen(read):
        writer = bounded.BoundedWriter(stream=stream)
        began = time.process_time()
        for number in range(20000):
            writer.offer(f"kind-{number}", "x" * 200 + "\n")
        # Queueing costs little processor time; waiting for the reader would
        # hang the test.
        assert time.process_time() - began < 10


def test_one_frequent_kind_does_not_displace_another():
    stream = BlockedStream()
    stream.released.set()
    writer = bounded.BoundedWriter(stream=stream)
    for _ in range(2 * bounded.MAX_KIND_LINES_PER_S):
        writer.offer("often", "often\n")
    assert writer.offer("seldom", "seldom\n")
    writer.close()
    assert "seldom" in stream.text
    assert _dropped_counts(stream.text)[-1]["often"] >= 1
