"""A resignation is refused after its daemon has claimed a term again."""

from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.leadership import events
from azurewood.leadership import records
from tests.scheduling import deployment


def test_no_resignation_is_repeated_behind_a_later_claim():
    """A repeated resignation would end the new term of the same daemon.

    Successors would then consider its lease renewals over while it still
    renews them, and tasks could run twice.
    """
    made = deployment.world(members=1)
    member = made.members[0].member
    election = member.election
    assert election.term
    resign = records.Resign(nonce=election.nonce)
    member._resign_again(
        events.Append(entry=resign, at=election.end - 1),
        appender.Conflict(reason="", end=election.end),
    )
    made.run(0.2)
    page = made.store.read(pages.Topic.LEADER, 0)
    entries = [records.decode(record.value) for record in page.records]
    assert resign not in entries
