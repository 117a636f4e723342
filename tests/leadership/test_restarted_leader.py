"""A leader whose process was started again reclaims its term at once."""

import types

import pytest

from azurewood.conf import kinds
from azurewood.daemons import fleet
from azurewood.jobs import model
from azurewood.leadership import base
from azurewood.leadership import events
from azurewood.leadership import records
from tests.scheduling import deployment

LONG = base.MIN_BEATS_TO_RECLAIM
STEP = model.Step(
    count=2, needs=model.Resources(1000, 500, 0), estimate_ms=400
)


def _beat(address="a 10.0.0.1:80", beats=LONG, nonce="old"):
    return records.Beat(nonce=nonce, address=address, beats=beats)


def _claim_after(*entries, address="a 10.0.0.1:80"):
    """Return a restarted daemon, and its claim at its first reading."""
    daemon = base.Election(name="a", nonce="new", now=0.0, address=address)
    read = events.Read(
        offset=90, entries=entries, end=90 + len(entries), began_at=0.0
    )
    return daemon, daemon.step(read, 0.01)


def test_the_next_process_of_the_leader_claims_and_orders_at_once():
    daemon, claim = _claim_after(_beat())
    assert isinstance(claim.entry, records.Claim)
    stored = events.Stored(offset=91, entry=claim.entry, began_at=0.01)
    daemon.step(stored, 0.02)
    assert daemon.term == 92
    assert daemon.may_order(0.03)
    assert not daemon.preempted_live_leader


@pytest.mark.parametrize(
    "entries",
    [
        (_beat(address="b 10.0.0.2:80"),),
        (_beat(address=""),),
        (_beat(beats=LONG - 1),),
        (_beat(), _beat(address="b 10.0.0.2:80", nonce="b")),
        (_beat(), records.Claim(name="b", nonce="b")),
        (records.Beat(nonce="old"),),
    ],
    ids=["another", "unknown", "short", "later", "claimed", "earlier version"],
)
def test_it_waits_as_others_unless_it_led_last_and_for_long(entries):
    _, claim = _claim_after(*entries)
    assert claim is None


def test_a_daemon_that_listens_on_any_address_waits():
    _, claim = _claim_after(_beat(address=""), address="")
    assert claim is None


@pytest.mark.parametrize(
    ("host", "expected"),
    [
        ("10.0.0.1", "a 10.0.0.1:80"),
        ("fd00::1", "a [fd00::1]:80"),
        ("0.0.0.0", ""),  # noqa: S104
        ("::", ""),
        ("front.example", ""),
    ],
)
def test_only_an_ip_address_is_one_process_alone(host, expected):
    settings = types.SimpleNamespace(
        name="a", front=kinds.Address(host=host, port=80)
    )
    assert fleet._own_address(settings) == expected


def test_a_live_leader_does_not_reclaim_after_its_own_beats():
    daemon, claim = _claim_after(_beat(nonce="new"))
    assert claim is None
    assert not daemon.term


def test_beats_are_counted_by_term():
    daemon, claim = _claim_after(_beat())
    stored = events.Stored(offset=91, entry=claim.entry, began_at=0.0)
    daemon.step(stored, 0.0)
    for number in range(3):
        now = base.BEAT_INTERVAL_S * (number + 1)
        wanted = daemon.beat(model.Resources(), now)
        assert (wanted.entry.beats, wanted.entry.address) == (
            number,
            "a 10.0.0.1:80",
        )
        stored = events.Stored(
            offset=92 + number, entry=wanted.entry, began_at=now
        )
        daemon.step(stored, now)


def _first_start_after_power_loss(away_s=1.2):
    """Kill all daemons and start them; return when a new job starts, in s."""
    made = deployment.world(members=6, **{"s-one": 6, "s-two": 2})
    made.run(12.0)
    for member in made.members:
        member.kill()
    made.run(away_s)
    for member in made.members:
        member.start()
    began_at = made.clock.now
    starts = made.rules.starts
    number = 0
    while made.rules.starts == starts:
        number += 1
        job = deployment.job(made, number, STEP)
        made.submit(made.members[number % 6], job)
        made.run(0.1)
        assert made.clock.now < began_at + 10.0
    took_s = made.clock.now - began_at
    made.run(8.0)
    deployment.check(made)
    return took_s


def test_jobs_start_soon_after_all_daemons_were_away(monkeypatch):
    assert _first_start_after_power_loss() <= 0.6
    monkeypatch.setattr(base, "MIN_BEATS_TO_RECLAIM", 10_000)
    assert _first_start_after_power_loss() >= base.CLAIM_AFTER_S
