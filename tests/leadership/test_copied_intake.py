"""Up to when jobs of the intake are copied, by the beats of leaders."""

import math

from azurewood.leadership import base
from azurewood.leadership import events
from azurewood.leadership import records
from azurewood.policy import intake

BEGAN_AT = 10.0


def _election():
    return base.Election(name="m1", nonce="1", now=BEGAN_AT)


def _read(election, offset, at, *entries, began_at=None):
    """Have records read at ``at`` by a read that reached the log's end."""
    began_at = at if began_at is None else began_at
    event = events.Read(
        offset=offset,
        entries=entries,
        end=offset + len(entries),
        began_at=began_at,
        fresh_at=began_at,
    )
    election.step(event, at)


def _beat(copied_ms):
    return records.Beat(nonce="2", copied_ms=copied_ms)


def test_a_beat_of_before_this_daemon_tells_nothing():
    """Guards against LOST: jobs came into the intake after it was written."""
    election = _election()
    _read(election, 0, BEGAN_AT, _beat(0), _beat(0))
    assert election.copied_at < BEGAN_AT


def test_a_beat_is_younger_than_the_record_before_it():
    election = _election()
    _read(election, 0, BEGAN_AT, _beat(0))
    _read(election, 1, 11.0, _beat(0))
    assert election.copied_at == -math.inf
    _read(election, 2, 12.0, _beat(300))
    assert election.copied_at == BEGAN_AT - 0.3
    _read(election, 3, 13.0, _beat(300))
    assert election.copied_at == 11.0 - 0.3


def test_what_was_copied_stays_copied():
    election = _election()
    _read(election, 0, BEGAN_AT, _beat(0), _beat(0))
    _read(election, 2, 12.0, _beat(0), _beat(0))
    known = election.copied_at
    _read(election, 4, 13.0, records.Beat(nonce="2"), _beat(9000))
    assert election.copied_at == known


def test_a_beat_has_the_age_of_what_is_copied():
    election = _election()
    _read(election, 0, BEGAN_AT)
    claim = records.Claim(name="m1", nonce="1")
    election.step(
        events.Stored(offset=0, entry=claim, began_at=BEGAN_AT), BEGAN_AT
    )
    assert election.term
    made = election.beat(election.largest, 11.0, copied_at=10.75)
    assert made.entry.copied_ms == 250
    assert records.decode(records.encode(made.entry)) == made.entry
    election.step(events.AppendFailed(entry=made.entry), 11.0)
    made = election.beat(election.largest, 12.0)
    assert not isinstance(made.entry.copied_ms, int)


def test_a_slow_report_is_known_if_a_later_beat_came_with_it():
    """Guards against LOST: others used the intake, unseen by this daemon."""
    election = _election()
    _read(election, 0, 11.0, records.Beat(nonce="2"))
    assert election.slow_reported_at == -math.inf
    slow = records.Beat(nonce="2", append_s=intake.SLOW_APPEND_S)
    _read(election, 1, 12.0, slow, records.Beat(nonce="2"))
    assert election.leader_append_s == 0.0
    assert election.slow_reported_at == 12.0


def test_missed_records_may_have_had_a_slow_report():
    election = _election()
    _read(election, 5, 11.0, records.Beat(nonce="2"))
    assert election.slow_reported_at == -math.inf
    _read(election, 8, 12.0, records.Beat(nonce="2"))
    assert election.slow_reported_at == 12.0
