"""Hosts of the leader: their incarnations, lease renewals and runs.

A run reserves resources of its host from before its start is sent until it
is known not to exist. That is the case when the host lists its end, when a
list requested after its start or stop was answered lacks the run, or when
all leases of the host have expired, that of a late start included.
"""

import typing

from azurewood.incarnations import incarnation as incarnations
from azurewood.incarnations import limits
from azurewood.jobs import model
from azurewood.scheduling import crashes
from azurewood.scheduling import durations
from azurewood.scheduling import host_records
from azurewood.scheduling import host_state
from azurewood.scheduling import latestarts
from azurewood.scheduling import listings
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import runs
from azurewood.scheduling import speeds
from azurewood.scheduling import tasks
from azurewood.scheduling import unresponsive

RENEWAL_WAIT_MS: typing.Final = 1000
"""How long a host may delay the answer to wait for a run end."""
FIRST_RENEWAL_WAIT_MS: typing.Final = 0
RENEWAL_PAUSE_S: typing.Final = 0.01
"""Pause between lease renewals, so that run ends are listed in batches."""
WITHHELD_PAUSE_S: typing.Final = 0.2
"""The same while run ends are withheld, as hosts don't wait beside them."""
RENEWAL_RETRY_S: typing.Final = 0.2
REMOVED_HOST_RETRY_S: typing.Final = 1.0
UNANSWERED: typing.Final = (
    messages.Refusal.UNKNOWN,
    messages.Refusal.DISCONNECTED,
)
"""Outcomes of a renewal that may still be carried out."""


def on_entry(
    state: scheduling.State, entry: messages.HostEntry, now: float
) -> None:
    """Handle the store entry of a host."""
    host = state.host(entry.id)
    known = host.entry
    if entry.incarnation_ms in host.past_incarnations:
        # The host has restarted since it wrote this entry.
        return
    if not entry.incarnation_ms:
        entry = _with_incarnation(entry, host.incarnation.began_ms)
    if known is not None and entry.incarnation_ms != host.incarnation.began_ms:
        _begin_incarnation(state, host, entry.incarnation_ms, "entry", now)
    if known is None or known.state is not entry.state:
        state.log_event(
            "host.seen",
            host=entry.id,
            service=entry.service,
            state=entry.state.value,
            incarnation=entry.incarnation_ms,
        )
    host.describe(entry)
    if known is None:
        host.ordered_away = state.is_ordered_away(host)
    if known is not None and known.capacity != entry.capacity:
        _log_resized(state, host, known.capacity)
        _bar_late_starts(host)
    host.present = True
    state.placement_due.add(entry.service)


def _log_resized(
    state: scheduling.State, host: host_state.Host, before: model.Resources
) -> None:
    """Log that a host's capacity has changed, and how much of it is used."""
    state.log_event(
        "host.resized",
        host=host.id,
        service=host.entry.service,
        before=before.compact(),
        after=host.entry.capacity.compact(),
        used=host.used.compact(),
        runs=len(host.runs),
        over=host.over_capacity,
        incarnation=host.incarnation.began_ms,
    )


def _bar_late_starts(host: host_state.Host) -> None:
    """Let the next calls bar the starts that have no answer yet.

    On a host over its capacity none of them may begin any more. The stops of
    these runs may be late as well, while the first call of any kind that
    arrives with a higher fencing token bars all starts sent before.
    """
    starting = host_state.RunPhase.STARTING
    unanswered = any(
        run.phase is starting or run.key in host.late_starts
        for run in host.runs.values()
    )
    if host.over_capacity and unanswered:
        host.fence_due = True


def on_removed(state: scheduling.State, host_id: str) -> None:
    """Handle the removal of a host's store entry."""
    host = state.hosts.get(host_id)
    if host is not None and host.present:
        host.present = False
        host.late_starts.note_unknown()
        state.log_event("host.gone", host=host_id, runs=len(host.runs))


