"""Decides over which of a daemon's few connections a call to a host goes.

A host accepts a fixed number of connections and does not notice that a
daemon which lost its power is gone. Whatever that daemon held stays taken,
for as long as the host runs. So a daemon holds few connections to a host, in
fixed slots, and a call that finds none of its slots free waits in line:

- `Slot.HELD` belongs to renewals, whose answers the host may delay.
- `Slot.KEPT` belongs to all other calls, one after the other.
- `Slot.EXTRA` is made for an urgent call that a start has kept waiting, and
  closed after it. It keeps a stop from waiting behind a slow start.

What ends each slot's use is the call's own time-out, or `is_given_up` for a
call without an answer that others wait for. It answers the load of a burst
of starts to one host, and that of leaders which lose power in series.
"""

import enum
import typing

HOST_CONNECTIONS: typing.Final = 64
"""Connections that a host accepts. The settings do not name the figure."""
URGENT_WAIT_S: typing.Final = 0.05
"""How long an urgent call waits for a start; several times what a host in
good health takes to answer one."""
SILENT_S: typing.Final = 0.4
"""Time without an answer after which a call stops keeping others waiting.
Lost segments are sent again within it, and it is half of a start's time-out,
so that the next start still has time to be sent."""


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
    EXTRA = "extra"


MAX_LEADERS: typing.Final = HOST_CONNECTIONS // len(Slot)
"""Leaders whose connections a host can hold, each dead with all slots in
use. A leader without an urgent call under way holds two."""


def extra_at(added_at: float) -> float:
    """Return when an urgent call that waits since a time gets `Slot.EXTRA`."""
    return added_at + URGENT_WAIT_S


def given_up_at(began_at: float) -> float:
    """Return when a call that others wait for is ended without an answer."""
    return began_at + SILENT_S


def slot_for(
    priority: Priority,
    occupied: typing.Container[Slot],
    *,
    added_at: float,
    now: float,
) -> Slot | None:
    """Return the slot over which a call may go now, None if it waits.

    At most one call is in a slot, so a daemon never has more connections to
    a host than there are slots.
    """
    wanted = Slot.HELD if priority is Priority.HELD else Slot.KEPT
    if wanted not in occupied:
        return wanted
    overdue = priority is Priority.URGENT and now >= extra_at(added_at)
    return Slot.EXTRA if overdue and Slot.EXTRA not in occupied else None


def is_given_up(
    slot: Slot, *, began_at: float, now: float, others_wait: bool
) -> bool:
    """Return whether a call without an answer is ended for those in line.

    Its connection may be silent for good while a new one would work. The
    host is expected to delay the answers in `Slot.HELD`.
    """
    return (
        slot is not Slot.HELD and others_wait and now >= given_up_at(began_at)
    )
