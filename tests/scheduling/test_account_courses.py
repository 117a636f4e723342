"""Courses of accounts, and of losses of all daemons while hosts are replaced.

``python -m tests.scheduling.account_courses`` plays more seeds.
"""

import pytest

from azurewood.policy import account_room
from azurewood.scheduling import host_records
from tests.scheduling import account_courses

SEEDS = {
    "plain": (54, 118, 122, 219, 50039, 76, 235, 319),
    "power": (1, 8, 9, 11, 15, 20, 31),
}
KNOWN_RED = frozenset({("plain", 76), ("plain", 319)})
"""Modes and seeds that are passed over, as ``KNOWN-RED.txt`` lists them."""
RECORDS_SEED = 118
ROOM_SEED = 54


def _play(seed, name="plain"):
    mode = account_courses.MODES[name]
    return account_courses.Course(seed=seed, mode=mode).play()


@pytest.mark.parametrize(
    ("name", "seed"),
    [
        (name, seed)
        for name, seeds in SEEDS.items()
        for seed in seeds
        if (name, seed) not in KNOWN_RED
    ],
)
def test_rules_hold(name, seed):
    """Guards against LOST after a loss of power, and against QUOTA."""
    assert not _play(seed, name)


def test_jobs_wait_if_no_machine_of_a_host_is_stored(monkeypatch):
    monkeypatch.setattr(host_records, "store", lambda state: None)
    assert _play(RECORDS_SEED)


def test_jobs_wait_if_starts_that_hosts_refuse_count_in_full(monkeypatch):
    usual = account_room.room
    monkeypatch.setattr(
        account_room,
        "room",
        lambda limit, used, refused: usual(limit, used, 0),
    )
    assert _play(ROOM_SEED)
