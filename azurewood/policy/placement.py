"""Placement of jobs: hand-over, retries, and whose fault a failure is.

Every function is pure. Lengths of policies are configured lengths in the
unit that a field's name ends with.
"""

import collections.abc
import dataclasses
import enum


@dataclasses.dataclass(slots=True, kw_only=True)
class AfterStop:
    """Hand a host over once its old job is confirmed to have stopped.

    The job is stopped when every live daemon has acknowledged the drain,
    or when the drain's deadline has passed.
    """


@dataclasses.dataclass(slots=True, kw_only=True)
class AtOnce:
    """Stop the job and hand the host over at once (the naive policy)."""


HandOver = AfterStop | AtOnce


@dataclasses.dataclass(slots=True, kw_only=True)
class BlamePlacement:
    """Back off after failures, and tell a bad host from a bad job.

    A host is judged after ``host_failures`` failures in a row. The job is
    at fault if it has failed on ``job_hosts`` hosts of the pool, the host
    if the job runs on another one.
    """

    host_failures: int = 3
    job_hosts: int = 3
    base_ms: int = 250
    cap_ms: int = 60000


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryPlacement:
    """Start a failed job again at once, for ever (the naive policy)."""


PlacementPolicy = BlamePlacement | RetryPlacement


@dataclasses.dataclass(slots=True, kw_only=True)
class JobFacts:
    """A host of a pool: whether the pool's job runs there, and failures."""

    host: str
    serving: bool
    failures: int


class Fault(enum.StrEnum):
    """Whose fault it is that a job fails on a host."""

    UNKNOWN = "unknown"
    HOST = "host"
    JOB = "job"


def attribute_fault(
    policy: PlacementPolicy,
    host: JobFacts,
    others: collections.abc.Iterable[JobFacts],
) -> Fault:
    """Judge a host by how its pool's job fares on the other hosts."""
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
    """Return how long to wait before a job is started again, in seconds."""
    match policy:
        case RetryPlacement():
            return 0.0
        case BlamePlacement(base_ms=base_ms, cap_ms=cap_ms):
            if not failures:
                return 0.0
            return min(cap_ms, base_ms * 2 ** min(failures - 1, 20)) / 1000
