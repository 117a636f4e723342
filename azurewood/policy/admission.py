"""Policies for queueing requests that wait for a slot."""

import dataclasses
import math
import typing

from azurewood.fleet import model

Urgency = model.Urgency


@dataclasses.dataclass(slots=True, kw_only=True)
class ClassQueues:
    """One queue per urgency: urgent requests first, no queue starves.

    One of ``normal_every`` starts goes to a normal request and one of
    ``deferrable_every`` to a deferrable request, even while more urgent
    requests wait. If the preset allows it, deferrable requests are shed
    once ``shed_share`` of the queue capacity is in use.
    """

    normal_every: int = 8
    deferrable_every: int = 16
    shed_share: float = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class OneQueue:
    """Baseline: first come, first served, regardless of urgency."""


@dataclasses.dataclass(slots=True, kw_only=True)
class NoQueues:
    """Baseline: refuse every request that finds no idle slot."""


AdmissionPolicy = ClassQueues | OneQueue | NoQueues

LESS_URGENT: typing.Final[dict[Urgency, tuple[Urgency, ...]]] = {
    Urgency.URGENT: (Urgency.DEFERRABLE, Urgency.NORMAL),
    Urgency.NORMAL: (Urgency.DEFERRABLE,),
    Urgency.DEFERRABLE: (),
}
"""For each urgency, the ones dropped to make space, in this order."""


def order(policy: AdmissionPolicy, turn: int) -> tuple[Urgency, ...]:
    """Return the order in which the queues are served for start ``turn``."""
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
    """Return the expected wait of a request with ``ahead`` before it."""
    return mean_s * (ahead + 1) / max(1, slots)


def retry_after_s(wait_s: float) -> int:
    """Return the whole seconds after which a caller should retry."""
    return max(1, math.ceil(wait_s))
