"""Decides over which of a daemon's few connections a call to a host goes.

A host accepts a fixed number of connections and does not notice that a
daemon which lost its power is gone. Whatever that daemon held stays taken,
for as long as the host runs. So a daemon holds few connections to a host, one
call at a time on each, and a call that finds none free waits in line:

- `Slot.HELD` belongs to renewals, whose answers the host may delay.
- `Slot.KEPT` belongs to all other calls, one after the other.
- `Slot.ASIDE` has room for ``MAX_ASIDE`` calls that had `Slot.KEPT` and keep
  others waiting. Their connections are closed once they end. So neither a
  slow start nor a silent connection blocks the line.

What ends each slot's use is the call's own time-out, or `gives_up` for a call
without an answer that others wait for. It answers the load of a burst of
starts to one host, that of hosts which leave a third of the calls unanswered,
and that of leaders which lose power in series.
"""

import enum
import typing

HOST_CONNECTIONS: typing.Final = 64
"""Connections that a host accepts. The settings do not name the figure."""
MAX_ASIDE: typing.Final = 2
"""Calls without an answer beside which further ones are made."""
ASIDE_AFTER_S: typing.Final = 0.05
"""Time without an answer after which a call no longer keeps others waiting;
several times what a host in good health takes."""
SILENT_S: typing.Final = 0.4
"""Time without an answer after which a call is ended if others can't be made
beside it. Lost segments are sent again within it."""


class Priority(enum.IntEnum):
    """The kinds of calls to a host; lower values go first.

    A ``HELD`` call is one whose answer the host may delay on purpose.
    """

    HELD = 0
    URGENT = 1
    NORMAL = 2


class Slot(enum.Enum):
    """The connections that a daemon may hold to one host at a time."""

    HELD = "held"
    KEPT = "kept"
    ASIDE = "aside"


MAX_CONNECTIONS: typing.Final = 2 + MAX_ASIDE
"""Connections of a daemon to one host; two of them unless calls get no
answer."""
MAX_LEADERS: typing.Final = HOST_CONNECTIONS // MAX_CONNECTIONS
"""Leaders whose connections a host can hold, each dead with all of its own in
use."""


def slot_of(priority: Priority) -> Slot:
    """Return the slot over which a call goes once it is free."""
    return Slot.HELD if priority is Priority.HELD else Slot.KEPT


def goes_aside_at(began_at: float) -> float:
    """Return when a call in `Slot.KEPT` that others wait for goes aside."""
    return began_at + ASIDE_AFTER_S


def gives_up_at(began_at: float) -> float:
    """Return when a call aside is ended if the line can't go on otherwise."""
    return began_at + SILENT_S


def goes_aside(*, began_at: float, now: float, aside: int) -> bool:
    """Return whether a call in `Slot.KEPT` lets those in line go on."""
    return aside < MAX_ASIDE and now >= goes_aside_at(began_at)


def gives_up(*, oldest_aside_began_at: float, now: float) -> bool:
    """Return whether the oldest call aside is ended for those in line.

    All that may go aside have. Its connection may be silent for good.
    """
    return now >= gives_up_at(oldest_aside_began_at)
