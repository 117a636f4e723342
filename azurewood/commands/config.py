"""``azurewood config``: check, apply and show the configuration."""

import pathlib
import typing

import click

from azurewood.checks import base as checks
from azurewood.commands import base
from azurewood.commands import exceptions
from azurewood.commands import output
from azurewood.commands import proposals
from azurewood.fleet import document
from azurewood.fleet import model
from azurewood.operators import messages
from azurewood.state import records

ExitCode = exceptions.ExitCode


@click.group()
def config() -> None:
    """Check, apply and show the configuration."""


def _read(path: str) -> document.Reading:
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise exceptions.CommandError(
            f"{path}: {exc}", code=ExitCode.FINDINGS
        ) from exc
    return document.read(text, path)


@config.command(
    help=base.help_of(
        "Check a configuration file without sending it.",
        "azurewood config check examples/al-hadeed.yaml",
    )
)
@click.argument("file")
@base.output_option
def check(*, file: str, **options: str) -> None:
    """Print all findings; exit 2 if one of them is an error."""
    reading = _read(file)
    if base.Output(options["output"]) is base.Output.JSON:
        _print_json(reading)
    else:
        click.echo(checks.render(reading.findings))
    if reading.fleet is None:
        raise SystemExit(int(ExitCode.FINDINGS))


def _print_json(reading: document.Reading) -> None:
    output.json(
        {"valid": reading.fleet is not None, "findings": reading.findings}
    )


@config.command(
    help=base.help_of(
        "Check a configuration file and put it in force.\n\nHosts that are"
        " known keep their pools, and presets that are known stay as they"
        " are; edit those with `preset edit`.",
        "azurewood config apply examples/al-hadeed.yaml --wait",
        "azurewood config apply fleet.yaml --base 17",
    )
)
@click.argument("file")
@click.option(
    "--base",
    "base_revision",
    type=int,
    help="Revision of the configuration that the file was made from; the"
    " one in force when the command starts by default.",
)
@click.option("--wait", is_flag=True, help="Wait until all zones have it.")
@base.remote
def apply(
    *,
    session: base.Session,
    file: str,
    base_revision: int | None,
    wait: bool,
) -> None:
    """Propose the configuration."""
    reading = _read(file)
    if reading.fleet is None:
        raise exceptions.CommandError(
            checks.render(reading.findings), code=ExitCode.FINDINGS
        )
    if base_revision is None:
        base_revision = session.client.agreed().fleet_revision
    draft = proposals.Draft(
        object=records.FLEET,
        base=base_revision,
        change=records.PublishFleet(fleet=reading.fleet),
        mine=document.dump(reading.fleet),
        current=_current,
    )
    ended = proposals.propose(session, draft)
    proposals.show(session, ended)
    if wait:
        proposals.wait_in_force(session, ended.revision)


def _current(agreed: messages.AgreedView) -> str:
    return "" if agreed.fleet is None else document.dump(agreed.fleet)


@config.command(
    help=base.help_of(
        "Show the configuration in force, as a file that can be applied.",
        "azurewood config show > fleet.yaml",
    )
)
@base.remote
def show(*, session: base.Session) -> None:
    """Print the configuration and the revision it is based on."""
    agreed = session.client.agreed()
    if agreed.fleet is None:
        raise exceptions.CommandError(
            "no configuration has been applied yet", code=ExitCode.FAILED
        )
    if session.is_json:
        output.json(_shown(agreed.fleet_revision, agreed.fleet))
        return
    click.echo(f"# Revision {agreed.fleet_revision}; apply with --base.")
    click.echo(document.dump(agreed.fleet), nl=False)


def _shown(revision: int, fleet: model.Fleet) -> dict[str, typing.Any]:
    return {"revision": revision, "fleet": fleet}
