"""Policies that temporarily stop sending requests to a failing host."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class OutlierEjection:
    """Eject a host after ``failures`` in a row or one refused connection.

    The first ejection lasts ``base_s``. The time doubles with each further
    ejection until the host answers again, up to ``cap_s``. No more than
    ``max_share`` of a service's hosts are ejected at the same time. A host
    that returns gets one request at first; the limit doubles with each
    answer.
    """

    failures: int = 3
    base_s: float = 1.0
    cap_s: float = 16.0
    max_share: float = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class NoEjection:
    """Baseline: keep sending requests to failing hosts."""


EjectionPolicy = OutlierEjection | NoEjection


def ejection_s(policy: OutlierEjection, ejections: int) -> float:
    """Return how many seconds an ejection lasts after earlier ones."""
    return min(policy.cap_s, policy.base_s * 2 ** min(ejections, 16))
