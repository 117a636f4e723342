"""``azurewood entry``: run an entry daemon."""

import signal

import click
from loguru import logger

from azurewood.commands import base as commands_base
from azurewood.commands import exceptions
from azurewood.conf import base
from azurewood.conf import entry as settings_module
from azurewood.conf import options
from azurewood.daemons import entry as daemons
import azurewood.exceptions
from azurewood.log import setup


@click.command(
    help=commands_base.help_of(
        "Run an entry daemon until it is told to stop (SIGTERM).",
        "azurewood entry --name volos-1 --zone volos"
        " --platform-url http://127.0.0.1:9400",
    )
)
@options.options(settings_module.EntrySettings)
def entry(*, settings: base.LazySettings) -> None:
    """Run an entry daemon until it is told to stop (SIGTERM)."""
    loaded = settings.load()
    setup.configure(
        level=loaded.log_level,
        format=loaded.log_format,
        zone=loaded.zone,
        daemon=loaded.name,
        secrets=(loaded.operators_token, loaded.peers_key),
    )
    try:
        daemon = daemons.EntryDaemon(settings=loaded)
        daemon.start()
    except azurewood.exceptions.AzurewoodError as exc:
        raise click.ClickException(str(exc)) from exc
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.stop())
    logger.info("started; ready once a configuration is read")
    if not daemon.wait():
        raise SystemExit(int(exceptions.ExitCode.FAILED))
    logger.info("stopped")
