"""A resignation is refused after its daemon has claimed a term again."""

from azurewood.http import exchanges
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.leadership import events
from azurewood.leadership import records
from tests.scheduling import deployment


CLAIMED_WITHIN_S = 3.0


class _Held:
    """A call that is not carried out, and gets no answer until ``reset``."""

    def __init__(self, made):
        self._made = made
        self._done = None

    def submit(self, call, done):
        self._done = done

    def reset(self):
        at = self._made.clock.now
        unknown = exchanges.Outcome.UNKNOWN
        self._done(exchanges.Reply(outcome=unknown, sent_at=at, at=at))


def _entries(made):
    page = made.store.read(pages.Topic.LEADER, 0)
    return [records.decode(record.value) for record in page.records]


def _has_claimed_again(made):
    claims = [e for e in _entries(made) if isinstance(e, records.Claim)]
    return len(claims) > 1


def test_a_daemon_that_claims_again_repeats_no_resignation():
    """Its successor would take the new term's lease renewals for over."""
    made = deployment.world(members=1)
    member = made.members[0].member
    calls = member._calls
    member._calls = held = _Held(made)
    member._release_term(made.clock.now)
    member._calls = calls
    end = made.clock.now + CLAIMED_WITHIN_S
    while not _has_claimed_again(made) and made.clock.now < end:
        made.run(0.001)
    # The claim is stored, but its answer has not arrived.
    assert _has_claimed_again(made)
    assert not member.election.term
    held.reset()
    made.run(1.0)
    assert member.election.term
    assert not [e for e in _entries(made) if isinstance(e, records.Resign)]


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
