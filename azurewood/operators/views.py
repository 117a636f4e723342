"""Views of a daemon's state that the operators' interface returns."""

import collections
import typing

import msgspec

from azurewood.operators import messages
from azurewood.state import agreed as agreed_state
from azurewood.state import model
from azurewood.state import slots
from azurewood.state import transitions

Knowledge = messages.Knowledge
HostPhase = agreed_state.HostPhase


def readiness(state: model.State) -> messages.Readiness:
    """Return whether the daemon is ready for callers' requests."""
    reasons = []
    if state.agreed.fleet is None:
        reasons.append("no configuration has been read yet")
        if not state.log.reachable:
            reasons.append("the platform's log cannot be read")
    if state.stopping_until:
        reasons.append("the daemon is stopping")
    if slots.are_all_settling(state):
        reasons.append("other daemons may still use this one's slots")
    return messages.Readiness(ready=not reasons, reasons=tuple(reasons))


def dump(state: model.State) -> dict[str, typing.Any]:
    """Return the daemon's state without cached records and random state."""
    plain = model.to_builtins(state)
    plain["log"].pop("recent", None)
    plain.pop("rng", None)
    return msgspec.to_builtins(plain)


def agreed(state: model.State) -> messages.AgreedView:
    """Return the agreed state, with claims and verdicts as numbers."""
    shared = state.agreed
    return messages.AgreedView(
        revision=shared.revision,
        incarnation=shared.incarnation,
        offset=shared.offset,
        fleet=shared.fleet,
        fleet_revision=shared.fleet_revision,
        in_force=shared.in_force,
        in_force_revision=shared.in_force_revision,
        presets=dict(shared.presets),
        hosts=dict(shared.hosts),
        waves=dict(shared.waves),
        claims=len(shared.claims),
        verdicts=len(shared.verdicts),
    )


def status(state: model.State) -> messages.Status:
    """Return a summary of the deployment as this daemon sees it."""
    shared = state.agreed
    return messages.Status(
        daemon=state.me.name,
        zone=state.me.zone,
        ready=readiness(state).ready,
        revision=shared.revision,
        in_force=shared.in_force,
        in_force_revision=shared.in_force_revision,
        log_reachable=state.log.reachable,
        daemons=list(_daemons(state)),
        services=list(_services(state)),
        pools=list(_pools(state)),
        hosts=list(shared.hosts.values()),
        waves=list(shared.waves.values()),
    )


def _daemons(state: model.State) -> typing.Iterator[messages.DaemonStatus]:
    yield messages.DaemonStatus(
        daemon=state.me.name,
        zone=state.me.zone,
        revision=state.agreed.revision,
        log_reachable=state.log.reachable,
        alive=True,
        stopping=bool(state.stopping_until),
    )
    for peer in state.peers.values():
        yield messages.DaemonStatus(
            daemon=peer.name,
            zone=peer.zone,
            revision=peer.revision,
            log_reachable=peer.log_reachable,
            alive=peer.alive_until > state.stepped_at,
            stopping=peer.stopping,
        )


def _services(state: model.State) -> typing.Iterator[messages.ServiceStatus]:
    if state.agreed.fleet is None:
        return
    hosts = collections.Counter(
        host.service for host in state.hosts.values() if host.usable
    )
    for service in state.agreed.fleet.services:
        view = state.services.get(service.name)
        if view is None:
            continue
        good, bad = _answer_counts(state, view)
        yield messages.ServiceStatus(
            service=view.name,
            pool=service.pool,
            waiting=view.waiting,
            in_flight=view.in_flight,
            good=view.count.good,
            bad=view.count.bad,
            hosts=hosts[view.name],
            availability=service.availability,
            all_good=good,
            all_bad=bad,
            budget_left=_budget_left(good, bad, service.availability),
        )


def _answer_counts(
    state: model.State, view: model.ServiceView
) -> tuple[int, int]:
    """Return the numbers of good and bad answers of all known daemons."""
    counts = [view.count]
    counts.extend(
        peer.counts[view.name]
        for peer in state.peers.values()
        if view.name in peer.counts
    )
    return sum(c.good for c in counts), sum(c.bad for c in counts)


def _budget_left(good: int, bad: int, availability: float) -> float:
    """Return the unused share of the error budget.

    It is -1.0 if no bad answers are allowed and there were some.
    """
    allowed = (good + bad) * (1.0 - availability)
    if not bad:
        return 1.0
    return 1.0 - bad / allowed if allowed else -1.0


