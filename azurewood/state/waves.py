"""Drives maintenance waves: drains their hosts as the preset allows.

Rendezvous hashing chooses the live daemon that drives a wave. If two drive
one, the fold still enforces the preset's limit of hosts in maintenance.
"""

import collections.abc

from azurewood.fleet import model as fleet_model
from azurewood.policy import maintenance
from azurewood.policy import ownership
from azurewood.state import agreed as agreed_state
from azurewood.state import budgets
from azurewood.state import effects
from azurewood.state import jobs
from azurewood.state import model
from azurewood.state import move_planning
from azurewood.state import records
from azurewood.state import views

DRIVE_INTERVAL_S = 0.5
OBSERVATION_S = 3.0
AUTOMATIC_PAUSE_PREFIX = "paused by its gate: "

HostPhase = agreed_state.HostPhase
WavePhase = agreed_state.WavePhase
Effects = collections.abc.Iterator[effects.AnyEffect]


def tick(state: model.State, now: float) -> Effects:
    """Drive the waves that this daemon owns.

    A daemon first observes for ``OBSERVATION_S``.
    """
    budget_state = state.budgets
    preset = views.preset_in_force(state)
    if preset is None or not state.agreed.waves or now < budget_state.drive_at:
        return
    is_first = not budget_state.drive_at
    budget_state.drive_at = now + (
        OBSERVATION_S if is_first else DRIVE_INTERVAL_S
    )
    if is_first or not views.has_peers_in_every_zone(state):
        return
    daemons = (*state.alive, state.me.name)
    for wave in state.agreed.waves.values():
        is_mine = ownership.owner(wave.name, daemons) == state.me.name
        if is_mine and wave.phase != WavePhase.DONE:
            yield from _drive(state, wave, preset.maintenance, now)


def _drive(
    state: model.State,
    wave: agreed_state.WaveState,
    rules: fleet_model.Maintenance,
    now: float,
) -> Effects:
    waiting = set(wave.hosts) - set(wave.done)
    pools = list(_pools(state, waiting, now))
    policy = state.budgets.wave_policy
    reason = maintenance.pause_reason(policy, rules, pools)
    match wave.phase:
        case WavePhase.RUNNING if reason:
            change = records.PauseWave(reason=AUTOMATIC_PAUSE_PREFIX + reason)
            yield from _propose(state, wave, change, now)
        case WavePhase.RUNNING:
            yield from _drain_next(state, wave, rules, pools, now)
        case WavePhase.PAUSED if not reason:
            if wave.reason.startswith(AUTOMATIC_PAUSE_PREFIX):
                change = records.ResumeWave()
                yield from _propose(state, wave, change, now)


def _drain_next(
    state: model.State,
    wave: agreed_state.WaveState,
    rules: fleet_model.Maintenance,
    pools: list[maintenance.PoolFacts],
    now: float,
) -> Effects:
    waiting = set(wave.hosts) - set(wave.done)
    for name in maintenance.next_hosts(
        state.budgets.wave_policy, rules, pools, waiting
    ):
        change = records.DrainHost(
            reason=f"maintenance wave {wave.name}",
            drain_ms=rules.drain_ms,
            wave=wave.name,
        )
        host = state.agreed.hosts[name]
        yield from jobs.propose(state, host, change, now)


def _propose(
    state: model.State,
    wave: agreed_state.WaveState,
    change: records.AnyChange,
    now: float,
) -> Effects:
    yield from jobs.propose_for(
        state, records.wave_object(wave.name), wave.revision, change, now
    )


def _pools(
    state: model.State, waiting: set[str], now: float
) -> collections.abc.Iterator[maintenance.PoolFacts]:
    """Yield the pools of waiting hosts, each with all of its hosts."""
    members = _members(state)
    hosts = state.agreed.hosts
    concerned = {hosts[name].pool for name in waiting if name in hosts}
    for pool in sorted(concerned):
        service = jobs.service_of(state, pool)
        counted = move_planning.count_requests(
            state, service.name if service else ""
        )
        peak = state.budgets.peaks.setdefault(pool, maintenance.Peak())
        yield maintenance.PoolFacts(
            name=pool,
            hosts=members[pool],
            demand=maintenance.record_demand(
                peak, counted.busy + counted.waiting, now
            ),
            budget_left=budgets.left(state, pool),
        )


def _members(
    state: model.State,
) -> dict[str, tuple[maintenance.PoolHost, ...]]:
    """Return each pool's hosts.

    They are computed again when the view of hosts has changed.
    """
    budget_state = state.budgets
    if budget_state.members_of != state.view_generation:
        members: dict[str, list[maintenance.PoolHost]] = {}
        for host in state.agreed.hosts.values():
            members.setdefault(host.pool, []).append(_pool_host(state, host))
        budget_state.members = {
            pool: tuple(found) for pool, found in members.items()
        }
        budget_state.members_of = state.view_generation
    return budget_state.members


def _pool_host(
    state: model.State, host: agreed_state.HostState
) -> maintenance.PoolHost:
    view = state.hosts[host.name]
    return maintenance.PoolHost(
        name=host.name,
        zone=view.zone,
        rack=view.rack,
        slots=view.slots,
        serving=view.usable,
        in_wave=bool(host.wave),
    )
