"""What differs between two configurations; of keys only their number."""

from collections import abc
import dataclasses
import typing

from azurewood.checks import manifests
from azurewood.jobs import catalog
from azurewood.jobs import model

ABSENT: typing.Final = "absent"
PRESENT: typing.Final = "present"
KEYS: typing.Final = "key_digests"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Difference:
    """A field of an entry that differs, or an entry that one file lacks.

    ``field`` is empty for a whole entry.
    """

    kind: str
    name: str
    field: str
    before: str
    after: str


def differences(
    old: manifests.Draft, new: manifests.Draft
) -> list[Difference]:
    """Return what differs, by kind and name."""
    found = [
        *_of_kind("queue", old.queues, new.queues),
        *_of_kind("pool", old.pools, new.pools),
    ]
    if (old.accounts is None) != (new.accounts is None):
        states = [
            ABSENT if draft.accounts is None else PRESENT
            for draft in (old, new)
        ]
        found.append(_difference("accounts", "", "", *states))
    found.extend(_of_kind("account", old.accounts or [], new.accounts or []))
    return found


def _of_kind(
    kind: str,
    old: list[manifests.Entry],
    new: list[manifests.Entry],
) -> abc.Iterator[Difference]:
    # As in a daemon, the last of several entries with a name counts.
    before = {entry.item.name: entry.item for entry in old}
    after = {entry.item.name: entry.item for entry in new}
    for name in sorted(before.keys() | after.keys()):
        if name not in before or name not in after:
            states = [
                PRESENT if name in found else ABSENT
                for found in (before, after)
            ]
            yield _difference(kind, name, "", *states)
        else:
            yield from _fields(kind, before[name], after[name])


def _fields(
    kind: str, old: typing.Any, new: typing.Any
) -> abc.Iterator[Difference]:
    for field in dataclasses.fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before == after:
            continue
        if field.name == KEYS:
            texts = _key_counts(before, after)
        else:
            texts = (_text(before), _text(after))
        yield _difference(kind, old.name, field.name, *texts)


def _key_counts(
    before: frozenset[bytes], after: frozenset[bytes]
) -> tuple[str, str]:
    added, removed = len(after - before), len(before - after)
    return (
        str(len(before)),
        f"{len(after)} ({added} added, {removed} removed)",
    )


def _text(value: typing.Any) -> str:
    match value:
        case model.Resources():
            return value.compact()
        case catalog.Advice():
            times = (value.decision_ms, value.per_host_ms, value.validity_ms)
            return "/".join(map(str, times))
        case None:
            return ABSENT
        case _:
            return str(value)


def _difference(
    kind: str, name: str, field: str, before: str, after: str
) -> Difference:
    return Difference(
        kind=kind, name=name, field=field, before=before, after=after
    )
