"""The fleet daemon's process: ``python -m azurewood.commands.fleet_process``.

By default SIGHUP, the reload signal, terminates a process. A reload during
the import of modules would therefore end the daemon, so the signal is
ignored before any slow import. A reload does not read any settings again.
"""

import signal


def main() -> None:
    """Ignore SIGHUP, then import and run the daemon's command."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported after SIGHUP is ignored, because this import is slow.
    from azurewood.commands import fleet

    fleet.fleet()


if __name__ == "__main__":
    main()
