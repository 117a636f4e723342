"""The agreed state: what every daemon derives from the log, the same.

It changes only by ``azurewood.state.fold``. Times in it are the platform's
append times, in milliseconds, never a daemon's own clock.
"""

import dataclasses
import enum
import zlib

import msgspec

from azurewood.fleet import model
from azurewood.state import records


class HostPhase(enum.StrEnum):
    """Where a host stands between its pool, a move and maintenance."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    DOWN = "down"
    QUARANTINED = "quarantined"


class WavePhase(enum.StrEnum):
    """Where a maintenance wave stands."""

    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"


@dataclasses.dataclass(slots=True, kw_only=True)
class HostState:
    """A host's one pool and its phase.

    ``deadline_ms`` ends a drain; ``since_ms`` is when the phase began.
    ``task`` names the platform's task of the host's present job, which has
    failed ``failures`` times in a row.
    """

    name: str
    pool: str
    phase: HostPhase
    revision: int
    since_ms: int
    task: str = ""
    target: str = ""
    reason: str = ""
    deadline_ms: int = 0
    reboot: bool = False
    wave: str = ""
    failures: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class PresetState:
    """A preset and its revision."""

    preset: model.Preset
    revision: int


@dataclasses.dataclass(slots=True, kw_only=True)
class WaveState:
    """A maintenance wave: hosts to do, and hosts done."""

    name: str
    phase: WavePhase
    revision: int
    hosts: list[str]
    done: list[str]
    reason: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimState:
    """A claim on a request that runs at most once.

    ``attempt`` counts the claims after truthful refusals.
    """

    key: str
    service: str
    holder: str
    phase: records.ClaimPhase
    revision: int
    at_ms: int
    attempt: int = 1
    status: int = 0
    content_type: str = ""
    answer: bytes = b""
    request: str = ""
    digest: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class WriterState:
    """The last sequence number seen of a writer, and when.

    Verdicts up to the sequence number ``forgotten`` are no longer kept.
    """

    sequence: int
    at_ms: int
    forgotten: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Verdict:
    """What the fold said of one proposal."""

    writer: str
    sequence: int
    index: int
    object: str
    accepted: bool
    revision: int
    reason: str = ""
    ticket: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class Agreed:
    """The whole agreed state.

    ``revision`` counts accepted proposals and never falls. ``offset`` is
    the next offset of the log to fold, in ``incarnation``.
    ``hosts_revision`` is the revision of the last change of any host.
    ``seed_until_ms`` is the end of the log's seeding, 0 before any seed.
    """

    revision: int = 0
    incarnation: str = ""
    offset: int = 0
    at_ms: int = 0
    seed_until_ms: int = 0
    seeded_revision: int = 0
    fleet: model.Fleet | None = None
    fleet_revision: int = 0
    in_force: str = ""
    in_force_revision: int = 0
    presets: dict[str, PresetState] = dataclasses.field(default_factory=dict)
    hosts_revision: int = 0
    hosts: dict[str, HostState] = dataclasses.field(default_factory=dict)
    waves: dict[str, WaveState] = dataclasses.field(default_factory=dict)
    claims: dict[str, ClaimState] = dataclasses.field(default_factory=dict)
    writers: dict[str, WriterState] = dataclasses.field(default_factory=dict)
    verdicts: dict[str, Verdict] = dataclasses.field(default_factory=dict)


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(Agreed)


def encode(state: Agreed) -> bytes:
    """Encode the agreed state, equal states to equal bytes."""
    return _encoder.encode(state)


def pack(state: Agreed) -> bytes:
    """Encode and compress the agreed state for a snapshot."""
    return zlib.compress(encode(state))


def unpack(data: bytes, *, max_bytes: int = 64 << 20) -> Agreed:
    """Read a packed state of at most ``max_bytes``.

    Raise ``ValueError`` (of which ``msgspec.DecodeError`` is one) if it is
    malformed or too large.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, max_bytes)
    except zlib.error as exc:
        raise ValueError(f"snapshot cannot be inflated: {exc}") from exc
    if not inflater.eof:
        raise ValueError(f"snapshot is cut or over {max_bytes} bytes")
    return _decoder.decode(plain)
