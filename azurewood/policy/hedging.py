"""When a request that hears nothing is sent again on a new connection."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class HedgeAfterDelay:
    """Hedge repeatable requests on used connections that stay silent.

    Nothing must have been heard for ``means`` times the service's mean
    time, ``least_s`` at least.
    """

    means: float = 8.0
    least_s: float = 0.25


@dataclasses.dataclass(slots=True, kw_only=True)
class NoHedging:
    """Wait for the answer until the deadline (naive)."""


HedgePolicy = HedgeAfterDelay | NoHedging


def hedge_at(policy: HedgePolicy, now: float, mean_s: float) -> float:
    """Return when a request sent now is to be hedged, 0 for never."""
    match policy:
        case HedgeAfterDelay(means=means, least_s=least_s):
            return now + max(least_s, means * mean_s)
        case _:
            return 0.0
