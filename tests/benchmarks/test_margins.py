"""Tests of the margins listing, with small sample files."""

import json

from click import testing
import pytest

from benchmarks import margins

SITE = """
name = "small"

[[day]]
name = "calm"
goal = { floor = 0.5 }
floor_classes = [0.2]
floor_zones = [0.4]

[[day]]
name = "rough"
goal = { floor = 0.3 }
floor_classes = [0.1]
floor_zones = [0.2]
"""


def _day(name, served, classes, zones, **more):
    day = {
        "name": name,
        "seed": 7,
        "served": served,
        "by_class": classes,
        "by_zone": zones,
        "refused": 0.01,
        "failed": 0.02,
        "gate": True,
        "short": [],
        "rules": {},
    }
    return day | more


SCORE = {
    "cmd": "score",
    "site": "small",
    "days": [
        _day("calm", 0.9, [None, 0.8, 0.25], [0.9, 0.8]),
        _day("rough", 0.6, [0.14, None], [0.5, 0.6]),
    ],
}
HUNT = {
    "cmd": "hunt",
    "site": "small",
    "days": [
        _day(
            "hunt-1",
            0.7,
            [0.05],
            [0.6],
            short=["0.05 of the worth owed to class x; the floor is 0.1"],
        ),
        _day("calm --seed 9", 0.52, [0.9], [0.9], seed=9),
    ],
}
OTHER = {"cmd": "score", "site": "other", "days": [_day("calm", 0, [], [])]}


@pytest.fixture
def printed(tmp_path):
    """Return a function that runs the command on entries.

    It returns the exit code and the printed lines.
    """
    site = tmp_path / "small.toml"
    site.write_text(SITE)

    def run(*entries):
        paths = []
        for number, entry in enumerate(entries):
            path = tmp_path / f"entry-{number}.json"
            path.write_text(json.dumps(entry))
            paths.append(str(path))
        result = testing.CliRunner().invoke(margins.main, [str(site), *paths])
        return result.exit_code, result.output.splitlines()

    return run


def test_days_with_shortfalls_come_first_then_by_margin(printed):
    code, lines = printed(SCORE, HUNT)
    assert code == 0
    assert [line.split("  ")[2] for line in lines] == [
        "hunt-1",
        "calm --seed 9",
        "rough",
        "calm",
    ]


def test_figures_are_printed_with_their_floors(printed):
    _, lines = printed(SCORE)
    assert "served=0.600/0.300(+0.300)" in lines[0]
    assert "class=0.140/0.100(+0.040)" in lines[0]
    assert "zone=0.500/0.200(+0.300)" in lines[0]
    assert "class=0.250/0.200(+0.050)" in lines[1]
    assert "lost=0.030" in lines[0]
    assert lines[0].endswith("ok")


def test_shortfalls_of_generated_days_are_printed(printed):
    _, lines = printed(HUNT)
    assert "NOT OK" in lines[0]
    assert "short: 0.05 of the worth owed to class x" in lines[0]


def test_broken_rules_are_printed(printed):
    broken = SCORE | {"days": [_day("calm", 1, [1], [1], rules={"ONE": 1})]}
    _, lines = printed(broken)
    assert "rule: ONE" in lines[0]
    assert "NOT OK" in lines[0]


def test_missed_floor_gives_negative_margin(printed):
    under = SCORE | {"days": [_day("calm", 0.4, [1], [1], gate=False)]}
    _, lines = printed(under)
    assert "served=0.400/0.500(-0.100)" in lines[0]


def test_entries_of_other_sites_are_ignored(printed):
    code, lines = printed(OTHER)
    assert code != 0
    assert "no entry has a day of small" in lines[-1]
