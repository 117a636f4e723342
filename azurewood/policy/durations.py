"""Predicts how long tasks run, from callers' estimates and ended runs.

The load: callers' estimates are wrong by a random factor (spread of the
logarithm 0.9 or 0.5) and biased, 3% of the tasks take seven times as long,
and the tasks of a step differ by 15 to 30%.

For each key, a queue's step and image, the logarithm of the duration is
regressed on the logarithm of the estimate. The regression begins as the
identity, with a prior worth ``PRIOR_SAMPLES`` steps, and forgets with
``MEMORY`` steps. The influence of a sample is bounded by Huber's function,
whose scale is estimated along with it (P. J. Huber, Robust Statistics, 1981,
proposal 2). The ended tasks of a step update the prediction for the others
of that step, as observations of a normal mean with the regression as prior.
Logarithms are natural and of milliseconds.
"""

import collections
from collections import abc
import functools
import hashlib
import math
import struct
import typing

MAX_KEYS: typing.Final = 256
"""Keys that are kept; the least recently used one is dropped first."""
PRIOR_SAMPLES: typing.Final = 3.0
"""Steps that the prior, an estimate that is right, is worth."""
PRIOR_VARIANCE: typing.Final = 0.25
"""Variance of the error before there are samples: a spread of 0.5."""
PRIOR_ESTIMATE_VARIANCE: typing.Final = 0.5
"""Variance of the estimates' logarithms that the slope's prior assumes."""
MEMORY: typing.Final = 100.0
"""Steps after which the weight of a sample has fallen to 1/e."""
HUBER_K: typing.Final = 1.5
"""Bound on a sample's influence, in standard deviations."""
HUBER_CONSISTENCY: typing.Final = 0.7785
"""Mean of the squared error within that bound for a unit normal error."""
WITHIN_VARIANCE: typing.Final = 0.0625
"""Variance among the tasks of a step, which differ by 15 to 30%."""
MIN_VARIANCE: typing.Final = 0.01
MAX_VARIANCE: typing.Final = 4.0
"""Bounds of an estimated variance, a spread of 0.1 to 2."""
MIN_BETWEEN_VARIANCE: typing.Final = 0.005
"""Least variance of a step's mean around its prediction."""
SLOPES: typing.Final = (-1.0, 0.25)
"""Bounds of the slope of the error by the estimate; at -1 the estimate tells
nothing and the mean duration is predicted."""
NEGLIGIBLE: typing.Final = 0.05
"""Corrections below this are left out, so that good estimates give the same
order of jobs as without learning."""
MIN_LEVEL_SAMPLES: typing.Final = 1.0
"""Steps from which on the mean counts for jobs without an estimate."""
MAX_LOG: typing.Final = math.log(1e8)
"""Longest duration that is told apart from longer ones, 28 hours."""
CENTRE: typing.Final = math.log(500.0)
"""Logarithms are stored relative to this, for their precision."""

DIGEST_BYTES: typing.Final = 6
"""Length of a key: two of 256 keys are equal with a probability of 1e-10."""
_ROW: typing.Final = struct.Struct(f"<{DIGEST_BYTES}s9e")
ROW_BYTES: typing.Final = _ROW.size


@functools.lru_cache(maxsize=4 * MAX_KEYS)
def key_of(queue: str, step: int, image: str) -> bytes:
    """Return the key of a queue's step and image, a short digest of them."""
    text = f"{queue}\0{step}\0{image}".encode(errors="replace")
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()


class Prediction(typing.NamedTuple):
    """The logarithm of a step's mean duration, its variance and the steps
    that it was learned from.
    """

    log_ms: float
    variance: float
    samples: float


