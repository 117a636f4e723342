"""Empties hosts for maintenance, as `azurewood.policy.emptying` chooses.

A host that is emptied gets no tasks, and its runs are stopped as far as their
tasks have another place. Nothing of it is on record: until its machine is
ordered down it may be taken back, by this leader or the next one.
"""

import collections
from collections import abc
import typing

from azurewood.policy import emptying as policy
from azurewood.policy import machine_maintenance
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import latestarts
from azurewood.scheduling import machine_orders
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import tasks

CHOOSE_INTERVAL_S: typing.Final = 0.2
"""Pause between choices of the hosts to empty."""
PAUSE_S: typing.Final = 5.0
"""Time until a host is emptied again whose tasks found no other one."""
WAITS_S: typing.Final = 2.0
"""Time for which a wave stands until operators are told why."""
TIMED_RUN_S: typing.Final = 3.0
"""How long timed tasks may continue on a host that is emptied."""


def begin_pass(state: model.State, now: float) -> policy.Chooser | None:
    """Return what chooses the hosts of all waves, if that is due."""
    if now < state.emptying_due:
        return None
    state.emptying_due = now + CHOOSE_INTERVAL_S
    state.pools_in_the_way = set()
    return policy.Chooser(state=state)


def choose(
    state: model.State,
    wave: machine_orders.Wave,
    chooser: policy.Chooser,
    names: abc.Iterable[str],
    turns: int,
    now: float,
) -> None:
    """Choose the hosts that a wave empties, and take the others back.

    ``names`` are its machines that are left, ``turns`` of which may be down
    in addition.
    """
    ready = (name for name in names if now >= state.empty_after.get(name, 0))
    choices = chooser.choose(
        (
            machine
            for machine in machine_maintenance.drain_order(state, ready)
            # Not those that a wave before empties.
            if machine.host not in chooser.room.emptied
        ),
        turns=turns,
        may_go=lambda machine: may_go(state, machine, now),
        is_held=lambda machine: _is_held(wave, machine, now),
    )
    chosen = {}
    refused = {}
    for choice in choices:
        name = choice.machine.name
        match choice:
            case policy.Chosen(fits=fits, without_place=without_place):
                known = wave.emptying.pop(name, None)
                if known is None or known.host != choice.machine.host:
                    known = _begin(state, wave, choice.machine)
                known.without_place = without_place
                known.fits = fits
                if fits:
                    known.held_until = now + policy.HOLD_S
                chosen[name] = known
            case policy.Refused():
                refused[name] = choice
    dropped, wave.emptying = wave.emptying, chosen
    for name, known in dropped.items():
        why = refused[name].why if name in refused else policy.Why.WAVE
        _take_back(state, wave, known, why)
    _ask_for_hosts(state, wave, refused.values(), now)
    stands = not chosen and turns >= wave.request.max_down
    _note_refused(state, wave, refused.values(), now, stands=stands)


def _is_held(
    wave: machine_orders.Wave, machine: messages.MachineEntry, now: float
) -> bool:
    known = wave.emptying.get(machine.name)
    held = known is not None and known.host == machine.host
    return held and now < known.held_until


def may_go(
    state: model.State, machine: messages.MachineEntry, now: float
) -> bool:
    """Return whether a machine may be ordered down as far as it goes."""
    # Another wave's order may not be finished.
    waits = state.awaiting_maintenance(machine.name)
    return not waits and state.may_order(machine.name, now)


def _begin(
    state: model.State,
    wave: machine_orders.Wave,
    machine: messages.MachineEntry,
) -> machine_orders.Emptying:
    """Begin to empty the host of a machine, if the machine has one."""
    host = state.hosts.get(machine.host)
    if host is not None:
        host.emptying = True
        state.log_event(
            "host.emptying",
            host=host.id,
            wave=wave.number,
            runs=len(host.runs),
        )
    return machine_orders.Emptying(host=machine.host)


def _take_back(
    state: model.State,
    wave: machine_orders.Wave,
    known: machine_orders.Emptying,
    why: policy.Why,
) -> None:
    """Let a host get tasks again that was to be emptied.

    It doesn't if another wave empties it.
    """
    host = state.hosts.get(known.host)
    if host is None or not host.emptying:
        return
    if any(
        other.host == host.id
        for each in state.waves.values()
        for other in each.emptying.values()
    ):
        return
    host.emptying = False
    if host.entry is not None:
        state.placement_due.add(host.entry.service)
    state.log_event(
        "host.kept",
        host=host.id,
        wave=wave.number,
        runs=len(host.runs),
        why=why.value,
    )


