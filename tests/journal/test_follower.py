"""Following a topic through failures and dropped history."""

from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages


def _record(key, value=b"v"):
    return appender.Record(key=key, value=value)


def _newest(key, *, end, offset=0, more=False):
    return pages.Newest(
        records=(_record(key),), offsets=(offset,), more=more, end=end
    )


def _made(keyed=True):
    return follower.Follower(
        topic=pages.Topic.JOBS, keyed=keyed, wait_ms=1000, pause_s=0.1
    )


def _listed():
    made = _made()
    assert made.next_call(0.0) == follower.ReadNewest(after="")
    page = _newest("a", end=5)
    changes = made.handle_result(page, 0.01)
    assert changes.whole
    return made


def test_newest_first_then_changes_from_the_first_pages_end():
    made = _made()
    made.next_call(0.0)
    first = _newest("a", more=True, end=5)
    assert made.handle_result(first, 0.0) is None
    assert made.next_call(0.0) == follower.ReadNewest(after="a")
    second = _newest("b", offset=1, end=9)
    changes = made.handle_result(second, 0.0)
    assert [record.key for record in changes.records] == ["a", "b"]
    assert made.next_call(1.0) == follower.ReadFrom(offset=5, wait_ms=1000)


def test_newest_records_come_in_the_order_of_their_appends():
    """Found by seed 14 of the soak: see docs/findings.md."""
    made = _made()
    made.next_call(0.0)
    assert (
        made.handle_result(_newest("a", offset=4, more=True, end=5), 0.0)
        is None
    )
    made.next_call(0.0)
    changes = made.handle_result(_newest("b", offset=2, end=5), 0.0)
    assert [record.key for record in changes.records] == ["b", "a"]


def test_one_read_at_a_time_and_a_pause_between():
    made = _listed()
    assert made.next_call(0.02) is not None
    assert made.next_call(0.03) is None
    made.handle_result(pages.Page(offset=5, records=(), end=5, first=0), 0.03)
    assert made.next_call(0.05) is None
    assert made.next_call(0.02 + made.pause_s) is not None


def test_dropped_history_is_listed_again():
    made = _listed()
    made.next_call(0.2)
    assert made.handle_result(pages.Trimmed(first=9), 0.3) is None
    assert not made.listed
    assert made.next_call(0.4) == follower.ReadNewest(after="")


def test_plain_log_goes_on_at_the_oldest_record():
    made = _made(keyed=False)
    made.next_call(0.0)
    made.handle_result(pages.Trimmed(first=9), 0.1)
    assert made.next_call(0.2).offset == 9


def test_failures_keep_the_place_and_are_not_fresh():
    made = _listed()
    made.next_call(0.2)
    made.handle_result(pages.Failed(reason="silence"), 3.0)
    assert made.failing
    assert made.fresh_at == 0.0
    again = made.next_call(3.0 + follower.MIN_RETRY_S)
    assert again == follower.ReadFrom(offset=5, wait_ms=1000)


def test_keys_that_a_whole_listing_lacks_are_gone():
    changes = follower.Changes(records=(_record("a"),), whole=True)
    assert list(follower.removed_keys(["a", "b"], changes)) == ["b"]
    part = follower.Changes(records=(_record("a"),))
    assert list(follower.removed_keys(["a", "b"], part)) == []
