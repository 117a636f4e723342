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


def check_host(state: model.State, host: model.Host, now: float) -> None:
    """Have a host recorded that has been silent for a while."""
    if host.id not in state.recorded_unresponsive and _belongs_on_record(
        state, host, now
    ):
        state.unresponsive_changed = True


def _belongs_on_record(
    state: model.State, host: model.Host, now: float
) -> bool:
    """Return whether a host belongs on record."""
    if host.unresponsive_since is None or host.answered or not host.runs:
        return False
    known = host.id in state.recorded_unresponsive
    return known or now >= host.unresponsive_since + RECORD_AFTER_S


def on_answer(state: model.State, host: model.Host, now: float) -> None:
    """Take in that a host answered, which ends its silence."""
    host.answered = True
    if host.id not in state.recorded_unresponsive:
        host.unresponsive_since = None
        return
    host.unresponsive_since = host.unresponsive_since or now
    # The next hold, which renews its lease, waits for the record.
    host.renewing = True
    state.unresponsive_changed = True


def record(state: model.State, now: float) -> None:
    """Record the silent hosts that have runs, if any of that changed."""
    if not state.unresponsive_changed:
        return
    state.unresponsive_changed = False
    silent = {
        host.id: host.leases_expire_at
        for host in state.hosts.values()
        if _belongs_on_record(state, host, now)
    }
    if not silent and not state.recorded_unresponsive:
        return
    dropped = state.recorded_unresponsive - silent.keys()
    state.recorded_unresponsive |= silent.keys()
    state.values[progress.UNRESPONSIVE_KEY] = progress.encode_unresponsive(
        silent, now
    )
    if dropped:
        state.emit_after_save(_RecordDropped(ids=frozenset(dropped)))


class _RecordDropped:
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
        if isinstance(effect, _RecordDropped):
            state.recorded_unresponsive -= effect.ids
            for id in effect.ids:
                _release_host(state.hosts.get(id), now)
        else:
            others.append(effect)
    return others


def _release_host(host: model.Host | None, now: float) -> None:
    if (
        host is not None
        and host.answered
        and host.unresponsive_since is not None
    ):
        host.unresponsive_since = None
        host.renewing = False
        host.renew_at = now


def restore(
    state: model.State, stored: progress.SilentProgress, now: float
) -> None:
    """Take in until when silent hosts of an earlier leader have leases.

    The record was written before ``now``, so no lease lasts longer than
    the record says from now on.
    """
    for id, left_ms in stored.left_ms.items():
        host = state.host(id)
        host.unresponsive_since = now
        host.leases_expire_at = min(
            host.leases_expire_at, now + left_ms / 1000
        )
        state.recorded_unresponsive.add(id)
    state.unresponsive_changed = True
