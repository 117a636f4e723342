"""Tables of recorded runs as Markdown, set into a page between markers.

A marker names a run and a table: ``<!-- table: capacity/fold -->``. What
stands between it and ``<!-- end -->`` is written anew.
"""

import re
import typing

from benchmarks.capacity import results

MARKER = re.compile(
    r"(<!-- table: ([\w-]+)/([\w-]+) -->\n).*?(<!-- end -->)", re.DOTALL
)
SIGNIFICANT_DIGITS = 3


def cell(value: results.Cell) -> str:
    """Format a cell: three significant digits, thousands with commas."""
    match value:
        case str():
            return value
        case int():
            return f"{value:,}"
    if value == 0:
        return "0"
    rounded = float(f"{value:.{SIGNIFICANT_DIGITS}g}")
    if abs(rounded) >= 100:
        return f"{rounded:,.0f}"
    return f"{rounded:.10f}".rstrip("0").rstrip(".")


def table(run: results.Run, name: str) -> str:
    """Render one table with its fits and the run it comes from."""
    found = run.tables[name]
    head = [
        f"{found.title} (run `{run.name}`)",
        "",
        _row(found.columns),
        _row(["---"] * len(found.columns)),
    ]
    body = [_row([cell(value) for value in row]) for row in found.rows]
    return "\n".join([*head, *body, *_notes(found)]) + "\n"


def _row(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _notes(found: results.Table) -> typing.Iterator[str]:
    if found.note:
        yield from ("", found.note)
    if not found.fits:
        return
    yield ""
    for fit in found.fits:
        yield (
            f"- {fit.y} = {cell(fit.intercept)} + {cell(fit.slope)} × "
            f"{fit.x}; largest residual {cell(100 * fit.worst)}% of the "
            "largest value"
        )


def page(text: str, runs: dict[str, results.Run]) -> str:
    """Write the tables of a page anew; raise ``KeyError`` for no table."""

    def replace(match: re.Match) -> str:
        start, run, name, end = match.groups()
        return start + table(runs[run], name) + end

    return MARKER.sub(replace, text)
