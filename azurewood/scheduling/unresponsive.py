"""The stored record of unresponsive hosts.

An unresponsive host gets no new lease, so the time when its last lease
expires is known. The leader records that time for unresponsive hosts that
have runs, so that its successor doesn't have to wait a full lease again. A
recorded host that answers again is still treated as unresponsive, and gets
no lease and no start, until a record without it is stored. Hence the latest
record never names a host that has been given a lease since.
"""

from collections import abc
import typing

from azurewood.scheduling import host_state
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import progress


RECORD_AFTER_S: typing.Final = 0.8
"""Time without an answer before a host is recorded.

A single lost call does not last as long.
"""

DISCONNECTED_PAUSE_S: typing.Final = 0.2
"""Pause after a second lost connection before a host is asked again."""


def check_host(state: model.State, host: host_state.Host, now: float) -> None:
    """Request a new record if a host with runs is newly unresponsive."""
    if host.id not in state.recorded_unresponsive and _belongs_on_record(
        state, host, now
    ):
        state.unresponsive_changed = True


def _belongs_on_record(
    state: model.State, host: host_state.Host, now: float
) -> bool:
    """Return whether the record should name a host."""
    if host.unresponsive_since is None or host.answered or not host.runs:
        return False
    known = host.id in state.recorded_unresponsive
    return known or now >= host.unresponsive_since + RECORD_AFTER_S


def on_disconnected(
    state: model.State, host: host_state.Host, now: float
) -> None:
    """Request a list at once, without an acknowledgement.

    Only its failure makes the host unresponsive. A host that closes every
    connection is asked with pauses.
    """
    state.log_event(
        "host.disconnected",
        host=host.id,
        incarnation=host.incarnation.began_ms,
    )
    host.connected_by = None
    host.late_starts.note_unknown()
    host.renew_at = max(now, host.disconnected_at + DISCONNECTED_PAUSE_S)
    host.disconnected_at = now


def on_answer(state: model.State, host: host_state.Host, now: float) -> None:
    """Handle an answer of a host, which makes it responsive again."""
    host.answered = True
    if host.id not in state.recorded_unresponsive:
        host.unresponsive_since = None
        return
    host.unresponsive_since = host.unresponsive_since or now
    # The next renewal, which grants a lease, waits for the record.
    host.renewing = True
    state.unresponsive_changed = True


def record(state: model.State, now: float) -> None:
    """Record the unresponsive hosts that have runs, if they have changed."""
    if not state.unresponsive_changed:
        return
    state.unresponsive_changed = False
    recorded = {
        host.id: host.leases_expire_at
        for host in state.hosts.values()
        if _belongs_on_record(state, host, now)
    }
    if not recorded and not state.recorded_unresponsive:
        return
    dropped = state.recorded_unresponsive - recorded.keys()
    state.recorded_unresponsive |= recorded.keys()
    state.values[progress.UNRESPONSIVE_KEY] = progress.encode_unresponsive(
        state, recorded, now
    )
    if dropped:
        state.emit_after_save(_RecordDropped(ids=frozenset(dropped)))


class _RecordDropped:
    """Internal effect: a record without these hosts is stored.

    They may get leases again.
    """

    __slots__ = ("ids",)

    def __init__(self, *, ids: frozenset[str]) -> None:
        self.ids = ids


def apply_removals(
    state: model.State, effects: abc.Iterable[messages.Effect], now: float
) -> list[messages.Effect]:
    """Apply stored removals from the record; return the other effects."""
    others = []
    for effect in effects:
        if isinstance(effect, _RecordDropped):
            state.recorded_unresponsive -= effect.ids
            for id in effect.ids:
                _release_host(state.hosts.get(id), now)
        else:
            others.append(effect)
    return others


def _release_host(host: host_state.Host | None, now: float) -> None:
    if (
        host is not None
        and host.answered
        and host.unresponsive_since is not None
    ):
        host.unresponsive_since = None
        host.renewing = False
        host.renew_at = now


def restore(
    state: model.State,
    stored: progress.SilentProgress,
    written_at: float,
    now: float,
) -> None:
    """Restore when the leases of recorded unresponsive hosts expire.

    The record was written by ``written_at``, so counting the remaining time
    from then gives the latest time at which a lease expires.
    """
    for id, left_ms in stored.left_ms.items():
        host = state.host(id)
        host.unresponsive_since = now
        host.leases_expire_at = min(
            host.leases_expire_at, written_at + left_ms / 1000
        )
        state.recorded_unresponsive.add(id)
    state.unresponsive_changed = True
