"""Slots between peers: borrowed, lent, returned and taken over.

Messages may be lost, late or reordered: a borrower counts its deadline
from when it asked, an owner from when it lent, and what is returned names
the request in answer to which it was lent.
"""

import collections.abc
import itertools

from azurewood.peers import messages
from azurewood.policy import slots as policy
from azurewood.state import effects
from azurewood.state import model
from azurewood.state import slots
from azurewood.state import zones

REQUEST_BITS = 53
TAKE_OVER_EVERY_S = 0.2
ANSWER_S = 0.25
MS_PER_S = 1000

Effects = collections.abc.Iterator[effects.AnyEffect]


def borrow(state: model.State, view: model.ServiceView, now: float) -> Effects:
    """Ask some peers for idle slots, those of this zone first."""
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
        yield _ask(state, view, peer, min(wanted, lent.at_once), now)


def _ask(
    state: model.State,
    view: model.ServiceView,
    peer: str,
    count: int,
    now: float,
) -> effects.SendPeer:
    request = state.rng.getrandbits(REQUEST_BITS)
    state.lending.asks[request] = model.SlotRequest(
        peer=peer, service=view.name, at=now, count=count
    )
    pending = state.lending.pending.setdefault(view.name, {})
    pending[peer] = now + ANSWER_S
    return effects.SendPeer(
        address=state.peers[peer].address,
        message=messages.Borrow(
            request=request, service=view.name, count=count
        ),
    )


def _lenders(state: model.State, service: str, now: float) -> list[str]:
    """Return the live peers to ask: this zone's, and then the others'.

    Those of other zones are asked once all of this zone's have answered
    that they have no more, or have not answered.
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


def heard(
    state: model.State, sender: str, message: messages.AnyMessage, now: float
) -> Effects:
    """Take in a peer's message on slots."""
    match state.policies.slots:
        case policy.FixedShare():
            return
    match message:
        case messages.Borrow() if sender in state.peers:
            yield _lend(state, sender, message, now)
        case messages.Lend():
            _lent(state, sender, message, now)
        case messages.GiveBack():
            _given_back(state, sender, message)
        case messages.TakeOver() if sender in state.peers:
            yield _answer_take_over(state, sender, message)
        case messages.SlotsFree():
            _freed(state, sender, message)


def _lend(
    state: model.State, sender: str, message: messages.Borrow, now: float
) -> effects.SendPeer:
    """Lend idle slots of ours, unless requests wait for them here."""
    lent = state.policies.slots
    view = state.services.get(message.service)
    chosen: list[messages.Slot] = []
    if view is not None and not view.waiting:
        count = min(message.count, lent.at_once)
        chosen.extend(itertools.islice(_idle_owned(state, view), count))
    until = now + state.lending.settle_s
    for slot in chosen:
        host = state.hosts[slot.host]
        host.lent[slot.number] = model.LentSlot(
            peer=sender, until=until, request=message.request
        )
        state.lending.hosts.add(host.name)
        slots.refresh(state, host)
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
    """Yield idle slots of ours, from the hosts in random order."""
    names = [*view.near.names, *view.far.names]
    state.rng.shuffle(names)
    for name in names:
        host = state.hosts[name]
        for number in host.idle:
            if number in host.owned and number not in host.borrowed:
                yield messages.Slot(host=name, number=number)


def _lent(
    state: model.State, sender: str, message: messages.Lend, now: float
) -> None:
    """Use slots that a peer lent; return those that come too late."""
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
        host.borrowed[slot.number] = model.LentSlot(
            peer=sender,
            until=until,
            request=message.request,
            idle_since=now,
        )
        state.lending.hosts.add(host.name)
        slots.refresh(state, host)


def _given_back(
    state: model.State, sender: str, message: messages.GiveBack
) -> None:
    for slot in message.slots:
        host = state.hosts.get(slot.host)
        lent = host.lent.get(slot.number) if host else None
        if lent is None or lent.peer != sender:
            continue
        if lent.request == message.request:
            del host.lent[slot.number]
            slots.refresh(state, host)


