"""The queues of calls for a host's few connections, without a network.

LOST: leaders that lost power held all connections of the hosts, so that the
next leader reached none of them.
"""

import math

from hypothesis import given
from hypothesis import strategies

from azurewood.http import call_queues
from azurewood.policy import host_connections

ADDRESS = "10.0.0.1:80"
TIMEOUT_S = 0.8
Priority = host_connections.Priority


def _add(queues, priority, now, *, address=ADDRESS):
    call = call_queues.QueuedCall(
        address=address,
        priority=priority,
        added_at=now,
        deadline=now + TIMEOUT_S,
        payload=None,
    )
    queues.add(call)
    return call


class _Host:
    """Counts the connections of leaders, which lose power one by one."""

    def __init__(self, accepted=host_connections.HOST_CONNECTIONS):
        self.accepted = accepted
        self.taken = 0

    def lead(self, take):
        """Give a leader the connections that ``take`` asks for.

        Return whether it got one. It loses power with all of them open.
        """
        wanted = take()
        got = min(wanted, self.accepted - self.taken)
        self.taken += got
        return got > 0


def _burst():
    """Return the connections of a leader in a burst of starts and stops."""
    queues = call_queues.CallQueues()
    _add(queues, Priority.LONG_POLL, 0.0)
    for _ in range(20):
        _add(queues, Priority.NORMAL, 0.0)
        _add(queues, Priority.URGENT, 0.0)
    begun = list(queues.startable(0.0))
    now = 0.0
    while queues.due_at() < host_connections.GIVE_UP_AFTER_S:
        now = queues.due_at()
        assert queues.overflowing(now)
        begun += queues.startable(now)
    return len(begun)


def _one_for_each_call():
    """Return the connections of a leader that opens one for each call."""
    return min(32, 1 + 20 + 20)


def test_a_host_stays_reachable_for_leaders_after_dead_ones():
    host = _Host()
    assert all(host.lead(_burst) for _ in range(host_connections.MAX_LEADERS))


def test_it_does_not_with_a_connection_for_each_call():
    host = _Host()
    reached = [host.lead(_one_for_each_call) for _ in range(3)]
    assert reached == [True, True, False]


def test_a_stop_waits_shortly_for_a_start_and_not_for_a_renewal():
    queues = call_queues.CallQueues()
    renewal = _add(queues, Priority.LONG_POLL, 0.0)
    start = _add(queues, Priority.NORMAL, 0.0)
    assert list(queues.startable(0.0)) == [renewal, start]
    late_start = _add(queues, Priority.NORMAL, 0.01)
    stop = _add(queues, Priority.URGENT, 0.01)
    assert not list(queues.startable(0.01))
    due_at = queues.due_at()
    assert due_at <= host_connections.OVERFLOW_AFTER_S
    assert queues.overflowing(due_at) == [start]
    assert list(queues.startable(due_at)) == [stop]
    queues.ended(start)
    assert not list(queues.startable_to(ADDRESS, due_at))
    queues.ended(stop)
    assert list(queues.startable_to(ADDRESS, due_at)) == [late_start]


def _unsent(answered):
    """Return how many of a burst of starts aren't sent in time.

    ``answered`` tells of the number of a start whether the host answers it.
    """
    queues = call_queues.CallQueues()
    for _ in range(18):
        _add(queues, Priority.NORMAL, 0.0)
    now, begun = 0.0, 0
    while queues.waiting:
        list(queues.expired(now))
        for call in queues.given_up(now):
            queues.ended(call)
        queues.overflowing(now)
        for call in queues.startable(now):
            begun += 1
            if answered(begun):
                queues.ended(call)
        now += 0.005
    return 18 - begun


def test_a_host_that_leaves_a_third_unanswered_gets_a_burst_in_time():
    assert not _unsent(lambda number: number % 3)


def test_it_does_not_if_each_of_them_blocks_the_queue(monkeypatch):
    monkeypatch.setattr(host_connections, "MAX_OVERFLOW", 0)
    assert _unsent(lambda number: number % 3) > 9


def test_a_silent_start_is_given_up_only_if_others_wait():
    queues = call_queues.CallQueues()
    silent = [
        _add(queues, Priority.NORMAL, 0.0)
        for _ in range(host_connections.MAX_OVERFLOW + 1)
    ]
    begun = list(queues.startable(0.0))
    for _ in range(host_connections.MAX_OVERFLOW):
        now = queues.due_at()
        queues.overflowing(now)
        begun += queues.startable(now)
    assert begun == silent
    assert queues.due_at() == math.inf
    assert not queues.given_up(10.0)
    last = _add(queues, Priority.NORMAL, now)
    now = queues.due_at()
    assert now == host_connections.GIVE_UP_AFTER_S
    assert queues.given_up(now) == silent[:1]
    queues.ended(silent[0])
    assert queues.overflowing(now) == silent[-1:]
    assert list(queues.startable(now)) == [last]


def test_a_renewal_under_way_is_never_given_up():
    queues = call_queues.CallQueues()
    _add(queues, Priority.LONG_POLL, 0.0)
    _add(queues, Priority.LONG_POLL, 0.0)
    assert len(list(queues.startable(0.0))) == 1
    assert not queues.overflowing(TIMEOUT_S)
    assert not queues.given_up(TIMEOUT_S)


def test_waiting_calls_end_as_not_sent_at_their_deadline_or_when_cleared():
    queues = call_queues.CallQueues()
    calls = [_add(queues, Priority.NORMAL, 0.0) for _ in range(3)]
    assert list(queues.startable(0.0)) == calls[:1]
    assert queues.waiting == 2
    assert list(queues.expired(TIMEOUT_S)) == calls[1:]
    left = _add(queues, Priority.URGENT, TIMEOUT_S)
    assert queues.clear() == [left]
    assert not queues.waiting
    queues.ended(calls[0])
    assert queues.due_at() == math.inf


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([*Priority, "end", "wait", "wait"]),
        strategies.integers(0, 3),
    ),
    max_size=60,
)


@given(_STEPS)
def test_every_call_begins_or_ends_in_time_over_few_connections(steps):
    """Each step adds a call, ends one under way, or lets time pass."""
    queues = call_queues.CallQueues()
    now = 0.0
    added, begun, expired = [], [], []
    under_way = []

    def step():
        expired.extend(queues.expired(now))
        for call in queues.given_up(now):
            queues.ended(call)
            under_way.remove(call)
        queues.overflowing(now)
        found = list(queues.startable(now))
        begun.extend(found)
        under_way.extend(found)

    for kind, number in steps:
        if kind == "wait":
            now += 0.05 * (number + 1)
        elif kind == "end" and under_way:
            queues.ended(under_way.pop(number % len(under_way)))
        elif isinstance(kind, Priority):
            added.append(_add(queues, kind, now))
        for _ in range(host_connections.MAX_CONNECTIONS):
            step()
            assert len(under_way) <= host_connections.MAX_CONNECTIONS
        assert queues.due_at() > now
    while queues.waiting:
        now = queues.due_at()
        step()
    assert len(begun) + len(expired) == len(added)
    assert all(call.began_at < call.deadline for call in begun)
