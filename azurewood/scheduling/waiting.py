"""Records of waiting and of stuck work."""

import dataclasses
import typing

STUCK_S: typing.Final = 2.0
"""How long work may be stuck before it is logged."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Backlog:
    """The number of a pool's tasks that are ready to run, and their jobs.

    ``since_ms`` is the earliest time, in Unix ms, at which one of these
    jobs was accepted or, if later, its occurrence was due. It is 0 if no
    job waits.
    """

    jobs: int = 0
    tasks: int = 0
    since_ms: float = 0

    def add(self, *, tasks: int, since_ms: float) -> None:
        """Add a job with ``tasks`` waiting tasks."""
        self.since_ms = min(self.since_ms, since_ms) if self.jobs else since_ms
        self.jobs += 1
        self.tasks += tasks

    def age_ms(self, unix_ms: float) -> int:
        """Return how long the oldest job has waited, in ms."""
        return int(unix_ms - self.since_ms) if self.jobs else 0


class StuckWork:
    """Since when work has been stuck, and when to log it next."""

    __slots__ = ("log_at", "logged", "since")

    def __init__(self, *, now: float) -> None:
        self.since = now
        self.log_at = now + STUCK_S
        self.logged = False

    def mark_logged(self, now: float) -> None:
        """Record that it was logged; the next time is at twice its age."""
        self.logged = True
        self.log_at = now + max(STUCK_S, now - self.since)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Division:
    """How a full pool was divided between accounts at a time.

    ``beyond`` has the ids of the jobs beyond their account's share, and
    ``cpu_of`` the processors in thousandths that each account was due.
    """

    beyond: frozenset[str]
    cpu_of: dict[str, float]
    at: float
