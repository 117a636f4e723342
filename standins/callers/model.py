"""Data classes of the load generator."""

import collections
import dataclasses
import enum
import typing

from hdrh import histogram

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Call:
    """One request to send.

    ``echo_path`` is the path that the worker must repeat in its answer. It
    is needed only if the entry host rewrites ``path``.
    """

    path: str
    method: str = "GET"
    key: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    echo_path: str | None = None


class Answer(enum.StrEnum):
    """The kind of answer to a call.

    ``WRONG`` is a success status with a body that is incomplete or belongs
    to another call; ``NONE`` means that the call failed or timed out.
    """

    WHOLE = "whole"
    WRONG = "wrong"
    ERROR = "error"
    NONE = "none"


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """The result of one call.

    ``outcome`` is the Azurewood-Outcome header; ``status`` is 0 without an
    answer. The latency is measured from the time at which the call was due,
    so it includes the wait for a free thread.
    """

    number: int
    call: Call
    entry: str
    answer: Answer
    status: int
    outcome: str
    latency_us: int
    sent_late_us: int
    detail: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class Summary:
    """Counts of a run, and latency percentiles of its complete answers."""

    calls: int
    elapsed_s: float
    answers: dict[Answer, int]
    statuses: dict[int, int]
    outcomes: dict[str, int]
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float
    sent_late_p99_ms: float

    @property
    def whole_per_s(self) -> float:
        """Return the goodput in complete answers per second."""
        return self.answers.get(Answer.WHOLE, 0) / max(self.elapsed_s, 1e-9)


def summarize(
    results: typing.Iterable[Result], *, elapsed_s: float
) -> Summary:
    """Summarize the results of a run."""
    answers: collections.Counter = collections.Counter()
    statuses: collections.Counter = collections.Counter()
    outcomes: collections.Counter = collections.Counter()
    latencies = _histogram()
    lateness = _histogram()
    for result in results:
        answers[result.answer] += 1
        statuses[result.status] += 1
        outcomes[result.outcome] += 1
        lateness.record_value(_clamp(result.sent_late_us))
        if result.answer is Answer.WHOLE:
            latencies.record_value(_clamp(result.latency_us))
    return Summary(
        calls=answers.total(),
        elapsed_s=elapsed_s,
        answers=dict(answers),
        statuses=dict(statuses),
        outcomes=dict(outcomes),
        p50_ms=_percentile_ms(latencies, 50),
        p90_ms=_percentile_ms(latencies, 90),
        p99_ms=_percentile_ms(latencies, 99),
        max_ms=_percentile_ms(latencies, 100),
        sent_late_p99_ms=_percentile_ms(lateness, 99),
    )


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _clamp(value_us: int) -> int:
    return max(1, min(value_us, MAX_LATENCY_US))


def _percentile_ms(values: histogram.HdrHistogram, share: float) -> float:
    return values.get_value_at_percentile(share) / US_PER_MS
