"""Maintenance waves: drain a machine, take it down, wait until it is back.

The maintenance of a machine is recorded before it is ordered, so that a
later leader counts the machine as down until the platform lists it as up
again.
"""

import math
import typing

from azurewood.incarnations import limits
from azurewood.jobs import model as jobs
from azurewood.policy import emptying as emptying_policy
from azurewood.scheduling import emptying
from azurewood.scheduling import host_ends
from azurewood.scheduling import host_records
from azurewood.scheduling import host_state
from azurewood.scheduling import machine_orders
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import orders
from azurewood.scheduling import progress

LIST_INTERVAL_S: typing.Final = 0.4
"""Pause between reads of the machine list.

It is a fraction of the 1.5 s that a move takes.
"""
LIST_LAG_S: typing.Final = 1.0
"""Time after an order's answer from which the list shows its effect."""
ORDER_RETRY_S: typing.Final = 0.5


def handle_request(
    state: model.State, event: messages.WaveRequested, now: float
) -> None:
    """Handle a maintenance wave that operators requested.

    A completed wave that gets further machines goes on.
    """
    wave = state.waves.get(event.number)
    if wave is None:
        wave = machine_orders.Wave(number=event.number, now=now)
        state.waves[event.number] = wave
    if wave.request is None:
        state.log_event(
            "wave.requested",
            wave=event.number,
            machines=len(event.machines),
            max_down=event.max_down,
            finish_by_s=event.finish_by_s,
            ordered=len(wave.ordered),
        )
    elif not set(event.machines) <= set(wave.request.machines):
        wave.completed = False
    wave.request = event
    state.machines_due = now


def handle_list(
    state: model.State, event: messages.MachinesListed, now: float
) -> None:
    """Handle the list of machines, which shows the machines that are back."""
    state.machines = {entry.name: entry for entry in event.machines}
    state.machines_at = event.began_at
    _record_capacities(state)
    _end_replaced_hosts(state, now)
    for wave in state.waves.values():
        for name, host in wave.ordered.items():
            entry = state.machines.get(name)
            if name in wave.returned or name not in wave.confirmed:
                continue
            left = entry is None
            up = not left and entry.state is messages.MachineState.UP
            late = event.began_at > wave.confirmed[name] + LIST_LAG_S
            if left or (up and (late or entry.host != host)):
                wave.returned.add(name)
                at = wave.confirmed[name]
                _end_runs_before_order(state, wave, name, now, at)


def _record_capacities(state: model.State) -> None:
    """Record the full capacities of the listed machines.

    A machine may have shrunk for a while. Jobs that fit on it otherwise must
    not be refused as too large for any machine.
    """
    known = state.full_capacities
    state.full_capacities = {
        name: entry.capacity
        if known.get(name) in (None, entry.capacity)
        else jobs.largest_of_each((entry.capacity, known[name]))
        for name, entry in state.machines.items()
    }
    state.largest_capacity = jobs.largest_of_each(
        state.full_capacities.values()
    )


def _end_replaced_hosts(state: model.State, now: float) -> None:
    """Mark the runs of hosts that have ended according to their machines.

    A machine that is down, parked or has a new host no longer runs its old
    host. The list shows this before the leases of the old host have expired.
    It tells nothing of runs that were placed after its read began.
    """
    at = state.machines_at - LIST_LAG_S
    for entry in state.machines.values():
        if entry.host:
            host_records.note_machine(state, entry.host, entry.name)
    for host_id, name in list(state.host_machines.items()):
        entry = state.machines.get(name)
        host = state.hosts.get(host_id)
        if host is None:
            # Its entry may be read after the order that ends it.
            if entry is None or entry.host not in ("", host_id):
                del state.host_machines[host_id]
            continue
        silent = _is_silent(state, host)
        absent = silent or not host.present
        if absent and host.late_starts and _has_left(state, host, entry):
            state.bar_late_starts(host, at + limits.MAX_START_DELAY_S)
        if entry is None or not silent:
            continue
        if _has_left(state, host, entry):
            proof = host_ends.Replaced(placed_before=at)
            host_ends.end(state, host, proof, now)
        elif entry.state is messages.MachineState.DOWN:
            host_ends.end(state, host, host_ends.Down(placed_before=at), now)


def _is_silent(state: model.State, host: host_state.Host) -> bool:
    """Return whether a host doesn't answer, or is known to have no entry.

    Before the entries are read, no host has one. Its incarnation isn't known
    then either, and its crash would be counted once more when it is.
    """
    if host.entry is None and not state.hosts_read_at:
        return False
    return host.is_silent


def _has_left(
    state: model.State,
    host: host_state.Host,
    machine: messages.MachineEntry | None,
) -> bool:
    """Return whether a host that is silent or gone won't return under its id.

    ``machine`` is the list's entry of its machine, None if that is gone. It
    has another host then, or is in another pool, where it may be off.
    """
    if machine is None:
        return True
    if machine.host:
        return machine.host != host.id
    up = machine.state is messages.MachineState.UP
    pool = state.catalog and state.catalog.pools.get(machine.pool)
    moved = host.entry is not None and machine.pool != host.entry.service
    return up and (moved or (pool is not None and pool.standby))


