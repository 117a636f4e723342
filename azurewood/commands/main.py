"""The ``azurewood`` command: a group of one command a module."""

import click

from azurewood.commands import entry


@click.group()
@click.version_option(package_name="azurewood")
def main() -> None:
    """Manage fleet capacity and maintenance."""


main.add_command(entry.entry)
