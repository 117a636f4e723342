"""Where accepted jobs are stored while the store is slow.

The load is that of a store that answers 28 times as slowly in the peak of a
queue: each of many daemons has a few jobs, and a partition stores one append
after the other.
"""

import collections

import pytest

from azurewood.policy import intake

APPEND_S = 0.003
SLOW = 28
DAEMONS = 97
JOBS_PER_S = 60
SECONDS = 6.5
CALLER_PATIENCE_S = 2.9


def _accepted_in_time(partition_for):
    """Return the share of jobs whose append ends before the caller leaves.

    ``partition_for`` returns the partition for a daemon's next append.
    """
    free_at = collections.defaultdict(float)
    in_time = 0
    count = int(JOBS_PER_S * SECONDS)
    for number in range(count):
        at = number / JOBS_PER_S
        partition = partition_for(f"edge-{number % DAEMONS}")
        free_at[partition] = max(at, free_at[partition]) + APPEND_S * SLOW
        in_time += free_at[partition] - at <= CALLER_PATIENCE_S
    return in_time / count


def test_all_jobs_of_a_peak_are_stored_while_the_store_is_slow():
    share = _accepted_in_time(
        lambda daemon: intake.partition_of(daemon, intake.MAX_PARTITIONS)
    )
    assert share == 1.0


def test_one_partition_stores_a_part_of_them_only():
    assert _accepted_in_time(lambda daemon: 0) < 0.4


def test_daemons_spread_over_the_partitions():
    counts = collections.Counter(
        intake.partition_of(f"edge-{n}", intake.MAX_PARTITIONS)
        for n in range(DAEMONS)
    )
    assert len(counts) == intake.MAX_PARTITIONS
    assert max(counts.values()) <= 3 * DAEMONS / intake.MAX_PARTITIONS


@pytest.mark.parametrize(
    ("append_s", "reported_ago_s", "in_use", "expected"),
    [
        (0.007, 0.1, False, False),
        (0.2, 0.1, False, True),
        (0.2, 1.6, False, False),
        (0.0, 0.1, False, False),
        (0.2, 4.9, True, True),
        (0.2, 5.1, True, False),
        (0.007, 0.1, True, False),
    ],
)
def test_used_only_on_a_recent_report_of_slow_appends(
    append_s, reported_ago_s, in_use, expected
):
    used = intake.use_intake(append_s, reported_ago_s, in_use=in_use)
    assert used is expected


@pytest.mark.parametrize(
    ("append_s", "read_s", "step_s", "slow"),
    [
        (0.007, 0.01, 0.0, False),
        (0.007, 0.1, 0.0, False),
        (0.007, 0.4, 0.0, True),
        (0.1, 0.01, 0.0, True),
        (0.2, 0.2, 0.19, False),
        (0.3, 0.4, 0.19, True),
    ],
)
def test_slow_reads_and_appends_tell_of_a_slow_store(
    append_s, read_s, step_s, slow
):
    found = intake.reported_append_s(append_s, read_s, step_s=step_s)
    assert intake.is_slow(found) is slow


def test_a_daemon_knows_all_jobs_once_it_has_read_what_was_copied():
    known = {"used_by": 10.0, "copied_at": 10.0, "copied_known_at": 12.0}
    assert intake.knows_all(**known, read_at=12.0)
    assert not intake.knows_all(**known, read_at=11.9)
    known["copied_at"] = 9.9
    assert not intake.knows_all(**known, read_at=20.0)
