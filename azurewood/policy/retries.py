"""Which attempts may be repeated, and how many in all."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Retries as a share of first attempts, per service and in all.

    Each first attempt adds ``share`` of a token to both buckets, which
    hold ``burst`` at most; each retry takes one of both.
    """

    attempts: int = 3
    share: float = 0.1
    burst: float = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryThrice:
    """Repeat up to three times, whatever the load (naive)."""

    attempts: int = 4


RetryPolicy = RetryBudget | RetryThrice