def _begin_incarnation(
    state: scheduling.State,
    host: host_state.Host,
    incarnation_ms: int,
    source: str,
    now: float,
) -> None:
    """Reset what was known of a host's previous incarnation.

    The runs are kept until the next list shows which of them exist, since
    a start may have reached the new incarnation before it was known. That
    list is requested at once; answers to earlier renewals are ignored.
    ``source`` is what named the new incarnation, a list or an entry.
    """
    state.log_event(
        "host.restarted",
        host=host.id,
        incarnation=incarnation_ms,
        before=host.incarnation.began_ms,
        source=source,
        runs=len(host.runs),
        late_starts=len(host.late_starts),
        withheld=len(host.incarnation.ends.withheld),
    )
    crashes.record(state, host, "it has restarted", now)
    host.past_incarnations.add(host.incarnation.began_ms)
    host.past_incarnations.discard(incarnation_ms)
    host.incarnation = incarnations.Incarnation(began_ms=incarnation_ms)
    host.late_starts.note_unknown()
    host.count_unknown({})
    state.set_unwanted(host, frozenset())
    latestarts.on_renewal_lost(state, host, now)
    host.renewals += 1
    host.renewing = False
    host.renew_at = now
    host.fence_due = True
    host.ordered_away = state.is_ordered_away(host)


def send_due_calls(state: scheduling.State, now: float) -> None:
    """Send the lease renewals, starts and stops that are due."""
    for host in list(state.hosts.values()):
        if host.late_starts and host.late_starts.forget_impossible(
            listed_at=host.listed_at, now=now
        ):
            state.dirty_late_starts.add(host.id)
        if host.entry is None:
            _expire_leases(state, host, now)
            continue
        if host.fence_due:
            latestarts.raise_fence(state, host)
        if not host.renewing and now >= host.renew_at:
            _renew_lease(host, state, now)
        for run in list(host.runs.values()) if host.runs else ():
            if run.phase is host_state.RunPhase.RUNNING:
                continue
            due = now >= run.retry_at and not host.fence_due
            if due and not (run.start_open or run.stop_open):
                runs.retry_call(state, host, run, now)
        if host.runs and host.unresponsive_since is not None:
            unresponsive.check_host(state, host, now)
        if now > host.leases_expire_at:
            _expire_leases(state, host, now)


def _renew_lease(
    host: host_state.Host, state: scheduling.State, now: float
) -> None:
    if not host.present and not host.runs and now > host.leases_expire_at:
        return
    clock = host.incarnation.clock(now)
    responsive = host.incarnation.synced and host.unresponsive_since is None
    connected = responsive and host.connected_by is not None
    ends = host.incarnation.ends
    number = ends.acknowledgeable(now) if ends.withheld else ends.stored
    ends.sent = number if connected and number > ends.acknowledged else 0
    lease = None
    if responsive and clock is not None:
        # An unresponsive host gets no new lease: its tasks may start on
        # another host only after its last lease has expired.
        lease = clock + limits.LEASE_MS
        host.leases_expire_at = max(
            host.leases_expire_at, now + limits.MAX_LEASE_S
        )
    host.renewing = True
    host.renewals += 1
    host.renewal_fence = host.fence
    host.renewal_grants = lease is not None
    state.emit(
        messages.RenewLease(
            host=host.id,
            address=host.entry.address,
            number=host.renewals,
            fence=host.fence,
            # A host that is unresponsive or was disconnected may have begun
            # another incarnation, which numbers its run ends from the start.
            # Acknowledging an old number would drop ends that the leader has
            # not seen.
            acknowledged=ends.sent,
            lease_until_ms=lease,
            wait_ms=RENEWAL_WAIT_MS if connected else FIRST_RENEWAL_WAIT_MS,
            connected_by=host.connected_by
            if connected and ends.stored
            else 0.0,
        )
    )


