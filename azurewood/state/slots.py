"""The host slots that this daemon may use, and the hosts with idle ones.

A slot may be used if this daemon owns it and it is neither settling nor
lent, or if it is borrowed. A slot settles after a change of owner, until
its former owners no longer use it. A usable host with an idle slot is
listed in its service's ready hosts.
"""

from azurewood.policy import slots as policy
from azurewood.state import lent_slots
from azurewood.state import model

UNKNOWN_PEERS = ""
"""Stands for the peers that a new daemon has not heard from yet."""
UNKNOWN_OWNER = "?"
"""The owner of a slot that belongs to a daemon of another zone."""


def set_owners(
    state: model.State,
    host: model.HostView,
    owners: tuple[str, ...],
    now: float,
) -> None:
    """Set the owner of each slot of a host; newly owned slots settle."""
    me = state.me.name
    owned = {number for number, name in enumerate(owners) if name == me}
    for number in owned - host.owned:
        _settle_gained(state, host, number, now)
    for number in host.owned - owned:
        host.settling.pop(number, None)
    host.owners = owners
    host.owned = owned
    refresh_idle(state, host)


def _settle_gained(
    state: model.State, host: model.HostView, number: int, now: float
) -> None:
    """Let a newly owned slot settle if another daemon may be using it."""
    match state.policies.slots:
        case policy.FixedShare():
            return
    if host.owners:
        awaiting = {host.owners[number]}
    elif state.lending.is_viewed:
        return
    else:
        awaiting = {UNKNOWN_PEERS}
    start_settling(state, host, number, awaiting, now)


def start_settling(
    state: model.State,
    host: model.HostView,
    number: int,
    awaiting: set[str],
    now: float,
) -> None:
    """Keep a slot unused until all daemons in ``awaiting`` say it is free.

    It becomes usable after ``settle_s`` even if some do not answer.
    """
    host.settling[number] = lent_slots.SettlingSlot(
        awaiting=awaiting, until=now + state.lending.settle_s
    )
    state.lending.settling.add(host.name)
    state.lending.take_over = 0
    state.lending.take_over_at = now


def settle_all_owned(state: model.State, now: float) -> None:
    """Let all owned slots settle after a pause of this daemon.

    Its peers may have declared it dead and taken its slots over. Borrowed
    slots have a deadline already and stay as they are.
    """
    match state.policies.slots:
        case policy.FixedShare():
            return
    awaiting = set(state.alive) or {UNKNOWN_PEERS}
    for host in state.hosts.values():
        for number in host.owned:
            start_settling(state, host, number, set(awaiting), now)
        refresh_idle(state, host)


def are_all_settling(state: model.State) -> bool:
    """Return whether this daemon owns slots and all of them are settling."""
    hosts = [host for host in state.hosts.values() if host.owned]
    return bool(hosts) and all(
        host.settling.keys() >= host.owned for host in hosts
    )


def refresh_idle(state: model.State, host: model.HostView) -> None:
    """Recompute the idle slots of a host and its place in the ready hosts."""
    held = host.settling.keys() | host.lent.keys()
    free = (host.owned - held) | host.borrowed.keys()
    host.idle = sorted(free - host.busy)
    update_ready(state, host)


def mark_unusable(state: model.State, host: model.HostView) -> None:
    """Mark a host unusable and remove it from its service's ready hosts."""
    host.usable = False
    _remove_ready(state, host)


def update_ready(state: model.State, host: model.HostView) -> None:
    """List a host as ready, or remove it, by its present state."""
    if host.usable and host.idle and _accepts_requests(host):
        _add_ready(state, host)
    else:
        _remove_ready(state, host)


def _accepts_requests(host: model.HostView) -> bool:
    """Return whether a host may be given another request.

    It may not while it is ejected, or, after an ejection, while it has as
    many requests as its ramp allows.
    """
    if host.ejected_until:
        return False
    return not host.ramp or len(host.busy) < host.ramp


def _ready_hosts(
    state: model.State, host: model.HostView
) -> model.ReadyHosts | None:
    """Return the list of ready hosts to which a host belongs, if any."""
    view = state.services.get(host.service)
    if view is None:
        return None
    return view.near if host.zone == state.me.zone else view.far


def _add_ready(state: model.State, host: model.HostView) -> None:
    """Add a host to the ready hosts unless it is listed already."""
    ready = _ready_hosts(state, host)
    if ready is not None and host.name not in ready.place:
        ready.place[host.name] = len(ready.names)
        ready.names.append(host.name)


def _remove_ready(state: model.State, host: model.HostView) -> None:
    """Remove a host from the ready hosts; the last one fills the gap."""
    ready = _ready_hosts(state, host)
    place = ready.place.pop(host.name, None) if ready else None
    if place is None:
        return
    last = ready.names.pop()
    if last != host.name:
        ready.names[place] = last
        ready.place[last] = place


def acquire(
    state: model.State, host: model.HostView, now: float
) -> int | None:
    """Take an idle slot of a host and return its number.

    Return None if all idle slots are borrowed ones whose loan has expired.
    """
    number = None
    while host.idle and number is None:
        number = host.idle.pop()
        borrowed = host.borrowed.get(number)
        if borrowed is not None and borrowed.until <= now:
            return_borrowed(state, host, number)
            number = None
    if number is not None:
        host.busy.add(number)
    if not host.idle or host.ramp:
        update_ready(state, host)
    return number


def return_borrowed(
    state: model.State, host: model.HostView, number: int
) -> None:
    """Stop using a borrowed slot and queue its return to the owner."""
    borrowed = host.borrowed.pop(number)
    state.lending.returns.append(
        lent_slots.SlotReturn(
            peer=borrowed.peer,
            service=host.service,
            request=borrowed.request,
            host=host.name,
            number=number,
        )
    )


def release(
    state: model.State, host: model.HostView, number: int, now: float
) -> None:
    """Release the slot of a request that has ended on it."""
    host.busy.discard(number)
    borrowed = host.borrowed.get(number)
    if borrowed is not None:
        borrowed.idle_since = now
        if borrowed.until <= now:
            return_borrowed(state, host, number)
        else:
            host.idle.append(number)
    elif (
        number in host.owned
        and number not in host.lent
        and number not in host.settling
    ):
        host.idle.append(number)
    update_ready(state, host)
