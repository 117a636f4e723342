"""Reads the settings file, a YAML mapping that the platform writes.

Fields that are not declared here are ignored.
"""

import functools
import pathlib
import typing

import msgspec

from azurewood.conf import decoding
from azurewood.conf import fleet
from azurewood.conf import kinds
from azurewood.platform import exceptions

VARIABLE: typing.Final = "AZUREWOOD_SETTINGS"
"""Environment variable with the path of the settings file."""
METRICS_PORT: typing.Final = 9464
"""Port that serves metrics; the deploy file has to name the same one."""


class _Listen(msgspec.Struct):
    front: str
    ready: str
    control: str = ""


class _Service(msgspec.Struct):
    addr: str


class _Store(msgspec.Struct):
    """``parts`` is the largest number of partitions of a topic.

    A record has ``record_bytes`` at most.
    """

    addr: str
    parts: typing.Annotated[int, msgspec.Meta(ge=1)] = 1
    record_bytes: typing.Annotated[int, msgspec.Meta(ge=1)] = 262144


class _Bounds(msgspec.Struct):
    """``lease_ms`` is the minimum time between orders of two leaders.

    ``grace_s`` is the time from SIGTERM to SIGKILL. A job's state is shown
    for ``status_s`` after the job's end.
    """

    grace_s: float = 6.0
    lease_ms: int = 3000
    status_s: float = 120.0


class _Limits(msgspec.Struct):
    """The daemon has ``cpu_share`` of a core ``vcpus`` times as fast."""

    cpu_share: float = 0.0
    vcpus: float = 1.0


class _Settings(msgspec.Struct):
    """``platform`` is the store, ``cloud`` the service for machines.

    ``hint`` is the address of the advice service, None if there is none.
    """

    node: str
    zone: str
    ip: str
    listen: _Listen
    platform: _Store
    cloud: _Service
    hint: str | None = None
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder = functools.partial(msgspec.yaml.decode, type=_Settings)


def load(path: str) -> fleet.FleetSettings:
    """Return the settings in a file.

    Raise ``InvalidSettings`` if the file cannot be read or is not valid.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise exceptions.InvalidSettings(f"cannot read {path}: {exc}") from exc
    return parse(data)


def parse(data: bytes) -> fleet.FleetSettings:
    """Return the settings in a YAML text.

    Raise ``InvalidSettings`` if the text is not valid.
    """
    try:
        found = decoding.decode(_decoder, data)
    except decoding.MalformedData as exc:
        raise exceptions.InvalidSettings(f"invalid settings: {exc}") from exc
    return fleet.FleetSettings(
        name=found.node,
        zone=found.zone,
        front=_address("listen.front", found.listen.front),
        ready=_address("listen.ready", found.listen.ready),
        store_url=_url("platform.addr", found.platform.addr),
        machines_url=_url("cloud.addr", found.cloud.addr),
        advice_url=_url("hint", found.hint) if found.hint else "",
        stop_within_s=found.bounds.grace_s,
        turn_pause_s=found.bounds.lease_ms / 1000,
        retention_s=found.bounds.status_s,
        store_partitions=found.platform.parts,
        store_record_bytes=found.platform.record_bytes,
        cores=max(0.0, found.limits.cpu_share * found.limits.vcpus),
        metrics=kinds.Address(host=found.ip, port=METRICS_PORT),
    )


def _url(place: str, text: str) -> str:
    return f"http://{_address(place, text)}"


def _address(place: str, text: str) -> kinds.Address:
    host, _, port = text.rpartition(":")
    if not host or not kinds.PORT.fullmatch(port):
        raise exceptions.InvalidSettings(
            f"invalid settings: {place}: {text!r} is not HOST:PORT"
        )
    return kinds.Address(host=host.strip("[]"), port=int(port))
