"""``azurewood outcome``: show the outcome of a proposal."""

import click

from azurewood.commands import base
from azurewood.commands import exceptions
from azurewood.commands import output
from azurewood.operators import messages

ExitCode = exceptions.ExitCode
CODES = {
    messages.Knowledge.ACCEPTED: ExitCode.OK,
    messages.Knowledge.REJECTED: ExitCode.REJECTED,
    messages.Knowledge.NOT_ACCEPTED: ExitCode.NOT_ACCEPTED,
    messages.Knowledge.UNKNOWN: ExitCode.UNKNOWN,
}


@click.command(
    help=base.help_of(
        "Say how a proposal ended, by the id that a command printed.",
        "azurewood outcome mariam~0f3c5a7e.0",
    )
)
@click.argument("id")
@base.with_session
def outcome(*, session: base.Session, id: str) -> None:
    """Print the outcome, and exit with the code that stands for it."""
    view = session.client.outcome(id)
    if session.is_json:
        output.json(view)
    else:
        revision = f" at revision {view.revision}" if view.revision else ""
        reason = f": {view.reason}" if view.reason else ""
        click.echo(f"{view.id} {view.knowledge}{revision}{reason}")
    raise SystemExit(int(CODES[view.knowledge]))