class _Entry:
    """The regression of one key, as weighted means and moments.

    ``x`` is the logarithm of the estimate and ``error`` that of the duration
    over the estimate. ``level`` is the mean logarithm of the duration.
    """

    __slots__ = (
        "cov",
        "error",
        "level",
        "level_variance",
        "level_weight",
        "variance",
        "weight",
        "x",
        "x_variance",
    )

    def __init__(self) -> None:
        self.weight = 0.0
        self.x = 0.0
        self.x_variance = 0.0
        self.error = 0.0
        self.cov = 0.0
        self.variance = PRIOR_VARIANCE
        self.level_weight = 0.0
        self.level = 0.0
        self.level_variance = PRIOR_VARIANCE

    def correction(self, x: float) -> float:
        """Return the predicted error of an estimate."""
        slope = (self.weight * self.cov) / (
            self.weight * self.x_variance
            + PRIOR_SAMPLES * PRIOR_ESTIMATE_VARIANCE
        )
        slope = min(max(slope, SLOPES[0]), SLOPES[1])
        shrinkage = self.weight / (self.weight + PRIOR_SAMPLES)
        return shrinkage * self.error + slope * (x - self.x)

    def add(self, x: float, y: float, share: float) -> None:
        """Add a sample that counts as ``share`` of a step."""
        error = y - x
        residual = error - self.correction(x)
        bound = HUBER_K * math.sqrt(self.variance)
        weight = share * min(1.0, bound / max(abs(residual), 1e-9))
        old = self.weight * (1 - share / MEMORY)
        gain = share / (old + PRIOR_SAMPLES)
        self.variance = _next_variance(self.variance, residual, gain)
        self.weight = old + weight
        gain = weight / self.weight
        dx, derror = x - self.x, error - self.error
        self.x += gain * dx
        self.error += gain * derror
        self.x_variance = (1 - gain) * (self.x_variance + gain * dx * dx)
        self.cov = (1 - gain) * (self.cov + gain * dx * derror)

    def add_level(self, y: float, share: float) -> None:
        """Add a sample to the mean, which needs no estimate."""
        old = self.level_weight * (1 - share / MEMORY)
        if not old:
            self.level = y
        bound = HUBER_K * math.sqrt(self.level_variance)
        residual = y - self.level
        gain = share / (old + PRIOR_SAMPLES)
        self.level_variance = _next_variance(
            self.level_variance, residual, gain
        )
        self.level_weight = old + share
        residual = min(max(residual, -bound), bound)
        self.level += residual * share / self.level_weight

    def numbers(self) -> tuple[float, ...]:
        """Return what is stored of the entry."""
        return (
            self.weight,
            self.x - CENTRE,
            self.x_variance,
            self.error,
            self.cov,
            self.variance,
            self.level_weight,
            self.level - CENTRE,
            self.level_variance,
        )


def _next_variance(variance: float, residual: float, gain: float) -> float:
    """Return an estimate of a variance after a further ``residual``."""
    bounded = (
        min(residual * residual, HUBER_K**2 * variance) / HUBER_CONSISTENCY
    )
    variance += min(1.0, gain) * (bounded - variance)
    return min(max(variance, MIN_VARIANCE), MAX_VARIANCE)


class Evidence:
    """What the ended tasks of a step tell of the others of that step.

    ``samples`` is how many steps the prior was learned from, and
    ``estimate_log`` the logarithm of the estimate, None without one.
    ``pending`` tasks, with the sum ``pending_log`` of their logarithms, are
    not in the model yet. ``applied_log`` is the logarithm that the job's
    expected duration was last set from.
    """

    __slots__ = (
        "applied_log",
        "count",
        "estimate_log",
        "log_ms",
        "pending",
        "pending_log",
        "samples",
        "variance",
    )

    def __init__(self, *, prior: Prediction, estimate_ms: float) -> None:
        self.log_ms = self.applied_log = prior.log_ms
        self.variance = prior.variance
        self.samples = prior.samples
        self.estimate_log = to_log(estimate_ms) if estimate_ms > 0 else None
        self.count = 0
        self.pending = 0
        self.pending_log = 0.0

    def add(self, log_ms: float) -> None:
        """Add the duration of an ended task; its influence is bounded."""
        task_variance = self.variance + WITHIN_VARIANCE
        bound = HUBER_K * math.sqrt(task_variance)
        innovation = log_ms - self.log_ms
        if innovation > bound:
            innovation = bound
        elif innovation < -bound:
            innovation = -bound
        self.pending += 1
        self.pending_log += self.log_ms + innovation
        self.log_ms += innovation * self.variance / task_variance
        self.variance *= WITHIN_VARIANCE / task_variance
        self.count += 1

    def take_pending(self) -> tuple[float, int]:
        """Return the mean logarithm of the pending tasks and their number."""
        found = (self.pending_log / self.pending, self.pending)
        self.pending = 0
        self.pending_log = 0.0
        return found


