"""Running sums of what each client account has on all hosts together."""

import typing

from azurewood.incarnations import late_starts
from azurewood.jobs import model
from azurewood.policy import account_room

NO_LIMIT: typing.Final = model.Resources(
    account_room.NO_LIMIT, account_room.NO_LIMIT, account_room.NO_LIMIT
)
"""More than any account uses."""


class _Held:
    """The account and amount of one place, and how many reasons hold it.

    ``refused`` of these are starts that the host is known to refuse.
    """

    __slots__ = ("account", "count", "needs", "refused")

    def __init__(self, *, account: str, needs: model.Resources) -> None:
        self.account = account
        self.needs = needs
        self.count = 0
        self.refused = 0

    @property
    def is_refused(self) -> bool:
        """Whether nothing but refused starts holds the place."""
        return self.count == self.refused


class AccountUsage:
    """What accounts use, as a sum that changes with each run.

    A place is held for each reason to count it, by a run, a late start or a
    host's list. It counts once however many reasons there are, and until the
    last of them is over. Work without an account is not counted. A second sum
    has the places that refused starts alone hold.
    """

    __slots__ = ("_held", "_refused", "_runs", "_sums")

    def __init__(self) -> None:
        self._held: dict[late_starts.Place, _Held] = {}
        self._refused: dict[str, model.Resources] = {}
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
        elif held.is_refused:
            self._add_refused(held, -1)
        held.count += 1

    def remove(self, place: late_starts.Place, account: str) -> None:
        """Release a place that ``add`` held, for one of its reasons."""
        if not account:
            return
        held = self._held[place]
        held.count -= 1
        if held.count:
            if held.is_refused:
                self._add_refused(held, 1)
            return
        del self._held[place]
        self._runs[held.account] -= 1
        if self._runs[held.account]:
            left = self._sums[held.account].minus(held.needs)
            self._sums[held.account] = left
        else:
            del self._runs[held.account]
            del self._sums[held.account]

    def set_refused(
        self, place: late_starts.Place, account: str, *, refused: bool
    ) -> None:
        """Note whether one of a place's reasons is a refused start."""
        if not account:
            return
        held = self._held[place]
        if held.is_refused:
            self._add_refused(held, -1)
        held.refused += 1 if refused else -1
        if held.is_refused:
            self._add_refused(held, 1)

    def _add_refused(self, held: _Held, sign: int) -> None:
        known = self.refused(held.account)
        change = held.needs.times(sign)
        left = self._refused[held.account] = known.plus(change)
        if left == model.Resources():
            del self._refused[held.account]

    def refused(self, account: str) -> model.Resources:
        """Return what refused starts alone hold on all hosts."""
        return self._refused.get(account, model.Resources())

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
        used, refused = self.used(account), self.refused(account)
        return model.Resources(
            account_room.room(limit.cpu, used.cpu, refused.cpu),
            account_room.room(
                limit.memory_mb, used.memory_mb, refused.memory_mb
            ),
            account_room.room(limit.gpu, used.gpu, refused.gpu),
        )

    def is_over(self, account: str, limit: model.Resources) -> bool:
        """Return whether an account uses more than its limit.

        The limit may have been lowered. What hosts refuse does not count.
        """
        used, refused = self.used(account), self.refused(account)
        return (
            account_room.is_over(limit.cpu, used.cpu, refused.cpu)
            or account_room.is_over(
                limit.memory_mb, used.memory_mb, refused.memory_mb
            )
            or account_room.is_over(limit.gpu, used.gpu, refused.gpu)
        )
