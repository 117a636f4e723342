"""What the leader knows of one incarnation of a host."""

from azurewood.incarnations import ends
from azurewood.jobs import model
from azurewood.policy import host_speed


class Incarnation:
    """One life of a host, from its start until it ends or restarts.

    ``began_ms``, the Unix time of its start, identifies it among those of
    its host; it is 0 until it is known. ``synced`` is whether it has answered
    this leader, and so no longer accepts calls of an earlier one. ``ends``
    has the run ends that it listed, ``unknown_runs`` counts the runs on its
    latest list that the leader doesn't want. ``failed_tasks`` are those that
    failed on it since it last completed one. ``full_capacity`` is the largest
    capacity that it has had of each resource. ``speed`` tells if it is slow.
    """

    __slots__ = (
        "_clock_at",
        "_clock_ms",
        "began_ms",
        "ends",
        "failed_tasks",
        "full_capacity",
        "speed",
        "synced",
        "unknown_runs",
    )

    def __init__(self, *, began_ms: int) -> None:
        self.began_ms = began_ms
        self.synced = False
        self.ends = ends.Ends()
        self.unknown_runs = 0
        self.failed_tasks: set[model.TaskId] = set()
        self.full_capacity = model.Resources()
        self.speed = host_speed.HostSpeed()
        self._clock_ms: int | None = None
        self._clock_at = 0.0

    def set_clock(self, clock_ms: int, now: float) -> None:
        """Record the time of the incarnation's clock, as read at ``now``."""
        self._clock_ms = clock_ms
        self._clock_at = now

    def clock(self, now: float) -> int | None:
        """Return the estimated time of its clock in ms, if it is known."""
        if self._clock_ms is None:
            return None
        return self._clock_ms + int((now - self._clock_at) * 1000)

    def observe_capacity(self, capacity: model.Resources) -> None:
        """Record a capacity that the incarnation has or had."""
        if capacity != self.full_capacity:
            known = (self.full_capacity, capacity)
            self.full_capacity = model.largest_of_each(known)
