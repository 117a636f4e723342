"""The late starts of a host: what bars them and until when they count."""

import math

from azurewood.incarnations import late_starts
from azurewood.incarnations import limits
from azurewood.jobs import model

KEY = (model.TaskId("j", 0, 0, 0), 1)
OTHER = (model.TaskId("j", 0, 0, 1), 2)


def _late(*, until=20.0, incarnation_ms=1, fence=3, run=1, gang=False):
    return late_starts.LateStart(
        host="h1",
        run=run,
        gang=gang,
        incarnation_ms=incarnation_ms,
        fence=fence,
        possible_until=until,
    )


def _starts(**options):
    starts = late_starts.LateStarts()
    starts.add(KEY, _late(**options))
    return starts


def test_a_repeated_start_renews_the_one_that_others_refer_to():
    starts = late_starts.LateStarts()
    known = starts.add(KEY, _late(until=20.0))
    assert starts.add(KEY, _late(until=25.0, fence=4)) is known
    assert (known.possible_until, known.fence) == (25.0, 4)
    assert [key for key, _ in starts.items()] == [KEY]


def test_a_barred_start_is_impossible_for_those_that_refer_to_it():
    starts = late_starts.LateStarts()
    known = starts.add(KEY, _late())
    assert starts.bar(KEY)
    assert not starts.bar(KEY)
    assert known.possible_until == -math.inf
    assert not starts


def test_starts_that_are_possible_for_longer_are_left():
    starts = _starts(until=20.0)
    starts.add(OTHER, _late(until=21.0))
    assert starts.bar_all(possible_until=20.0)
    assert [key for key, _ in starts.items()] == [OTHER]
    assert not starts.bar_all(possible_until=20.0)
    assert starts.bar_all()
    assert not starts


def test_a_start_is_forgotten_after_the_first_list_that_would_show_its_run():
    starts = _starts(until=20.0)
    assert not starts.forget_impossible(listed_at=20.0, now=20.1)
    assert KEY in starts
    assert starts.forget_impossible(listed_at=20.1, now=20.2)
    assert not starts
    assert not starts.forget_impossible(listed_at=20.1, now=20.3)


def test_it_is_forgotten_without_a_list_once_its_lease_has_expired():
    starts = _starts(until=20.0)
    expires_at = 20.0 + limits.MAX_LEASE_S
    assert not starts.forget_impossible(listed_at=0.0, now=expires_at)
    assert starts.forget_impossible(listed_at=0.0, now=expires_at + 0.1)


def test_all_runs_of_late_starts_exist_until_the_lease_of_the_latest():
    """Each late start extends the lease of the runs that began before."""
    starts = _starts(until=20.0)
    starts.add(OTHER, _late(until=25.0))
    assert starts.run_expires_at(KEY, 10.0) == 25.0 + limits.MAX_LEASE_S
    unknown = (KEY[0], 9)
    assert starts.run_expires_at(unknown, 10.0) == 10.0


def test_another_incarnation_bars_a_start_only_by_a_higher_fence():
    starts = _starts(incarnation_ms=1, fence=3)
    assert starts.is_barred(KEY, incarnation_ms=1, fence=0)
    assert not starts.is_barred(KEY, incarnation_ms=2, fence=3)
    assert starts.is_barred(KEY, incarnation_ms=2, fence=4)
    assert starts.is_barred(OTHER, incarnation_ms=2, fence=0)


def _found(steps, key):
    return [late.run for late in steps.of_end(key[0])]


def test_an_end_finds_the_starts_of_its_task_on_all_hosts():
    steps = late_starts.LateSteps()
    first = late_starts.LateStarts(steps=steps)
    first.add(KEY, _late())
    first.add(OTHER, _late())
    late_starts.LateStarts(steps=steps).add((KEY[0], 2), _late(run=2))
    assert _found(steps, KEY) == [1, 2]
    assert len(_found(steps, OTHER)) == 1
    first.bar(KEY)
    assert _found(steps, KEY) == [2]
    assert first.forget_impossible(listed_at=30.0, now=30.0)
    assert _found(steps, OTHER) == []


def test_an_end_of_a_gangs_member_finds_the_starts_of_all_members():
    steps = late_starts.LateSteps()
    late_starts.LateStarts(steps=steps).add(KEY, _late(gang=True))
    assert _found(steps, OTHER) == [1]
    assert _found(steps, (model.TaskId("j", 0, 1, 0), 1)) == []
