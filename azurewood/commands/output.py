"""Tables and JSON on standard output, progress on standard error."""

from collections import abc
import typing

import click
import msgspec

GAP = "  "


def table(header: abc.Sequence[str], rows: abc.Iterable[abc.Sequence]) -> None:
    """Print a table of rows under a header."""
    click.echo(render(header, rows))


def render(header: abc.Sequence[str], rows: abc.Iterable[abc.Sequence]) -> str:
    """Return a table of rows under a header, with aligned columns."""
    cells = [tuple(header), *(tuple(map(_text, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def _text(value: typing.Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.3f}"
        case None | "":
            return "-"
        case _:
            return str(value)


def json(value: typing.Any) -> None:
    """Print a value as indented JSON."""
    data = msgspec.json.encode(value)
    click.echo(msgspec.json.format(data, indent=2).decode())


def progress(text: str) -> None:
    """Print a line on the standard error stream."""
    click.echo(text, err=True)
