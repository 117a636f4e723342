"""Deselect the tests listed in KNOWN-RED.txt in CI, and print them."""

import os
import pathlib
import re

LIST = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
ENTRY = re.compile(r"^test: (\S+)$", re.MULTILINE)


def pytest_collection_modifyitems(config, items):
    """Deselect exactly the listed tests, and only if CI is "true"."""
    if os.environ.get("CI") != "true" or not LIST.exists():
        return
    known = set(ENTRY.findall(LIST.read_text(encoding="utf-8")))
    red = [item for item in items if item.nodeid in known]
    items[:] = [item for item in items if item.nodeid not in known]
    config.hook.pytest_deselected(items=red)
    for item in red:
        print(f"known red, passed over: {item.nodeid}")
