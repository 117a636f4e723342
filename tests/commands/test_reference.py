import pathlib

from azurewood.commands import reference

PAGE = pathlib.Path(__file__).parents[2] / "docs/reference/commands.md"


def test_the_committed_page_equals_the_generated_page():
    assert PAGE.read_text(encoding="utf-8") == reference.page()
