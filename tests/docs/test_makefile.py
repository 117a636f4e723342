"""Every module that a Makefile target runs exists."""

import importlib.util
import pathlib
import re

import pytest

MAKEFILE = pathlib.Path(__file__).parents[2] / "Makefile"
MODULES = re.findall(r"/python -m ([\w.]+)", MAKEFILE.read_text())


@pytest.mark.parametrize("module", MODULES)
def test_module_is_there(module):
    assert importlib.util.find_spec(module) is not None


def test_the_targets_are_found():
    assert len(MODULES) >= 4
