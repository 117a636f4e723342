"""Run ends that a host lists, and up to which they may be acknowledged.

A host numbers the ends of an incarnation from 1 and lists each until the
leader has acknowledged it. Acknowledgements are cumulative.
"""

from azurewood.incarnations import late_starts


class Ends:
    """The run ends that one incarnation of a host has listed.

    ``last`` is the number of the last one, and ``stored`` that of the last
    one that the leader has stored. ``withheld`` maps the ends that are
    withheld from acknowledgement to the starts of their tasks, while any of
    these may still take effect.
    """

    __slots__ = ("_counted", "last", "stored", "withheld")

    def __init__(self) -> None:
        self.last = 0
        self.stored = 0
        self._counted = 0
        self.withheld: dict[int, tuple[late_starts.LateStart, ...]] = {}

    def withhold(
        self, number: int, lates: tuple[late_starts.LateStart, ...]
    ) -> None:
        """Withhold an end while any of some starts may take effect."""
        self.withheld[number] = lates

    def release(self) -> None:
        """Withhold none of the ends listed so far."""
        self.withheld = {}

    def acknowledgeable(self, now: float) -> int:
        """Return the number up to which ends may be acknowledged."""
        self.withheld = {
            number: lates
            for number, lates in self.withheld.items()
            if any(now <= late.possible_until for late in lates)
        }
        first = min(self.withheld, default=self.stored + 1)
        return min(self.stored, first - 1)

    def count_withheld(self) -> int:
        """Return how many ends wait that were not counted before.

        A withheld end holds back all later ones.
        """
        counted = max(self._counted, min(self.withheld) - 1)
        self._counted = self.last
        return self.last - counted