def _pools(state: model.State) -> typing.Iterator[messages.PoolStatus]:
    if state.agreed.fleet is None:
        return
    phases: dict[str, collections.Counter[str]] = {
        pool.name: collections.Counter() for pool in state.agreed.fleet.pools
    }
    for host in state.agreed.hosts.values():
        phases[host.pool][host.phase.value] += 1
    for pool in state.agreed.fleet.pools:
        yield messages.PoolStatus(
            pool=pool.name,
            spare=pool.spare,
            hosts=phases[pool.name].total(),
            phases=dict(phases[pool.name]),
        )


def object_view(state: model.State, name: str) -> messages.ObjectView:
    """Return an object's revision and who caused it."""
    revision = transitions.revision_of(state.agreed, name)
    verdict = _verdict_of(state.agreed, name, revision)
    return messages.ObjectView(
        object=name,
        revision=revision,
        author=messages.author(verdict.ticket) if verdict else "",
        writer=verdict.writer if verdict else "",
    )


def _verdict_of(
    shared: agreed_state.Agreed, name: str, revision: int
) -> agreed_state.Verdict | None:
    """Return the verdict that created a revision, if it is still kept."""
    for verdict in reversed(shared.verdicts.values()):
        if verdict.object == name and verdict.revision == revision:
            return verdict
    return None


def host(state: model.State, name: str) -> messages.HostView | None:
    """Return a host's state and the reasons for it, or None if unknown."""
    found = state.agreed.hosts.get(name)
    seen = state.hosts.get(name)
    if found is None or seen is None:
        return None
    verdict = _verdict_of(state.agreed, f"host:{name}", found.revision)
    return messages.HostView(
        host=found,
        zone=seen.zone,
        rack=seen.rack,
        address=seen.address,
        service=seen.service,
        listed=seen.listed,
        task_state=state.tasks.get(found.task, ""),
        usable=seen.usable,
        owned_slots=len(seen.owned),
        busy_slots=len(seen.busy),
        author=messages.author(verdict.ticket) if verdict else "",
        because=tuple(_host_explanation(state, found, seen)),
    )


def _host_explanation(
    state: model.State, found: agreed_state.HostState, seen: model.HostView
) -> typing.Iterator[str]:
    """Yield sentences that explain a host's state."""
    reason = f": {found.reason}" if found.reason else ""
    yield f"its pool is {found.pool}"
    match found.phase:
        case HostPhase.STARTING:
            yield f"its job {found.task} is being started{reason}"
        case HostPhase.SERVING:
            yield f"its job {found.task} takes requests{reason}"
        case HostPhase.LEAVING:
            yield f"it is moving to pool {found.target}{reason}"
        case HostPhase.DRAINING:
            yield f"it drains for maintenance{reason}"
        case HostPhase.DOWN:
            yield f"it is down for maintenance{reason}"
    if found.wave:
        yield f"maintenance wave {found.wave} works on it"
    if seen.listed != "live":
        yield f"the platform lists it as {seen.listed}"
    waiting = [
        peer.name
        for peer in state.peers.values()
        if seen.name in peer.draining
    ]
    if waiting:
        yield f"requests on it are in flight from {', '.join(waiting)}"
    if seen.busy:
        yield f"{len(seen.busy)} requests on it are in flight from here"


def outcome(state: model.State, verdict: str) -> messages.OutcomeView:
    """Return the outcome of a proposal as far as the log shows it.

    A proposal without a verdict can no longer be accepted if the log holds
    a later record of its writer. This does not apply to an id that was
    derived from a client's ticket: any daemon may still be sending it.
    """
    found = state.agreed.verdicts.get(verdict)
    if found is not None:
        return messages.OutcomeView(
            id=verdict,
            knowledge=(
                Knowledge.ACCEPTED if found.accepted else Knowledge.REJECTED
            ),
            revision=found.revision,
            reason=found.reason,
        )
    writer, sequence = _parse(verdict)
    known = state.agreed.writers.get(writer)
    is_passed = known is not None and (
        known.forgotten < sequence < known.sequence
    )
    knowledge = Knowledge.NOT_ACCEPTED if is_passed else Knowledge.UNKNOWN
    return messages.OutcomeView(id=verdict, knowledge=knowledge)


def _parse(verdict: str) -> tuple[str, int]:
    writer, _, rest = verdict.rpartition("/")[0].rpartition("/")
    return writer, int(rest) if rest.isdecimal() else 0
