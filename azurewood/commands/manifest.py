"""``azurewood manifest``: check a configuration of the users' platform."""

import enum
import pathlib
import typing

import click

from azurewood.checks import base as checks
from azurewood.checks import manifest_changes
from azurewood.commands import base
from azurewood.commands import output
from azurewood.jobs import model
from azurewood.platform import manifests

HEADER: typing.Final = ("kind", "name", "field", "before", "after")


class ManifestCode(enum.IntEnum):
    """Exit code of ``manifest check``."""

    CLEAN = 0
    ERRORS = 1
    WARNINGS = 2
    UNREADABLE = 3


class _Command(click.Command):
    """A command whose wrong usage does not exit as warnings do."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        try:
            return super().parse_args(ctx, args)
        except click.UsageError as exc:
            exc.exit_code = int(ManifestCode.UNREADABLE)
            raise


class _Task(click.ParamType):
    """A task's needs as ``CPU/MB/GPUS``."""

    name = "cpu/mb/gpus"

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> model.Resources:
        if isinstance(value, model.Resources):
            return value
        parts = str(value).split("/")
        if len(parts) != 3 or not all(
            part.isascii() and part.isdigit() for part in parts
        ):
            self.fail(f"{value!r} is not CPU/MB/GPUS", param, ctx)
        return model.Resources(*map(int, parts))


@click.group()
def manifest() -> None:
    """Check a configuration of the users' platform."""


@manifest.command(
    cls=_Command,
    help=base.help_of(
        "Check the configuration in the file NEW before it is sent, and say"
        " what differs from OLD, the one in force. Keys are never printed,"
        " only their number.\n\nExit codes: 0 nothing found, 1 errors, 2"
        " warnings only, 3 a file cannot be read, or wrong usage. Differences"
        " alone do not change the exit code.",
        "azurewood manifest check new.json --against old.json",
        "azurewood manifest check new.json --task 2000/4096/1",
    ),
)
@click.argument("new")
@click.option(
    "--against",
    metavar="OLD",
    help="Configuration that NEW replaces.",
)
@click.option(
    "--task",
    type=_Task(),
    default="1000/1/0",
    show_default=True,
    metavar="CPU/MB/GPUS",
    help="What one task needs, in thousandths of a core, MB and GPUs. Limits"
    " below that are reported.",
)
@base.output_option
def check(
    *,
    new: str,
    against: str | None,
    task: model.Resources,
    **options: str,
) -> None:
    """Print all findings and differences; exit with the code for them."""
    reading = manifests.check(_read(new), new, task)
    findings = list(reading.findings)
    differences: list[manifest_changes.Difference] = []
    if against is not None and reading.is_object:
        old = manifests.read(_read(against), against)
        if not old.is_object:
            raise _unreadable(against, old.findings[0].message)
        differences, found = manifests.compare(old, reading)
        findings.extend(found)
    if base.Output(options["output"]) is base.Output.JSON:
        _print_json(findings, differences)
    else:
        _print_table(findings, differences)
    raise SystemExit(int(_code(findings)))


def _print_json(
    findings: list[checks.Finding],
    differences: list[manifest_changes.Difference],
) -> None:
    output.json(
        {
            "valid": not checks.errors(findings),
            "findings": findings,
            "differences": differences,
        }
    )


def _print_table(
    findings: list[checks.Finding],
    differences: list[manifest_changes.Difference],
) -> None:
    click.echo(checks.render(findings))
    if differences:
        rows = [
            (item.kind, item.name, item.field, item.before, item.after)
            for item in differences
        ]
        output.table(HEADER, rows)


def _code(findings: list[checks.Finding]) -> ManifestCode:
    if checks.errors(findings):
        return ManifestCode.ERRORS
    return ManifestCode.WARNINGS if findings else ManifestCode.CLEAN


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as exc:
        raise _unreadable(path, str(exc)) from exc


def _unreadable(path: str, reason: str) -> click.ClickException:
    exc = click.ClickException(f"{path}: {reason}")
    exc.exit_code = int(ManifestCode.UNREADABLE)
    return exc
