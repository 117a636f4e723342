"""State of the claims that a daemon's requests have made or wait for."""

import dataclasses

from azurewood.state import records


@dataclasses.dataclass(slots=True, kw_only=True)
class FollowedClaim:
    """A claim of another daemon whose outcome a request waits for."""

    key: str
    since: float


@dataclasses.dataclass(slots=True, kw_only=True)
class UnresolvedClaim:
    """An abandoned claim whose record may still appear in the log.

    The record's sequence number is at most ``sequence``.
    """

    key: str
    sequence: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Settlement:
    """The outcome of a request's claim, kept until the log confirms it."""

    request: str
    change: records.SettleClaim
    redo_at: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimTracking:
    """Open claims by request id; ``settling`` is by the claim's key."""

    asked: dict[str, str] = dataclasses.field(default_factory=dict)
    following: dict[str, FollowedClaim] = dataclasses.field(
        default_factory=dict
    )
    doubtful: dict[str, UnresolvedClaim] = dataclasses.field(
        default_factory=dict
    )
    settling: dict[str, Settlement] = dataclasses.field(default_factory=dict)
