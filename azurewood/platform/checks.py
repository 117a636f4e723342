"""Checks the platform's settings file and deploy file before a deploy.

All findings of a file are reported together. A starting daemon reads the
same settings with `azurewood.platform.settings`, which raises an exception
at the first error.
"""

from collections import abc
import importlib.util
import tomllib
import typing

import msgspec

from azurewood.checks import base as checks
from azurewood.conf import decoding
from azurewood.conf import kinds
from azurewood.platform import settings

REQUIRED: typing.Final = ("node", "zone", "ip")
ADDRESSES: typing.Final = (
    ("listen", "front"),
    ("listen", "ready"),
    ("platform", "addr"),
    ("cloud", "addr"),
)
BOUNDS: typing.Final = ("grace_s", "lease_ms", "status_s")
LIMITS: typing.Final = ("cpu_share", "vcpus")
STORE: typing.Final = ("parts", "record_bytes")
MIN_GRACE_S: typing.Final = 3.0
"""Time that a daemon takes to stop.

It takes 2.5 s until the balancer sends no more callers to the daemon, and
0.5 s to shut down after that.
"""
SERVES_VALUES: typing.Final = frozenset({"edge", "control"})
SERVES_CALLERS: typing.Final = "edge"
"""Value of ``serves`` in the role that answers callers."""
MODULE_FLAG: typing.Final = "-m"

Findings = abc.Iterator[checks.Finding]


def settings_findings(text: bytes, path: str) -> list[checks.Finding]:
    """Return the findings about a settings file."""
    try:
        found = decoding.decode(msgspec.yaml.decode, text)
    except decoding.MalformedData as exc:
        return [_finding("E501", path, f"not YAML: {exc}")]
    if not isinstance(found, dict):
        return [_finding("E501", path, "not a mapping")]
    return list(_settings(found, path))


def _settings(found: dict[str, typing.Any], path: str) -> Findings:
    for name in REQUIRED:
        if not _is_text(found.get(name)):
            yield _finding("E502", f"{path}: {name}", "a text is needed")
    for section, name in ADDRESSES:
        value = _section(found, section).get(name)
        if not _is_address(value):
            yield _finding(
                "E503",
                f"{path}: {section}.{name}",
                f"{value!r} is not an address and a port",
            )
    advice = found.get("hint")
    if advice is not None and not _is_address(advice):
        yield _finding(
            "E503",
            f"{path}: hint",
            f"{advice!r} is not an address and a port",
        )
    yield from _numbers(found, "bounds", BOUNDS, path)
    yield from _grace(_section(found, "bounds"), path)
    yield from _numbers(found, "limits", LIMITS, path)
    yield from _numbers(found, "platform", STORE, path)


def _numbers(
    found: dict[str, typing.Any],
    section: str,
    names: tuple[str, ...],
    path: str,
) -> Findings:
    values = _section(found, section)
    for name in names:
        value = values.get(name, 1)
        is_number = isinstance(value, int | float)
        if not is_number or isinstance(value, bool) or value <= 0:
            yield _finding(
                "E504",
                f"{path}: {section}.{name}",
                f"{value!r} is not a number above 0",
            )


def _grace(bounds: dict[str, typing.Any], path: str) -> Findings:
    grace_s = bounds.get("grace_s")
    if isinstance(grace_s, int | float) and 0 < grace_s < MIN_GRACE_S:
        yield _finding(
            "W505",
            f"{path}: bounds.grace_s",
            f"a stop takes {MIN_GRACE_S} s; callers may be cut",
            severity=checks.Severity.WARNING,
        )


def deploy_findings(text: str, path: str) -> list[checks.Finding]:
    """Return the findings about a deploy file."""
    try:
        found = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return [_finding("E511", path, f"not TOML: {exc}")]
    return list(_deploy(found, path))


def _deploy(found: dict[str, typing.Any], path: str) -> Findings:
    if not _is_text(found.get("build")):
        yield _finding("E512", f"{path}: build", "a command is needed")
    roles = _section(found, "roles")
    serving = [
        name
        for name, role in roles.items()
        if isinstance(role, dict)
        and SERVES_CALLERS in _list_of_texts(role, "serves")
    ]
    if len(serving) != 1:
        yield _finding(
            "E513",
            f"{path}: roles",
            f"one role has to serve {SERVES_CALLERS!r}, {len(serving)} do",
        )
    for name, role in roles.items():
        place = f"{path}: roles.{name}"
        if isinstance(role, dict):
            yield from _role(role, place)
        else:
            yield _finding("E514", place, "a table is needed")


def _role(role: dict[str, typing.Any], place: str) -> Findings:
    yield from _run(role.get("run"), f"{place}.run")
    if not _is_text(role.get("on")):
        yield _finding("E515", f"{place}.on", "a class of machines is needed")
    unknown = sorted(set(_list_of_texts(role, "serves")) - SERVES_VALUES)
    if unknown:
        yield _finding("E516", f"{place}.serves", f"unknown: {unknown}")
    yield from _share(role, place)
    metrics = role.get("metrics")
    port = str(metrics).partition("/")[0]
    if metrics is not None and port != str(settings.METRICS_PORT):
        yield _finding(
            "E519",
            f"{place}.metrics",
            f"metrics are served on port {settings.METRICS_PORT}",
        )


def _run(value: typing.Any, place: str) -> Findings:
    words = value.split() if _is_text(value) else []
    if not words:
        yield _finding("E517", place, "a program is needed")
        return
    if MODULE_FLAG not in words[:-1]:
        return
    module = words[words.index(MODULE_FLAG) + 1]
    try:
        spec = importlib.util.find_spec(module)
    except ModuleNotFoundError:
        spec = None
    if spec is None:
        yield _finding("E517", place, f"there is no module {module}")


def _share(role: dict[str, typing.Any], place: str) -> Findings:
    present = [name for name in ("share", "count") if name in role]
    if len(present) != 1:
        yield _finding(
            "E518", place, "either a share or a count of machines is needed"
        )
        return
    value = role[present[0]]
    maximum = 1 if present[0] == "share" else float("inf")
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value <= maximum:
        yield _finding(
            "E518", f"{place}.{present[0]}", f"{value!r} is out of range"
        )


def _section(found: dict[str, typing.Any], name: str) -> dict:
    value = found.get(name)
    return value if isinstance(value, dict) else {}


def _list_of_texts(role: dict[str, typing.Any], name: str) -> list[str]:
    value = role.get(name, [])
    return [str(item) for item in value] if isinstance(value, list) else []


def _is_text(value: typing.Any) -> bool:
    return isinstance(value, str) and bool(value.strip())


def _is_address(value: typing.Any) -> bool:
    if not _is_text(value):
        return False
    host, _, port = value.rpartition(":")
    number = int(port) if kinds.PORT.fullmatch(port) else 0
    return bool(host) and 0 < number <= kinds.MAX_PORT


def _finding(
    number: str,
    place: str,
    message: str,
    severity: checks.Severity = checks.Severity.ERROR,
) -> checks.Finding:
    return checks.Finding(
        id=f"azurewood.{number}",
        message=message,
        place=place,
        severity=severity,
    )
