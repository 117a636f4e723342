"""Checks what accounts have running on hosts against their limits."""

from collections import abc
import dataclasses
import math

import msgspec

from azurewood.jobs import catalog
from azurewood.jobs import model
from standins.fleet import clock as clocks

CONFIG_S = 3.0
"""Time in which a replaced configuration may still be in force."""
RESERVE = 1.1
"""What may run at most, as a multiple of the limit, besides one task."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Version:
    found: catalog.Catalog
    until: float = math.inf


class AccountRules:
    """What accounts have running, and the limits that may be in force.

    Runs that are being stopped count until they end on their host. Of several
    limits that may be in force, the highest counts. ``most`` has the most
    that each account had running at any time.
    """

    __slots__ = ("_breach", "_clock", "_versions", "most", "used")

    def __init__(
        self, *, clock: clocks.Clock, breach: abc.Callable[[str, str], None]
    ) -> None:
        self._clock = clock
        self._breach = breach
        self._versions: list[_Version] = []
        self.used: dict[str, model.Resources] = {}
        self.most: dict[str, model.Resources] = {}

    def configure(self, found: catalog.Catalog) -> None:
        """Handle a new configuration."""
        now = self._clock.now
        self._versions = [v for v in self._versions if v.until >= now]
        if self._versions:
            self._versions[-1].until = now + CONFIG_S
        self._versions.append(_Version(found=found))

    def started(self, job: model.Job, step: model.Step, place: str) -> None:
        """Handle a run that a host has started."""
        known = self.used.get(job.account, model.Resources())
        used = self.used[job.account] = known.plus(step.needs)
        most = self.most.get(job.account, model.Resources())
        self.most[job.account] = model.largest_of_each((used, most))
        limits = [
            self._limit(v.found, job.account)
            for v in self._versions
            if v.until >= self._clock.now
        ]
        if job.account and not any(
            _within(used, step.needs, limit) for limit in limits
        ):
            self._breach("account limit", f"{place}: {job.account} has {used}")

    def owes_room(self, job: model.Job, step: model.Step) -> bool:
        """Return whether a task or gang leaves half of the limits unused.

        Until then no limit is a reason for it to wait.
        """
        count = step.count if step.gang else 1
        used = self.used.get(job.account, model.Resources())
        for _ in range(count):
            used = used.plus(step.needs)
        return all(
            not most or 2 * amount <= most
            for version in self._versions
            if version.until >= self._clock.now
            for amount, most in zip(
                msgspec.structs.astuple(used),
                msgspec.structs.astuple(
                    self._limit(version.found, job.account)
                ),
                strict=True,
            )
        )

    def ended(self, job: model.Job, step: model.Step) -> None:
        """Handle the end of a run that a host had started."""
        self.used[job.account] = self.used[job.account].minus(step.needs)

    def _limit(self, found: catalog.Catalog, name: str) -> model.Resources:
        account = (found.accounts or {}).get(name)
        return account.limit if account is not None else model.Resources()


def _within(
    used: model.Resources, task: model.Resources, limit: model.Resources
) -> bool:
    """Return whether an account may use that much under a limit."""
    return all(
        not most or amount <= RESERVE * most + one
        for amount, one, most in (
            (used.cpu, task.cpu, limit.cpu),
            (used.memory_mb, task.memory_mb, limit.memory_mb),
            (used.gpu, task.gpu, limit.gpu),
        )
    )
