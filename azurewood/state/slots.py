"""The slots that this daemon may use, and where its idle ones are.

A slot is idle, busy or lent. An idle slot of a usable host puts the host
into its service's list of ready hosts.
"""

from azurewood.state import model


def set_owned(
    state: model.State, host: model.HostView, owned: set[int]
) -> None:
    """Set the slots of a host that this daemon owns."""
    host.owned = owned
    host.idle = [
        number
        for number in sorted(owned)
        if number not in host.busy and number not in host.lent
    ]
    update(state, host)


def withdraw(state: model.State, host: model.HostView) -> None:
    """Take a host out of its service's ready hosts."""
    host.usable = False
    _unready(state, host)


def update(state: model.State, host: model.HostView) -> None:
    """Bring the list of ready hosts up to date for one host."""
    if host.usable and host.idle:
        _ready(state, host)
    else:
        _unready(state, host)


def _ready(state: model.State, host: model.HostView) -> None:
    view = state.services[host.service]
    if host.name not in view.place:
        view.place[host.name] = len(view.ready)
        view.ready.append(host.name)


def _unready(state: model.State, host: model.HostView) -> None:
    """Remove a host from the ready ones: the last one takes its place."""
    view = state.services.get(host.service)
    place = view.place.pop(host.name, None) if view else None
    if place is None:
        return
    last = view.ready.pop()
    if last != host.name:
        view.ready[place] = last
        view.place[last] = place


def take(state: model.State, host: model.HostView) -> int:
    """Take an idle slot of a host; the host must have one."""
    number = host.idle.pop()
    host.busy.add(number)
    if not host.idle:
        _unready(state, host)
    return number


def give_back(state: model.State, host: model.HostView, number: int) -> None:
    """Free a slot that a request held."""
    host.busy.discard(number)
    if number in host.owned and number not in host.lent:
        host.idle.append(number)
    update(state, host)
