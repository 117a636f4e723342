"""Generator of the settings reference page.

Run ``python -m azurewood.conf.reference`` to print the page.
"""

from collections import abc
import sys
import typing

from azurewood.conf import base
from azurewood.conf import entry
from azurewood.conf import kinds

HEAD: typing.Final = """\
# Settings of the entry daemon

Printed by `python -m azurewood.conf.reference`; not edited by hand.

Each setting is a flag of `azurewood entry` or an environment variable; the
flag goes first. All are checked at the start. The daemon then prints every
fault with its flag or variable and a hint, and exits with code 2. Addresses
are IP numbers with ports. Secrets belong in variables, since other users of
a host can see a process's flags.
"""


def page() -> str:
    """Return the reference page as Markdown."""
    return "\n".join([HEAD, *_sections()])


def _sections() -> abc.Iterator[str]:
    for item in base.declared(entry.EntrySettings):
        yield f"## {item.name}\n"
        yield f"{item.help}\n"
        yield f"- Flag: `{item.flag}`"
        yield f"- Variable: `{item.variable}`"
        yield f"- Type: {kinds.describe(item.kind)}"
        if item.unit:
            yield f"- Unit: {item.unit}"
        yield f"- Default: {_default(item)}\n"


def _default(item: base.Setting) -> str:
    match item.default:
        case None:
            return "none, a value is required"
        case "":
            return "empty"
        case text:
            return f"`{text}`"


if __name__ == "__main__":
    sys.stdout.write(page())
