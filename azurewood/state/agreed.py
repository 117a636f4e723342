"""The agreed state, which every daemon derives identically from the log.

Only ``azurewood.state.fold`` changes it. Its times are the append times that
the platform assigns to records, in milliseconds; a daemon's own clock is
never used, because it would differ between daemons.
"""

import dataclasses
import enum
import zlib

import msgspec

from azurewood.conf import decoding
from azurewood.fleet import model
from azurewood.state import records


class HostPhase(enum.StrEnum):
    """The phase of a host in its pool, in a move or in maintenance."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    DOWN = "down"
    QUARANTINED = "quarantined"


class WavePhase(enum.StrEnum):
    """The phase of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"


@dataclasses.dataclass(slots=True, kw_only=True)
class HostState:
    """A host's pool and phase.

    A host belongs to exactly one pool. ``since_ms`` is when the phase began
    and ``deadline_ms`` when a drain ends at the latest. ``task`` is the id
    of the platform task that runs the host's current job; ``failures``
    counts the consecutive failures of that job.
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
    """A maintenance wave: all of its hosts, and those already done."""

    name: str
    phase: WavePhase
    revision: int
    hosts: list[str]
    done: list[str]
    reason: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimState:
    """A claim on a request that may run at most once.

    ``attempt`` counts the claims on this key. A request may be claimed again
    only after its holder has recorded that it did not run.
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
    """The last sequence number of a writer, and when it was appended.

    Verdicts up to the sequence number ``forgotten`` have been dropped.
    """

    sequence: int
    at_ms: int
    forgotten: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Verdict:
    """Whether the fold accepted a proposal, and the reason if it did not."""

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

    ``revision`` counts accepted proposals and never decreases. ``offset`` is
    the next offset to fold of the log's incarnation ``incarnation``.
    ``hosts_revision`` is the revision of the last change to any host.
    ``seed_until_ms`` is the end of the window in which the log may be
    seeded; it is 0 until the first seed.
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
    """Encode the agreed state; equal states give equal bytes."""
    return _encoder.encode(state)


def pack(state: Agreed) -> bytes:
    """Encode and compress the agreed state for a snapshot."""
    return zlib.compress(encode(state))


def unpack(data: bytes, *, max_bytes: int = 64 << 20) -> Agreed:
    """Decode a packed state of at most ``max_bytes`` uncompressed bytes.

    Raise ``ValueError`` if it is malformed or too large;
    ``decoding.MalformedData`` is a subclass of it.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, max_bytes)
    except zlib.error as exc:
        raise ValueError(f"snapshot cannot be decompressed: {exc}") from exc
    if not inflater.eof:
        raise ValueError(f"snapshot is truncated or exceeds {max_bytes} bytes")
    return decoding.decode(_decoder.decode, plain)
