"""A fleet daemon with one safety mechanism disabled.

``python -m tests.soak.naive NAME`` starts it. Tests use it to prove that
the soak detects the failure that the mechanism prevents.
"""

import os
import signal
import sys

from azurewood.commands import fleet
from azurewood.http import sending
from azurewood.incarnations import limits
from azurewood.jobs import catalog
from azurewood.journal import appender
from azurewood.policy import intake
from azurewood.scheduling import account_usage


def _exit_on_sigterm():
    """Exit on SIGTERM at once, even while requests are being answered."""
    install = signal.signal

    def replace_handler(number, handler):
        if number == signal.SIGTERM:
            return install(number, lambda *_: os._exit(0))
        return install(number, handler)

    signal.signal = replace_handler


def _skip_lease_wait():
    """Treat an unresponsive host's runs as ended before its leases expire.

    The runs may in fact continue on the host.
    """
    limits.MAX_LEASE_S = 0.0


def _repeat_calls():
    """Let libcurl repeat calls, and send other records under one number."""

    def put_back(self):
        self._pending.extendleft(reversed(self._batch))
        self._batch = ()

    sending.Sending.is_over = False
    appender.Appender._put_back = put_back


def _ignore_removals_and_limits():
    """Accept removed keys and unknown ones, and start beyond all limits."""
    known = {}

    def account_of(self, key):
        known.update(self._accounts_by_key)
        name, _, _ = key.partition("-")
        return known.get(catalog.key_digest(key)) or self.accounts[name]

    catalog.Catalog.account_of = account_of
    usage = account_usage.AccountUsage
    usage.room = lambda self, account, limit: account_usage.NO_LIMIT
    usage.is_over = lambda self, account, limit: False


def _ignore_additions_and_ends():
    """Refuse all keys but the first, and count ended runs as running."""
    find = catalog.Catalog.account_of
    catalog.Catalog.account_of = lambda self, key: (
        find(self, key) if key.endswith("-first") else None
    )
    account_usage.AccountUsage.remove = lambda self, place, account: None


def _take_the_intake_for_empty():
    """Deny jobs that no leader has copied from the intake yet."""
    intake.knows_all = lambda **known: True


MECHANISMS = {
    "account-removals": _ignore_removals_and_limits,
    "account-additions": _ignore_additions_and_ends,
    "copied-intake": _take_the_intake_for_empty,
    "graceful-stop": _exit_on_sigterm,
    "leases": _skip_lease_wait,
    "one-copy": _repeat_calls,
}

if __name__ == "__main__":
    MECHANISMS[sys.argv.pop(1)]()
    fleet.fleet()
