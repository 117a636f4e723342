"""Estimates how many slots a service needs, from its request counters.

While a backlog is processed, all slots are busy, however many there are, so
the number of busy slots does not show the sustained demand. Little's law
does: the arrival rate times the mean processing time.

Source: Little, "A proof for the queuing formula L = λW", Operations
Research 9(3), 1961.
"""

import collections
import dataclasses

WINDOW_S = 1.0
BACKLOG_CLEAR_S = 2.0
"""Time within which a backlog should be processed."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Sample:
    """A service's open requests, and those ended so far, at one time."""

    at: float
    busy: int
    waiting: int
    ended: int


Samples = collections.deque[Sample]


def observe(samples: Samples, sample: Sample) -> None:
    """Add a sample and drop the samples that are older than the window."""
    samples.append(sample)
    while len(samples) > 2 and samples[1].at <= sample.at - WINDOW_S:
        samples.popleft()


def slots_wanted(samples: Samples) -> float:
    """Return the slots that the requests in the window need.

    If no request ended in the window, this is the number of open requests.
    """
    first, last = samples[0], samples[-1]
    ended = last.ended - first.ended
    elapsed_s = last.at - first.at
    if ended <= 0 or elapsed_s <= 0.0:
        return float(last.busy + last.waiting)
    busy = sum(sample.busy for sample in samples) / len(samples)
    work_s = busy * elapsed_s / ended
    growth = last.busy + last.waiting - first.busy - first.waiting
    arrivals_per_s = max(0.0, (ended + growth) / elapsed_s)
    backlog = last.waiting * work_s / BACKLOG_CLEAR_S
    return arrivals_per_s * work_s + backlog
