"""Keeps run ends that wait for late starts few, and the callers served.

The load: for a while a part of the starts gets no answer and may be carried
out seconds later. The ends of their tasks are withheld from acknowledgement
until the starts are impossible, which bounds the wait: an end that was
acknowledged sooner would be followed by another start of its task if the host
restarts under its id before any call reaches it. Acknowledgements are
cumulative, so each end that is withheld holds back all later ends of its host,
and users expect most ends to be acknowledged within seconds once no calls get
lost any more.

In the seconds after that, tasks that end by themselves go to hosts where no
end waits, if these have room. While starts go on getting lost they don't, as
each host that gets one waits from then on. Their pool is lent spare machines
beside the hosts where ends wait, see `azurewood.policy.pool_sizes`. A task
that finds no other host begins there all the same, as callers wait for it.

A host lists ``MAX_LISTED_ENDS`` ends at a time, and callers would not be told
of further ones. So while ends wait, a host gets no more tasks than it can list
the ends of.
"""

import math
import typing

SPREAD_CALM_S: typing.Final = 1.0
"""Time after the last unanswered start from which tasks avoid hosts."""
CALM_S: typing.Final = 3.0
"""Time after the last unanswered start from which calls count as answered."""
MAX_LISTED_ENDS: typing.Final = 500
"""The most run ends that a host lists at a time."""


class UnansweredStarts:
    """When a start last got no answer, on any host."""

    __slots__ = ("unanswered_at",)

    def __init__(self) -> None:
        self.unanswered_at = -math.inf

    def is_calm(self, now: float) -> bool:
        """Return whether starts are answered at present, as far as known."""
        return now > self.unanswered_at + CALM_S

    def avoids_hosts(self, now: float) -> bool:
        """Return whether tasks avoid the hosts on which ends wait."""
        return now > self.unanswered_at + SPREAD_CALM_S


def has_room_for_end(*, listed: int, runs: int) -> bool:
    """Return whether a host could list the end of one more run.

    ``listed`` ends wait there, and ``runs`` are to end.
    """
    return listed + runs < MAX_LISTED_ENDS
