"""Policies that limit how often failed requests are retried."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Limit retries to a share of first attempts, with token buckets.

    There is one bucket per service and one for all services. Each first
    attempt adds ``share`` of a token to both, up to ``burst`` tokens; each
    retry takes one token from both. ``attempts`` bounds the attempts of a
    single request.
    """

    attempts: int = 3
    share: float = 0.1
    burst: float = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryThrice:
    """Baseline: retry up to three times, regardless of the load."""

    attempts: int = 4


RetryPolicy = RetryBudget | RetryThrice
