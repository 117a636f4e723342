"""How requests that may not be repeated are kept from running twice."""

import dataclasses
import hashlib

DIGEST_CHARACTERS = 32


@dataclasses.dataclass(slots=True, kw_only=True)
class LogClaims:
    """Claim a request in the log before its first byte leaves.

    ``wait_share`` is the share of a request's time left that the claim may
    take. ``at_once`` bounds the claims in hand, doubtful ones included.
    """

    wait_share: float = 0.8
    at_once: int = 64


@dataclasses.dataclass(slots=True, kw_only=True)
class NoClaims:
    """Send such requests like all others (the naive policy)."""


AtMostOnce = LogClaims | NoClaims


def claim_key(service: str, key: str) -> str:
    """Return the name of the claim on a caller's key for a service."""
    text = f"{service}\0{key}".encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_CHARACTERS]


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest by which two requests with one key are compared."""
    digest = hashlib.sha256(f"{method} {path}\0".encode())
    digest.update(body)
    return digest.hexdigest()[:DIGEST_CHARACTERS]
