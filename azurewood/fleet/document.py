"""Conversion of configuration documents between YAML text and a fleet.

The keys of a document are the fields of `azurewood.fleet.model.Fleet`. Two
short forms can also be read, see `azurewood.fleet.groups`.
"""

import dataclasses
import enum
import typing

import yaml

from azurewood.checks import base
from azurewood.fleet import checks
from azurewood.fleet import draft
from azurewood.fleet import exceptions
from azurewood.fleet import fields
from azurewood.fleet import model
from azurewood.fleet import nodes
from azurewood.fleet import ranges  # noqa: F401  (registers its checks)
from azurewood.fleet import reader

MAX_FINDINGS: typing.Final = 1000
Dumper = getattr(yaml, "CSafeDumper", yaml.SafeDumper)
POLICY_NAMES: typing.Final = {
    kind: name for name, kind in model.MOVE_POLICIES.items()
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Reading:
    """The result of reading a document.

    ``fleet`` is None if any finding is an error.
    """

    fleet: model.Fleet | None
    findings: list[base.Finding]


def read(text: str, source: str) -> Reading:
    """Read a document and return its fleet with all errors and warnings.

    ``source`` names the document in the places of findings.
    """
    try:
        root = nodes.compose(text, source)
    except exceptions.InvalidDocument as exc:
        return Reading(fleet=None, findings=exc.findings)
    parser = reader.Reader(source=source)
    fleet = parser.read(root, model.Fleet, ())
    findings = parser.findings
    if fleet is not None:
        subject = draft.Draft(source=source, fleet=fleet, lines=parser.lines)
        findings.extend(base.run(checks.TAG, subject))
    findings.sort(key=lambda found: _line(found.place))
    valid = fleet is not None and not base.errors(findings)
    return Reading(
        fleet=fleet if valid else None, findings=_truncate(findings, source)
    )


def load(text: str, source: str) -> model.Fleet:
    """Return the fleet that ``text`` describes.

    Raise InvalidDocument with all findings if any is an error.
    """
    reading = read(text, source)
    if reading.fleet is None:
        raise exceptions.InvalidDocument(reading.findings)
    return reading.fleet


def dump(fleet: model.Fleet) -> str:
    """Return ``fleet`` as YAML text that `load` reads as an equal fleet."""
    return yaml.dump(
        plain(fleet),
        Dumper=Dumper,
        default_flow_style=None,
        sort_keys=False,
        allow_unicode=True,
        width=78,
    )


def _truncate(findings: list[base.Finding], source: str) -> list[base.Finding]:
    """Return the first findings and one that counts the omitted ones.

    This bounds the report on a document with very many errors.
    """
    left = len(findings) - MAX_FINDINGS
    if left <= 0:
        return findings
    last = base.Finding(
        id="azurewood.E008",
        message=f"{left} further findings are not shown",
        place=f"{source}:{_line(findings[MAX_FINDINGS].place)}",
    )
    return [*findings[:MAX_FINDINGS], last]


def plain(value: typing.Any) -> typing.Any:
    """Return a value as plain data for YAML.

    Fields that have their default value are left out.
    """
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return [plain(item) for item in value]
    if not fields.is_object(value):
        return value
    policy = POLICY_NAMES.get(type(value))
    values = {} if policy is None else {reader.POLICY_KEY: policy}
    for field in fields.fields(value):
        item = getattr(value, field.name)
        if field.default is None or item != field.default():
            values[field.name] = plain(item)
    return values


def _line(place: str) -> int:
    return int(place.rpartition(":")[2])
