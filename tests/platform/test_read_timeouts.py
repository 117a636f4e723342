"""Which calls to the store may take longer as they make progress."""

from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.platform import store

URL = "http://127.0.0.1:1"


def test_reads_fail_without_progress_as_soon_as_before():
    """Guards against a silent store that is noticed later."""
    newest = store.newest(URL, pages.Topic.JOBS, "")
    assert newest.progress_timeout_ms == 2500
    read = store.read(URL, pages.Topic.JOBS, 0, 1000)
    assert read.progress_timeout_ms == 2500
    assert newest.timeout_ms == read.timeout_ms == 15000


def test_calls_that_change_something_keep_their_timeouts():
    """Guards against an append that holds its partition up."""
    record = appender.Record(key="k", value=b"v")
    request = appender.Request(
        records=(record,), epoch=1, sequence=1, timeout_s=0.25
    )
    append = store.append(URL, pages.Topic.JOBS, request, "p")
    assert append.timeout_ms == 250
    at = store.append_at(URL, pages.Topic.LEADER, b"", 0, 800)
    fence = store.begin_epoch(URL, pages.Topic.JOBS, "p", 1, 800)
    assert at.timeout_ms == fence.timeout_ms == 800
    for call in (append, at, fence):
        assert call.progress_timeout_ms is None
