"""Decodes the configuration's client accounts.

The texts of errors name the place of a fault but no value, because any value
may be a key.
"""

from collections import abc
import re
import typing

import msgspec

from azurewood.conf import decoding
from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.platform import exceptions

_PLACE: typing.Final = re.compile(r"`\$(\S*)`$")
"""The place at the end of msgspec's texts, whose other parts are not used."""


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


def decode(data: bytes) -> dict[str, catalog.Account]:
    """Return the accounts of a configuration, by name.

    Raise ``InvalidMessage`` if the list is malformed.
    """
    try:
        tenants = decoding.decode_json(data, list[_Tenant])
    except decoding.MalformedData as exc:
        place = _PLACE.search(str(exc))
        at = f" at {place[1]}" if place else ""
        # The text of ``exc`` may quote a value, so it is not chained.
        raise _malformed(f"wrong type or range{at}") from None
    accounts: dict[str, catalog.Account] = {}
    digests: set[bytes] = set()
    for number, tenant in enumerate(tenants):
        fault = next(_faults(tenant), "")
        account = _account(tenant)
        if not fault and account.name in accounts:
            fault = "its name is used twice"
        if not fault and digests & account.key_digests:
            fault = "another account has the same key"
        if fault:
            raise _malformed(f"entry {number}: {fault}")
        accounts[account.name] = account
        digests |= account.key_digests
    return accounts


def _malformed(reason: str) -> exceptions.InvalidMessage:
    return exceptions.InvalidMessage(f"malformed list of accounts: {reason}")


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
