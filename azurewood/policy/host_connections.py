"""Decides over which of a daemon's few connections a call to a host goes.

A host accepts a fixed number of connections and does not notice that a
daemon which lost its power is gone. Whatever that daemon held stays taken,
for as long as the host runs. So a daemon holds few connections to a host, one
call at a time on each, and a call that finds none free is queued:

- `Slot.LONG_POLL` is for renewals, whose answers the host may delay.
- `Slot.REGULAR` is for all other calls, one after the other.
- `Slot.OVERFLOW` has room for ``MAX_OVERFLOW`` calls that had `Slot.REGULAR`
  and got no answer in time. Their connections are closed once they end. So
  neither a slow start nor a silent connection blocks the queue.

A leader holds the connections. Its use of each is ended by the call's answer
or time-out, by `gives_up` for a call without an answer that others wait for,
or by the end of the leader's term. All other connections of the host are left
to others: `MAX_LEADERS` that lose their power fit beside each other.

It answers the load of a burst of starts to one host, that of hosts which leave
a third of the calls unanswered, and that of leaders which lose power in
series.
"""

import enum
import typing

HOST_CONNECTIONS: typing.Final = 64
"""Connections that a host accepts. The settings do not name the figure."""
MAX_OVERFLOW: typing.Final = 2
"""Calls without an answer beside which further ones are made."""
OVERFLOW_AFTER_S: typing.Final = 0.05
"""Time without an answer after which a call no longer keeps others waiting;
several times what a host in good health takes."""
GIVE_UP_AFTER_S: typing.Final = 0.4
"""Time without an answer after which a call is ended if others can't be made
beside it. Lost segments are sent again within it."""


class Priority(enum.IntEnum):
    """The kinds of calls to a host; lower values go first.

    A ``LONG_POLL`` call is one whose answer the host may delay on purpose.
    """

    LONG_POLL = 0
    URGENT = 1
    NORMAL = 2


class Slot(enum.Enum):
    """The connections that a daemon may hold to one host at a time."""

    LONG_POLL = "long poll"
    REGULAR = "regular"
    OVERFLOW = "overflow"


MAX_CONNECTIONS: typing.Final = 2 + MAX_OVERFLOW
"""Connections of a daemon to one host; two of them unless calls get no
answer."""
MAX_LEADERS: typing.Final = HOST_CONNECTIONS // MAX_CONNECTIONS
"""Leaders whose connections a host can hold, each dead with all of its own in
use."""


def slot_of(priority: Priority) -> Slot:
    """Return the slot over which a call goes once it is free."""
    if priority is Priority.LONG_POLL:
        return Slot.LONG_POLL
    return Slot.REGULAR


def overflows_at(began_at: float) -> float:
    """Return when a call in `Slot.REGULAR` makes way for queued ones."""
    return began_at + OVERFLOW_AFTER_S


def gives_up_at(began_at: float) -> float:
    """Return when a call in `Slot.OVERFLOW` is ended for queued ones."""
    return began_at + GIVE_UP_AFTER_S


def overflows(*, began_at: float, now: float, overflowing: int) -> bool:
    """Return whether a call in `Slot.REGULAR` makes way for queued ones.

    ``overflowing`` is how many calls are in `Slot.OVERFLOW`.
    """
    return overflowing < MAX_OVERFLOW and now >= overflows_at(began_at)


def gives_up(*, oldest_began_at: float, now: float) -> bool:
    """Return whether the oldest call in a full `Slot.OVERFLOW` is ended.

    Its connection may be silent for good.
    """
    return now >= gives_up_at(oldest_began_at)
