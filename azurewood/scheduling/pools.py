"""Moves of hosts between pools, planned by `azurewood.policy.pool_sizes`.

Only hosts without runs are moved. A host that is to be moved gets no more
tasks.
"""

import collections
import math
import typing

from azurewood.jobs import model as jobs
from azurewood.policy import pool_sizes
from azurewood.scheduling import backlog
from azurewood.scheduling import host_ends
from azurewood.scheduling import host_state
from azurewood.scheduling import machine_orders
from azurewood.scheduling import maintenance
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import orders
from azurewood.scheduling import pool_demand
from azurewood.scheduling import unseen
from azurewood.scheduling import waiting

PLAN_INTERVAL_S: typing.Final = 0.2
"""Pause between plans; a move takes more than a second."""
LOG_INTERVAL_S: typing.Final = 1.0
"""Pause between log lines about a pool."""
MAX_LIST_AGE_S: typing.Final = 1.2
"""Age of the machine list from which no moves are planned any more."""
MOVE_TIMEOUT_S: typing.Final = 6.0
"""Time from an order after which a move that the list doesn't show has failed,
unless its call is still open."""


def plan_moves(state: model.State, now: float, *, may_order: bool) -> None:
    """Record what pools need and order the planned moves."""
    if state.catalog is None or state.machines_at < 0:
        return
    if now < state.pools_due:
        return
    state.pools_due = now + PLAN_INTERVAL_S
    pools = _pools(state, now)
    pool_demand.record(state, pools, now)
    _log_pools(state, pools, now)
    if not may_order or now - state.machines_at > MAX_LIST_AGE_S:
        return
    moves = pool_sizes.plan(pools, state.demands, store_slow=state.store_slow)
    for move in moves:
        if state.may_order(move.machine, now):
            _order(state, move, now)


def _log_pools(
    state: model.State, pools: list[pool_sizes.Pool], now: float
) -> None:
    """Log the hosts, use, demand and backlog of each pool."""
    if now < state.pools_log_at:
        return
    state.pools_log_at = now + LOG_INTERVAL_S
    state.backlogs = backlog.by_pool(state)
    missing = collections.Counter(
        machine.pool
        for machine in state.machines.values()
        if unseen.is_unseen(state, machine)
    )
    for pool in pools:
        hosts = [
            host
            for host in state.hosts.values()
            if host.entry is not None and host.entry.service == pool.name
        ]
        demand = state.demands.get(pool.name)
        queued = state.backlogs.get(pool.name, waiting.Backlog())
        state.log_event(
            "pool.state",
            pool=pool.name,
            hosts=pool.hosts,
            coming=pool.coming,
            withholding=pool.withholding,
            idle=len(pool.idle),
            unseen=missing[pool.name],
            wanted=demand.wanted if demand else 0,
            used_cpu=sum(host.used.cpu for host in hosts if host.present),
            asked_cpu=demand.asked_cpu if demand else 0,
            jobs_waiting=queued.jobs,
            tasks_waiting=queued.tasks,
            oldest_ms=queued.age_ms(state.clock_ms),
        )


def capacities(state: model.State, now: float) -> dict[str, jobs.Resources]:
    """Return the capacity of each pool, with hosts that are on their way.

    So are the idle ones of the standby pool, which any pool may get: those
    for jobs that just arrived are ordered by the next plan.
    """
    found = _pools(state, now)
    parked = sum(len(pool.idle) for pool in found if pool.standby)
    return {
        pool.name: pool_demand.host_capacity(state, pool.name).times(
            pool.hosts + pool.coming + parked
        )
        for pool in found
        if not pool.standby
    }


def _pools(state: model.State, now: float) -> list[pool_sizes.Pool]:
    hosts = collections.defaultdict(float)
    coming = collections.Counter()
    withholding = collections.defaultdict(float)
    idle = collections.defaultdict(list)
    away = unseen.unreachable_zones(state)
    for machine in state.machines.values():
        move = state.moving.get(machine.name)
        if move is not None:
            coming[move.pool] += 1
        elif machine.state is messages.MachineState.UP:
            hosts[machine.pool] += _serving_hosts(state, machine)
            host = state.hosts.get(machine.host)
            if host is not None and (
                host.late_starts or host.incarnation.ends.withheld
            ):
                withholding[machine.pool] += _withholding_share(host)
            if _is_idle(state, machine, now):
                last = machine.zone in away
                idle[machine.pool].append((last, machine.name))
        elif machine.state is not messages.MachineState.DOWN:
            coming[machine.pool] += 1
    return [
        pool_sizes.Pool(
            name=pool.name,
            hosts=round(hosts[pool.name]),
            coming=coming[pool.name],
            withholding=round(withholding[pool.name]),
            idle=tuple(name for _, name in sorted(idle[pool.name])),
            standby=pool.standby,
        )
        for pool in state.catalog.pools.values()
    ]


def _serving_hosts(
    state: model.State, machine: messages.MachineEntry
) -> float:
    """Return 1 if the machine's host can take tasks, else 0.

    A host that has shrunk counts by what is left of its capacity.
    """
    host = state.hosts.get(machine.host)
    if host is None:
        return float(not unseen.is_unseen(state, machine))
    serves = host.present and not (host.ordered_away or host.emptying)
    if not serves or host.unresponsive_since is not None:
        return 0.0
    capacity = host.entry.capacity
    if capacity == host.incarnation.full_capacity and capacity.cpu:
        return 1.0
    return pool_sizes.capacity_share(capacity, host.incarnation.full_capacity)


