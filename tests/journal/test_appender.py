"""Appends whose outcome becomes known."""

from azurewood.journal import appender


def _item(name):
    record = appender.Record(key=name, value=b"v")
    return appender.Item(records=(record,), token=name)


def _made():
    made = appender.Appender(epoch=3)
    made.add(_item("a"))
    return made


def test_items_that_wait_go_in_one_call():
    made = _made()
    made.add(_item("b"))
    request = made.next_call(0.0)
    assert [record.key for record in request.records] == ["a", "b"]
    assert (request.epoch, request.sequence) == (3, 1)
    assert made.next_call(0.0) is None
    stored = made.handle_result(appender.Appended(offset=7), 0.01)
    assert [item.token for item in stored] == ["a", "b"]
    assert made.idle


def test_unknown_outcome_is_repeated_under_the_same_number():
    made = _made()
    first = made.next_call(0.0)
    assert made.handle_result(appender.Unknown(reason="silence"), 1.0) == ()
    made.add(_item("b"))
    second = made.next_call(5.0)
    assert second.sequence == first.sequence
    assert second.records == first.records
    made.handle_result(appender.Appended(offset=0), 5.1)
    assert made.next_call(5.1).sequence == first.sequence + 1


def test_what_may_be_stored_is_never_withdrawn():
    made = _made()
    made.next_call(0.0)
    made.handle_result(appender.Unknown(reason="silence"), 1.0)
    made.add(_item("b"))
    taken = made.withdraw(lambda item: True)
    assert [item.token for item in taken] == ["b"]
    # A later answer that this call did nothing says nothing of the first.
    made.next_call(5.0)
    made.handle_result(appender.NotDone(reason="busy"), 5.1)
    assert made.withdraw(lambda item: True) == []


def test_what_was_certainly_not_stored_is_withdrawn():
    made = _made()
    made.next_call(0.0)
    made.handle_result(appender.NotDone(reason="busy"), 0.1)
    taken = made.withdraw(lambda item: True)
    assert [item.token for item in taken] == ["a"]
    assert made.idle


def test_retries_pause_longer_each_time_up_to_a_bound():
    made = _made()
    pauses = []
    now = 0.0
    for _ in range(8):
        assert made.next_call(now) is not None
        made.handle_result(appender.NotDone(reason="busy"), now)
        pauses.append(made.next_at() - now)
        now = made.next_at()
    assert pauses[0] <= appender.MIN_RETRY_S
    assert max(pauses) <= appender.MAX_RETRY_S
    assert pauses[-1] > pauses[0]


def test_waits_follow_the_newest_answer():
    made = _made()
    assert made.next_call(0.0).timeout_s == appender.MIN_TIMEOUT_S
    made.handle_result(appender.Appended(offset=0), 0.2)
    made.add(_item("b"))
    slow = made.next_call(1.0).timeout_s
    assert slow == appender.TIMEOUT_FACTOR * 0.2
    made.handle_result(appender.Unknown(reason="silence"), 2.0)
    assert made.next_call(9.0).timeout_s <= appender.MAX_TIMEOUT_S


def test_fenced_appender_appends_no_more():
    made = _made()
    made.next_call(0.0)
    made.handle_result(appender.Fenced(), 0.1)
    assert made.fenced
    assert made.next_call(100.0) is None


def test_batches_are_bounded():
    made = appender.Appender(epoch=1)
    big = appender.Record(key="k", value=bytes(appender.BATCH_BYTES // 2))
    for _ in range(3):
        made.add(appender.Item(records=(big,)))
    assert len(made.next_call(0.0).records) == 1
