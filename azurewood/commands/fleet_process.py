"""The fleet daemon's process: ``python -m azurewood.commands.fleet_process``.

A reload (SIGHUP) that comes while a process loads its modules would end it,
as that is what the signal does until a handler is there. So it is ignored
before anything slow is imported; nothing is read again on a reload.
"""

import signal


def main() -> None:
    """Ignore SIGHUP, then load and run the daemon's command."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported here, as this takes longer than all that comes before it.
    from azurewood.commands import fleet

    fleet.fleet()


if __name__ == "__main__":
    main()
