"""Following a topic through failed reads and deleted records."""

import pytest

from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages


def _record(key, value=b"v"):
    return appender.Record(key=key, value=value)


def _newest(key, *, end, offset=0, more=False):
    return pages.Newest(
        records=(_record(key),), offsets=(offset,), more=more, end=end
    )


def _reader(keyed=True):
    return follower.Follower(
        topic=pages.Topic.JOBS, keyed=keyed, wait_ms=1000, pause_s=0.1
    )


def _listed():
    reader = _reader()
    assert reader.next_call(0.0) == follower.ReadNewest(after="")
    page = _newest("a", end=5)
    changes = reader.handle_result(page, 0.01)
    assert changes.whole
    return reader


def test_changes_are_read_from_the_end_of_the_first_page():
    reader = _reader()
    reader.next_call(0.0)
    first = _newest("a", more=True, end=5)
    assert reader.handle_result(first, 0.0) is None
    assert reader.next_call(0.0) == follower.ReadNewest(after="a")
    second = _newest("b", offset=1, end=9)
    changes = reader.handle_result(second, 0.0)
    assert [record.key for record in changes.records] == ["a", "b"]
    assert reader.next_call(1.0) == follower.ReadFrom(offset=5, wait_ms=1000)


def test_newest_records_are_returned_in_order_of_their_appends():
    """Pages list keys in sorted order, not in the order of the appends.

    A daemon that handled the records in the order of the keys came to
    another state than one that read them as they were appended (soak seed
    14, see docs/findings.md).
    """
    reader = _reader()
    reader.next_call(0.0)
    assert (
        reader.handle_result(_newest("a", offset=4, more=True, end=5), 0.0)
        is None
    )
    reader.next_call(0.0)
    changes = reader.handle_result(_newest("b", offset=2, end=5), 0.0)
    assert [record.key for record in changes.records] == ["b", "a"]


def test_a_reader_is_as_fresh_as_what_it_has_read_to_the_end():
    """Guards against a daemon that denies jobs that it has not read.

    A listing tells what was stored before its first page, and a page that
    stops short of the end says nothing of what comes after it.
    """
    reader = _reader()
    reader.next_call(10.0)
    reader.handle_result(_newest("a", more=True, end=5), 11.0)
    reader.next_call(11.0)
    reader.handle_result(_newest("b", offset=1, end=9), 14.0)
    assert reader.listed
    assert reader.fresh_at == 10.0
    reader.next_call(14.0)
    short = pages.Page(offset=5, records=(_record("c"),), end=9, first=0)
    reader.handle_result(short, 14.1)
    assert reader.fresh_at == 10.0
    reader.next_call(14.2)
    rest = pages.Page(offset=6, records=(_record("d"),) * 3, end=9, first=0)
    reader.handle_result(rest, 14.3)
    assert reader.fresh_at == 14.2


def test_reads_are_made_one_at_a_time_with_a_pause_between():
    reader = _listed()
    assert reader.next_call(0.02) is not None
    assert reader.next_call(0.03) is None
    reader.handle_result(
        pages.Page(offset=5, records=(), end=5, first=0), 0.03
    )
    assert reader.next_call(0.05) is None
    assert reader.next_call(0.02 + reader.pause_s) is not None


def test_topic_is_listed_again_after_records_were_deleted():
    reader = _listed()
    reader.next_call(0.2)
    assert reader.handle_result(pages.Trimmed(first=9), 0.3) is None
    assert not reader.listed
    assert reader.next_call(0.4) == follower.ReadNewest(after="")


def test_topic_without_keys_is_read_from_the_oldest_record():
    reader = _reader(keyed=False)
    reader.next_call(0.0)
    reader.handle_result(pages.Trimmed(first=9), 0.1)
    assert reader.next_call(0.2).offset == 9


def test_failed_read_keeps_the_offset_and_is_not_fresh():
    reader = _listed()
    reader.next_call(0.2)
    reader.handle_result(pages.Failed(reason="silence"), 3.0)
    assert reader.failing
    assert reader.fresh_at == 0.0
    again = reader.next_call(3.0 + follower.MIN_RETRY_S)
    assert again == follower.ReadFrom(offset=5, wait_ms=1000)


def test_keys_missing_in_a_complete_listing_are_removed():
    changes = follower.Changes(records=(_record("a"),), whole=True)
    assert list(follower.removed_keys(["a", "b"], changes)) == ["b"]
    part = follower.Changes(records=(_record("a"),))
    assert list(follower.removed_keys(["a", "b"], part)) == []


def test_the_delay_of_a_read_is_known_before_its_answer():
    reader = _listed()
    assert reader.delay_s(0.05) == 0.01
    assert reader.next_call(0.2) is not None
    assert reader.delay_s(0.6) == pytest.approx(0.4)
    reader.handle_result(pages.Page(offset=5, records=(), end=5, first=0), 0.7)
    assert reader.delay_s(0.75) == pytest.approx(0.5)
