"""Which requests may wait for a slot, and which of them is next."""

import dataclasses
import math
import typing

from azurewood.fleet import model

Urgency = model.Urgency


@dataclasses.dataclass(slots=True, kw_only=True)
class ClassQueues:
    """Urgent requests first, with a bounded share for the others.

    Of ``normal_every`` starts one goes to a normal request, of
    ``deferrable_every`` one to a deferrable one, even while more urgent
    ones wait. Deferrable requests are shed, where the preset says so, once
    ``shed_share`` of the waiting places is taken.
    """

    normal_every: int = 8
    deferrable_every: int = 16
    shed_share: float = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class OneQueue:
    """First come, first served, whatever the urgency (naive)."""


@dataclasses.dataclass(slots=True, kw_only=True)
class NoQueues:
    """Refuse every request that finds no idle slot (naive)."""


AdmissionPolicy = ClassQueues | OneQueue | NoQueues

LESS_URGENT: typing.Final[dict[Urgency, tuple[Urgency, ...]]] = {
    Urgency.URGENT: (Urgency.DEFERRABLE, Urgency.NORMAL),
    Urgency.NORMAL: (Urgency.DEFERRABLE,),
    Urgency.DEFERRABLE: (),
}
"""Which requests give way to one, the first to go first."""


def order(policy: AdmissionPolicy, turn: int) -> tuple[Urgency, ...]:
    """Return the order in which the queues are served on a turn."""
    match policy:
        case ClassQueues(deferrable_every=every) if turn % every == every - 1:
            return (Urgency.DEFERRABLE, Urgency.NORMAL, Urgency.URGENT)
        case ClassQueues(normal_every=every) if turn % every == every - 1:
            return (Urgency.NORMAL, Urgency.URGENT, Urgency.DEFERRABLE)
        case _:
            return (Urgency.URGENT, Urgency.NORMAL, Urgency.DEFERRABLE)


def queue_of(policy: AdmissionPolicy, urgency: Urgency) -> Urgency:
    """Return the queue that a request waits in."""
    match policy:
        case OneQueue():
            return Urgency.NORMAL
        case _:
            return urgency


def expected_wait_s(*, ahead: int, slots: int, mean_s: float) -> float:
    """Return how long a request waits behind others, in seconds."""
    return mean_s * (ahead + 1) / max(1, slots)


def retry_after_s(wait_s: float) -> int:
    """Return the whole seconds after which it is worth to try again."""
    return max(1, math.ceil(wait_s))
