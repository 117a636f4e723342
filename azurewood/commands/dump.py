"""``azurewood dump``: print the complete state of a daemon."""

import click

from azurewood.commands import base
from azurewood.commands import output


@click.command(
    help=base.help_of(
        "Print the whole state of the first daemon that answers, as JSON.",
        "azurewood dump --daemon http://127.0.0.1:8081",
    )
)
@base.with_session
def dump(*, session: base.Session) -> None:
    """Print the state as JSON."""
    output.json(session.client.dump())
