"""Starts without an answer that their hosts refuse, and accounts' limits."""

from azurewood.policy import account_room
from standins.fleet import members
from tests.scheduling import accounts
from tests.scheduling import deployment

LATE_S = 11.0
STARTS = 4
PLACED_S = 0.8
TAKEOVER_S = 3.0
SILENT_S = 3.0
"""Time in which a call without an answer shows that a host is silent."""


def _full_of_refused_starts(monkeypatch):
    """Fill an account with late starts of cancelled jobs; change the leader.

    Return the world, the hosts of these starts and the account's next job.
    """
    monkeypatch.setattr(members, "LATE_CALL_DELAY_S", (LATE_S, LATE_S))
    made = accounts.world(pools={"s-one": 4}, a=STARTS)
    late = deployment.lose_starts(made, STARTS)
    ids = accounts.submit(made, range(STARTS), "a")
    made.run(PLACED_S)
    assert len(late) == STARTS
    for job_id in ids:
        made.cancel(made.members[0], job_id)
    made.run(1.0)
    made.leaders()[0].kill()
    made.run(TAKEOVER_S)
    next_ids = accounts.submit(made, [10], "a")
    made.run(2.0)
    return made, late, next_ids


def test_an_account_full_of_starts_that_hosts_refuse_runs_its_next_job(
    monkeypatch,
):
    """Guards against LOST: it waited until none could be late any more."""
    made, _, ids = _full_of_refused_starts(monkeypatch)
    assert accounts.done(made, ids) == 1
    deployment.check(made)


def test_it_waits_if_all_of_them_count(monkeypatch):
    usual = account_room.room
    monkeypatch.setattr(
        account_room,
        "room",
        lambda limit, used, refused: usual(limit, used, 0),
    )
    made, _, ids = _full_of_refused_starts(monkeypatch)
    assert not accounts.done(made, ids)


def test_they_count_again_once_their_host_may_have_restarted(monkeypatch):
    """Guards against QUOTA: its next incarnation knows of no refusal."""
    made, late, _ = _full_of_refused_starts(monkeypatch)
    state = made.leaders()[0].member.term.state
    before = state.usage.refused("a").cpu
    assert before
    made.cut_hosts |= set(late)
    made.run(SILENT_S)
    assert state.usage.refused("a").cpu < before
    assert state.usage.used("a").cpu >= before
