"""Decides where a daemon stores the jobs that it accepts.

The load: the store answers ten to fifty times as slowly for some seconds,
in the peak of a queue. A partition of a topic stores one append after the
other, so the jobs' only partition then takes about a dozen appends a second,
fewer than the daemons together send. Appends wait in line until callers have
given up, although hosts are free.

While the leader reports slow appends, daemons store accepted jobs in the
partitions of a second topic, the intake, which take appends side by side.
The leader copies them to the jobs in batches.
"""

import typing
import zlib

SLOW_APPEND_S: typing.Final = 0.08
"""Latency of the leader's appends from which the intake is used: ten times
the usual one. At this latency a partition stores some 20 appends a second."""
REPORT_VALID_S: typing.Final = 1.5
"""How long a leader's report of its latency is considered."""
MAX_PARTITIONS: typing.Final = 16
"""Partitions of the intake, each of which the leader reads."""


def partition_of(daemon: str, partitions: int) -> int:
    """Return a daemon's partition of the intake."""
    return zlib.crc32(daemon.encode()) % partitions


def use_intake(append_s: float, reported_ago_s: float) -> bool:
    """Return whether accepted jobs go to the intake.

    ``append_s`` is the latency of the leader's newest append, 0 if the
    leader does not report it; such a leader does not read the intake.
    """
    return append_s >= SLOW_APPEND_S and reported_ago_s < REPORT_VALID_S
