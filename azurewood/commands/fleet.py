"""``azurewood fleet``: run a fleet daemon on the users' platform."""

import dataclasses
import os
import signal
import sys

import click
from loguru import logger

from azurewood.commands import base as commands_base
from azurewood.commands import exceptions
from azurewood.daemons import fleet as daemons
import azurewood.exceptions
from azurewood.log import bounded
from azurewood.log import event_metrics
from azurewood.log import setup
from azurewood.platform import base
from azurewood.platform import settings as settings_files


@click.command(
    help=commands_base.help_of(
        "Run a fleet daemon until it is told to stop (SIGTERM).",
        "azurewood fleet --settings /etc/azurewood/node.yaml",
    )
)
@click.option(
    "--settings",
    "path",
    default=lambda: os.environ.get(settings_files.VARIABLE, ""),
    show_default=f"${settings_files.VARIABLE}",
    help="Path of the settings file.",
)
@click.option(
    "--learned-durations/--no-learned-durations",
    default=True,
    envvar="AZUREWOOD_LEARNED_DURATIONS",
    show_default=True,
    show_envvar=True,
    help="Correct callers' estimates by ended runs, avoid slow hosts.",
)
def fleet(*, path: str, learned_durations: bool) -> None:
    """Run a fleet daemon until it is told to stop (SIGTERM)."""
    writer = bounded.BoundedWriter(stream=sys.stdout)
    collector = event_metrics.EventMetrics()
    try:
        settings = dataclasses.replace(
            settings_files.load(path), learned_durations=learned_durations
        )
        setup.configure(
            level="info",
            format="json",
            zone=settings.zone,
            daemon=settings.name,
            writer=writer,
            observe=collector.observe,
        )
        daemon = daemons.FleetDaemon(
            settings=settings,
            platform=base.UsersPlatform(settings=settings),
            metrics=collector,
        )
    except azurewood.exceptions.AzurewoodError as exc:
        raise click.ClickException(str(exc)) from exc
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.stop())
    signal.signal(signal.SIGHUP, lambda *_: None)
    logger.bind(event="daemon.started").info("started")
    try:
        daemon.run()
    except Exception:
        # The servers' threads would keep the process running although its
        # loop has ended.
        logger.opt(exception=True).critical("the daemon's loop failed")
        writer.close()
        os._exit(int(exceptions.ExitCode.FAILED))
    logger.bind(event="daemon.stopped").info("stopped")
    writer.close()
    # Exit without joining server threads, which may still be waiting.
    os._exit(int(exceptions.ExitCode.OK))


if __name__ == "__main__":
    fleet()
