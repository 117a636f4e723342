"""Reads a manifest file for its checks, with all faults and their places.

A daemon decodes the same entries with `azurewood.platform.catalogs`, which
raises an exception at the first fault.
"""

from collections import abc
import dataclasses
import re
import typing

import msgspec

from azurewood.checks import base as checks
from azurewood.checks import manifest_changes
from azurewood.checks import manifests
from azurewood.conf import decoding
from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.platform import accounts
from azurewood.platform import catalogs
from azurewood.platform import exceptions

FIELDS: typing.Final = {
    "objective_factor": "slo_factor",
    "objective_ms": "slo_ms",
    "advice": "hint",
    "enforces_capacity": "enforce_capacity",
    manifest_changes.KEYS: "api_keys",
    "limit": "max_count",
}
"""Names in the file of the fields whose names differ."""
ACCOUNT_ERRORS: typing.Final = frozenset(
    f"azurewood.{number}" for number in ("E523", "E527")
)
NO_KEYS: typing.Final = "azurewood.W535"
_PLACE: typing.Final = re.compile(r" - at `\$(\S*)`$")

_Fields = dict[str, msgspec.Raw]
T = typing.TypeVar("T")


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Reading:
    """What was read of a file.

    ``is_object`` is whether it is a JSON object, so that it has entries.
    """

    draft: manifests.Draft
    findings: list[checks.Finding]
    is_object: bool = True


def check(
    data: bytes, path: str, task: model.Resources = manifests.DEFAULT_TASK
) -> Reading:
    """Return the entries of a file and all findings about it."""
    reading = read(data, path, task)
    if reading.is_object:
        found = checks.run(manifests.TAG, reading.draft)
        if any(item.id in ACCOUNT_ERRORS for item in reading.findings):
            # The draft lacks the accounts that have errors.
            found = [item for item in found if item.id != NO_KEYS]
        reading.findings.extend(found)
    return reading


def compare(
    old: Reading, new: Reading
) -> tuple[list[manifest_changes.Difference], list[checks.Finding]]:
    """Return what differs between two files, and what is wrong with that."""
    found = [
        dataclasses.replace(item, field=FIELDS.get(item.field, item.field))
        for item in manifest_changes.differences(old.draft, new.draft)
    ]
    change = manifests.Change(
        old=old.draft, new=new.draft, differs=bool(found)
    )
    findings = checks.run(manifests.CHANGE_TAG, change)
    if checks.errors(old.findings):
        findings.append(
            manifests.warning(
                "540",
                old.draft.path,
                "it has errors; entries that cannot be read count as absent",
            )
        )
    return found, findings


def read(
    data: bytes, path: str, task: model.Resources = manifests.DEFAULT_TASK
) -> Reading:
    """Return the readable entries of a file, and why others are not."""
    try:
        found = decoding.decode_json(data, _Fields)
    except decoding.MalformedData as exc:
        finding = manifests.error("521", path, f"no JSON object: {exc}")
        draft = manifests.Draft(path=path)
        return Reading(draft=draft, findings=[finding], is_object=False)
    findings: list[checks.Finding] = []
    reader = _Reader(path=path, found=found, findings=findings)
    own, digests = reader.accounts()
    draft = manifests.Draft(
        path=path,
        version=reader.version(),
        queues=reader.entries("routes", catalogs.decode_queue),
        pools=reader.entries("services", catalogs.decode_pool),
        accounts=own,
        task=task,
    )
    findings.extend(_names(draft, digests))
    findings.extend(_rejection(data, path, findings))
    return Reading(draft=draft, findings=findings)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Reader:
    """Reads the fields of a manifest and collects the findings."""

    path: str
    found: _Fields
    findings: list[checks.Finding]

    def version(self) -> int | None:
        """Return the version, None if it is missing or malformed."""
        if "version" not in self.found:
            self._fault("version", "it is missing")
            return None
        return self._value("version", self.found["version"], _decode_version)

    def entries(
        self, name: str, decode: abc.Callable[[bytes], T]
    ) -> list[manifests.Entry[T]]:
        """Return the readable entries of a list that has to be there."""
        if name not in self.found:
            self._fault(name, "it is missing")
            return []
        raw = self._value(name, self.found[name], _decode_list)
        entries = []
        for number, data in enumerate(raw or ()):
            place = f"{name}[{number}]"
            item = self._value(place, data, decode)
            if item is not None:
                place = f"{self.path}: {place}"
                entries.append(manifests.Entry(place=place, item=item))
        return entries

    def accounts(
        self,
    ) -> tuple[list[manifests.Entry[catalog.Account]] | None, set[bytes]]:
        """Return the readable accounts, and the digests of all their keys."""
        if "tenants" not in self.found:
            return None, set()
        found = accounts.read(bytes(self.found["tenants"]))
        for fault in found.faults:
            place = f"{self.path}: tenants{fault.place}"
            self.findings.append(manifests.error("523", place, fault.reason))
        entries = [
            manifests.Entry(
                place=f"{self.path}: tenants[{number}]", item=account
            )
            for number, account in found.accounts
        ]
        return entries, found.digests

    def _value(
        self,
        place: str,
        raw: msgspec.Raw,
        decode: abc.Callable[[bytes], T],
    ) -> T | None:
        try:
            return decode(bytes(raw))
        except decoding.MalformedData as exc:
            text = str(exc)
            match = _PLACE.search(text)
            within = match[1] if match else ""
            self._fault(place + within, _PLACE.sub("", text))
            return None

    def _fault(self, place: str, message: str) -> None:
        place = f"{self.path}: {place}"
        self.findings.append(manifests.error("522", place, message))


def _decode_version(data: bytes) -> int:
    return decoding.decode_json(data, decoding.Integer)


def _decode_list(data: bytes) -> list[msgspec.Raw]:
    return decoding.decode_json(data, list[msgspec.Raw])


def _names(
    draft: manifests.Draft, digests: set[bytes]
) -> abc.Iterator[checks.Finding]:
    """Yield entries whose name is a key, and leave them out of the draft.

    Names are printed, keys must not be.
    """
    for entries in (draft.queues, draft.pools, draft.accounts or []):
        for entry in list(entries):
            texts = [entry.item.name, getattr(entry.item, "service", "")]
            if digests & set(map(catalog.key_digest, filter(None, texts))):
                entries.remove(entry)
                yield manifests.error("527", entry.place, "a name is a key")


def _rejection(
    data: bytes, path: str, findings: list[checks.Finding]
) -> abc.Iterator[checks.Finding]:
    """Yield why a daemon rejects a file in which no other fault was found."""
    if checks.errors(findings):
        return
    try:
        catalogs.decode(data)
    except exceptions.InvalidMessage as exc:
        yield manifests.error("522", path, str(exc))
