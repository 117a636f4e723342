import threading
import time

import pytest

from standins.platform import log


def make(**options):
    return log.Log(appends_per_s=1e6, **options)


def test_offsets_and_page_limit():
    event_log = make()
    for n in range(5):
        event_log.append("s", b"%d" % n)
    page = event_log.read("s", 1, limit=2)
    assert [r.data for r in page.records] == [b"1", b"2"]
    assert (page.first, page.next_offset) == (0, 5)


@pytest.mark.parametrize("offset", [0, 2, 6])
def test_offset_outside_is_an_error(offset):
    event_log = make()
    for _ in range(5):
        event_log.append("s", b"x")
    event_log.trim("s", before=3)
    with pytest.raises(log.OffsetError) as caught:
        event_log.read("s", offset)
    assert (caught.value.first, caught.value.next_offset) == (3, 5)


def test_retention_by_age_and_count():
    now_ms = [0]
    event_log = make(
        retention_s=1.0, max_records=3, clock_ms=lambda: now_ms[0]
    )
    for now_ms[0] in (0, 100, 200, 300):
        event_log.append("s", b"x")
    assert event_log.read("s", 4).first == 1
    now_ms[0] = 1250
    assert event_log.read("s", 4).first == 3


def test_losing_all_records_starts_a_new_incarnation():
    event_log = make()
    old, _ = event_log.append("s", b"x")
    event_log.lose("s")
    with pytest.raises(log.OffsetError):
        event_log.read("s", 1)
    page = event_log.read("s", 0)
    assert page.incarnation != old
    assert (page.first, page.next_offset) == (0, 0)


def test_rate_limit_refuses_and_does_not_append():
    now = [0.0]
    event_log = log.Log(appends_per_s=2.0, clock=lambda: now[0])
    event_log.append("s", b"0")
    event_log.append("s", b"1")
    with pytest.raises(log.RateLimitError):
        event_log.append("s", b"2")
    assert event_log.read("s", 0).next_offset == 2
    now[0] = 0.5
    assert event_log.append("s", b"3")[1].offset == 2


def test_long_poll_wakes_on_append():
    event_log = make()
    timer = threading.Timer(0.05, event_log.append, ("s", b"x"))
    timer.start()
    page = event_log.read("s", 0, deadline=time.monotonic() + 20)
    assert [r.data for r in page.records] == [b"x"]


def test_concurrent_appends_get_distinct_offsets():
    event_log = make()
    offsets = []

    def append():
        for _ in range(200):
            offsets.append(event_log.append("s", b"x")[1].offset)

    threads = [threading.Thread(target=append) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(offsets) == list(range(800))


def test_interrupt_ends_a_long_poll():
    event_log = make()
    deadline = time.monotonic() + 60
    poll = threading.Thread(
        target=event_log.read,
        args=("s", 0),
        kwargs={"deadline": deadline},
        daemon=True,
    )
    poll.start()
    # An interrupt has no effect until the poll is waiting, so repeat it.
    for _ in range(100):
        event_log.interrupt()
        poll.join(0.05)
        if not poll.is_alive():
            break
    assert not poll.is_alive()
