"""Writers of jobs whose sequence number the store refuses."""

import pytest

from azurewood.journal import appender
from azurewood.journal import pages
from standins.fleet import store as stores
from tests.scheduling import deployment

CONFLICT = appender.Conflict(reason="seq")
WITHIN_S = 4.0


def _refuse_numbers(made, monkeypatch, member, *, carried_out):
    """Have the store forget a daemon's numbers after a call without answer.

    The call is carried out or not. From then on each sequence number of its
    epoch is refused.
    """
    usual = stores.Store.append
    producer = f"{member.name}-{member.member.election.nonce}"
    refused = []

    def append(self, topic, records, name, epoch, sequence, part=0):
        if name != producer or epoch > 1:
            return usual(self, topic, records, name, epoch, sequence, part)
        if refused:
            return CONFLICT
        refused.append(epoch)
        if carried_out:
            usual(self, topic, records, name, epoch, sequence, part)
        return appender.Unknown(reason="no answer")

    monkeypatch.setattr(stores.Store, "append", append)


@pytest.mark.parametrize("carried_out", (False, True))
def test_jobs_are_accepted_after_the_store_refused_a_number(
    monkeypatch, carried_out
):
    made = deployment.world()
    member = made.members[0]
    _refuse_numbers(made, monkeypatch, member, carried_out=carried_out)
    first = made.submit(member, deployment.job(made, 1))
    made.run(0.2)
    second = made.submit(member, deployment.job(made, 2))
    made.run(WITHIN_S)
    verdicts = [type(asked.verdict).__name__ for asked in (first, second)]
    assert verdicts == ["Taken", "Taken"]
    made.run(WITHIN_S)
    deployment.check(made)


def _refused(*, reads_back):
    """Return a writer of which a call without answer was repeated in vain."""
    writer = appender.Appender(epoch=1, reads_back=reads_back)
    for name in ("a", "b"):
        record = appender.Record(key=name, value=b"v")
        writer.add(appender.Item(records=(record,), token=name))
    first = writer.next_call(0.0)
    writer.handle_result(appender.Unknown(reason="silence"), 0.1, first)
    second = writer.next_call(1.0)
    writer.handle_result(CONFLICT, 1.1, second)
    return writer, first


def test_a_refused_call_is_repeated_in_a_new_epoch():
    writer, first = _refused(reads_back=False)
    assert writer.renew_epoch() == ()
    again = writer.next_call(5.0)
    assert again.records == first.records
    assert again.epoch == first.epoch + 1
    assert writer.renew_epoch() == ()
    store = stores.Store()
    for call in (again, first):
        result = store.append(
            pages.Topic.JOBS, call.records, "p", call.epoch, call.sequence
        )
    # The first call is not carried out any more.
    assert isinstance(result, appender.Fenced)


def test_a_refused_call_that_was_read_back_is_not_stored_twice():
    writer, _ = _refused(reads_back=True)
    assert writer.note_read("a", 1.2).token == "a"
    assert [item.token for item in writer.renew_epoch()] == ["a", "b"]
    assert writer.idle


def test_a_writer_whose_number_is_not_refused_keeps_its_epoch():
    writer, _ = _refused(reads_back=False)
    writer.renew_epoch()
    again = writer.next_call(5.0)
    writer.handle_result(appender.Unknown(reason="silence"), 5.1, again)
    assert writer.renew_epoch() == ()
    assert writer.next_call(9.0).epoch == again.epoch
