"""The ``azurewood`` command: one subcommand or group per module."""

import click

from azurewood.commands import config
from azurewood.commands import dump
from azurewood.commands import entry
from azurewood.commands import explain
from azurewood.commands import fleet
from azurewood.commands import host
from azurewood.commands import manifest
from azurewood.commands import outcome
from azurewood.commands import preset
from azurewood.commands import status
from azurewood.commands import wave

COMMANDS = (
    entry.entry,
    config.config,
    manifest.manifest,
    preset.preset,
    status.status,
    host.host,
    wave.wave,
    outcome.outcome,
    dump.dump,
    fleet.fleet,
    explain.explain,
)


@click.group()
@click.version_option(package_name="azurewood")
def main() -> None:
    """Manage fleet capacity and maintenance."""


for command in COMMANDS:
    main.add_command(command)
