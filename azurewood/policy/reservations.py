"""Bounds in time how long a host is reserved for tasks that start alone.

The load: tens of suspects wait to start alone, one after the other, and other
jobs of the pool wait beside them; or a suspect's turn on its host never
comes. A host is reserved while it is held for suspects or one has started
there and has not settled. Then the others get a turn:

- Once a suspect has settled, the host is open to others for `TURN_S`, within
  which at least one scheduling pass is made, before the next suspect.
- A host that was held for `MAX_HELD_S` without a start is given up, and open
  for as long.

The others are always left half of a pool's hosts, rounded down, and their
turns on the rest. Whatever keeps a suspect from its turn, a host is never
closed to them for longer than `MAX_HELD_S` and the time until a run settles,
which is bounded by `MAX_OCCUPIED_S`.
"""

import dataclasses
import enum
import typing

TURN_S: typing.Final = 0.5
"""Longer than the pause between two scheduling passes."""
MAX_HELD_S: typing.Final = 6.0
"""Time for new runs to settle or short ones to end, by two lists."""
MAX_OCCUPIED_S: typing.Final = 6.0
"""Time from which a suspect's start that isn't seen to settle no longer keeps
others away, as when its answer is lost."""
MAX_PASS_GAP_S: typing.Final = 2.0
"""Time without a pass from which a hold is over: while a task waits, each
list of a host leads to one, and lists come once a second."""
MIN_OPEN_SHARE: typing.Final = 0.5
"""Share of a pool's hosts that is always left to others, rounded down."""


class Change(enum.Enum):
    """What has ended the reservation of a host, if anything has."""

    NONE = "none"
    SETTLED = "settled"
    GIVEN_UP = "given up"


@dataclasses.dataclass(slots=True, kw_only=True)
class Reservation:
    """The reservation of one host, which each pass updates.

    ``held_until`` is when it ends without a start, None if the host is not
    held. Until ``open_until`` the host is not reserved again. ``occupied`` is
    whether a suspect had not settled there at the latest pass. Without
    another pass all that is over ``over_at``.
    """

    held_until: float | None = None
    open_until: float = 0.0
    occupied: bool = False
    over_at: float = 0.0

    def is_closed(self, now: float) -> bool:
        """Return whether the host is closed to others since the last pass."""
        closed = self.occupied or self.held_until is not None
        return closed and now < self.over_at

    def is_open(self, now: float) -> bool:
        """Return whether it is the others' turn."""
        return now < self.open_until

    def begin_pass(self, *, occupied: bool, now: float) -> Change:
        """Note whether a suspect is unsettled; return what has ended."""
        if now >= self.over_at:
            self.occupied, self.held_until = False, None
        self.over_at = now + MAX_PASS_GAP_S
        settled = self.occupied and not occupied
        self.occupied = occupied
        if settled or occupied:
            self.held_until = None
        if settled:
            self.open_until = now + TURN_S
            return Change.SETTLED
        if self.held_until is not None and now >= self.held_until:
            self.held_until = None
            self.open_until = now + MAX_HELD_S
            return Change.GIVEN_UP
        return Change.NONE

    def note_held(self, *, held: bool, now: float) -> None:
        """Note whether the host is held from this pass on."""
        if not held:
            self.held_until = None
        elif self.held_until is None:
            self.held_until = now + MAX_HELD_S


def max_reserved(hosts: int) -> int:
    """Return how many of a pool's hosts may be reserved at a time.

    The only host of a pool may be, as others get their turns there.
    """
    return max(1, hosts - int(hosts * MIN_OPEN_SHARE))
