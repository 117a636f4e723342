"""Policies that share the slots of hosts among entry daemons."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class LentSlots:
    """Each slot has one owner, which lends it while it is idle.

    A borrower may start requests in a lent slot for ``start_s`` after it
    asked. It asks ``fanout`` peers at a time, waits ``every_s`` before it
    asks again, and skips a peer for ``dry_s`` after that peer had nothing
    to lend. It returns a borrowed slot that was idle for ``idle_s``. A slot
    that changes its owner stays unused until the previous owner confirms
    that it is free, or until the request that the previous owner started
    in it has ended, but no longer than ``longest_s``.
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
    """Baseline: each daemon of a zone has an equal share of the slots."""


SlotPolicy = LentSlots | FixedShare


def fixed_share(slots: int, members: tuple[str, ...], member: str) -> set[int]:
    """Return a member's equal share of a host's slots, rounded down."""
    share = slots // len(members)
    first = sorted(members).index(member) * share
    return set(range(first, first + share))
