"""The slots that this daemon may use, and where its idle ones are.

A slot may be used if it is owned and neither settling nor lent, or if it
is borrowed. An idle one of a usable host puts the host into its service's
ready hosts.
"""

from azurewood.policy import slots as policy
from azurewood.state import model

GRACE = ""
"""Awaited in place of the peers that a new daemon has yet to hear of."""
UNKNOWN = "?"
"""The owner of a slot that only daemons of another zone may own."""


def set_owners(
    state: model.State,
    host: model.HostView,
    owners: tuple[str, ...],
    now: float,
) -> None:
    """Set the owner of each slot of a host; what is gained settles."""
    me = state.me.name
    owned = {number for number, name in enumerate(owners) if name == me}
    for number in owned - host.owned:
        _gain(state, host, number, now)
    for number in host.owned - owned:
        host.settling.pop(number, None)
    host.owners = owners
    host.owned = owned
    refresh(state, host)


def _gain(
    state: model.State, host: model.HostView, number: int, now: float
) -> None:
    """Let a slot settle if somebody else may be using it."""
    match state.policies.slots:
        case policy.FixedShare():
            return
    if host.owners:
        awaiting = {host.owners[number]}
    elif state.lending.is_viewed:
        return
    else:
        awaiting = {GRACE}
    settle(state, host, number, awaiting, now)


def settle(
    state: model.State,
    host: model.HostView,
    number: int,
    awaiting: set[str],
    now: float,
) -> None:
    """Keep a slot from use until all of ``awaiting`` say it is free."""
    host.settling[number] = model.SettlingSlot(
        awaiting=awaiting, until=now + state.lending.settle_s
    )
    state.lending.settling.add(host.name)
    state.lending.take_over = 0
    state.lending.take_over_at = now


def distrust(state: model.State, now: float) -> None:
    """Let all slots settle, as this daemon may have been given up.

    Borrowed slots keep their deadline and need nothing more.
    """
    match state.policies.slots:
        case policy.FixedShare():
            return
    awaiting = set(state.alive) or {GRACE}
    for host in state.hosts.values():
        for number in host.owned:
            settle(state, host, number, set(awaiting), now)
        refresh(state, host)


def are_all_settling(state: model.State) -> bool:
    """Tell whether this daemon owns slots and may not use any of them."""
    hosts = [host for host in state.hosts.values() if host.owned]
    return bool(hosts) and all(
        host.settling.keys() >= host.owned for host in hosts
    )


def refresh(state: model.State, host: model.HostView) -> None:
    """Work out the idle slots of a host anew."""
    held = host.settling.keys() | host.lent.keys()
    free = (host.owned - held) | host.borrowed.keys()
    host.idle = sorted(free - host.busy)
    update(state, host)


def withdraw(state: model.State, host: model.HostView) -> None:
    """Take a host out of its service's ready hosts."""
    host.usable = False
    _unready(state, host)


def update(state: model.State, host: model.HostView) -> None:
    """Bring the ready hosts up to date for one host."""
    if host.usable and host.idle and _has_room(host):
        _ready(state, host)
    else:
        _unready(state, host)


def _has_room(host: model.HostView) -> bool:
    """Tell whether a host is not ejected, nor at the bound of its return."""
    if host.ejected_until:
        return False
    return not host.ramp or len(host.busy) < host.ramp


def _ready_hosts(
    state: model.State, host: model.HostView
) -> model.ReadyHosts | None:
    view = state.services.get(host.service)
    if view is None:
        return None
    return view.near if host.zone == state.me.zone else view.far


def _ready(state: model.State, host: model.HostView) -> None:
    ready = _ready_hosts(state, host)
    if ready is not None and host.name not in ready.place:
        ready.place[host.name] = len(ready.names)
        ready.names.append(host.name)


def _unready(state: model.State, host: model.HostView) -> None:
    """Remove a host from the ready ones: the last one takes its place."""
    ready = _ready_hosts(state, host)
    place = ready.place.pop(host.name, None) if ready else None
    if place is None:
        return
    last = ready.names.pop()
    if last != host.name:
        ready.names[place] = last
        ready.place[last] = place


def take(state: model.State, host: model.HostView, now: float) -> int | None:
    """Take an idle slot of a host; None if all were borrowed too long."""
    number = None
    while host.idle and number is None:
        number = host.idle.pop()
        borrowed = host.borrowed.get(number)
        if borrowed is not None and borrowed.until <= now:
            give_up_borrowed(state, host, number)
            number = None
    if number is not None:
        host.busy.add(number)
    if not host.idle or host.ramp:
        update(state, host)
    return number


def give_up_borrowed(
    state: model.State, host: model.HostView, number: int
) -> None:
    """Use a borrowed slot no more, and have it returned to its owner."""
    borrowed = host.borrowed.pop(number)
    state.lending.returns.append(
        model.SlotReturn(
            peer=borrowed.peer,
            service=host.service,
            request=borrowed.request,
            host=host.name,
            number=number,
        )
    )


def give_back(
    state: model.State, host: model.HostView, number: int, now: float
) -> None:
    """Free a slot that a request held."""
    host.busy.discard(number)
    borrowed = host.borrowed.get(number)
    if borrowed is not None:
        borrowed.idle_since = now
        if borrowed.until <= now:
            give_up_borrowed(state, host, number)
        else:
            host.idle.append(number)
    elif (
        number in host.owned
        and number not in host.lent
        and number not in host.settling
    ):
        host.idle.append(number)
    update(state, host)
