"""Silent hosts on record, so that a successor need not wait anew.

A silent host gets no lease, so it is known when its last one has lapsed. A
leader records that for the silent hosts that have runs. A host on record
that is heard again stays silent, which keeps leases and starts from it,
until a record without it is stored. So the newest record names no host
that has been given a lease since, whoever reads it.
"""

from collections import abc
import typing

from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import progress


RECORD_AFTER_S: typing.Final = 0.8
"""Silence after which a host goes on record: more than one lost call."""


def look(state: model.State, host: model.Host, now: float) -> None:
    """Have a host recorded that has been silent for a while."""
    if host.id not in state.silent_on_record and _counts(state, host, now):
        state.silence_changed = True


def _counts(state: model.State, host: model.Host, now: float) -> bool:
    """Return whether a host belongs on record."""
    if host.silent_since is None or host.answered or not host.runs:
        return False
    known = host.id in state.silent_on_record
    return known or now >= host.silent_since + RECORD_AFTER_S


def heard(state: model.State, host: model.Host, now: float) -> None:
    """Take in that a host answered, which ends its silence."""
    host.answered = True
    if host.id not in state.silent_on_record:
        host.silent_since = None
        return
    host.silent_since = host.silent_since or now
    # The next hold, which renews its lease, waits for the record.
    host.holding = True
    state.silence_changed = True


def record(state: model.State, now: float) -> None:
    """Record the silent hosts that have runs, if any of that changed."""
    if not state.silence_changed:
        return
    state.silence_changed = False
    silent = {
        host.id: host.bound_at
        for host in state.hosts.values()
        if _counts(state, host, now)
    }
    if not silent and not state.silent_on_record:
        return
    dropped = state.silent_on_record - silent.keys()
    state.silent_on_record |= silent.keys()
    state.values[progress.SILENT_KEY] = progress.of_silent(silent, now)
    if dropped:
        state.emit_saved(_Dropped(ids=frozenset(dropped)))


class _Dropped:
    """Lets hosts have leases again that are on record no more."""

    __slots__ = ("ids",)

    def __init__(self, *, ids: frozenset[str]) -> None:
        self.ids = ids


def release(
    state: model.State, effects: abc.Iterable[messages.Effect], now: float
) -> list[messages.Effect]:
    """Apply what was dropped from the record; return the other effects."""
    others = []
    for effect in effects:
        if isinstance(effect, _Dropped):
            state.silent_on_record -= effect.ids
            for id in effect.ids:
                _release_host(state.hosts.get(id), now)
        else:
            others.append(effect)
    return others


def _release_host(host: model.Host | None, now: float) -> None:
    if host is not None and host.answered and host.silent_since is not None:
        host.silent_since = None
        host.holding = False
        host.hold_at = now


def adopt(
    state: model.State, stored: progress.SilentProgress, now: float
) -> None:
    """Take in until when silent hosts of an earlier leader have leases.

    The record was written before ``now``, so no lease lasts longer than
    the record says from now on.
    """
    for id, left_ms in stored.left_ms.items():
        host = state.host(id)
        host.silent_since = now
        host.bound_at = min(host.bound_at, now + left_ms / 1000)
        state.silent_on_record.add(id)
    state.silence_changed = True