def _withholding_share(host: host_state.Host) -> float:
    """Return what part of a host is not used by tasks that last.

    Run ends wait there, so that tasks that end should go elsewhere.
    """
    if host.entry is None:
        return 0.0
    lasting_cpu = sum(
        run.step.reserved.cpu
        for run in host.runs.values()
        if run.step.long_lived
    )
    return 1.0 - min(1.0, lasting_cpu / max(1, host.entry.capacity.cpu))


def _is_idle(
    state: model.State, machine: messages.MachineEntry, now: float
) -> bool:
    if state.awaiting_maintenance(machine.name):
        return False
    host = state.hosts.get(machine.host)
    if host is None:
        return not unseen.is_unseen(state, machine)
    return (
        host.incarnation.synced
        and host.unresponsive_since is None
        and not host.runs
        and not (host.ordered_away or host.emptying)
        and not host.incarnation.unknown_runs
    )


def _order(state: model.State, move: pool_sizes.Move, now: float) -> None:
    machine = state.machines[move.machine]
    host = state.hosts.get(machine.host)
    incarnation_ms = math.inf
    if host is not None:
        host.ordered_away = True
        incarnation_ms = host.incarnation.began_ms or math.inf
    state.moving[move.machine] = machine_orders.MachineMove(
        pool=move.pool,
        host=machine.host,
        refutable_at=now + MOVE_TIMEOUT_S,
        incarnation_ms=incarnation_ms,
    )
    orders.issue(
        state, messages.MoveMachine(machine=move.machine, pool=move.pool), now
    )
    demand = state.demands.get(move.pool)
    state.log_event(
        "machine.move",
        machine=move.machine,
        source=machine.pool,
        target=move.pool,
        reason=move.reason,
        wanted=demand.wanted if demand else 0,
        listed_ms_ago=int((now - state.machines_at) * 1000),
    )


def handle_order_answer(
    state: model.State, event: messages.OrderAnswered, now: float
) -> None:
    """Handle the answer to an order to move a machine."""
    name = event.order.machine
    move = state.moving.get(name)
    if move is None or not isinstance(event.order, messages.MoveMachine):
        return
    if event.order.pool != move.pool:
        return
    match event.result:
        case messages.OrderResult.DONE:
            move.answered_at = move.confirmed_at = now
            _host_ended(state, move, now)
        case messages.OrderResult.UNKNOWN:
            move.answered_at = now
        case messages.OrderResult.BUSY:
            # An earlier leader's order may have moved the machine.
            move.answered_at = now
            move.refutable_at = now
        case _ if move.answered_at is None:
            _cancel_move(state, name, move)


def handle_list(state: model.State, now: float) -> None:
    """Handle a list of machines, which shows the moves that are over."""
    for name, move in list(state.moving.items()):
        entry = state.machines.get(name)
        if entry is None:
            del state.moving[name]
        elif _move_completed(state, entry, move):
            _host_ended(state, move, now)
            del state.moving[name]
            host = state.hosts.get(entry.host)
            if host is not None and host.id == move.host:
                host.ordered_away = state.is_ordered_away(host)
        elif _move_refuted(state, entry, move):
            _cancel_move(state, name, move)


def _move_completed(
    state: model.State,
    entry: messages.MachineEntry,
    move: machine_orders.MachineMove,
) -> bool:
    """Return whether a list shows that a machine has completed its move.

    It is up in the new pool. If its host has the id of before, the list must
    have been read late enough after the order's answer to show its effect.
    """
    up = entry.state is messages.MachineState.UP
    if not up or entry.pool != move.pool:
        return False
    return entry.host != move.host or _shows_effect(state, move)


def _move_refuted(
    state: model.State,
    entry: messages.MachineEntry,
    move: machine_orders.MachineMove,
) -> bool:
    """Return whether a list shows that a machine doesn't move.

    No list does while the order's call is open, or the machine is moving.
    """
    moving = entry.state is messages.MachineState.MOVING
    refutable = state.machines_at > move.refutable_at
    return refutable and not moving and _shows_effect(state, move)


def _shows_effect(
    state: model.State, move: machine_orders.MachineMove
) -> bool:
    """Return whether the list would show the effect of a move's order."""
    if move.answered_at is None:
        return False
    return state.machines_at > move.answered_at + maintenance.LIST_LAG_S


def _host_ended(
    state: model.State, move: machine_orders.MachineMove, now: float
) -> None:
    host = state.hosts.get(move.host)
    if host is None:
        return
    if host.incarnation.began_ms <= move.incarnation_ms:
        host.present = False
    else:
        host.ordered_away = False
    proof = host_ends.Moved(last_incarnation_ms=move.incarnation_ms)
    host_ends.end(state, host, proof, now)


def _cancel_move(
    state: model.State, name: str, move: machine_orders.MachineMove
) -> None:
    del state.moving[name]
    host = state.hosts.get(move.host)
    if host is not None:
        host.ordered_away = state.is_ordered_away(host)
