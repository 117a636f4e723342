"""What a leader keeps of work that waits or stands still."""

import dataclasses
import typing

STUCK_S: typing.Final = 2.0
"""How long work may stand still before it is told."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Backlog:
    """The waiting tasks of a pool whose turn has come, and their jobs.

    ``since_ms`` is when the first of these jobs was accepted, or when its
    occurrence was due if that is later, in Unix ms; 0 if none waits.
    """

    jobs: int = 0
    tasks: int = 0
    since_ms: float = 0

    def add(self, *, tasks: int, since_ms: float) -> None:
        """Count a job with so many waiting tasks."""
        self.since_ms = min(self.since_ms, since_ms) if self.jobs else since_ms
        self.jobs += 1
        self.tasks += tasks

    def age_ms(self, unix_ms: float) -> int:
        """Return for how long the oldest job has waited."""
        return int(unix_ms - self.since_ms) if self.jobs else 0


class StuckWork:
    """Since when work stands still, and when it is to be told."""

    __slots__ = ("since", "log_at", "logged")

    def __init__(self, *, now: float) -> None:
        self.since = now
        self.log_at = now + STUCK_S
        self.logged = False

    def mark_logged(self, now: float) -> None:
        """Note that it is told now; the next time is at twice its age."""
        self.logged = True
        self.log_at = now + max(STUCK_S, now - self.since)
