"""Resignations whose connection is reset, carried out or not."""

import pytest

from azurewood.http import exchanges
from azurewood.journal import pages
from azurewood.leadership import records
from standins.fleet import platform
from tests.scheduling import deployment

RESET_S = 0.01
CUT_S = 0.2
"""Longer than a daemon waits to read a resignation that got no answer."""
SUCCEEDED_WITHIN_S = 0.8
"""A successor that reads no resignation claims after 1.5 s."""


class _Resetting:
    """Calls that get no answer; they are carried out or not."""

    def __init__(self, made, calls, *, carried_out):
        self._made = made
        self._calls = calls
        self._carried_out = carried_out

    def submit(self, call, done):
        at = self._made.clock.now
        reply = exchanges.Reply(
            outcome=exchanges.Outcome.UNKNOWN, sent_at=at, at=at + RESET_S
        )
        self._made.clock.after(RESET_S, lambda: done(reply))
        if self._carried_out:
            self._calls.submit(call, lambda reply: None)


def _resignations(made):
    page = made.store.read(pages.Topic.LEADER, 0)
    entries = [records.decode(record.value) for record in page.records]
    return sum(isinstance(entry, records.Resign) for entry in entries)


def _leave(made, member):
    member.leave()


def _release(made, member):
    """Release the term, as for a daemon that may reach more hosts."""
    member._release_term(made.clock.now)


@pytest.mark.parametrize("resign", (_leave, _release))
@pytest.mark.parametrize("carried_out", (False, True))
def test_no_successor_waits_for_a_resignation_that_was_reset(
    carried_out, resign
):
    made = deployment.world(members=3)
    old = made.leaders()[0]
    member = old.member
    calls = member._calls
    member._calls = _Resetting(made, calls, carried_out=carried_out)
    resign(made, member)
    member._calls = calls
    made.run(SUCCEEDED_WITHIN_S)
    assert [leader for leader in made.leaders() if leader is not old]
    assert _resignations(made) == 1


def test_no_resignation_is_stored_twice():
    """A short cut loses the read of the one that was stored."""
    made = deployment.world(members=3)
    old = made.leaders()[0]
    calls = old.member._calls
    old.member._calls = _Resetting(made, calls, carried_out=True)
    old.member.leave()
    old.member._calls = calls
    while not _resignations(made):
        made.run(0.0005)
    old.cut_from.add(platform.STORE)
    made.run(CUT_S)
    old.cut_from.clear()
    made.run(SUCCEEDED_WITHIN_S)
    assert [leader for leader in made.leaders() if leader is not old]
    assert _resignations(made) == 1


def _claiming(made):
    """Run until a daemon's claim is under way; return that daemon."""
    for _ in range(10_000):
        made.run(0.001)
        for member in made.members:
            election = member.member.election if member.up else None
            if election and election._appending and not election.term:
                return member
    raise AssertionError("nobody claims")


def test_no_successor_waits_for_a_daemon_that_stopped_while_it_claimed():
    """The claim is stored after the daemon has begun to stop."""
    made = deployment.world(members=3)
    made.leaders()[0].kill()
    stopped = _claiming(made)
    stopped.member.leave()
    made.run(SUCCEEDED_WITHIN_S)
    assert made.leaders()
