"""Records of the platform's log, and the proposals that they contain.

A record is appended by one writer (a daemon's boot) with the writer's next
sequence number. Each proposal names an object, the revision of the object on
which it is based, and the change.

Objects are ``fleet``, ``in-force``, ``preset:NAME``, ``host:NAME``,
``wave:NAME`` and ``claim:KEY``.
"""

import enum

import msgspec

from azurewood.conf import decoding
from azurewood.fleet import model

FLEET = "fleet"
IN_FORCE = "in-force"
CLAIM_PREFIX = "claim:"


def preset_object(name: str) -> str:
    """Return the object name of a preset."""
    return f"preset:{name}"


def host_object(name: str) -> str:
    """Return the object name of a host."""
    return f"host:{name}"


def wave_object(name: str) -> str:
    """Return the object name of a maintenance wave."""
    return f"wave:{name}"


def claim_object(key: str) -> str:
    """Return the object name of a claim on a request."""
    return f"{CLAIM_PREFIX}{key}"


class Change(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """Base class of the changes that a proposal can make."""


class PublishFleet(Change, frozen=True, kw_only=True):
    """Put a configuration document in force.

    Known hosts keep their pool, and known presets stay unchanged.
    """

    fleet: model.Fleet


class EditPreset(Change, frozen=True, kw_only=True):
    """Create or replace a preset."""

    preset: model.Preset


class UsePreset(Change, frozen=True, kw_only=True):
    """Put a preset in force."""

    name: str


class MoveHost(Change, frozen=True, kw_only=True):
    """Begin a move: the host leaves its pool for another one.

    The drain ends at the latest ``drain_ms`` after the record's append.
    """

    to_pool: str
    reason: str
    drain_ms: int


class CancelMove(Change, frozen=True, kw_only=True):
    """Cancel a move whose host has not left its pool yet."""

    reason: str


class ReleaseHost(Change, frozen=True, kw_only=True):
    """Assign a host to its target pool, after its old job has stopped."""


class MarkServing(Change, frozen=True, kw_only=True):
    """Mark a host as serving, once its job runs and accepts requests."""


class DrainHost(Change, frozen=True, kw_only=True):
    """Begin a graceful shutdown of the host's job for maintenance.

    With ``reboot`` the host is rebooted after the drain and then returns.
    """

    reason: str
    drain_ms: int
    reboot: bool = True
    wave: str = ""


class MarkDown(Change, frozen=True, kw_only=True):
    """Mark a host as down, once its job has stopped for maintenance."""


class ReturnHost(Change, frozen=True, kw_only=True):
    """Return a drained, down or quarantined host to its pool."""

    reason: str


class RestartJob(Change, frozen=True, kw_only=True):
    """Start a host's job under a new task id, after the old task ended.

    ``failed`` is set if the job failed rather than being stopped.
    """

    reason: str
    failed: bool = True


class QuarantineHost(Change, frozen=True, kw_only=True):
    """Take a host on which every job fails out of service."""

    reason: str


class StartWave(Change, frozen=True, kw_only=True):
    """Start a maintenance wave over some hosts."""

    hosts: tuple[str, ...]


class PauseWave(Change, frozen=True, kw_only=True):
    """Pause a wave: drain none of its further hosts."""

    reason: str


class ResumeWave(Change, frozen=True, kw_only=True):
    """Resume a paused wave."""


class Claim(Change, frozen=True, kw_only=True):
    """Claim the right to run a request that runs at most once.

    ``request`` is the id that the claiming daemon gave to the request;
    ``digest`` distinguishes different requests with the same key.
    """

    service: str
    request: str = ""
    digest: str = ""


class ClaimPhase(enum.StrEnum):
    """What is known about the execution of a claimed request."""

    HELD = "held"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class SettleClaim(Change, frozen=True, kw_only=True):
    """Record the outcome of a claimed request, with its answer.

    ``answer`` is empty if the answer was too long to store.
    """

    phase: ClaimPhase
    status: int = 0
    content_type: str = ""
    answer: bytes = b""


AnyChange = (
    PublishFleet
    | EditPreset
    | UsePreset
    | MoveHost
    | CancelMove
    | ReleaseHost
    | MarkServing
    | DrainHost
    | MarkDown
    | ReturnHost
    | RestartJob
    | QuarantineHost
    | StartWave
    | PauseWave
    | ResumeWave
    | Claim
    | SettleClaim
)


class Proposal(msgspec.Struct, kw_only=True, frozen=True, omit_defaults=True):
    """A change to one object, based on a revision of it.

    The base is 0 for an object that does not exist yet. A proposal may have
    a ``ticket`` chosen by the proposer. A repeat with the same ticket gets
    the verdict on the first one and changes nothing.
    """

    object: str
    base: int
    change: AnyChange
    ticket: str = ""


class Proposals(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """A record of proposals.

    The proposals of an atomic record are accepted all or none.
    """

    writer: str
    sequence: int
    proposals: tuple[Proposal, ...]
    atomic: bool = False


class Seed(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """A live daemon's agreed state, for a log that lost its records."""

    writer: str
    revision: int
    state: bytes


Record = Proposals | Seed

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Encode a record for the log."""
    return _encoder.encode(record)


def decode(data: bytes) -> Record:
    """Decode a record; raise ``decoding.MalformedData`` if it is malformed."""
    return decoding.decode(_decoder.decode, data)
