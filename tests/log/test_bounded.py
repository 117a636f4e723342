"""Logs never block the work, and say what they leave out."""

import json
import os
import threading
import time

from azurewood.log import bounded


class Stopped:
    """A stream whose reader has stopped until it is released."""

    def __init__(self):
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.released.wait(20)
        self.text += text

    def flush(self):
        pass


def _counts(text):
    lines = [json.loads(line) for line in text.splitlines() if line[0] == "{"]
    return [line["lines"] for line in lines if "lines" in line]


def test_a_reader_that_has_stopped_does_not_block():
    stream = Stopped()
    writer = bounded.BoundedWriter(stream=stream)
    taken = sum(
        writer.offer(f"kind-{number % 50}", "line\n")
        for number in range(3 * bounded.MAX_QUEUED_LINES)
    )
    assert taken <= 2 * bounded.MAX_QUEUED_LINES
    stream.released.set()
    writer.close()
    kept = stream.text.count("line\n")
    left_out = sum(sum(c.values()) for c in _counts(stream.text))
    assert kept == taken
    assert kept + left_out == 3 * bounded.MAX_QUEUED_LINES


def test_a_full_pipe_does_not_block():
    read, write = os.pipe()
    with os.fdopen(write, "w") as stream, os.fdopen(read):
        writer = bounded.BoundedWriter(stream=stream)
        began = time.process_time()
        for number in range(20000):
            writer.offer(f"kind-{number}", "x" * 200 + "\n")
        # Work goes on: far less than a line's time at a stopped reader.
        assert time.process_time() - began < 10


def test_one_kind_does_not_crowd_out_another():
    stream = Stopped()
    stream.released.set()
    writer = bounded.BoundedWriter(stream=stream)
    for _ in range(2 * bounded.MAX_KIND_LINES_PER_S):
        writer.offer("often", "often\n")
    assert writer.offer("seldom", "seldom\n")
    writer.close()
    assert "seldom" in stream.text
    assert _counts(stream.text)[-1]["often"] >= 1
