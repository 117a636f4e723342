"""A fleet daemon with one mechanism off: ``python -m tests.soak.naive NAME``.

Shows that the soak finds what it looks for.
"""

import os
import signal
import sys

from azurewood.commands import fleet
from azurewood.scheduling import runs


def _end_at_once():
    """End on SIGTERM whatever is being answered."""
    take = signal.signal

    def ignore_later(number, handler):
        if number == signal.SIGTERM:
            return take(number, lambda *_: os._exit(0))
        return take(number, handler)

    signal.signal = ignore_later


def _forget_leases():
    """Take a silent host's tasks for gone although they may run on."""
    runs.MAX_LEASE_S = 0.0


MECHANISMS = {"graceful-stop": _end_at_once, "leases": _forget_leases}

if __name__ == "__main__":
    MECHANISMS[sys.argv.pop(1)]()
    fleet.fleet()
