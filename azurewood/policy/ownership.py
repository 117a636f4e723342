"""Rendezvous hashing: which live daemon owns a slot or a duty.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import collections.abc

import xxhash


def owner(key: str, members: collections.abc.Iterable[str]) -> str:
    """Return the member with the highest weight for a key.

    Raise ``ValueError`` if there are no members.
    """
    return max(
        members,
        key=lambda member: (weight(key, member), member),
    )


def slot_owner(
    host: str, number: int, members: collections.abc.Iterable[str]
) -> str:
    """Return the member that owns a slot of a host."""
    return owner(f"{host}#{number}", members)


def weight(key: str, member: str) -> int:
    """Return a member's weight for a key, an unsigned 64-bit number."""
    return xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())
