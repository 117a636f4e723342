import pathlib
import re

import pytest

from azurewood.fleet import fields
from azurewood.fleet import groups
from azurewood.fleet import model

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "reference" / "configuration.md").read_text()
SECTIONS = {
    "Top level": model.Fleet,
    "zones": model.Zone,
    "hosts": model.Host,
    "pools": groups.GroupedPool,
    "services": model.Service,
    "routes": model.Route,
    "teams": model.Team,
    "presets": model.Preset,
    "targets": model.PoolTarget,
    "maintenance": model.Maintenance,
}


def table_rows(title):
    section = re.split(rf"^#+ {title}$", PAGE, flags=re.M)[1]
    section = re.split(r"^#", section, maxsplit=1, flags=re.M)[0]
    for line in section.splitlines():
        if line.startswith("|") and "`" in line:
            yield [cell.strip(" `") for cell in line.strip("|").split("|")]


def defaults(kind):
    """Yield the name and the expected default of each field.

    The default is "" for a required field and None if it is not a scalar.
    """
    for field in fields.fields(kind):
        if field.default is None:
            yield field.name, ""
            continue
        default = field.default()
        if isinstance(default, bool | int | float):
            yield field.name, str(default).lower()
        else:
            yield field.name, None


@pytest.mark.parametrize("title", SECTIONS)
def test_each_section_lists_the_keys_with_their_defaults(title):
    documented = {row[0]: row[1] for row in table_rows(title)}
    expected = dict(defaults(SECTIONS[title]))
    assert set(documented) == set(expected)
    for name, default in expected.items():
        assert default is None or documented[name] == default


def test_move_policies_are_listed_with_their_defaults():
    documented = [tuple(row[:3]) for row in table_rows("moves")]
    assert documented == [
        (policy, name, default)
        for policy, kind in model.MOVE_POLICIES.items()
        for name, default in defaults(kind)
    ]


def test_the_ids_of_all_findings_are_listed():
    used = {
        id
        for path in (ROOT / "azurewood").rglob("*.py")
        for id in re.findall(r'"(azurewood\.E\d+)"', path.read_text())
    }
    assert [row[0] for row in table_rows("Findings")] == sorted(used)
