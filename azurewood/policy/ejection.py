"""When a host that fails is given no requests for a while."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class OutlierEjection:
    """Eject after consecutive failures, or one refused connection.

    An ejection lasts ``base_s``, twice as long each time until the host
    answers again, ``cap_s`` at most. No more than ``max_share`` of a
    service's hosts are ejected at once. A host that returns takes one
    request at first, and twice as many with each answer.
    """

    failures: int = 3
    base_s: float = 1.0
    cap_s: float = 16.0
    max_share: float = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class NoEjection:
    """Go on with hosts that fail (naive)."""


EjectionPolicy = OutlierEjection | NoEjection


def ejection_s(policy: OutlierEjection, ejections: int) -> float:
    """Return how long the next ejection lasts, after some earlier ones."""
    return min(policy.cap_s, policy.base_s * 2 ** min(ejections, 16))
