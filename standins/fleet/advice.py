"""Simulated advice service, which approves the hosts of steps."""

import collections
from collections import abc

from azurewood.scheduling import messages
from standins.fleet import clock as clocks

MAX_WAITING = 32
"""Calls that may wait; the service refuses any beyond."""
REFUSED = 429


class SimAdvice:
    """The service: it handles one call at a time, in the order they come.

    A call takes ``decision_s`` and ``per_host_s`` for each host it names.
    ``approved`` has the ids of the approved hosts, None approves all. A
    ticket is valid for ``validity_s`` from its answer. ``asked`` has the
    hosts of each call that was handled, and ``refused`` counts the others.
    """

    __slots__ = (
        "_busy_until",
        "_clock",
        "_ends",
        "approved",
        "asked",
        "decision_s",
        "per_host_s",
        "refused",
        "validity_s",
    )

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._busy_until = 0.0
        self._ends: collections.deque[float] = collections.deque()
        self.approved: set[str] | None = None
        self.decision_s = 0.0
        self.per_host_s = 0.0
        self.validity_s = 3.0
        self.asked: list[tuple[str, ...]] = []
        self.refused = 0

    def is_full(self) -> bool:
        """Return whether a call that arrives now is refused."""
        while self._ends and self._ends[0] <= self._clock.now:
            self._ends.popleft()
        return len(self._ends) > MAX_WAITING

    def is_idle(self) -> bool:
        """Return whether it has no call to handle, and approves all hosts."""
        return self.approved is None and self._clock.now >= self._busy_until

    def wait(
        self, ask: messages.AskAdvice, done: abc.Callable[[], None]
    ) -> None:
        """Queue a call; ``done`` is called when it has been handled."""
        begin = max(self._clock.now, self._busy_until)
        length_s = self.decision_s + self.per_host_s * len(ask.hosts)
        self._busy_until = begin + length_s
        self._ends.append(self._busy_until)
        self.asked.append(ask.hosts)
        self._clock.after(self._busy_until - self._clock.now, done)

    def answer(self, ask: messages.AskAdvice) -> messages.Advised:
        """Return the advice on a call that has been handled."""
        approved = self.approved
        return messages.Advised(
            job=ask.job,
            occurrence=ask.occurrence,
            step=ask.step,
            tickets={
                host: "ticket"
                for host in ask.hosts
                if approved is None or host in approved
            },
            valid_until=self._clock.now + self.validity_s,
        )

    def refuse(self, ask: messages.AskAdvice) -> messages.AdviceFailed:
        """Count a call that is refused, and return the answer to it."""
        self.refused += 1
        return messages.AdviceFailed(
            job=ask.job,
            occurrence=ask.occurrence,
            step=ask.step,
            status=REFUSED,
        )