class DurationModel:
    """The regressions by key, the least recently used one first."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[bytes, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def predict(self, key: bytes, estimate_ms: float) -> Prediction | None:
        """Return the prediction for a step.

        Return None if it has no estimate and nothing was learned.
        """
        entry = self._entries.get(key)
        if entry is not None:
            self._entries.move_to_end(key)
        if estimate_ms <= 0:
            if entry is None or entry.level_weight < MIN_LEVEL_SAMPLES:
                return None
            return Prediction(
                entry.level,
                _mean_variance(entry.level_variance, entry.level_weight),
                entry.level_weight,
            )
        x = to_log(estimate_ms)
        if entry is None or not entry.weight:
            return Prediction(x, _mean_variance(PRIOR_VARIANCE, 0.0), 0.0)
        return Prediction(
            x + entry.correction(x),
            _mean_variance(entry.variance, entry.weight),
            entry.weight,
        )

    def predict_ms(self, key: bytes, estimate_ms: int) -> int:
        """Return the predicted duration, the estimate if it is about right."""
        found = self.predict(key, estimate_ms)
        if found is None or not found.samples:
            return estimate_ms
        return to_ms(found.log_ms, estimate_ms)

    def add(
        self, key: bytes, estimate_ms: float, log_ms: float, share: float
    ) -> None:
        """Add the mean duration of tasks that are ``share`` of their step.

        The tasks of a step have one estimate, so that all of them together
        count as one sample of its error.
        """
        entry = self._entries.setdefault(key, _Entry())
        self._entries.move_to_end(key)
        if len(self._entries) > MAX_KEYS:
            self._entries.popitem(last=False)
        if estimate_ms > 0:
            entry.add(to_log(estimate_ms), log_ms, share)
        entry.add_level(log_ms, share)

    def encode(self) -> bytes:
        """Return the regressions in rows of ``ROW_BYTES``."""
        return b"".join(
            _ROW.pack(key, *entry.numbers())
            for key, entry in self._entries.items()
        )

    def decode(self, rows: bytes, width: int) -> None:
        """Replace the regressions by encoded ones.

        Rows have ``width`` bytes, as a later release may add to them. Raise
        ``ValueError`` if they are malformed; the regressions stay then.
        """
        if width < ROW_BYTES or len(rows) % width:
            raise ValueError(f"{len(rows)} bytes in rows of {width}")
        found = list(_decoded(rows, width))
        self._entries = collections.OrderedDict(found[-MAX_KEYS:])


def _decoded(rows: bytes, width: int) -> abc.Iterator[tuple[bytes, _Entry]]:
    for place in range(0, len(rows), width):
        key, *numbers = _ROW.unpack_from(rows, place)
        if not all(map(math.isfinite, numbers)):
            raise ValueError("a number that is not finite")
        entry = _Entry()
        entry.weight, x, entry.x_variance, entry.error = numbers[:4]
        entry.cov, variance, entry.level_weight, level = numbers[4:8]
        weights = (entry.weight, entry.level_weight, entry.x_variance)
        if min(weights) < 0 or min(variance, numbers[8]) <= 0:
            raise ValueError("a weight or variance that is out of range")
        entry.x, entry.level = x + CENTRE, level + CENTRE
        entry.variance, entry.level_variance = variance, numbers[8]
        yield key, entry


def _mean_variance(variance: float, samples: float) -> float:
    """Return the variance of a step's mean duration around its prediction.

    The error of a task has that among its step's tasks besides. The
    prediction itself is less certain the fewer samples it has.
    """
    between = max(MIN_BETWEEN_VARIANCE, variance - WITHIN_VARIANCE)
    return between + variance / (samples + PRIOR_SAMPLES)


def to_log(duration_ms: float) -> float:
    """Return the logarithm of a duration within the bounds of the model."""
    if duration_ms <= 1.0:
        return 0.0
    return min(math.log(duration_ms), MAX_LOG)


def to_ms(log_ms: float, estimate_ms: int) -> int:
    """Return a predicted duration, the estimate if it is about right."""
    log_ms = min(max(0.0, log_ms), MAX_LOG)
    if estimate_ms > 0 and abs(log_ms - to_log(estimate_ms)) < NEGLIGIBLE:
        return estimate_ms
    return round(math.exp(log_ms))
