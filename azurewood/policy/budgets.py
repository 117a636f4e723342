"""Availability budgets: answers good and bad over a sliding window.

Daemons count their own answers since their start and share the counters;
what is kept here are the differences, in buckets of time.
"""

import collections
import dataclasses

BUCKETS = 60
MIN_ALLOWED_BAD = 1.0
"""Bad answers that are always allowed, so that one does not spend all."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Bucket:
    """Answers counted until a time, on the daemon's clock in seconds."""

    until: float
    good: int = 0
    bad: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class LastCounters:
    """The last counters of one daemon's boot."""

    good: int = 0
    bad: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Budget:
    """One service's answers in the window, oldest bucket first.

    ``seen`` is by daemon and boot; what a daemon has counted before it is
    first seen is taken as counted now, the careful way.
    """

    buckets: collections.deque[Bucket] = dataclasses.field(
        default_factory=collections.deque
    )
    seen: dict[str, LastCounters] = dataclasses.field(default_factory=dict)


def observe(
    budget: Budget, daemon: str, *, good: int, bad: int, until: float
) -> None:
    """Add what a daemon has counted since it was seen last.

    ``until`` is the end of the bucket that takes it.
    """
    seen = budget.seen.setdefault(daemon, LastCounters())
    new_good, new_bad = max(0, good - seen.good), max(0, bad - seen.bad)
    seen.good, seen.bad = max(seen.good, good), max(seen.bad, bad)
    if not new_good and not new_bad:
        return
    if not budget.buckets or budget.buckets[-1].until < until:
        budget.buckets.append(Bucket(until=until))
    budget.buckets[-1].good += new_good
    budget.buckets[-1].bad += new_bad


def bucket_end(now: float, window_s: float) -> float:
    """Return the end of the bucket that a time falls into."""
    width = window_s / BUCKETS
    return (now // width + 1) * width


def expire(budget: Budget, now: float, window_s: float) -> None:
    """Drop the buckets that have left the window."""
    while budget.buckets and budget.buckets[0].until <= now - window_s:
        budget.buckets.popleft()


def left(budget: Budget, availability: float) -> float:
    """Return the share of the budget that is left, from 0 to 1."""
    good = sum(bucket.good for bucket in budget.buckets)
    bad = sum(bucket.bad for bucket in budget.buckets)
    allowed = max((1.0 - availability) * (good + bad), MIN_ALLOWED_BAD)
    return max(0.0, 1.0 - bad / allowed)
