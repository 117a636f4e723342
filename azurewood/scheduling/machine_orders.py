"""Moves of machines between pools, and waves of their maintenance."""

from collections import abc
import math

from azurewood.jobs import model
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages


class Emptying:
    """What is known of a host that a wave empties, as long as it does.

    ``without_place`` counts the tasks of each step that last and that have no
    other host. Unless it ``fits``, they are too many, and it is taken back at
    ``held_until``. ``stopped`` maps the tasks that were stopped for it to when
    they were, and ``runs`` to their runs.
    """

    __slots__ = (
        "fits",
        "held_until",
        "host",
        "runs",
        "stopped",
        "without_place",
    )

    def __init__(self, *, host: str) -> None:
        self.host = host
        self.fits = True
        self.held_until = 0.0
        self.without_place: abc.Mapping[jobstates.StepKey, int] = {}
        self.stopped: dict[model.TaskId, float] = {}
        self.runs: dict[model.TaskId, int] = {}


class Wave:
    """A maintenance wave and the progress of its machines.

    ``ordered`` maps each machine whose maintenance was decided to the id
    that its host had then, and ``incarnations`` to its incarnation, if that
    was known. ``confirmed`` maps a machine to the time when
    its order was answered. ``returned`` has the machines that are back in
    service, have left the list or refused the order. ``request`` is None
    while a new leader knows the wave from its progress record only, which
    names the ordered machines and not those that are left.
    ``emptying`` has the machines whose hosts it empties. ``waits_for`` says
    why none can be that could go down, and ``waits_since`` when one could
    last; what was logged of that is in ``logged_waits``. ``refused_since`` has
    the machines whose hosts have nowhere for their tasks, and since when.
    """

    __slots__ = (
        "began_at",
        "completed",
        "confirmed",
        "emptying",
        "incarnations",
        "logged_waits",
        "number",
        "ordered",
        "refused_since",
        "reported",
        "request",
        "returned",
        "waits_for",
        "waits_since",
    )

    def __init__(self, *, number: int, now: float) -> None:
        self.number = number
        self.request: messages.WaveRequested | None = None
        self.began_at = now
        self.ordered: dict[str, str] = {}
        self.incarnations: dict[str, int] = {}
        self.confirmed: dict[str, float] = {}
        self.returned: set[str] = set()
        self.completed = False
        self.reported: messages.ReportWave | None = None
        self.emptying: dict[str, Emptying] = {}
        self.refused_since: dict[str, float] = {}
        self.waits_for = ""
        self.waits_since = now
        self.logged_waits: set[tuple] = set()

    def ends(self, machine: str, incarnation_ms: int) -> bool:
        """Return whether a machine's order ends an incarnation of its host."""
        if machine not in self.confirmed:
            return True
        last_ms = self.incarnations.get(machine, math.inf)
        return machine not in self.returned and incarnation_ms <= last_ms


class MachineMove:
    """A move of a machine to another pool, and its host before the move.

    ``incarnation_ms`` is that of the host, if it is known. ``answered_at`` is
    when the order's call ended in a way after which the move may be done, and
    ``confirmed_at`` when it was answered as done. Lists of machines that began
    before ``refutable_at`` don't show that the move is not done.
    """

    __slots__ = (
        "answered_at",
        "confirmed_at",
        "host",
        "incarnation_ms",
        "pool",
        "refutable_at",
    )

    def __init__(
        self,
        *,
        pool: str,
        host: str,
        refutable_at: float,
        incarnation_ms: float = math.inf,
    ) -> None:
        self.pool = pool
        self.host = host
        self.incarnation_ms = incarnation_ms
        self.refutable_at = refutable_at
        self.answered_at: float | None = None
        self.confirmed_at: float | None = None

    def ends(self, incarnation_ms: int) -> bool:
        """Return whether the move ends an incarnation of its host."""
        confirmed = self.confirmed_at is not None
        return not confirmed or incarnation_ms <= self.incarnation_ms
