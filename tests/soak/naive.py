"""A fleet daemon with one mechanism off: ``python -m tests.soak.naive NAME``.

Shows that the soak finds what it looks for.
"""

import os
import signal
import sys

from azurewood.commands import fleet
from azurewood.scheduling import runs


def _exit_on_sigterm():
    """End on SIGTERM whatever is being answered."""
    install = signal.signal

    def replace_handler(number, handler):
        if number == signal.SIGTERM:
            return install(number, lambda *_: os._exit(0))
        return install(number, handler)

    signal.signal = replace_handler


def _skip_lease_wait():
    """Take a silent host's tasks for gone although they may run on."""
    runs.LEASE_BOUND_S = 0.0


MECHANISMS = {"graceful-stop": _exit_on_sigterm, "leases": _skip_lease_wait}

if __name__ == "__main__":
    MECHANISMS[sys.argv.pop(1)]()
    fleet.fleet()
