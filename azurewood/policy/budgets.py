"""Availability budgets: good and bad answers over a sliding window.

Each daemon counts its own answers since its boot and shares the counters.
This module stores the increments of these counters in buckets of time.
"""

import collections
import dataclasses

BUCKETS = 60
MIN_ALLOWED_BAD = 1.0
"""Bad answers always allowed: one alone must not use up a small budget."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Bucket:
    """Answers up to ``until``, in seconds of the daemon's own clock."""

    until: float
    good: int = 0
    bad: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class LastCounters:
    """The last known counters of one boot of a daemon."""

    good: int = 0
    bad: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Budget:
    """One service's answers in the window, oldest bucket first.

    ``seen`` maps a daemon and its boot to its last counters. Answers that a
    daemon counted before its first report are booked at the time of that
    report, so that no bad answer is left out of the window.
    """

    buckets: collections.deque[Bucket] = dataclasses.field(
        default_factory=collections.deque
    )
    seen: dict[str, LastCounters] = dataclasses.field(default_factory=dict)


def observe(
    budget: Budget, daemon: str, *, good: int, bad: int, until: float
) -> None:
    """Add the answers that a daemon counted since its last report.

    ``until`` is the end of the bucket that they are added to.
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
    """Return the end of the bucket that contains a time."""
    width = window_s / BUCKETS
    return (now // width + 1) * width


def expire(budget: Budget, now: float, window_s: float) -> None:
    """Drop the buckets that have left the window."""
    while budget.buckets and budget.buckets[0].until <= now - window_s:
        budget.buckets.popleft()


def left(budget: Budget, availability: float) -> float:
    """Return the unused share of the budget, from 0 to 1."""
    good = sum(bucket.good for bucket in budget.buckets)
    bad = sum(bucket.bad for bucket in budget.buckets)
    allowed = max((1.0 - availability) * (good + bad), MIN_ALLOWED_BAD)
    return max(0.0, 1.0 - bad / allowed)
