"""Running sums of what each client account has on all hosts together."""

import typing

from azurewood.incarnations import late_starts
from azurewood.jobs import model

NO_LIMIT: typing.Final = model.Resources(2**62, 2**62, 2**62)
"""More than any account uses."""


class _Held:
    """The account and amount of one place, and how many reasons hold it."""

    __slots__ = ("account", "count", "needs")

    def __init__(self, *, account: str, needs: model.Resources) -> None:
        self.account = account
        self.needs = needs
        self.count = 0


class AccountUsage:
    """What accounts use, as a sum that changes with each run.

    A place is held for each reason to count it, by a run, a late start or a
    host's list. It counts once however many reasons there are, and until the
    last of them is over. Work without an account is not counted.
    """

    __slots__ = ("_held", "_runs", "_sums")

    def __init__(self) -> None:
        self._held: dict[late_starts.Place, _Held] = {}
        self._sums: dict[str, model.Resources] = {}
        self._runs: dict[str, int] = {}

    def add(
        self, place: late_starts.Place, account: str, needs: model.Resources
    ) -> None:
        """Hold a place for an account, for one more reason."""
        if not account:
            return
        held = self._held.get(place)
        if held is None:
            held = self._held[place] = _Held(account=account, needs=needs)
            self._sums[account] = self.used(account).plus(needs)
            self._runs[account] = self.running(account) + 1
        held.count += 1

    def remove(self, place: late_starts.Place, account: str) -> None:
        """Release a place that ``add`` held, for one of its reasons."""
        if not account:
            return
        held = self._held[place]
        held.count -= 1
        if held.count:
            return
        del self._held[place]
        self._runs[held.account] -= 1
        if self._runs[held.account]:
            left = self._sums[held.account].minus(held.needs)
            self._sums[held.account] = left
        else:
            del self._runs[held.account]
            del self._sums[held.account]

    def holder(self, place: late_starts.Place) -> tuple[str, model.Resources]:
        """Return the account and amount of a place, ``""`` if not held."""
        held = self._held.get(place)
        if held is None:
            return "", model.Resources()
        return held.account, held.needs

    def used(self, account: str) -> model.Resources:
        """Return what an account uses on all hosts."""
        return self._sums.get(account, model.Resources())

    def running(self, account: str) -> int:
        """Return how many runs of an account may exist."""
        return self._runs.get(account, 0)

    def accounts(self) -> set[str]:
        """Return the accounts that use anything."""
        return set(self._sums)

    def room(self, account: str, limit: model.Resources) -> model.Resources:
        """Return what an account may use further within a limit.

        A resource with the limit 0 has none. An amount is negative while the
        account uses more than its limit, which may have been lowered.
        """
        used = self.used(account)
        return model.Resources(
            limit.cpu - used.cpu if limit.cpu else NO_LIMIT.cpu,
            limit.memory_mb - used.memory_mb
            if limit.memory_mb
            else NO_LIMIT.memory_mb,
            limit.gpu - used.gpu if limit.gpu else NO_LIMIT.gpu,
        )
