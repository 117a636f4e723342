"""Records of the platform's log, and the proposals that they carry.

A record is appended by one writer (a daemon's boot) with the writer's next
sequence number. Each proposal names an object, the revision of it that the
proposal is based on, and the change.

Objects are ``fleet``, ``in-force``, ``preset:NAME``, ``host:NAME``,
``wave:NAME`` and ``claim:KEY``.
"""

import enum

import msgspec

from azurewood.fleet import model

FLEET = "fleet"
IN_FORCE = "in-force"
CLAIM_PREFIX = "claim:"


def preset_object(name: str) -> str:
    """Name the object of a preset."""
    return f"preset:{name}"


def host_object(name: str) -> str:
    """Name the object of a host."""
    return f"host:{name}"


def wave_object(name: str) -> str:
    """Name the object of a maintenance wave."""
    return f"wave:{name}"


def claim_object(key: str) -> str:
    """Name the object of a claim on a request that runs at most once."""
    return f"{CLAIM_PREFIX}{key}"


class Change(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """Base of the changes that a proposal may ask for."""


class PublishFleet(Change, frozen=True, kw_only=True):
    """Put a configuration document in force.

    Hosts that are known keep their pool; presets that are known stay.
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

    ``drain_ms`` bounds the drain, from the record's append.
    """

    to_pool: str
    reason: str
    drain_ms: int


class CancelMove(Change, frozen=True, kw_only=True):
    """Give up a move whose host has not left its pool yet."""

    reason: str


class ReleaseHost(Change, frozen=True, kw_only=True):
    """Hand a host to its target pool, its old job having stopped."""


class MarkServing(Change, frozen=True, kw_only=True):
    """Say that the host's job runs and takes requests."""


class DrainHost(Change, frozen=True, kw_only=True):
    """Begin a graceful shutdown of the host's job for maintenance.

    With ``reboot`` the host is rebooted once drained, and then returns.
    """

    reason: str
    drain_ms: int
    reboot: bool = True
    wave: str = ""


class MarkDown(Change, frozen=True, kw_only=True):
    """Say that the host's job has stopped for maintenance."""


class ReturnHost(Change, frozen=True, kw_only=True):
    """Bring a drained host back to its pool."""

    reason: str


class RestartJob(Change, frozen=True, kw_only=True):
    """Start a host's job anew under a new task id, the old one having ended.

    ``failed`` says that the job failed by itself.
    """

    reason: str
    failed: bool = True


class QuarantineHost(Change, frozen=True, kw_only=True):
    """Take a host out of use on which every job fails."""

    reason: str


class StartWave(Change, frozen=True, kw_only=True):
    """Start a maintenance wave over some hosts."""

    hosts: tuple[str, ...]


class PauseWave(Change, frozen=True, kw_only=True):
    """Begin no further host of a wave."""

    reason: str


class ResumeWave(Change, frozen=True, kw_only=True):
    """Go on with a paused wave."""


class Claim(Change, frozen=True, kw_only=True):
    """Claim the right to run a request that runs at most once.

    ``request`` is the claimant's id of it, ``digest`` tells requests with
    the same key apart.
    """

    service: str
    request: str = ""
    digest: str = ""


class ClaimPhase(enum.StrEnum):
    """What is known of a claimed request."""

    HELD = "held"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class SettleClaim(Change, frozen=True, kw_only=True):
    """Record how a claimed request ended, with a short answer.

    ``answer`` is empty when the answer was too long to keep.
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
    """A change to one object, based on one revision of it (0: none yet).

    A proposal with a ``ticket``, chosen by who proposes, is judged once:
    a repeat gets the first one's verdict and changes nothing.
    """

    object: str
    base: int
    change: AnyChange
    ticket: str = ""


class Proposals(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """A record of proposals; an atomic one is accepted whole or not at all."""

    writer: str
    sequence: int
    proposals: tuple[Proposal, ...]
    atomic: bool = False


class Seed(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """A live daemon's agreed state, for a log that has lost everything."""

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
    """Decode a record; raise ``msgspec.DecodeError`` if it is malformed."""
    return _decoder.decode(data)
