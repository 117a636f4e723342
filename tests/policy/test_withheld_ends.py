"""How many run ends may wait for a late start."""

from azurewood.policy import withheld_ends


def _withheld(ends, unanswered):
    """Return the share withheld in a calm time, and the naive policy's.

    Each of some ends holds ten others back. The naive policy withholds all.
    """
    share = withheld_ends.WithheldShare()
    naive = 0
    for number in range(ends):
        share.listed += 1
        if number % unanswered == 0:
            naive += 10
            if share.within_limit:
                share.withheld += 10
    return share.withheld / ends, naive / ends


def test_all_are_withheld_while_few_starts_are_unanswered():
    share, naive = _withheld(ends=3000, unanswered=200)
    assert share == naive


def test_most_ends_go_first_while_many_starts_are_unanswered():
    """A fifth may be late."""
    share, naive = _withheld(ends=3000, unanswered=20)
    assert naive > 0.2
    assert share < 0.2


def test_ends_that_wait_while_calls_get_lost_do_not_count():
    share = withheld_ends.WithheldShare()
    assert share.is_calm(now=0.0)
    share.unanswered_at = 5.0
    assert not share.is_calm(now=7.0)
    assert share.is_calm(now=8.1)
