"""Run ends that a host lists, and up to which they may be acknowledged.

A host numbers the ends of an incarnation from 1 and lists each until the
leader has acknowledged it. Acknowledgements are cumulative.
"""

from azurewood.incarnations import late_starts


class Ends:
    """The run ends that one incarnation of a host has listed.

    ``last`` is the number of the last one, and ``stored`` that of the last
    one that the leader has stored. ``acknowledged`` is up to which ends an
    answered renewal has acknowledged them, and ``listed`` is how many the
    newest list has. ``sent`` is what the latest renewal
    acknowledges, 0 if nothing new, as it may be carried out late, in another
    incarnation. ``withheld`` maps the ends that are
    withheld from acknowledgement to the starts of their tasks, while any of
    these may still take effect.
    """

    __slots__ = (
        "acknowledged",
        "last",
        "listed",
        "sent",
        "stored",
        "withheld",
    )

    def __init__(self) -> None:
        self.last = 0
        self.stored = 0
        self.acknowledged = 0
        self.sent = 0
        self.listed = 0
        self.withheld: dict[int, tuple[late_starts.LateStart, ...]] = {}

    def withhold(
        self, number: int, lates: tuple[late_starts.LateStart, ...]
    ) -> None:
        """Withhold an end while any of some starts may take effect."""
        self.withheld[number] = lates

    def acknowledgeable(self, now: float) -> int:
        """Return the number up to which ends may be acknowledged."""
        self.withheld = {
            number: lates
            for number, lates in self.withheld.items()
            if any(now <= late.possible_until for late in lates)
        }
        first = min(self.withheld, default=self.stored + 1)
        return min(self.stored, first - 1)

    def on_answered(self) -> None:
        """Note that the host answered the latest renewal."""
        self.acknowledged = max(self.acknowledged, self.sent)