def _answer_take_over(
    state: model.State, sender: str, message: messages.TakeOver
) -> effects.SendPeer:
    """Say which slots the sender may use as far as we are concerned."""
    free = tuple(
        slot for slot in message.slots if _may_take(state, sender, slot)
    )
    return effects.SendPeer(
        address=state.peers[sender].address,
        message=messages.SlotsFree(request=message.request, slots=free),
    )


def _may_take(state: model.State, sender: str, slot: messages.Slot) -> bool:
    """Tell whether a peer owns a slot here too, and we use it no more."""
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


def _freed(
    state: model.State, sender: str, message: messages.SlotsFree
) -> None:
    if message.request != state.lending.take_over or not message.request:
        return
    for slot in message.slots:
        host = state.hosts.get(slot.host)
        settling = host.settling.get(slot.number) if host else None
        if settling is not None:
            settling.awaiting.discard(sender)
            if not settling.awaiting:
                del host.settling[slot.number]
                slots.refresh(state, host)


def tick(state: model.State, now: float) -> Effects:
    """Return idle slots, and end what is lent, borrowed or settling."""
    match state.policies.slots:
        case policy.LentSlots() as lent:
            pass
        case _:
            return
    for name in tuple(state.lending.hosts):
        _expire(state, name, lent, now)
    for name in tuple(state.lending.settling):
        _settle(state, name, now)
    _forget_asks(state, lent, now)
    if now >= state.lending.take_over_at:
        state.lending.take_over_at = now + TAKE_OVER_EVERY_S
        yield from _ask_to_take_over(state)
    yield from send_returns(state)
    for view in state.services.values():
        if view.waiting and not (view.near.names or view.far.names):
            yield from borrow(state, view, now)


def _expire(
    state: model.State, name: str, lent: policy.LentSlots, now: float
) -> None:
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
            slots.give_up_borrowed(state, host, number)
    slots.refresh(state, host)


def _settle(state: model.State, name: str, now: float) -> None:
    """Free the slots whose time is up, and see who is to be awaited."""
    host = state.hosts.get(name)
    if host is None or not host.settling:
        state.lending.settling.discard(name)
        return
    for number, slot in tuple(host.settling.items()):
        if slots.GRACE in slot.awaiting and _is_grace_over(state, now):
            slot.awaiting = set(_members(state, host))
        if slot.until <= now or not slot.awaiting:
            del host.settling[number]
    slots.refresh(state, host)


def _is_grace_over(state: model.State, now: float) -> bool:
    """Tell whether we have had time to hear of our peers."""
    since = max(state.born_at, state.woken_at)
    return now >= since + state.timing.peer_timeout_s


def _members(state: model.State, host: model.HostView) -> tuple[str, ...]:
    """Return the other daemons that may have owned a host's slots."""
    by_zone = zones.members_by_zone(state)
    names = by_zone.get(host.zone, state.alive)
    return tuple(name for name in names if name != state.me.name)


def _forget_asks(
    state: model.State, lent: policy.LentSlots, now: float
) -> None:
    """Forget the asks whose answers no longer count."""
    asks = state.lending.asks
    old = [key for key, ask in asks.items() if ask.at + lent.start_s <= now]
    for key in old:
        del asks[key]


def _ask_to_take_over(state: model.State) -> Effects:
    """Ask those that had our settling slots before whether they use them."""
    wanted: dict[str, list[messages.Slot]] = {}
    for name in sorted(state.lending.settling):
        for number, slot in state.hosts[name].settling.items():
            for peer in slot.awaiting:
                wanted.setdefault(peer, []).append(
                    messages.Slot(host=name, number=number)
                )
    if wanted and not state.lending.take_over:
        state.lending.take_over = state.rng.getrandbits(REQUEST_BITS)
    for peer in sorted(wanted.keys() & state.peers.keys()):
        yield effects.SendPeer(
            address=state.peers[peer].address,
            message=messages.TakeOver(
                request=state.lending.take_over, slots=tuple(wanted[peer])
            ),
        )


def send_returns(state: model.State) -> Effects:
    """Return the borrowed slots that are used no more."""
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
