"""Decodes the operators' manifest into a catalog of queues and pools."""

import msgspec

from azurewood.conf import decoding
from azurewood.jobs import catalog
from azurewood.platform import accounts
from azurewood.platform import exceptions


class _Hint(msgspec.Struct):
    decision_ms: decoding.Integer = 0
    per_item_ms: decoding.Integer = 0
    validity_ms: decoding.Integer = 0


class _Route(msgspec.Struct):
    """A queue; ``slo_factor`` and ``slo_ms`` define its latency objective."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: decoding.Integer = 0
    attempts: decoding.Integer = 1
    slo_factor: decoding.Finite = 1.0
    slo_ms: decoding.Integer = 0
    hint: _Hint | None = None
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    enforce_capacity: bool = False
    standby: bool = False


class _Limits(msgspec.Struct):
    body_bytes: decoding.Integer = catalog.DEFAULT_BODY_BYTES


class _Manifest(msgspec.Struct):
    """``tenants`` is decoded separately, as errors must not quote keys."""

    version: decoding.Integer
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


def decode(data: bytes) -> catalog.Catalog:
    """Return the catalog of a manifest.

    Raise ``InvalidMessage`` if the manifest is malformed. Without the field
    ``tenants`` there are no accounts, and calls need no key.
    """
    try:
        found = decoding.decode_json(data, _Manifest)
    except decoding.MalformedData as exc:
        raise exceptions.InvalidMessage(f"malformed manifest: {exc}") from exc
    return catalog.Catalog(
        version=found.version,
        queues={route.name: _queue(route) for route in found.routes},
        pools={service.name: _pool(service) for service in found.services},
        body_bytes=found.limits.body_bytes,
        accounts=_accounts(found.tenants),
    )


def decode_queue(data: bytes) -> catalog.Queue:
    """Return the queue of one entry of a manifest.

    Raise ``MalformedData`` if it is malformed.
    """
    return _queue(decoding.decode_json(data, _Route))


def decode_pool(data: bytes) -> catalog.Pool:
    """Return the pool of one entry of a manifest.

    Raise ``MalformedData`` if it is malformed.
    """
    return _pool(decoding.decode_json(data, _Service))


def _accounts(
    tenants: msgspec.Raw | msgspec.UnsetType,
) -> dict[str, catalog.Account] | None:
    if isinstance(tenants, msgspec.UnsetType):
        return None
    return accounts.decode(bytes(tenants))


def _pool(service: _Service) -> catalog.Pool:
    return catalog.Pool(
        name=service.name,
        enforces_capacity=service.enforce_capacity,
        standby=service.standby,
    )


def _queue(route: _Route) -> catalog.Queue:
    return catalog.Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        attempts=max(1, route.attempts),
        objective_factor=route.slo_factor,
        objective_ms=route.slo_ms,
        advice=_advice(route.hint),
        public=route.public,
    )


def _advice(hint: _Hint | None) -> catalog.Advice | None:
    if hint is None:
        return None
    return catalog.Advice(
        decision_ms=hint.decision_ms,
        per_host_ms=hint.per_item_ms,
        validity_ms=hint.validity_ms,
    )
