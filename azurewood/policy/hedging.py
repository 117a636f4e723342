"""Policies for hedging: sending a delayed request a second time.

The second copy uses a new connection.
"""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class HedgeAfterDelay:
    """Hedge repeatable requests that get no answer on a kept connection.

    The hedge is sent after ``means`` times the service's mean time, but
    not before ``least_s``.
    """

    means: float = 8.0
    least_s: float = 0.25


@dataclasses.dataclass(slots=True, kw_only=True)
class NoHedging:
    """Baseline: wait for the answer until the deadline."""


HedgePolicy = HedgeAfterDelay | NoHedging


def hedge_at(policy: HedgePolicy, now: float, mean_s: float) -> float:
    """Return when to hedge a request sent now, 0 for never."""
    match policy:
        case HedgeAfterDelay(means=means, least_s=least_s):
            return now + max(least_s, means * mean_s)
        case _:
            return 0.0
