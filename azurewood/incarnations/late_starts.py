"""Starts of a host that got no answer and may be carried out later."""

from collections import abc
import math
import typing

from azurewood.incarnations import limits
from azurewood.jobs import model

NOTHING: typing.Final = model.Resources()
RunKey = tuple[model.TaskId, int]
"""A run among those of a host: its task and number."""


Place = tuple[str, model.TaskId, int]
"""A run that may exist on a host: the host's id, the task and the run."""


class Usage(typing.Protocol):
    """Counts what may run for accounts, see `scheduling.account_usage`."""

    def add(self, place: Place, account: str, needs: model.Resources) -> None:
        """Count a run that may exist."""

    def remove(self, place: Place, account: str) -> None:
        """Count a run no longer that was added."""

    def set_refused(
        self, place: Place, account: str, *, refused: bool
    ) -> None:
        """Note whether the start of a run that was added is refused."""


class LateStart:
    """A start without an answer, which may take effect until a deadline.

    ``host`` is the id of the host that it was sent to, and ``run`` the
    number of its run. ``incarnation_ms`` and ``fence`` are those that it was
    sent with last. With ``gang`` the run may be a member of a gang, for which
    the end of any member counts. ``next_run_at`` is None while the same run
    may be started again. Once the host has listed its end, it is when the
    next run of a long-lived task may begin there. ``account`` is the client
    account that the run counts for, empty for none, and ``needs`` what it
    uses. ``refused`` is whether it is known that its host refuses it.
    """

    __slots__ = (
        "account",
        "fence",
        "gang",
        "host",
        "incarnation_ms",
        "needs",
        "next_run_at",
        "possible_until",
        "refused",
        "run",
    )

    def __init__(
        self,
        *,
        host: str,
        run: int,
        incarnation_ms: int,
        fence: int,
        possible_until: float,
        gang: bool = False,
        account: str = "",
        needs: model.Resources = NOTHING,
    ) -> None:
        self.account = account
        self.needs = needs
        self.refused = False
        self.host = host
        self.gang = gang
        self.run = run
        self.incarnation_ms = incarnation_ms
        self.fence = fence
        self.possible_until = possible_until
        self.next_run_at: float | None = None

    def renew(self, later: "LateStart") -> None:
        """Take over the state of a later start of the same run."""
        self.incarnation_ms = later.incarnation_ms
        self.fence = later.fence
        self.possible_until = later.possible_until

    def bar(self) -> None:
        """Record that the start can no longer take effect."""
        self.possible_until = -math.inf


class LateSteps:
    """The late starts of all hosts by step, also of jobs that are over.

    They count in ``usage``, if there is one.
    """

    __slots__ = ("_steps", "_usage")

    def __init__(self, *, usage: Usage | None = None) -> None:
        self._usage = usage
        self._steps: dict[tuple, dict[tuple, LateStart]] = {}

    def add(self, key: RunKey, late: LateStart) -> None:
        """Add a late start."""
        id, _ = key
        self._steps.setdefault(id[:3], {})[(*key, late.host)] = late
        if self._usage is not None:
            self._usage.add((late.host, *key), late.account, late.needs)

    def remove(self, key: RunKey, late: LateStart) -> None:
        """Remove a late start that was added."""
        id, _ = key
        starts = self._steps[id[:3]]
        del starts[(*key, late.host)]
        self.set_refused(key, late, refused=False)
        if self._usage is not None:
            self._usage.remove((late.host, *key), late.account)
        if not starts:
            del self._steps[id[:3]]

    def set_refused(
        self, key: RunKey, late: LateStart, *, refused: bool
    ) -> None:
        """Note whether the host of a late start is known to refuse it."""
        if late.refused == refused:
            return
        late.refused = refused
        if self._usage is not None:
            place = (late.host, *key)
            self._usage.set_refused(place, late.account, refused=refused)

    def of_end(self, id: model.TaskId) -> abc.Iterator[LateStart]:
        """Yield the starts of a task, and of its gang's other members."""
        for (other, _, _), late in self._steps.get(id[:3], {}).items():
            if late.gang or other == id:
                yield late


