"""What an account may use beside starts that its hosts refuse."""

import hypothesis
from hypothesis import strategies
import pytest

from azurewood.policy import account_room

AMOUNTS = strategies.integers(0, 100)


def _all_count(limit, used, refused):
    """Count each start until it can't be late any more."""
    return limit - used


def _none_count(limit, used, refused):
    """Count no start that its host refuses."""
    return limit - (used - refused)


@hypothesis.given(
    limit=strategies.integers(1, 100), live=AMOUNTS, held=AMOUNTS
)
def test_an_account_may_use_half_of_its_limit_and_no_more(limit, live, held):
    room = account_room.room(limit, live + held, held)
    assert live + room >= limit // 2
    assert live + max(0, room) <= max(limit, live)
    if live + room > limit // 2:
        assert live + held + room <= limit


@pytest.mark.parametrize(
    ("policy", "served", "over"),
    [
        (account_room.room, True, 5),
        (_all_count, False, 0),
        (_none_count, True, 10),
    ],
)
def test_room_beside_refused_starts(policy, served, over):
    """Play a limit of 10 with 10 refused starts, all of which begin late."""
    room = policy(10, 10, 10)
    assert (room > 0) is served
    assert room + 10 - 10 == over


def test_an_account_without_a_limit_has_room():
    assert account_room.room(0, 100, 0) == account_room.NO_LIMIT


@pytest.mark.parametrize(
    ("limit", "used", "refused", "over"),
    [
        (10, 10, 0, False),
        (10, 11, 0, True),
        (10, 15, 9, False),
        (10, 15, 4, True),
        (0, 100, 0, False),
    ],
)
def test_what_hosts_refuse_brings_no_account_over_its_limit(
    limit, used, refused, over
):
    """Guards against stops of starts beside a refused one that is repeated."""
    assert account_room.is_over(limit, used, refused) is over
