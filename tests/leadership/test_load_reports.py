"""Loaded queues in heartbeats, and daemons of the previous release."""

import msgspec

from azurewood.jobs import model
from azurewood.leadership import base
from azurewood.leadership import events
from azurewood.leadership import records

QUEUES = (
    records.QueueLoad(
        queue="q",
        waits=(records.Wait(work=5, wait_ms=700),),
        beyond=(
            records.AccountLoad(
                account="a", waits=(records.Wait(work=5, wait_ms=900),)
            ),
        ),
    ),
)


class _BeatOfEarlierRelease(msgspec.Struct, kw_only=True, tag="beat"):
    """The encoding of a beat in the previous release."""

    nonce: str
    largest: model.Resources = model.Resources()
    cores: float = 0.0
    append_s: float = 0.0
    address: str = ""
    beats: int = 0


def _leader():
    leader = base.Election(name="a", nonce="a", now=0.0)
    read = events.Read(offset=0, entries=(), end=0, began_at=0.0, ready=True)
    claim = leader.step(read, 0.0)
    leader.step(events.Stored(offset=0, entry=claim.entry, began_at=0.0), 0.0)
    return leader


def test_beats_of_the_previous_release_are_read_and_ours_by_it():
    """Guards against a daemon that reads no beat, and claims the term."""
    old = msgspec.msgpack.encode(_BeatOfEarlierRelease(nonce="n", beats=3))
    assert records.decode(old) == records.Beat(nonce="n", beats=3)
    new = records.encode(records.Beat(nonce="n", beats=3, load=QUEUES))
    read = msgspec.msgpack.decode(new, type=_BeatOfEarlierRelease)
    assert (read.nonce, read.beats) == ("n", 3)
    assert records.decode(new).load == QUEUES


def test_beats_without_loaded_queues_are_as_before():
    """Guards against larger heartbeats on quiet days."""
    wanted = _leader().beat(model.Resources(), 1.0)
    entry = wanted.entry
    usual = _BeatOfEarlierRelease(nonce="a", append_s=entry.append_s)
    assert records.encode(entry) == msgspec.msgpack.encode(usual)


def test_a_report_is_made_for_due_beats_only_and_read_with_its_time():
    """Guards against the cost of a report in each step of the leader."""
    asked = []

    def load():
        asked.append(True)
        return QUEUES

    leader = _leader()
    wanted = leader.beat(model.Resources(), 1.0, load)
    assert leader.beat(model.Resources(), 1.1, load) is None
    assert len(asked) == 1
    reader = base.Election(name="b", nonce="b", now=0.0)
    read = events.Read(
        offset=0,
        entries=(wanted.entry, records.Beat(nonce="x")),
        end=1,
        began_at=1.9,
        ready=True,
    )
    reader.step(events.Read(**_fields(read, entries=read.entries[:1])), 2.0)
    assert reader.load == base.LoadReport(queues=QUEUES, read_at=2.0)
    later = _fields(read, offset=1, end=2, entries=read.entries[1:])
    reader.step(events.Read(**later), 2.4)
    assert reader.load == base.LoadReport(queues=(), read_at=2.4)


def _fields(read, **changed):
    names = ("offset", "entries", "end", "began_at", "ready")
    return {name: getattr(read, name) for name in names} | changed