class LateStarts(dict[RunKey, LateStart]):
    """The late starts that were sent to one host, by run.

    It is a dictionary as the leader looks at those of all hosts all the time.
    Each is in ``steps`` too, which all hosts share.
    Until ``renewed_until`` a lease renewal without an answer may be carried
    out as well. In an incarnation that no call has reached it extends the
    lease of a run that began late.

    The present incarnation, as long as it is known to go on, refuses starts
    with a fence below ``refused_below``, the fence of a call that it has
    answered; 0 while it is not known to go on. A start that is refused can
    begin only once the host has restarted.
    """

    __slots__ = ("_steps", "refused_below", "renewed_until")

    def __init__(self, *, steps: LateSteps | None = None) -> None:
        super().__init__()
        self._steps = LateSteps() if steps is None else steps
        self.refused_below = 0
        self.renewed_until = -math.inf

    def note_answered(self, fence: int) -> None:
        """Note that the present incarnation has answered a call."""
        self.refused_below = fence
        self._update_refused()

    def note_unknown(self) -> None:
        """Note that the host may have begun another incarnation."""
        self.refused_below = 0
        self._update_refused()

    def _update_refused(self) -> None:
        for key, late in self.items():
            self._set_refused(key, late)

    def _set_refused(self, key: RunKey, late: LateStart) -> None:
        refused = late.fence < self.refused_below
        self._steps.set_refused(key, late, refused=refused)

    def add(self, key: RunKey, late: LateStart) -> LateStart:
        """Add a start and return it, or the one known of its run, renewed.

        Others refer to the one that is known.
        """
        known = self.setdefault(key, late)
        if known is late:
            self._steps.add(key, late)
        else:
            known.renew(late)
        self._set_refused(key, known)
        return known

    def bar(self, key: RunKey) -> bool:
        """Record that a start is impossible; return whether it was known."""
        late = self.get(key)
        if late is not None:
            self._forget(key)
            late.bar()
        return late is not None

    def _forget(self, key: RunKey) -> None:
        self._steps.remove(key, self.pop(key))

    def bar_all(self, *, possible_until: float = math.inf) -> bool:
        """Record that no start is possible; return whether any was.

        Starts that are possible after ``possible_until`` are left.
        """
        keys = [
            key
            for key, late in self.items()
            if late.possible_until <= possible_until
        ]
        for key in keys:
            self.bar(key)
        return bool(keys)

    def forget_impossible(self, *, listed_at: float, now: float) -> bool:
        """Forget the starts whose runs can no longer exist unseen.

        A run of a late start is on the host's first list after it, or ends
        with its lease. Return whether the last one has been forgotten.
        """
        known = bool(self)
        over = now > self.leases_expire_at
        for key, late in list(self.items()):
            if over or listed_at > late.possible_until:
                self._forget(key)
        return known and not self

    def is_barred(
        self, key: RunKey, *, incarnation_ms: int, fence: int
    ) -> bool:
        """Return whether a run that a host doesn't list can't begin late.

        The list is of the incarnation ``incarnation_ms``, which refuses the
        start if the list was requested with a higher fence.
        """
        late = self.get(key)
        if late is None or late.incarnation_ms == incarnation_ms:
            return True
        return late.fence < fence

    @property
    def leases_expire_at(self) -> float:
        """When all leases have expired that these starts may obtain."""
        if not self:
            return -math.inf
        latest = max(late.possible_until for late in self.values())
        return max(latest, self.renewed_until) + limits.MAX_LEASE_S

    def run_expires_at(self, key: RunKey, leases_expire_at: float) -> float:
        """Return when all leases under which a run may exist have expired.

        ``leases_expire_at`` is for the leases that the host is known to have.
        A run of a late start may be in an incarnation that no call has
        reached, where each further late start extends the lease of all runs.
        """
        if key not in self:
            return leases_expire_at
        return max(leases_expire_at, self.leases_expire_at)
