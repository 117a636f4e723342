"""Policies that keep non-repeatable requests from running twice."""

import dataclasses
import hashlib

DIGEST_CHARACTERS = 32


@dataclasses.dataclass(slots=True, kw_only=True)
class LogClaims:
    """Claim a request in the log before its first byte is sent.

    ``wait_share`` is the share of a request's remaining time that the claim
    may take. ``at_once`` limits the open claims, including unresolved ones.
    """

    wait_share: float = 0.8
    at_once: int = 64


@dataclasses.dataclass(slots=True, kw_only=True)
class NoClaims:
    """Baseline: send such requests without a claim."""


AtMostOnce = LogClaims | NoClaims


def claim_key(service: str, key: str) -> str:
    """Return the name of the claim for a caller's idempotency key."""
    text = f"{service}\0{key}".encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_CHARACTERS]


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest that tells apart two requests with the same key."""
    digest = hashlib.sha256(f"{method} {path}\0".encode())
    digest.update(body)
    return digest.hexdigest()[:DIGEST_CHARACTERS]
