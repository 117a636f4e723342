"""Until when earlier leaders may still act, by the records that are read."""

import typing

from azurewood.leadership import records

RENEWAL_VALID_S: typing.Final = 4.0
"""How long after its newest stored beat a leader may renew host leases."""
ORDER_VALID_S: typing.Final = 1.5
"""How long after its newest stored beat a leader may send orders to machines,
which no lease limits. A daemon that preempts a live leader sends no orders
until that leader's newest beat is this old."""


class Predecessors:
    """Until when the writers of records may renew leases and send orders.

    ``nonce`` is that of this daemon; its records count from the time at
    which they were sent, those of other daemons from the time of reading.
    """

    __slots__ = ("_nonce", "_renewals", "orders_end")

    def __init__(self, *, nonce: str) -> None:
        self._nonce = nonce
        self._renewals: dict[str, float] = {}
        self.orders_end = 0.0

    def renewals_end(self) -> float:
        """Return the latest time at which any writer may renew leases."""
        return max(self._renewals.values(), default=0.0)

    def missed(self, now: float) -> None:
        """Record that records were not read; all were written by now."""
        self._renewals[""] = now + RENEWAL_VALID_S

    def replaced(self, seen_at: float) -> None:
        """Record a claim while the leader, last seen then, may be alive."""
        self.orders_end = max(self.orders_end, seen_at + ORDER_VALID_S)

    def apply_entry(
        self,
        entry: records.Entry | None,
        *,
        confirmed_at: float,
        now: float,
    ) -> None:
        """Record until when the writer of an entry may renew leases."""
        match entry:
            case records.Claim(nonce=nonce) if nonce == self._nonce:
                # Renewals of an earlier term of this daemon, if any.
                self._renewals[nonce] = confirmed_at + RENEWAL_VALID_S
            case records.Claim(nonce=nonce) | records.Beat(nonce=nonce):
                if nonce != self._nonce:
                    self._renewals[nonce] = now + RENEWAL_VALID_S
            case records.Resign(nonce=nonce) if nonce in self._renewals:
                # The writer stopped renewing before it wrote this entry.
                self._renewals[nonce] = now
