"""Bounds in time how long a host is held for tasks that start alone.

The load: a suspect's turn on its host never comes, and other jobs of the pool
wait beside it. A host that was held for `MAX_HELD_S` without a start is given
up, and open to others for as long. Whatever keeps a suspect from its turn, a
host is thus never closed to others for longer.
"""

import dataclasses
import typing

MAX_HELD_S: typing.Final = 6.0
"""Time for new runs to settle or short ones to end, by two lists."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Reservation:
    """The reservation of one host.

    ``held_until`` is when it ends without a start, None if the host is not
    held. Until ``open_until`` the host is not reserved again.
    """

    held_until: float | None = None
    open_until: float = 0.0

    @property
    def is_closed(self) -> bool:
        """Whether the host was closed to others at the latest pass."""
        return self.held_until is not None

    def is_open(self, now: float) -> bool:
        """Return whether it is the others' turn."""
        return now < self.open_until

    def give_up_if_due(self, now: float) -> bool:
        """Return whether a hold without a start has just been given up."""
        if self.held_until is None or now < self.held_until:
            return False
        self.held_until = None
        self.open_until = now + MAX_HELD_S
        return True

    def note_held(self, *, held: bool, now: float) -> None:
        """Note whether the host is held from this pass on."""
        if not held:
            self.held_until = None
        elif self.held_until is None:
            self.held_until = now + MAX_HELD_S
