"""``azurewood entry``: run an entry daemon."""

import signal

import click

from azurewood.conf import base
from azurewood.conf import entry as settings_module
from azurewood.conf import options
from azurewood.daemons import entry as daemons
from azurewood import exceptions
from azurewood.log import setup


@click.command()
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
    except exceptions.AzurewoodError as exc:
        raise click.ClickException(str(exc)) from exc
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.stop())
    daemon.wait()
