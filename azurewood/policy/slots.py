"""How the slots of hosts are shared among entry daemons."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class LentSlots:
    """Each slot has one owner, which lends it while it is idle.

    A borrower may start requests for ``start_s`` from when it asked. It
    asks ``fanout`` peers at once, not again within ``every_s``, and none
    that had nothing to lend within ``dry_s``. Idle borrowed slots go back
    after ``idle_s``. A slot that changes its owner rests until the one
    before it has confirmed that it is free, or until a request that it had
    started has ended; for that, ``longest_s`` is allowed at most.
    """

    start_s: float = 1.0
    fanout: int = 3
    every_s: float = 0.02
    dry_s: float = 0.25
    idle_s: float = 0.2
    at_once: int = 16
    longest_s: float = 3.0


@dataclasses.dataclass(slots=True, kw_only=True)
class FixedShare:
    """Each daemon of a zone has the same number of slots (naive)."""


SlotPolicy = LentSlots | FixedShare


def fixed_share(slots: int, members: tuple[str, ...], member: str) -> set[int]:
    """Return a member's equal share of a host's slots, rounded down."""
    share = slots // len(members)
    first = sorted(members).index(member) * share
    return set(range(first, first + share))
