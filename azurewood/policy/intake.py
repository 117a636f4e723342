"""Decides where a daemon stores the jobs that it accepts.

The load: the store answers ten to fifty times as slowly for some seconds,
in the peak of a queue. A partition of a topic stores one append after the
other, so the jobs' only partition then takes about a dozen appends a second,
fewer than the daemons together send. Appends wait in line until callers have
given up, although hosts are free.

While the leader reports slow appends, daemons store accepted jobs in the
partitions of a second topic, the intake, which take appends side by side.
The leader copies them to the jobs in batches. Calls wait for their answers
longer then: a call that is given up keeps its place in the partition's line,
and its repetition takes another one.
"""

import typing
import zlib

SLOW_APPEND_S: typing.Final = 0.08
"""Latency of the leader's appends from which the intake is used: ten times
the usual one. At this latency a partition stores some 20 appends a second."""
SLOW_READ_S: typing.Final = 0.15
"""Duration of a read from which the store counts as slow."""
REPORT_VALID_S: typing.Final = 1.5
"""How long a leader's report is considered by a daemon that stores jobs in
their own topic."""
IN_USE_VALID_S: typing.Final = 5.0
"""How long it is considered by one that uses the intake: a slow store delays
the next report too."""
MAX_PARTITIONS: typing.Final = 16
"""Partitions of the intake, each of which the leader reads."""


def partition_of(daemon: str, partitions: int) -> int:
    """Return a daemon's partition of the intake."""
    return zlib.crc32(daemon.encode()) % partitions


def reported_append_s(
    append_s: float, read_s: float, *, step_s: float
) -> float:
    """Return the delay of appends that a leader reports.

    ``append_s`` is the largest latency of its newest appends, and ``read_s``
    how long its newest read takes, which is known sooner: the answers of
    appends come late also because they were lost and the calls repeated.
    ``step_s`` is the longest recent step of the leader's loop, for which an
    answer may have waited.
    """
    read_s -= step_s
    known = read_s if read_s >= SLOW_READ_S else 0.0
    return max(append_s - step_s, known)


def is_slow(append_s: float) -> bool:
    """Return whether the store is slow, by the latency of an append."""
    return append_s >= SLOW_APPEND_S


def use_intake(
    append_s: float, reported_ago_s: float, *, in_use: bool
) -> bool:
    """Return whether accepted jobs go to the intake.

    ``append_s`` is the delay of the leader's appends, 0 if the leader does
    not report it; such a leader does not read the intake. ``in_use`` is
    whether the daemon uses the intake already.
    """
    valid_s = IN_USE_VALID_S if in_use else REPORT_VALID_S
    return is_slow(append_s) and reported_ago_s < valid_s


def knows_all(
    *, used_by: float, copied_at: float, copied_known_at: float, read_at: float
) -> bool:
    """Return whether a daemon knows all jobs that were stored in the intake.

    Nothing was stored there after ``used_by``, as far as the daemon knows.
    What was there at ``copied_at`` is among the jobs, which the daemon knew
    by ``copied_known_at``; it has read what was among them at ``read_at``.
    The load: all daemons lose power while the store is slow, and jobs wait in
    the intake for a leader. A daemon that takes the intake for empty denies
    them.
    """
    return copied_at >= used_by and read_at >= copied_known_at
