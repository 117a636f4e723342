"""``azurewood config``: check, apply and show the configuration."""

import enum
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
from azurewood.platform import checks as platform_checks
from azurewood.state import records

ExitCode = exceptions.ExitCode


@click.group()
def config() -> None:
    """Check, apply and show the configuration."""


def _read_text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise exceptions.CommandError(
            f"{path}: {exc}", code=ExitCode.FINDINGS
        ) from exc


def _read_configuration(path: str) -> document.Reading:
    return document.read(_read_text(path), path)


class FileKind(enum.StrEnum):
    """The kind of file that ``config check`` reads."""

    FLEET = "fleet"
    SETTINGS = "settings"
    DEPLOY = "deploy"


@config.command(
    help=base.help_of(
        "Check a file without sending it: a configuration of the fleet, a"
        " fleet daemon's settings, or a deploy file.",
        "azurewood config check examples/al-hadeed.yaml",
        "azurewood config check --kind deploy deploy/system.toml",
        "azurewood config check --kind settings /etc/azurewood/node.yaml",
    )
)
@click.argument("file")
@click.option(
    "--kind",
    type=click.Choice([item.value for item in FileKind]),
    default=FileKind.FLEET.value,
    show_default=True,
    help="What the file describes.",
)
@base.output_option
def check(*, file: str, kind: str, **options: str) -> None:
    """Print all findings; exit 2 if one of them is an error."""
    findings = _findings(FileKind(kind), file)
    is_valid = not checks.errors(findings)
    if base.Output(options["output"]) is base.Output.JSON:
        output.json({"valid": is_valid, "findings": findings})
    else:
        click.echo(checks.render(findings))
    if not is_valid:
        raise SystemExit(int(ExitCode.FINDINGS))


def _findings(kind: FileKind, path: str) -> list[checks.Finding]:
    match kind:
        case FileKind.FLEET:
            return list(_read_configuration(path).findings)
        case FileKind.SETTINGS:
            text = _read_text(path).encode()
            return platform_checks.settings_findings(text, path)
        case FileKind.DEPLOY:
            return platform_checks.deploy_findings(_read_text(path), path)


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
@base.with_session
def apply(
    *,
    session: base.Session,
    file: str,
    base_revision: int | None,
    wait: bool,
) -> None:
    """Propose the configuration in a file."""
    reading = _read_configuration(file)
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
        wanted_text=document.dump(reading.fleet),
        read_current=_current_text,
    )
    result = proposals.propose(session, draft)
    proposals.show(session, result)
    if wait:
        proposals.wait_in_force(session, result.revision)


def _current_text(agreed: messages.AgreedView) -> str:
    return "" if agreed.fleet is None else document.dump(agreed.fleet)


@config.command(
    help=base.help_of(
        "Show the configuration in force, as a file that can be applied.",
        "azurewood config show > fleet.yaml",
    )
)
@base.with_session
def show(*, session: base.Session) -> None:
    """Print the configuration in force and its revision."""
    agreed = session.client.agreed()
    if agreed.fleet is None:
        raise exceptions.CommandError(
            "no configuration has been applied yet", code=ExitCode.FAILED
        )
    if session.is_json:
        output.json(_json_view(agreed.fleet_revision, agreed.fleet))
        return
    click.echo(f"# Revision {agreed.fleet_revision}; apply with --base.")
    click.echo(document.dump(agreed.fleet), nl=False)


def _json_view(revision: int, fleet: model.Fleet) -> dict[str, typing.Any]:
    return {"revision": revision, "fleet": fleet}
