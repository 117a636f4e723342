"""Plans and proposes moves of hosts between pools on demand.

Rendezvous hashing over the live daemons chooses the few that plan moves and,
for each pair of pools, the one planner that proposes its moves. If two
daemons propose a move of the same host, the fold accepts only one, as each
proposal is based on a revision of the host.
"""

import collections
import collections.abc

from azurewood.fleet import model as fleet_model
from azurewood.policy import demand
from azurewood.policy import moves
from azurewood.policy import ownership
from azurewood.state import agreed as agreed_state
from azurewood.state import duties
from azurewood.state import effects
from azurewood.state import jobs
from azurewood.state import model
from azurewood.state import records
from azurewood.state import views

PLAN_INTERVAL_S = 0.2
OBSERVATION_S = 2.0
PLANNER_COUNT = 3

HostPhase = agreed_state.HostPhase
Effects = collections.abc.Iterator[effects.AnyEffect]


def tick(state: model.State, now: float) -> Effects:
    """Plan moves and propose those for which this daemon is the owner.

    A daemon that becomes a planner waits for ``OBSERVATION_S`` first.
    """
    mover = state.mover
    preset = views.preset_in_force(state)
    if preset is None or now < mover.plan_at:
        return
    if state.me.name not in _planners(state):
        mover.plan_at = 0.0
        return
    if not mover.plan_at:
        mover.plan_at = now + OBSERVATION_S
        mover.memory = moves.MoveDeadlines()
        mover.samples.clear()
        return
    mover.plan_at = now + PLAN_INTERVAL_S
    if isinstance(preset.moves, fleet_model.FixedPools):
        return
    loads = _loads(state, preset, now)
    needs = moves.find_needs(preset.moves, loads, mover.memory, now)
    if needs:
        yield from _propose(state, preset, needs, loads, now)


def _planners(state: model.State) -> tuple[str, ...]:
    """Return the live daemons that plan moves.

    They are computed again when the live daemons change.
    """
    mover = state.mover
    if mover.planners_of != state.alive or not mover.planners:
        daemons = (*state.alive, state.me.name)
        ranked = sorted(
            daemons,
            key=lambda name: ownership.weight("mover", name),
            reverse=True,
        )
        mover.planners_of = state.alive
        mover.planners = tuple(ranked[:PLANNER_COUNT])
    return mover.planners


def _propose(
    state: model.State,
    preset: fleet_model.Preset,
    needs: list[moves.Need],
    loads: dict[str, moves.PoolLoad],
    now: float,
) -> Effects:
    wanted = moves.choose_hosts(
        preset.moves,
        needs,
        loads,
        _serving_hosts(state, needs),
        _free_team_quota(state),
    )
    for move in wanted:
        pair = f"{move.from_pool}>{move.to_pool}"
        if ownership.owner(pair, _planners(state)) != state.me.name:
            continue
        change = records.MoveHost(
            to_pool=move.to_pool,
            reason=move.reason,
            drain_ms=preset.maintenance.drain_ms,
        )
        host = state.agreed.hosts[move.host]
        yield from jobs.propose(state, host, change, now)


def _loads(
    state: model.State, preset: fleet_model.Preset, now: float
) -> dict[str, moves.PoolLoad]:
    """Return the load of each pool that has a service."""
    capacity = _capacity(state)
    targets = {target.pool: target for target in preset.targets}
    spare = {pool.name: pool.spare for pool in state.agreed.fleet.pools}
    is_known = views.has_peers_in_every_zone(state)
    loads = {}
    for service in state.agreed.fleet.services:
        name = service.pool
        target = targets.get(name) or fleet_model.PoolTarget(pool=name)
        counted = count_requests(state, service.name)
        found = capacity.get(name) or duties.PoolCapacity()
        loads[name] = moves.PoolLoad(
            name=name,
            busy=counted.busy,
            waiting=counted.waiting,
            demand=_observe(state, name, counted, now),
            slots=found.slots,
            hosts=found.hosts,
            incoming=found.incoming,
            outgoing=found.outgoing,
            min_hosts=target.min_hosts,
            max_hosts=target.max_hosts,
            spare=spare.get(name, False),
            team=service.team,
            known=is_known,
        )
    return loads


def count_requests(state: model.State, service: str) -> model.Count:
    """Return the sum of a service's counters over all live daemons."""
    total = model.Count()
    view = state.services.get(service)
    if view is not None:
        total.busy, total.waiting = view.in_flight, view.waiting
        total.good, total.bad = view.count.good, view.count.bad
    for name in state.alive:
        count = state.peers[name].counts.get(service)
        if count is not None:
            total.busy += count.busy
            total.waiting += count.waiting
            total.good += count.good
            total.bad += count.bad
    return total


def _observe(
    state: model.State, pool: str, counted: model.Count, now: float
) -> float:
    """Record a sample of a pool's counters; return its demand in slots."""
    samples = state.mover.samples.setdefault(pool, collections.deque())
    sample = demand.Sample(
        at=now,
        busy=counted.busy,
        waiting=counted.waiting,
        ended=counted.good + counted.bad,
    )
    demand.observe(samples, sample)
    return demand.slots_wanted(samples)


def _capacity(state: model.State) -> dict[str, duties.PoolCapacity]:
    """Return each pool's capacity.

    It is computed again when the view of hosts has changed.
    """
    mover = state.mover
    if mover.capacity_of != state.view_generation:
        mover.capacity_of = state.view_generation
        mover.capacity = _count_capacity(state)
    return mover.capacity


def _count_capacity(state: model.State) -> dict[str, duties.PoolCapacity]:
    pools: dict[str, duties.PoolCapacity] = collections.defaultdict(
        duties.PoolCapacity
    )
    for host in state.agreed.hosts.values():
        view = state.hosts[host.name]
        pool = pools[host.pool]
        match host.phase:
            case HostPhase.SERVING if view.usable:
                pool.slots += view.slots
                pool.hosts += 1
            case HostPhase.STARTING if view.listed == views.LIVE:
                if not host.failures:
                    pool.incoming += view.slots
            case HostPhase.LEAVING:
                pool.outgoing += view.slots
                pools[host.target].incoming += view.slots
    return dict(pools)


def _serving_hosts(
    state: model.State, needs: list[moves.Need]
) -> dict[str, list[moves.HostLoad]]:
    """Return the serving hosts of the pools that the needs name."""
    found: dict[str, list[moves.HostLoad]] = {
        pool: [] for need in needs for pool in (need.pool, *need.donors)
    }
    for host in state.agreed.hosts.values():
        view = state.hosts[host.name]
        if view.usable and host.pool in found:
            found[host.pool].append(
                moves.HostLoad(
                    name=view.name,
                    zone=view.zone,
                    rack=view.rack,
                    slots=view.slots,
                    busy=len(view.busy),
                )
            )
    return found


def _free_team_quota(state: model.State) -> dict[str, int]:
    """Return how many more hosts each team's quota allows."""
    fleet = state.agreed.fleet
    team_of = {service.pool: service.team for service in fleet.services}
    hosts_by_team = collections.Counter(
        team_of.get(host.target or host.pool, "")
        for host in state.agreed.hosts.values()
    )
    return {
        team.name: team.host_quota - hosts_by_team[team.name]
        for team in fleet.teams
    }
