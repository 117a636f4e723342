"""The platform's names occur only in its adapter."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2] / "azurewood"
NAMES = (
    "machine-move",
    "machine-upkeep",
    "run-start",
    "run-stop",
    "log-append",
    "log-read",
    "log-newest",
    "log-join",
    "X-Fencing-Token",
    "X-Lease-Holder",
    "X-Target-Instance",
    "X-Deadline-Ms",
    "keyed.op",
    "keyed.servers",
    "keyed.status",
    "ack_cursor",
    "ended_runs",
    "last_checkpoint",
    "slo_factor",
    "slo_ms",
    'path_prefix"',
    "anti_affinity",
    "max_unavailable",
    "long_running",
    "enforce_capacity",
    "tranche",
    "mem_mb",
    "est_ms",
    'finish_by_s"',
    "page_token",
    "AZUREWOOD_SETTINGS",
)


def _sources():
    for path in sorted(ROOT.rglob("*.py")):
        if ROOT / "platform" not in path.parents:
            yield path


@pytest.mark.parametrize("name", NAMES)
def test_name_stays_in_the_adapter(name):
    word = re.compile(rf"\b{re.escape(name)}")
    found = [str(p) for p in _sources() if word.search(p.read_text())]
    assert found == []


def test_the_adapter_uses_the_names():
    text = "".join(p.read_text() for p in (ROOT / "platform").glob("*.py"))
    assert "machine-move" in text


def test_nothing_that_decides_imports_the_adapter():
    for package in ("policy", "scheduling", "jobs", "journal", "leadership"):
        for path in (ROOT / package).glob("*.py"):
            assert "azurewood.platform" not in path.read_text(), path