def _expire_leases(
    state: scheduling.State, host: host_state.Host, now: float
) -> None:
    """Mark all runs of a host as gone once all its leases have expired."""
    if now <= host.leases_expire_at:
        return
    if host.runs:
        crashes.record_if_gone(state, host, now)
    for run in list(host.runs.values()):
        expires_at = host.late_starts.run_expires_at(
            run.key, host.leases_expire_at
        )
        if now > expires_at:
            tasks.mark_run_gone(
                state, host, run, "all leases of the host lapsed", now
            )
    host.count_unknown({})
    if now > host.late_starts.leases_expire_at:
        # An unwanted run may have begun with the lease of a late start.
        state.set_unwanted(host, frozenset())
    kept = host.present or host.renewing or host.runs or host.late_starts
    if not kept:
        del state.hosts[host.id]
        host_records.forget(state, host.id)


def renewal_failed(
    state: scheduling.State, event: messages.RenewalFailed, now: float
) -> None:
    """Handle a lease renewal that failed or reached another incarnation."""
    host = state.hosts.get(event.host)
    if host is None or event.number != host.renewals:
        return
    if event.reason in UNANSWERED:
        latestarts.on_renewal_lost(state, host, now)
        # An acknowledgement that is carried out late is refused in a later
        # incarnation from the first call that reaches it.
        host.fence_due |= host.incarnation.ends.sent > 0
    host.renewing = False
    if event.reason is messages.Refusal.DISCONNECTED:
        unresponsive.on_disconnected(state, host, now)
        return
    overtaken = host.renewal_fence < host.fence
    if event.reason is messages.Refusal.FENCE and overtaken:
        # The host has this leader's own higher token.
        host.renew_at = now
        return
    host.late_starts.note_unknown()
    host.answered = False
    match event.reason:
        case messages.Refusal.FENCE:
            state.emit(messages.StepDown(reason=f"fenced by host {host.id}"))
        case messages.Refusal.OTHER_LIFE:
            runs.address_reused(state, host, now)
    if host.unresponsive_since is None:
        host.unresponsive_since = now
        state.log_event(
            "host.silent",
            host=host.id,
            reason=event.reason.value,
            incarnation=host.incarnation.began_ms,
        )
    host.renew_at = now + (
        RENEWAL_RETRY_S if host.present else REMOVED_HOST_RETRY_S
    )


def on_lease_renewed(
    state: scheduling.State, event: messages.LeaseRenewed, now: float
) -> None:
    """Handle a renewed lease with the host's lists of runs and run ends."""
    host = state.hosts.get(event.host)
    if host is None or host.entry is None or event.number != host.renewals:
        return
    host.renewing = False
    if event.incarnation_ms not in (0, host.incarnation.began_ms):
        _begin_incarnation(state, host, event.incarnation_ms, "list", now)
        host.describe(_with_incarnation(host.entry, event.incarnation_ms))
    if host.unresponsive_since is not None:
        state.log_event(
            "host.heard",
            host=host.id,
            runs=len(host.runs),
            incarnation=host.incarnation.began_ms,
        )
    unresponsive.on_answer(state, host, now)
    host.incarnation.set_clock(event.clock_ms, now)
    if host.incarnation.ends.sent:
        host.incarnation.ends.on_answered()
    host.listed_at = event.sent_at
    host.connected_by = event.connected_by
    durations.on_listed(host, event.sent_at, now)
    ends = listings.handle_ends(state, host, event, now)
    running = {(row.task, row.run): row for row in event.running}
    listings.handle_running(state, host, event, running, ends, now)
    host.incarnation.synced = True
    host.late_starts.note_answered(host.renewal_fence)
    speeds.send_changes(state, host, now)
    withheld = host.incarnation.ends.withheld
    host.renew_at = now + (WITHHELD_PAUSE_S if withheld else RENEWAL_PAUSE_S)
    if host.fence_due:
        latestarts.raise_fence(state, host)
        if not host.fence_due:
            # Until a call has a higher fence, the host accepts late starts.
            _renew_lease(host, state, now)
    state.placement_due.add(host.entry.service)


def _with_incarnation(
    entry: messages.HostEntry, incarnation_ms: int
) -> messages.HostEntry:
    return messages.HostEntry(
        id=entry.id,
        address=entry.address,
        service=entry.service,
        zone=entry.zone,
        state=entry.state,
        capacity=entry.capacity,
        labels=entry.labels,
        incarnation_ms=incarnation_ms,
    )
