"""Each host's steward: the daemon that carries out what is agreed for it.

The steward is chosen by rendezvous hashing over the live daemons of the
host's zone. Two stewards at once do no harm: tasks have ids, and the fold
accepts only one proposal for a revision of a host.
"""

import collections.abc

from azurewood.fleet import model as fleet_model
from azurewood.policy import ownership
from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import model
from azurewood.state import outbox
from azurewood.state import records
from azurewood.state import views

REDO_S = 2.0
PROPOSAL_S = 5.0
SETTLE_S = 1.0
GRACE_MS = 30000
RENEW_S = 5.0

HostPhase = agreed_state.HostPhase
Effects = collections.abc.Iterator[effects.AnyEffect]


def tick(state: model.State, now: float) -> Effects:
    """Act for the hosts of this daemon, and renew their leases."""
    if state.agreed.fleet is None:
        return
    mine = _stewarded(state)
    for host in mine:
        if host.phase != HostPhase.SERVING:
            yield from _act(state, host, now)
    if now >= state.steward.renew_at:
        state.steward.renew_at = now + RENEW_S
        yield from _renew(mine)
    _forget(state, now)


def _stewarded(state: model.State) -> list[agreed_state.HostState]:
    members = views.members_by_zone(state)
    everyone = (*state.alive, state.me.name)
    return [
        host
        for host in state.agreed.hosts.values()
        if ownership.owner(
            host.name,
            members.get(state.hosts[host.name].zone, everyone),
        )
        == state.me.name
    ]


def _renew(hosts: list[agreed_state.HostState]) -> Effects:
    ids = tuple(host.task for host in hosts if host.phase != HostPhase.DOWN)
    if ids:
        yield effects.RenewLeases(ids=ids)


def _is_due(
    state: model.State, host: agreed_state.HostState, now: float
) -> bool:
    """Tell whether to act, at most once in a while for one revision."""
    key = f"{host.name}@{host.revision}"
    if state.steward.acted.get(key, 0.0) > now:
        return False
    state.steward.acted[key] = now + REDO_S
    return True


def _forget(state: model.State, now: float) -> None:
    acted = state.steward.acted
    for key in [key for key, until in acted.items() if until <= now]:
        del acted[key]


def _act(
    state: model.State, host: agreed_state.HostState, now: float
) -> Effects:
    task = state.tasks.get(host.task, "")
    match host.phase:
        case HostPhase.STARTING if task == "running":
            yield from _propose(state, host, records.MarkServing(), now)
        case HostPhase.STARTING:
            yield from _start(state, host, now)
        case HostPhase.LEAVING | HostPhase.DRAINING:
            yield from _drain(state, host, task, now)
        case HostPhase.DOWN:
            yield from _reboot(state, host, now)


def _propose(
    state: model.State,
    host: agreed_state.HostState,
    change: records.AnyChange,
    now: float,
) -> Effects:
    if not _is_due(state, host, now):
        return
    proposal = records.Proposal(
        object=records.host_object(host.name),
        base=host.revision,
        change=change,
    )
    entry = model.Pending(
        ticket=outbox.NOBODY,
        proposals=(proposal,),
        deadline=now + PROPOSAL_S,
    )
    yield from outbox.submit(state, entry, now)


def _start(
    state: model.State, host: agreed_state.HostState, now: float
) -> Effects:
    service = _service_of(state, host.pool)
    if service is None or not _is_due(state, host, now):
        return
    yield effects.StartTask(
        id=host.task,
        host=host.name,
        service=service.name,
        address=state.hosts[host.name].address,
        port=service.port,
    )


def _service_of(state: model.State, pool: str) -> fleet_model.Service | None:
    services = state.agreed.fleet.services
    return next((item for item in services if item.pool == pool), None)


def _drain(
    state: model.State,
    host: agreed_state.HostState,
    task: str,
    now: float,
) -> Effects:
    """Stop the job once no request runs on it, then say that it stopped."""
    if task in ("stopped", "failed"):
        yield from _propose(state, host, _after_stop(host), now)
    elif _is_drained(state, host, now) and _is_due(state, host, now):
        yield effects.StopTask(id=host.task, grace_ms=GRACE_MS)


def _after_stop(host: agreed_state.HostState) -> records.AnyChange:
    if host.phase == HostPhase.LEAVING:
        return records.ReleaseHost()
    return records.MarkDown()


def _is_drained(
    state: model.State, host: agreed_state.HostState, now: float
) -> bool:
    """Tell whether every live daemon has seen the drain and none waits."""
    if state.hosts[host.name].busy:
        return False
    return all(
        peer.revision >= host.revision and host.name not in peer.draining
        for peer in state.peers.values()
        if peer.alive_until > now
    )


def _reboot(
    state: model.State, host: agreed_state.HostState, now: float
) -> Effects:
    """Reboot a host that is down for that, and bring it back."""
    if not host.reboot:
        return
    key = f"reboot {host.name}@{host.revision}"
    if key not in state.steward.acted:
        state.steward.acted[key] = now + SETTLE_S
        yield effects.RebootHost(host=host.name)
    elif (
        state.hosts[host.name].listed == views.LIVE
        and state.steward.acted[key] <= now
    ):
        yield from _propose(
            state,
            host,
            records.ReturnHost(reason="rebooted"),
            now,
        )
