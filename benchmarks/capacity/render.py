"""Render tables of stored runs as Markdown between markers of a page.

A marker names a run and a table: ``<!-- table: capacity/fold -->``. The
text between it and ``<!-- end -->`` is replaced.
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
    """Render one table with its fits and the name of its run."""
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
    """Replace the tables of a page.

    Raises ``KeyError`` if a run or table named by a marker is missing.
    """

    def replace(match: re.Match) -> str:
        start, run, name, end = match.groups()
        return start + table(runs[run], name) + end

    return MARKER.sub(replace, text)
