"""Settings of the entry daemon."""

from collections import abc
import dataclasses
import ipaddress
import os
import typing

from azurewood.checks import base as checks
from azurewood.conf import base
from azurewood.conf import kinds

KIB: typing.Final = 1024
MIB: typing.Final = 1024 * KIB
HOUR_MS: typing.Final = 3600 * 1000
TAG: typing.Final = "settings.entry"

HTTP: typing.Final = ("http", "https")
TCP: typing.Final = ("tcp",)
LOG_LEVELS: typing.Final = ("debug", "info", "warning", "error")
LOG_FORMATS: typing.Final = ("json", "text")


@dataclasses.dataclass(slots=True, kw_only=True)
class EntrySettings:
    """Settings with which an entry daemon is started."""

    CHECKS: typing.ClassVar[str] = TAG

    zone: str = base.setting(
        kind=kinds.Name(), help="Availability zone of this daemon."
    )
    name: str = base.setting(
        kind=kinds.Name(),
        help="Name of this daemon, which no other one has.",
    )
    listen: kinds.Address = base.setting(
        kind=kinds.Listen(),
        default="127.0.0.1:8080",
        help="Where callers' requests are accepted.",
    )
    operators_listen: kinds.Address = base.setting(
        kind=kinds.Listen(),
        default="127.0.0.1:8081",
        help="Where operators' requests are accepted.",
    )
    peers_listen: str = base.setting(
        kind=kinds.Url(schemes=TCP),
        default="tcp://127.0.0.1:8082",
        help="Where peers' messages are accepted; announced to the peers.",
    )
    peers: tuple[str, ...] = base.setting(
        kind=kinds.Urls(schemes=TCP),
        default="",
        help="Some daemons to find all the others by.",
    )
    platform_url: str = base.setting(
        kind=kinds.Url(schemes=HTTP), help="The platform's interface."
    )
    stream: str = base.setting(
        kind=kinds.Name(),
        default="azurewood",
        help="Stream of the platform's log that holds the agreed state.",
    )
    operators_token: str = base.setting(
        kind=kinds.Secret(minimum=16),
        help="Token that operators' requests have to carry.",
    )
    peers_key: str = base.setting(
        kind=kinds.Secret(minimum=16),
        help="Key that authenticates the messages between daemons.",
    )
    tls_certificate: str | None = base.setting(
        kind=kinds.FilePath(),
        default="",
        help="TLS certificate of the callers' and operators' interfaces.",
    )
    tls_key: str | None = base.setting(
        kind=kinds.FilePath(),
        default="",
        help="Private key of the TLS certificate.",
    )
    statsd: kinds.Address | None = base.setting(
        kind=kinds.Listen(),
        default="",
        help="Where metrics are sent over UDP; off if empty.",
    )
    log_level: str = base.setting(
        kind=kinds.Choice(choices=LOG_LEVELS),
        default="info",
        help="Lowest level that is logged.",
    )
    log_format: str = base.setting(
        kind=kinds.Choice(choices=LOG_FORMATS),
        default="json",
        help="Form of the log's lines on the standard error stream.",
    )
    threads: int = base.setting(
        kind=kinds.Number(low=1, high=4096),
        default="192",
        unit="threads",
        help="Callers' requests in hand at once, those that wait included.",
    )
    max_body_bytes: int = base.setting(
        kind=kinds.Number(low=0, high=1024 * MIB),
        default=str(8 * MIB),
        unit="bytes",
        help="Largest body of a caller's request.",
    )
    max_header_bytes: int = base.setting(
        kind=kinds.Number(low=KIB, high=MIB),
        default=str(32 * KIB),
        unit="bytes",
        help="Largest header of a caller's request.",
    )
    sender_timeout_ms: int = base.setting(
        kind=kinds.Number(low=1, high=HOUR_MS),
        default="10000",
        unit="ms",
        help="How long a caller may send nothing in the midst of a request.",
    )
    heartbeat_ms: int = base.setting(
        kind=kinds.Number(low=10, high=HOUR_MS),
        default="250",
        unit="ms",
        help="Time between heartbeats to peers.",
    )
    peer_timeout_ms: int = base.setting(
        kind=kinds.Number(low=10, high=HOUR_MS),
        default="1000",
        unit="ms",
        help="Silence after which a peer is taken for dead.",
    )
    drain_timeout_ms: int = base.setting(
        kind=kinds.Number(low=0, high=HOUR_MS),
        default="30000",
        unit="ms",
        help="How long a stopping daemon finishes the requests in hand.",
    )
    queue_count: int = base.setting(
        kind=kinds.Number(low=0, high=1000000),
        default="128",
        unit="requests",
        help="Requests that may wait for a slot.",
    )
    queue_bytes: int = base.setting(
        kind=kinds.Number(low=0, high=1024 * MIB),
        default=str(64 * MIB),
        unit="bytes",
        help="Bodies of waiting requests that may be held, in all.",
    )
    snapshot_records: int = base.setting(
        kind=kinds.Number(low=1, high=1000000),
        default="1000",
        unit="records",
        help="Records of the stream from one snapshot to the next.",
    )


def _finding(
    subject: base.Candidate, name: str, message: str, hint: str = ""
) -> checks.Finding:
    return checks.Finding(
        id="azurewood.E203",
        message=message,
        place=subject.places[name],
        hint=hint,
    )


@checks.register(TAG)
def check_listeners(
    subject: base.Candidate,
) -> abc.Iterator[checks.Finding]:
    """Check that listeners differ and that peers can reach this daemon.

    The address of ``peers_listen`` is announced to the peers, so it must not
    be the unspecified address, such as 0.0.0.0.
    """
    settings = subject.settings
    listeners = {
        name: str(getattr(settings, name)).removeprefix("tcp://")
        for name in ("listen", "operators_listen", "peers_listen")
        if subject.readable(name)
    }
    holders: dict[str, str] = {}
    for name, address in listeners.items():
        if address in holders:
            message = (
                f"{name} is the same address as {holders[address]}: {address}"
            )
            yield _finding(subject, name, message)
        holders.setdefault(address, name)
    if "peers_listen" not in listeners:
        return
    announced = kinds.parse_address(listeners["peers_listen"])
    if ipaddress.ip_address(announced.host).is_unspecified:
        yield _finding(
            subject,
            "peers_listen",
            f"peers cannot reach {announced}",
            "set it to the IP address of this host",
        )


@checks.register(TAG)
def check_peer_timeout(
    subject: base.Candidate,
) -> abc.Iterator[checks.Finding]:
    """Check that the loss of one heartbeat does not time out a peer."""
    if not subject.readable("heartbeat_ms", "peer_timeout_ms"):
        return
    least = 2 * subject.settings.heartbeat_ms
    if subject.settings.peer_timeout_ms < least:
        yield _finding(
            subject,
            "peer_timeout_ms",
            f"peer_timeout_ms {subject.settings.peer_timeout_ms} is less "
            f"than two heartbeats, {least}",
        )


@checks.register(TAG)
def check_tls(subject: base.Candidate) -> abc.Iterator[checks.Finding]:
    """Check that certificate and key are given together and readable."""
    given = []
    for name in ("tls_certificate", "tls_key"):
        path = getattr(subject.settings, name)
        if path is None:
            continue
        given.append(name)
        if not os.path.isfile(path) or not os.access(path, os.R_OK):
            message = f"{name} {path!r} is not a readable file"
            yield _finding(subject, name, message)
    if len(given) == 1:
        yield _finding(
            subject,
            given[0],
            f"{given[0]} is set without its counterpart",
            "set tls_certificate and tls_key, or neither",
        )
