"""Policies for jobs on hosts: hand-over, retries and fault attribution.

Every function is pure. Durations are in the unit that ends a field's name.
"""

import collections.abc
import dataclasses
import enum


@dataclasses.dataclass(slots=True, kw_only=True)
class AfterStop:
    """Hand a host to its new pool once its old job has stopped.

    The job is stopped when every live daemon has acknowledged the drain or
    when the deadline of the drain has passed. The hand-over waits until the
    stop is confirmed.
    """


@dataclasses.dataclass(slots=True, kw_only=True)
class AtOnce:
    """Baseline: stop the job and hand the host over without waiting."""


HandOver = AfterStop | AtOnce


@dataclasses.dataclass(slots=True, kw_only=True)
class BlamePlacement:
    """Back off after failures, and tell a faulty host from a faulty job.

    The fault is attributed after ``host_failures`` failures in a row on a
    host. The job is at fault if it has failed on ``job_hosts`` hosts of the
    pool. Otherwise the host is at fault if the job runs on another host.
    """

    host_failures: int = 3
    job_hosts: int = 3
    base_ms: int = 250
    cap_ms: int = 60000


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryPlacement:
    """Baseline: restart a failed job immediately and without a limit."""


PlacementPolicy = BlamePlacement | RetryPlacement


@dataclasses.dataclass(slots=True, kw_only=True)
class JobFacts:
    """A host of a pool: whether the pool's job serves there, and failures."""

    host: str
    serving: bool
    failures: int


class Fault(enum.StrEnum):
    """Whether the host or the job is at fault when a job fails on a host."""

    UNKNOWN = "unknown"
    HOST = "host"
    JOB = "job"


def attribute_fault(
    policy: PlacementPolicy,
    host: JobFacts,
    others: collections.abc.Iterable[JobFacts],
) -> Fault:
    """Attribute a host's failures, given its job's state on other hosts."""
    if isinstance(policy, RetryPlacement):
        return Fault.UNKNOWN
    if host.failures < policy.host_failures:
        return Fault.UNKNOWN
    others = tuple(others)
    failing = sum(other.failures > 0 and not other.serving for other in others)
    if failing + 1 >= policy.job_hosts:
        return Fault.JOB
    if any(other.serving for other in others):
        return Fault.HOST
    return Fault.UNKNOWN


def retry_delay_s(policy: PlacementPolicy, failures: int) -> float:
    """Return how many seconds to wait before a job is restarted."""
    match policy:
        case RetryPlacement():
            return 0.0
        case BlamePlacement(base_ms=base_ms, cap_ms=cap_ms):
            if not failures:
                return 0.0
            return min(cap_ms, base_ms * 2 ** min(failures - 1, 20)) / 1000
