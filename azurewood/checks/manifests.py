"""Checks of a configuration of queues, pools and accounts before it is sent.

The checks know no wire format: `azurewood.platform.manifests` reads a file
into a `Draft`, with the place of each entry. No message has a key.
"""

from collections import abc
import dataclasses
import typing

import msgspec

from azurewood.checks import base
from azurewood.jobs import catalog
from azurewood.jobs import model

TAG: typing.Final = "manifest"
CHANGE_TAG: typing.Final = "manifest-change"
MIN_WEIGHT_RATIO: typing.Final = 0.02
"""Part of the mean weight under which an account gets next to nothing."""
DEFAULT_TASK: typing.Final = model.Resources(1000, 1, 0)
"""What one task needs at least, unless the operator says otherwise."""
UNITS: typing.Final = ("mcpu", "MB", "GPUs")

Findings = abc.Iterator[base.Finding]
T = typing.TypeVar("T")


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Entry(typing.Generic[T]):
    """A readable entry of a list, and its place in the file."""

    place: str
    item: T


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Draft:
    """The readable entries of a file; names may occur twice.

    ``accounts`` is None if the file has no list of accounts. ``task`` is
    what one task needs.
    """

    path: str
    version: int | None = None
    queues: list[Entry[catalog.Queue]] = dataclasses.field(
        default_factory=list
    )
    pools: list[Entry[catalog.Pool]] = dataclasses.field(default_factory=list)
    accounts: list[Entry[catalog.Account]] | None = None
    task: model.Resources = DEFAULT_TASK


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """A new file and the one that it replaces.

    ``differs`` is whether the readable entries of the two differ.
    """

    old: Draft
    new: Draft
    differs: bool


def error(number: str, place: str, message: str) -> base.Finding:
    """Return a finding for which daemons reject the file or lose jobs."""
    return base.Finding(
        id=f"azurewood.E{number}", message=message, place=place
    )


def warning(number: str, place: str, message: str) -> base.Finding:
    """Return a finding about entries that are valid and hardly intended."""
    return base.Finding(
        id=f"azurewood.W{number}",
        message=message,
        place=place,
        severity=base.Severity.WARNING,
    )


@base.register(TAG)
def _duplicates(draft: Draft) -> Findings:
    """Yield queues and pools that replace an earlier one of their name."""
    for kind, entries in (("queue", draft.queues), ("pool", draft.pools)):
        first: dict[str, str] = {}
        for entry in entries:
            name = entry.item.name
            if name in first:
                yield error(
                    "524", entry.place, f"{kind} {name!r} is at {first[name]}"
                )
            first.setdefault(name, entry.place)


@base.register(TAG)
def _pools_of_queues(draft: Draft) -> Findings:
    pools = {entry.item.name for entry in draft.pools}
    for entry in draft.queues:
        queue = entry.item
        if queue.service not in pools:
            yield error(
                "525",
                entry.place,
                f"queue {queue.name!r} has no pool {queue.service!r}",
            )


@base.register(TAG)
def _matches(draft: Draft) -> Findings:
    """Yield queues that no call can reach."""
    first: dict[tuple[str, str], str] = {}
    for entry in draft.queues:
        queue = entry.item
        key = (queue.host.lower(), queue.path_prefix)
        if key in first:
            yield warning(
                "531",
                entry.place,
                f"queue {queue.name!r} has host and prefix of {first[key]}",
            )
        first.setdefault(key, f"{entry.place}, queue {queue.name!r}")
        if ":" in queue.host:
            yield warning(
                "532", entry.place, "hosts are compared without their port"
            )
        if queue.path_prefix and not queue.path_prefix.startswith("/"):
            yield warning(
                "532", entry.place, "the prefix does not begin with '/'"
            )


@base.register(TAG)
def _unused_pools(draft: Draft) -> Findings:
    """Yield pools without a queue; standby pools are meant to have none."""
    used = {entry.item.service for entry in draft.queues}
    for entry in draft.pools:
        pool = entry.item
        if pool.name not in used and not pool.standby:
            yield warning(
                "533", entry.place, f"no queue uses pool {pool.name!r}"
            )


@base.register(TAG)
def _keys(draft: Draft) -> Findings:
    for entry in draft.accounts or ():
        if not entry.item.key_digests:
            yield warning(
                "534", entry.place, f"account {entry.item.name!r} has no key"
            )
    if draft.accounts is None or any(q.item.public for q in draft.queues):
        return
    if not any(entry.item.key_digests for entry in draft.accounts):
        yield warning(
            "535",
            draft.path,
            "no account has a key and no queue is public: all calls get 401",
        )


@base.register(TAG)
def _limits(draft: Draft) -> Findings:
    for entry in draft.accounts or ():
        for unit, most, need in zip(
            UNITS,
            msgspec.structs.astuple(entry.item.limit),
            msgspec.structs.astuple(draft.task),
            strict=True,
        ):
            if 0 < most < need:
                yield warning(
                    "536",
                    entry.place,
                    f"the limit of account {entry.item.name!r} is {most}"
                    f" {unit}, one task needs {need}",
                )


@base.register(TAG)
def _weights(draft: Draft) -> Findings:
    accounts = draft.accounts or []
    total = sum(entry.item.weight for entry in accounts)
    for entry in accounts:
        weight = entry.item.weight
        if weight * len(accounts) < MIN_WEIGHT_RATIO * total:
            yield warning(
                "537",
                entry.place,
                f"account {entry.item.name!r} gets next to nothing of a full"
                f" pool: its weight is {weight:g} of {total:g}",
            )


@base.register(CHANGE_TAG)
def _version(change: Change) -> Findings:
    old, new = change.old.version, change.new.version
    if old is None or new is None or new > old:
        return
    if new < old or change.differs:
        yield error(
            "526",
            change.new.path,
            f"daemons ignore version {new}, as version {old} is in force",
        )


@base.register(CHANGE_TAG)
def _replaced_keys(change: Change) -> Findings:
    """Yield accounts whose callers get 401 until all have the new key."""
    old = {entry.item.name: entry.item for entry in change.old.accounts or ()}
    for entry in change.new.accounts or ():
        before = old.get(entry.item.name)
        if before is None or not before.key_digests:
            continue
        if not before.key_digests & entry.item.key_digests:
            yield warning(
                "538",
                entry.place,
                f"account {before.name!r} keeps none of its keys",
            )


@base.register(CHANGE_TAG)
def _no_more_keys(change: Change) -> Findings:
    if change.old.accounts is not None and change.new.accounts is None:
        yield warning("539", change.new.path, "no call needs a key any more")