def _end_runs_before_order(
    state: model.State,
    wave: machine_orders.Wave,
    machine: str,
    now: float,
    placed_before: float,
) -> None:
    """Mark the runs as gone that a machine's maintenance has ended.

    An order may be answered as done that was done long before, and a host
    may be back under its id.
    """
    host = state.hosts.get(wave.ordered[machine])
    if host is None:
        return
    last_ms = wave.incarnations.get(machine, math.inf)
    proof = host_ends.Maintained(
        placed_before=placed_before, last_incarnation_ms=last_ms
    )
    host_ends.end(state, host, proof, now)
    entry = state.machines.get(machine)
    if entry is None or entry.host in ("", host.id):
        host.ordered_away = state.is_ordered_away(host)


def drive_waves(state: model.State, now: float, *, may_order: bool) -> None:
    """Advance all waves and request the machine list when it is due."""
    if now >= state.machines_due:
        state.machines_due = now + LIST_INTERVAL_S
        state.emit(messages.ReadMachines())
    waves = [wave for wave in state.waves.values() if not wave.completed]
    if not waves:
        state.pools_in_the_way = set()
        return
    chooser = emptying.begin_pass(state, now)
    for wave in waves:
        _step_wave(state, wave, chooser, now, may_order=may_order)


def _step_wave(
    state: model.State,
    wave: machine_orders.Wave,
    chooser: emptying_policy.Chooser | None,
    now: float,
    *,
    may_order: bool,
) -> None:
    if state.machines_at < 0:
        return
    open_orders = [n for n in wave.ordered if n not in wave.returned]
    if may_order:
        for name in open_orders:
            _order(state, wave, name, now)
    if wave.request is None:
        return
    names = set(wave.request.machines)
    todo = [n for n in names if n not in wave.ordered and n in state.machines]
    emptying.take_back_stalled(state, wave, now)
    _report(state, wave, now, done=not todo and not open_orders)
    if wave.completed:
        emptying.take_back_all(state, wave)
    if wave.completed or not may_order:
        return
    free = max(1, wave.request.max_down) - len(open_orders)
    if chooser is not None:
        emptying.choose(state, wave, chooser, todo, free, now)
    for name, known in list(wave.emptying.items()):
        machine = state.machines.get(name)
        if machine is None or machine.host != known.host:
            continue
        goes = free > 0 and emptying.may_go(state, machine, now)
        emptying.stop_runs(state, known, now, goes=goes)
        if goes and _is_drained(state, machine):
            free -= 1
            del wave.emptying[name]
            _take_down(state, wave, machine, now)


def _report(
    state: model.State, wave: machine_orders.Wave, now: float, *, done: bool
) -> None:
    """Report a wave's state when it changes, and for what it waits."""
    waits_for = ""
    if not done and now > wave.waits_since + emptying.WAITS_S:
        waits_for = wave.waits_for
    report = messages.ReportWave(
        number=wave.number, completed=done, waits_for=waits_for
    )
    if wave.reported != report:
        wave.reported = report
        wave.completed = done
        state.emit_after_save(report)
        state.log_event(
            "wave.reported",
            wave=wave.number,
            state="completed" if done else "running",
            waits_for=waits_for,
        )


def _is_drained(state: model.State, machine: messages.MachineEntry) -> bool:
    host = state.hosts.get(machine.host)
    return host is None or not host.runs


def _take_down(
    state: model.State,
    wave: machine_orders.Wave,
    machine: messages.MachineEntry,
    now: float,
) -> None:
    """Record the maintenance of a machine and order it after that."""
    wave.ordered[machine.name] = machine.host
    host = state.hosts.get(machine.host)
    if host is not None:
        host.emptying = False
        host.ordered_away = True
        if host.incarnation.began_ms:
            wave.incarnations[machine.name] = host.incarnation.began_ms
    key = f"{progress.WAVE_PREFIX}{wave.number}"
    state.values[key] = progress.encode_wave(wave)
    state.orders[machine.name] = float("inf")
    order = messages.MaintainMachine(machine=machine.name, wave=wave.number)
    orders.issue(state, order, now)
    state.log_event("machine.upkeep", machine=machine.name, wave=wave.number)


def _order(
    state: model.State, wave: machine_orders.Wave, name: str, now: float
) -> None:
    """Order the maintenance of a machine until an outcome is known."""
    if name in wave.confirmed or now < state.orders.get(name, 0.0):
        return
    if not state.may_order(name, now):
        return
    state.orders[name] = float("inf")
    order = messages.MaintainMachine(machine=name, wave=wave.number)
    orders.issue(state, order, now)


def handle_order_answer(
    state: model.State, event: messages.OrderAnswered, now: float
) -> None:
    """Handle the answer to an order, which confirms that order only."""
    name = event.order.machine
    state.log_event(
        "machine.answered", machine=name, result=event.result.value
    )
    if not isinstance(event.order, messages.MaintainMachine):
        return
    state.orders[name] = now + ORDER_RETRY_S
    wave = state.waves.get(event.order.wave)
    if wave is None or name not in wave.ordered or name in wave.confirmed:
        return
    match event.result:
        case messages.OrderResult.DONE:
            wave.confirmed[name] = now
            _end_runs_before_order(state, wave, name, now, now)
        case messages.OrderResult.REFUSED:
            wave.confirmed[name] = now
            wave.returned.add(name)
            host = state.hosts.get(wave.ordered[name])
            if host is not None:
                host.ordered_away = state.is_ordered_away(host)
        case messages.OrderResult.FENCED:
            state.emit(messages.StepDown(reason="fenced by a machine's order"))
