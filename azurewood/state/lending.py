"""Slots between peers: borrowing, lending, returning and taking over.

Messages may be lost, late or reordered. A loan therefore ends for the
borrower a fixed time after it sent its request, for the owner a longer time
after it lent the slot, and a return names the request for which the slot
was lent.
"""

import collections.abc
import itertools

from azurewood.peers import messages
from azurewood.policy import slots as policy
from azurewood.state import effects
from azurewood.state import lent_slots
from azurewood.state import model
from azurewood.state import slots
from azurewood.state import zones

REQUEST_ID_BITS = 53
TAKE_OVER_INTERVAL_S = 0.2
ANSWER_TIMEOUT_S = 0.25
"""How long a lender counts as about to answer."""
MS_PER_S = 1000

Effects = collections.abc.Iterator[effects.AnyEffect]


def borrow(state: model.State, view: model.ServiceView, now: float) -> Effects:
    """Ask some peers to lend idle slots, peers of this zone first."""
    match state.policies.slots:
        case policy.LentSlots() as lent:
            pass
        case _:
            return
    if now < state.lending.ask_at.get(view.name, 0.0):
        return
    state.lending.ask_at[view.name] = now + lent.every_s
    peers = _lenders(state, view.name, now)
    chosen = state.rng.sample(peers, min(lent.fanout, len(peers)))
    for peer in chosen:
        wanted = -(-view.waiting // len(chosen))
        yield _ask_peer(state, view, peer, min(wanted, lent.at_once), now)


def _ask_peer(
    state: model.State,
    view: model.ServiceView,
    peer: str,
    count: int,
    now: float,
) -> effects.SendPeer:
    """Request a number of slots of a service from a peer."""
    request = state.rng.getrandbits(REQUEST_ID_BITS)
    state.lending.asks[request] = lent_slots.SlotRequest(
        peer=peer, service=view.name, at=now, count=count
    )
    pending = state.lending.pending.setdefault(view.name, {})
    pending[peer] = now + ANSWER_TIMEOUT_S
    return effects.SendPeer(
        address=state.peers[peer].address,
        message=messages.Borrow(
            request=request, service=view.name, count=count
        ),
    )


def _lenders(state: model.State, service: str, now: float) -> list[str]:
    """Return the live peers to ask for slots of a service.

    Peers of other zones are asked once every peer of this zone has either
    answered that it has no more idle slots or not answered in time.
    """
    dry = state.lending.dry.get(service, {})
    pending = state.lending.pending.get(service, {})
    near = []
    far = []
    is_near_pending = False
    for name in state.alive:
        is_near = state.peers[name].zone == state.me.zone
        if pending.get(name, 0.0) > now:
            is_near_pending |= is_near
        elif dry.get(name, 0.0) <= now:
            (near if is_near else far).append(name)
    if near or is_near_pending:
        return near
    return far


def handle_message(
    state: model.State, sender: str, message: messages.AnyMessage, now: float
) -> Effects:
    """Handle a peer's message if it is about slots."""
    match state.policies.slots:
        case policy.FixedShare():
            return
    match message:
        case messages.Borrow() if sender in state.peers:
            yield _lend(state, sender, message, now)
        case messages.Lend():
            _handle_lend(state, sender, message, now)
        case messages.GiveBack():
            _handle_give_back(state, sender, message)
        case messages.TakeOver() if sender in state.peers:
            yield _handle_take_over(state, sender, message)
        case messages.SlotsFree():
            _handle_slots_free(state, sender, message)


def _lend(
    state: model.State, sender: str, message: messages.Borrow, now: float
) -> effects.SendPeer:
    """Lend idle slots to a peer, unless requests are queued for them here."""
    lent = state.policies.slots
    view = state.services.get(message.service)
    chosen: list[messages.Slot] = []
    if view is not None and not view.waiting:
        count = min(message.count, lent.at_once)
        chosen.extend(itertools.islice(_idle_owned(state, view), count))
    until = now + state.lending.settle_s
    for slot in chosen:
        host = state.hosts[slot.host]
        host.lent[slot.number] = lent_slots.LentSlot(
            peer=sender, until=until, request=message.request
        )
        state.lending.hosts.add(host.name)
        slots.refresh_idle(state, host)
    return effects.SendPeer(
        address=state.peers[sender].address,
        message=messages.Lend(
            request=message.request,
            service=message.service,
            slots=tuple(chosen),
            ttl_ms=int(lent.start_s * MS_PER_S),
        ),
    )


def _idle_owned(
    state: model.State, view: model.ServiceView
) -> collections.abc.Iterator[messages.Slot]:
    """Yield the idle slots that this daemon owns, hosts in random order."""
    names = [*view.near.names, *view.far.names]
    state.rng.shuffle(names)
    for name in names:
        host = state.hosts[name]
        for number in host.idle:
            if number in host.owned and number not in host.borrowed:
                yield messages.Slot(host=name, number=number)


def _handle_lend(
    state: model.State, sender: str, message: messages.Lend, now: float
) -> None:
    """Record the slots that a peer lent.

    A loan that arrives after its end is recorded too: it is never started
    on, and is returned at the next use or tick.
    """
    ask = state.lending.asks.get(message.request)
    if ask is None or ask.answered or ask.peer != sender:
        return
    ask.answered = True
    state.lending.pending[ask.service].pop(sender, None)
    if len(message.slots) < ask.count:
        dry = state.lending.dry.setdefault(ask.service, {})
        dry[sender] = now + state.policies.slots.dry_s
    until = ask.at + message.ttl_ms / MS_PER_S
    for slot in message.slots:
        host = state.hosts.get(slot.host)
        if host is None or slot.number in host.borrowed:
            continue
        host.borrowed[slot.number] = lent_slots.LentSlot(
            peer=sender,
            until=until,
            request=message.request,
            idle_since=now,
        )
        state.lending.hosts.add(host.name)
        slots.refresh_idle(state, host)


def _handle_give_back(
    state: model.State, sender: str, message: messages.GiveBack
) -> None:
    """Take lent slots back.

    A return that names an earlier loan is ignored: the slot may have been
    lent again since.
    """
    for slot in message.slots:
        host = state.hosts.get(slot.host)
        lent = host.lent.get(slot.number) if host else None
        if lent is None or lent.peer != sender:
            continue
        if lent.request == message.request:
            del host.lent[slot.number]
            slots.refresh_idle(state, host)


def _handle_take_over(
    state: model.State, sender: str, message: messages.TakeOver
) -> effects.SendPeer:
    """Answer which of the asked slots this daemon no longer uses."""
    free = tuple(
        slot for slot in message.slots if _may_take_over(state, sender, slot)
    )
    return effects.SendPeer(
        address=state.peers[sender].address,
        message=messages.SlotsFree(request=message.request, slots=free),
    )


def _may_take_over(
    state: model.State, sender: str, slot: messages.Slot
) -> bool:
    """Return whether a peer owns a slot in this view and it is unused here."""
    host = state.hosts.get(slot.host)
    if host is None:
        return not state.lending.is_viewed
    is_theirs = slot.number < len(host.owners) and (
        host.owners[slot.number] == sender
    )
    is_used = (
        slot.number in host.busy
        or slot.number in host.lent
        or slot.number in host.borrowed
    )
    return is_theirs and not is_used


def _handle_slots_free(
    state: model.State, sender: str, message: messages.SlotsFree
) -> None:
    """Record that a peer does not use some slots that settle here."""
    if message.request != state.lending.take_over or not message.request:
        return
    for slot in message.slots:
        host = state.hosts.get(slot.host)
        settling = host.settling.get(slot.number) if host else None
        if settling is not None:
            settling.awaiting.discard(sender)
            if not settling.awaiting:
                del host.settling[slot.number]
                slots.refresh_idle(state, host)


def tick(state: model.State, now: float) -> Effects:
    """Expire loans, return idle borrowed slots and continue the settling."""
    match state.policies.slots:
        case policy.LentSlots() as lent:
            pass
        case _:
            return
    for name in tuple(state.lending.hosts):
        _expire_loans(state, name, lent, now)
    for name in tuple(state.lending.settling):
        _update_settling(state, name, now)
    _expire_asks(state, lent, now)
    if now >= state.lending.take_over_at:
        state.lending.take_over_at = now + TAKE_OVER_INTERVAL_S
        yield from _ask_to_take_over(state)
    yield from send_returns(state)
    for view in state.services.values():
        if view.waiting and not (view.near.names or view.far.names):
            yield from borrow(state, view, now)


def _expire_loans(
    state: model.State, name: str, lent: policy.LentSlots, now: float
) -> None:
    """Expire the loans of a host's slots and return idle borrowed ones."""
    host = state.hosts.get(name)
    if host is None or not (host.lent or host.borrowed):
        state.lending.hosts.discard(name)
        return
    for number, slot in tuple(host.lent.items()):
        if slot.until <= now:
            del host.lent[number]
    view = state.services.get(host.service)
    is_wanted = view is not None and view.waiting and host.usable
    for number, slot in tuple(host.borrowed.items()):
        is_idle = not is_wanted and slot.idle_since + lent.idle_s <= now
        if number not in host.busy and (is_idle or slot.until <= now):
            slots.return_borrowed(state, host, number)
    slots.refresh_idle(state, host)


def _update_settling(state: model.State, name: str, now: float) -> None:
    """End the settling of slots that no daemon can be using any more.

    Once this daemon has had time to hear from its peers, the placeholder
    for unknown peers gives way to the daemons that may have owned the slot.
    """
    host = state.hosts.get(name)
    if host is None or not host.settling:
        state.lending.settling.discard(name)
        return
    for number, slot in tuple(host.settling.items()):
        if slots.UNKNOWN_PEERS in slot.awaiting and _is_wait_for_peers_over(
            state, now
        ):
            slot.awaiting = set(_possible_owners(state, host))
        if slot.until <= now or not slot.awaiting:
            del host.settling[number]
    slots.refresh_idle(state, host)


def _is_wait_for_peers_over(state: model.State, now: float) -> bool:
    """Return whether this daemon has had time to hear from its peers."""
    since = max(state.born_at, state.woken_at)
    return now >= since + state.timing.peer_timeout_s


def _possible_owners(
    state: model.State, host: model.HostView
) -> tuple[str, ...]:
    """Return the other daemons that may have owned slots of a host."""
    by_zone = zones.members_by_zone(state)
    names = by_zone.get(host.zone, state.alive)
    return tuple(name for name in names if name != state.me.name)


def _expire_asks(
    state: model.State, lent: policy.LentSlots, now: float
) -> None:
    """Remove the slot requests whose loans would have expired by now."""
    asks = state.lending.asks
    old = [key for key, ask in asks.items() if ask.at + lent.start_s <= now]
    for key in old:
        del asks[key]


def _ask_to_take_over(state: model.State) -> Effects:
    """Ask the former owners of settling slots whether they still use them."""
    wanted: dict[str, list[messages.Slot]] = {}
    for name in sorted(state.lending.settling):
        for number, slot in state.hosts[name].settling.items():
            for peer in slot.awaiting:
                wanted.setdefault(peer, []).append(
                    messages.Slot(host=name, number=number)
                )
    if wanted and not state.lending.take_over:
        state.lending.take_over = state.rng.getrandbits(REQUEST_ID_BITS)
    for peer in sorted(wanted.keys() & state.peers.keys()):
        yield effects.SendPeer(
            address=state.peers[peer].address,
            message=messages.TakeOver(
                request=state.lending.take_over, slots=tuple(wanted[peer])
            ),
        )


def send_returns(state: model.State) -> Effects:
    """Send back the borrowed slots that are no longer used."""
    returns, state.lending.returns = state.lending.returns, []
    by_lending: dict[tuple[str, str, int], list[messages.Slot]] = {}
    for item in returns:
        key = (item.peer, item.service, item.request)
        by_lending.setdefault(key, []).append(
            messages.Slot(host=item.host, number=item.number)
        )
    for (peer, service, request), given in by_lending.items():
        if peer in state.peers:
            yield effects.SendPeer(
                address=state.peers[peer].address,
                message=messages.GiveBack(
                    request=request, service=service, slots=tuple(given)
                ),
            )
