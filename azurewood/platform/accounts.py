"""Decodes the configuration's client accounts.

The texts of errors name the place of a fault but no value, because any value
may be a key.
"""

from collections import abc
import dataclasses
import re
import typing

import msgspec

from azurewood.conf import decoding
from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.platform import exceptions

T = typing.TypeVar("T")
_Entries = list[msgspec.Raw]
_PLACE: typing.Final = re.compile(r"`\$(\S*)`$")
"""The place at the end of msgspec's texts, whose other parts are not used."""
_MISSING: typing.Final = re.compile(
    r"Object missing required field `([a-z_]+)`"
)
"""The beginning of msgspec's text about a declared field that is absent."""


class _Amount(msgspec.Struct):
    cpu: decoding.Integer = 0
    mem_mb: decoding.Integer = 0
    gpu: decoding.Integer = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: decoding.Integer = 0
    weight: decoding.Finite = 1.0
    max_count: _Amount = msgspec.field(default_factory=_Amount)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """What is wrong at a place of the list, such as ``[2].weight``."""

    place: str
    reason: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Reading:
    """The faultless accounts of a list with their numbers, and all faults.

    ``digests`` are those of the keys of all entries that could be decoded.
    """

    accounts: list[tuple[int, catalog.Account]] = dataclasses.field(
        default_factory=list
    )
    faults: list[Fault] = dataclasses.field(default_factory=list)
    digests: set[bytes] = dataclasses.field(default_factory=set, repr=False)


def decode(data: bytes) -> dict[str, catalog.Account]:
    """Return the accounts of a configuration, by name.

    Raise ``InvalidMessage`` with the first fault if the list is malformed.
    """
    found = read(data)
    if found.faults:
        fault = found.faults[0]
        at = f" at {fault.place}" if fault.place else ""
        raise exceptions.InvalidMessage(
            f"malformed list of accounts: {fault.reason}{at}"
        )
    return {account.name: account for _, account in found.accounts}


def read(data: bytes) -> Reading:
    """Return the accounts of a list and everything that is wrong with it."""
    found = Reading()
    names: set[str] = set()
    for number, raw in enumerate(_decode(found, data, _Entries, "") or ()):
        place = f"[{number}]"
        tenant = _decode(found, bytes(raw), _Tenant, place)
        if tenant is None:
            continue
        account = _account(tenant)
        reasons = list(_faults(tenant))
        if account.name in names:
            reasons.append("its name is used twice")
        if found.digests & account.key_digests:
            reasons.append("another account has the same key")
        names.add(account.name)
        found.digests |= account.key_digests
        found.faults += [Fault(place=place, reason=text) for text in reasons]
        if not reasons:
            found.accounts.append((number, account))
    return found


def _decode(
    found: Reading, data: bytes, kind: type[T], place: str
) -> T | None:
    """Return a value, or None after noting a fault without any value."""
    try:
        return decoding.decode_json(data, kind)
    except decoding.MalformedData as exc:
        text = str(exc)
        within = _PLACE.search(text)
        at = place + (within[1] if within else "")
        missing = _MISSING.match(text)
        reason = f"no {missing[1]}" if missing else "wrong type or range"
        found.faults.append(Fault(place=at, reason=reason))
        return None


def _faults(tenant: _Tenant) -> abc.Iterator[str]:
    if not tenant.name:
        yield "its name is empty"
    if not all(tenant.api_keys):
        yield "a key is empty"
    if tenant.weight < 0:
        yield "its weight is negative"
    limit = tenant.max_count
    if min(limit.cpu, limit.mem_mb, limit.gpu) < 0:
        yield "its limit is negative"


def _account(tenant: _Tenant) -> catalog.Account:
    limit = tenant.max_count
    return catalog.Account(
        name=tenant.name,
        key_digests=frozenset(map(catalog.key_digest, tenant.api_keys)),
        priority=tenant.priority,
        weight=tenant.weight,
        limit=model.Resources(limit.cpu, limit.mem_mb, limit.gpu),
    )
