"""Generate the commands page: ``python -m azurewood.commands.reference``."""

from collections import abc
import sys
import typing

import click

from azurewood.commands import exceptions
from azurewood.commands import main

HEAD: typing.Final = """\
# Commands

Printed by `python -m azurewood.commands.reference`; not edited by hand.

Every command but `azurewood entry`, `azurewood fleet`, `azurewood explain`,
`azurewood config check` and `azurewood manifest check` needs the operators'
token in the variable `AZUREWOOD_OPERATORS_TOKEN`; there is no flag for it. The
settings of `azurewood entry` are listed in [settings](settings.md).

## Exit codes

Those of `azurewood manifest check` are in its help.

| Code | Meaning |
| --- | --- |
"""
COLUMNS: typing.Final = 80
SETTINGS_COMMAND: typing.Final = "entry"


def page() -> str:
    """Return the reference page as Markdown."""
    return HEAD + "".join(_rows()) + "".join(_sections(main.main, ()))


def _rows() -> abc.Iterator[str]:
    for code, meaning in exceptions.MEANINGS.items():
        yield f"| {code.value} | {meaning} |\n"


def _sections(
    command: click.Command, names: tuple[str, ...]
) -> abc.Iterator[str]:
    """Yield the sections of all commands in a group, recursively."""
    if isinstance(command, click.Group):
        for name, child in sorted(command.commands.items()):
            yield from _sections(child, (*names, name))
        return
    title = " ".join(("azurewood", *names))
    context = click.Context(command, info_name=title, terminal_width=COLUMNS)
    text = command.get_help(context)
    if names == (SETTINGS_COMMAND,):
        text = text.partition("\nOptions:")[0].rstrip()
    yield f"\n## {title}\n\n```text\n{text}\n```\n"


if __name__ == "__main__":
    sys.stdout.write(page())
