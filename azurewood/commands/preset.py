"""``azurewood preset``: list, show, edit and use presets."""

import dataclasses
import pathlib

import click
import yaml

from azurewood.checks import base as checks
from azurewood.commands import base
from azurewood.commands import exceptions
from azurewood.commands import output
from azurewood.commands import proposals
from azurewood.fleet import model
from azurewood.fleet import presets
from azurewood.operators import checks as operators_checks
from azurewood.operators import messages
from azurewood.state import agreed as agreed_state
from azurewood.state import records

ExitCode = exceptions.ExitCode


@click.group()
def preset() -> None:
    """List, show, edit and use presets."""


@preset.command(
    name="list",
    help=base.help_of(
        "List the presets and the one in force.", "azurewood preset list"
    ),
)
@base.with_session
def list_(*, session: base.Session) -> None:
    """Print all presets and which one is in force."""
    agreed = session.client.agreed()
    rows = [
        (name, item.revision, name == agreed.in_force)
        for name, item in agreed.presets.items()
    ]
    header = ("preset", "revision", "in_force")
    if session.is_json:
        output.json([dict(zip(header, row, strict=True)) for row in rows])
    else:
        output.table(("PRESET", "REVISION", "IN FORCE"), rows)


@preset.command(
    help=base.help_of(
        "Show a preset as a file that `preset edit` reads.",
        "azurewood preset show peak > peak.yaml",
    )
)
@click.argument("name")
@base.with_session
def show(*, session: base.Session, name: str) -> None:
    """Print the preset and its revision."""
    found = _find(session.client.agreed(), name)
    if session.is_json:
        output.json(found)
        return
    click.echo(f"# Revision {found.revision}; edit with --base.")
    click.echo(presets.dump(found.preset), nl=False)


def _find(agreed: messages.AgreedView, name: str) -> agreed_state.PresetState:
    found = agreed.presets.get(name)
    if found is None:
        raise exceptions.CommandError(
            f"there is no preset {name}", code=ExitCode.REJECTED
        )
    return found


@preset.command(
    help=base.help_of(
        "Create or change a preset from a file, single values, or both.",
        "azurewood preset edit peak --file peak.yaml --base 12",
        "azurewood preset edit peak --set moves.buffer=0.2"
        " --set targets.quoting.min_hosts=5",
    )
)
@click.argument("name")
@click.option("--file", "path", help="YAML file with the whole preset.")
@click.option(
    "--set",
    "changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="Change one value; repeatable.",
)
@click.option(
    "--base",
    "base_revision",
    type=int,
    help="Revision of the preset that the change was made from; the one"
    " read when the command starts by default.",
)
@click.option("--wait", is_flag=True, help="Wait until all zones have it.")
@base.with_session
def edit(
    *,
    session: base.Session,
    name: str,
    path: str | None,
    changes: tuple[str, ...],
    base_revision: int | None,
    wait: bool,
) -> None:
    """Propose a new or changed preset."""
    if not path and not changes:
        raise click.UsageError("give --file or --set")
    agreed = session.client.agreed()
    known = agreed.presets.get(name)
    if base_revision is None:
        base_revision = known.revision if known else 0
    wanted = _wanted(agreed, name, path, changes)
    _check(agreed, wanted)
    draft = proposals.Draft(
        object=records.preset_object(name),
        base=base_revision,
        change=records.EditPreset(preset=wanted),
        wanted_text=presets.dump(wanted),
        read_current=lambda now: _content(now, name),
    )
    result = proposals.propose(session, draft)
    proposals.show(session, result)
    if wait:
        proposals.wait_in_force(session, result.revision)


def _wanted(
    agreed: messages.AgreedView,
    name: str,
    path: str | None,
    changes: tuple[str, ...],
) -> model.Preset:
    """Return the preset that results from the file and the changes.

    Raise ``CommandError`` if the file cannot be read.
    """
    if path:
        try:
            text = pathlib.Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            raise exceptions.CommandError(
                f"{path}: {exc}", code=ExitCode.FINDINGS
            ) from exc
    else:
        text = presets.dump(_find(agreed, name).preset)
    wanted = presets.load(text, path or f"preset {name}")
    for change in changes:
        wanted = _set(wanted, change)
    return dataclasses.replace(wanted, name=name)


def _set(wanted: model.Preset, change: str) -> model.Preset:
    key, equals, value = change.partition("=")
    if not equals:
        raise click.UsageError(f"--set {change} is not KEY=VALUE")
    try:
        return presets.replace_value(wanted, key, yaml.safe_load(value))
    except (LookupError, yaml.YAMLError) as exc:
        raise click.UsageError(f"--set {change}: {exc}") from exc


def _check(agreed: messages.AgreedView, wanted: model.Preset) -> None:
    if agreed.fleet is None:
        return
    others = [item.preset for item in agreed.presets.values()]
    fleet = operators_checks.with_preset(agreed.fleet, others, wanted)
    findings = operators_checks.check_fleet(fleet, f"preset {wanted.name}")
    if findings:
        raise exceptions.CommandError(
            checks.render(findings), code=ExitCode.FINDINGS
        )


def _content(agreed: messages.AgreedView, name: str) -> str:
    found = agreed.presets.get(name)
    return presets.dump(found.preset) if found else ""


@preset.command(
    help=base.help_of(
        "Put a preset in force.\n\nWith --wait the command shows zone by"
        " zone when the preset is in force, and ends once it is so"
        " everywhere.",
        "azurewood preset use peak --wait",
    )
)
@click.argument("name")
@click.option(
    "--base",
    "base_revision",
    type=int,
    help="Revision of the choice that this one replaces; the present one by"
    " default.",
)
@click.option("--wait", is_flag=True, help="Wait until all zones have it.")
@base.with_session
def use(
    *,
    session: base.Session,
    name: str,
    base_revision: int | None,
    wait: bool,
) -> None:
    """Propose putting a preset in force."""
    if base_revision is None:
        base_revision = session.client.agreed().in_force_revision
    draft = proposals.Draft(
        object=records.IN_FORCE,
        base=base_revision,
        change=records.UsePreset(name=name),
        wanted_text=f"preset {name}",
        read_current=lambda now: f"preset {now.in_force}",
    )
    result = proposals.propose(session, draft)
    if not wait:
        proposals.show(session, result)
        return
    took = proposals.wait_in_force(session, result.revision)
    if session.is_json:
        output.json(
            {"id": result.id, "revision": result.revision, "zones": took}
        )
    else:
        click.echo(f"preset {name} is in force in {len(took)} zones")
