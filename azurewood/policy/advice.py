"""Limits the calls to the advice service and shares them between pools.

The advice service approves the hosts of a step. It handles one call of a
daemon at a time, which takes longer the more hosts the call names, and
refuses calls while many wait. Load: steps become ready in bursts, faster
than the service answers. A call that waits at the service delays all later
ones, whatever their jobs' order, and may be given up before its answer. So
the leader keeps few calls open and chooses the next step when one ends.
Pools take turns, so that the queue of one doesn't hold up another.

The service approves some hosts only, and what it says of a host holds for the
step. So each call names hosts that the step's earlier calls did not name, and
after the first, which often suffices, as many as the service takes.

After a failed call the leader pauses, longer after each further failure
(truncated exponential backoff).
"""

from collections import abc
import typing

from azurewood.jobs import catalog

MAX_OPEN_CALLS: typing.Final = 2
"""Limit on open calls: one is handled while the next is on its way."""
MAX_HOSTS_FIRST: typing.Final = 30
"""Limit on the hosts of a step's first call, which takes longer with each."""
MAX_HOSTS: typing.Final = 100
"""Limit on the hosts of any call, as the service sets it."""
MIN_PAUSE_S: typing.Final = 0.2
"""Pause after a first failed call."""
MAX_PAUSE_S: typing.Final = 2.0
"""Upper bound of the pause."""


def answer_ms(advice: catalog.Advice, hosts: int) -> int:
    """Return the time in ms that the service takes for a call."""
    return advice.decision_ms + advice.per_host_ms * hosts


def max_hosts(advice: catalog.Advice, *, first: bool) -> int:
    """Return how many hosts a call may name; ``first`` is a step's first.

    The open calls together take at most half of the time for which a ticket
    is valid, so that a step can use the tickets that it gets.
    """
    limit = MAX_HOSTS_FIRST if first else MAX_HOSTS
    if not advice.per_host_ms:
        return limit
    left_ms = advice.validity_ms / (2 * MAX_OPEN_CALLS) - advice.decision_ms
    return max(1, min(limit, int(left_ms / advice.per_host_ms)))


def pause_s(failures: int) -> float:
    """Return the pause in s after a number of failed calls in a row."""
    return min(MAX_PAUSE_S, MIN_PAUSE_S * 2.0 ** min(failures - 1, 10))


def next_pool(
    waiting: abc.Iterable[str], asked_at: abc.Mapping[str, float]
) -> str:
    """Return the pool whose latest call is the longest ago."""
    return min(waiting, key=lambda pool: (asked_at.get(pool, 0.0), pool))
