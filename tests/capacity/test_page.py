import pathlib
import re

import pytest

from benchmarks.capacity import __main__ as command
from benchmarks.capacity import render
from benchmarks.capacity import results

PAGE = command.PAGE
LINK = re.compile(r"\[[^\]]+\]\(([^)#]+)(?:#[^)]*)?\)")
NUMBER = re.compile(r"(?<![\w.-])\d[\d,]*(?:\.\d+)?(?![\w-])")
CODE = re.compile(r"```.*?```|`[^`]*`", re.DOTALL)


def runs():
    loaded = results.load_all(command.RESULTS)
    return {name: command.derived(run) for name, run in loaded.items()}


def test_derived_tables_follow_from_the_measured_ones():
    recorded = results.load(command.RESULTS / "capacity.json")
    again = results.load(command.RESULTS / "capacity.json")
    assert command.derived(again) == recorded


def prose(text):
    """Return the page without its tables, code and link targets."""
    text = render.MARKER.sub("", text)
    return re.sub(r"\]\([^)]*\)", "]", CODE.sub("", text))


def shown_figures(text):
    """Return all figures in the tables that the page shows."""
    found = set()
    recorded = runs()
    for match in render.MARKER.finditer(text):
        table = render.table(recorded[match[2]], match[3])
        found.update(NUMBER.findall(table))
    return found


def test_page_shows_the_recorded_tables():
    text = PAGE.read_text()
    assert render.page(text, runs()) == text


def test_a_changed_figure_is_found():
    text = PAGE.read_text()
    start = text.index("<!-- table: capacity/limits -->")
    place = NUMBER.search(text, text.index("| --- |", start)).start()
    changed = text[:place] + "9" + text[place:]
    assert render.page(changed, runs()) != changed


def test_figures_of_the_text_stand_in_its_tables():
    text = PAGE.read_text()
    figures = NUMBER.findall(prose(text))
    assert figures
    assert sorted(set(figures) - shown_figures(text)) == []


def test_what_exceeds_its_limit_is_said_first():
    text = PAGE.read_text()
    limits = runs()["capacity"].tables["limits"]
    exceeded = [row[0] for row in limits.rows if row[3] == "EXCEEDED"]
    first, _, rest = text.partition("\n## What is met")
    assert rest
    assert first.count("\n## ") == 1
    assert exceeded and "capacity/limits" in first


def test_links_resolve():
    links = LINK.findall(PAGE.read_text())
    assert links
    missing = [
        link
        for link in links
        if not link.startswith("http") and not (PAGE.parent / link).exists()
    ]
    assert missing == []


@pytest.mark.parametrize("name", ["before", "capacity"])
def test_every_run_names_its_command_and_commit(name):
    run = runs()[name]
    assert re.fullmatch(r"[0-9a-f]{10}", run.commit)
    assert run.command.startswith("python -m benchmarks.capacity")


def test_slopes_are_measured_at_four_or_more_sizes():
    run = runs()["capacity"]
    fitted = [table for table in run.tables.values() if table.fits]
    assert len(fitted) >= 12
    for table in fitted:
        assert len(set(table.column(table.fits[0].x))) >= 4, table.name


def test_a_fit_shows_its_worst_residual():
    table = results.Table(
        name="t",
        title="t",
        columns=["x", "y"],
        rows=[[0, 1], [1, 3], [2, 5], [3, 11]],
    )
    table.add_fit("x", "y")
    fit = table.fit("y")
    assert fit.slope == pytest.approx(3.2)
    assert fit.worst == pytest.approx(1.6 / 11)


def test_the_results_are_in_the_tree():
    root = pathlib.Path(command.ROOT)
    assert command.RESULTS.is_relative_to(root / "benchmarks" / "results")