def take_back_all(state: model.State, wave: machine_orders.Wave) -> None:
    """Empty no host for a wave any more."""
    dropped, wave.emptying = wave.emptying, {}
    for known in dropped.values():
        _take_back(state, wave, known, policy.Why.WAVE)


def take_back_stalled(
    state: model.State, wave: machine_orders.Wave, now: float
) -> None:
    """Take the hosts back whose tasks were stopped and have no other one."""
    for name, known in list(wave.emptying.items()):
        stalled = _stalled_task(state, known, now)
        if stalled is None:
            continue
        del wave.emptying[name]
        state.empty_after[name] = now + PAUSE_S
        _take_back(state, wave, known, policy.Why.NOT_PLACED)
        _log_waits(state, wave, name, policy.Why.NOT_PLACED, stalled[:3])


def _stalled_task(
    state: model.State, known: machine_orders.Emptying, now: float
) -> tuple | None:
    """Return a task that was stopped and has waited for too long, if any."""
    for id, stopped_at in list(known.stopped.items()):
        task = state.task(id)
        if task is None or task.run != known.runs[id]:
            del known.stopped[id]
        elif now > stopped_at + policy.STALL_S:
            return id
    return None


def _note_refused(
    state: model.State,
    wave: machine_orders.Wave,
    refused: abc.Iterable[policy.Refused],
    now: float,
    *,
    stands: bool,
) -> None:
    """Note what a wave waits for that ``stands``, with no machine to empty."""
    waiting = [choice for choice in refused if not choice.ahead]
    if not (waiting and stands):
        wave.waits_for = ""
        wave.waits_since = now
        return
    # By name, so that what is reported changes rarely.
    choice = min(waiting, key=lambda choice: choice.machine.name)
    wave.waits_for = f"{choice.machine.name}: {choice.why.value}"
    _log_waits(state, wave, choice.machine.name, choice.why, choice.step)


def _ask_for_hosts(
    state: model.State,
    wave: machine_orders.Wave,
    refused: abc.Iterable[policy.Refused],
    now: float,
) -> None:
    """Have pools get another host whose machines have waited for some time."""
    before = wave.refused_since
    wave.refused_since = {
        choice.machine.name: before.get(choice.machine.name, now)
        for choice in refused
        if not choice.ahead and choice.why is not policy.Why.TASKS_AWAY
    }
    for name, since in wave.refused_since.items():
        if now > since + WAITS_S:
            state.pools_in_the_way.add(state.machines[name].pool)


def _log_waits(
    state: model.State,
    wave: machine_orders.Wave,
    name: str,
    why: policy.Why,
    step: tuple | None,
) -> None:
    """Log what a wave waits for, once for each machine and reason."""
    if (name, why) in wave.logged_waits:
        return
    wave.logged_waits.add((name, why))
    state.log_event(
        "wave.waits",
        wave=wave.number,
        machine=name,
        host=state.machines[name].host if name in state.machines else "",
        why=why.value,
        job=step[0] if step else "",
        step=str(step[1:]) if step else "",
    )


def stop_runs(
    state: model.State,
    known: machine_orders.Emptying,
    now: float,
    *,
    goes: bool,
) -> None:
    """Stop the runs of a host that is emptied, as far as they may stop.

    A task whose start may be carried out late would have to wait for that.
    Tasks that last and have no other host are stopped once nothing else is
    left, if the machine ``goes`` down at once then.
    """
    host = state.hosts.get(known.host)
    if host is None:
        return
    left = collections.Counter(
        jobstates.step_key(run.task)
        for run in host.runs.values()
        if run.step.long_lived
    )
    kept = {
        key for key in left if left[key] <= known.without_place.get(key, 0)
    }
    only_kept = all(
        jobstates.step_key(run.task) in kept for run in host.runs.values()
    )
    for run in list(host.runs.values()):
        running = run.phase is host_state.RunPhase.RUNNING
        if not running or latestarts.may_be_late(host, run):
            continue
        if not run.step.long_lived:
            if now - run.began_at > TIMED_RUN_S:
                tasks.stop(run, now)
            continue
        last = only_kept and goes and known.fits
        if jobstates.step_key(run.task) in kept and not last:
            continue
        if machine_maintenance.may_stop_run(state, run, now):
            tasks.stop(run, now)
            known.stopped[run.task] = now
            known.runs[run.task] = run.run
