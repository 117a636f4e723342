"""Limits the share of run ends whose acknowledgement is withheld.

The load: for a while a part of the starts gets no answer and may be carried
out seconds later. The ends of their tasks are withheld from acknowledgement
meanwhile, and acknowledgements are cumulative, so each holds back all later
ends of its host. While calls go on getting lost nobody expects more. In the
seconds after that, most ends of the fleet would wait all the same, which the
platform takes for a leader that no longer reads them. Then the ends go first.
"""

import math
import typing

CALM_S: typing.Final = 3.0
"""Time after the last unanswered start from which withheld ends count."""
MAX_SHARE: typing.Final = 0.1
"""Half of the share of late acknowledgements that the platform allows."""
MIN_ENDS: typing.Final = 20
"""Ends that may be withheld before the share counts."""


class WithheldShare:
    """Counts of all ends listed, and of those that waited in a calm time.

    ``unanswered_at`` is when a start last got no answer.
    """

    __slots__ = ("listed", "unanswered_at", "withheld")

    def __init__(self) -> None:
        self.listed = 0
        self.withheld = 0
        self.unanswered_at = -math.inf

    def is_calm(self, now: float) -> bool:
        """Return whether withheld ends count at present."""
        return now > self.unanswered_at + CALM_S

    @property
    def within_limit(self) -> bool:
        """Whether further ends may be withheld."""
        return self.withheld <= MIN_ENDS + MAX_SHARE * self.listed
