"""Chooses the hosts that maintenance waves empty, and takes the others back.

The load: a wave covers much of the fleet, and with it all hosts of a small
pool, whose tasks that last may hardly be away and have few other hosts: by
their limits for each host, their labels or what is free. A host that is
emptied takes no tasks. If its own have nowhere to go it is never empty, and
what was stopped meanwhile stands still beside it.

So a host is emptied only if the tasks that last can be placed on other hosts
of its pool, but for as many of each step as may be away at once. These are
stopped last, once the machine can be taken down at once, and are placed again
when it is back. The machines that are emptied ahead of their turn have to wait
for it, so all their tasks must find a place. The last host of a pool is
emptied only if the pool has no other machine. Tasks that end take and leave
room all the time, so a host whose tasks have no place any more is held for a
while: what is lost by taking it back at once is the time to empty it again.
"""

import collections
from collections import abc
import copy
import dataclasses
import enum
import typing

from azurewood.jobs import model as jobs
from azurewood.policy import host_health
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import model

EMPTY_AHEAD: typing.Final = 1
"""Machines emptied in addition to those that may be down."""
HOLD_S: typing.Final = 6.0
"""Time for which a host is emptied on while its tasks have no place."""
STALL_S: typing.Final = 3.0
"""Time for which a task that was stopped may wait for another host.

Users miss a task that lasts some seconds after that.
"""


class Why(enum.Enum):
    """Why a host is not emptied."""

    NO_PLACE = "its tasks that last have no other host"
    TASKS_AWAY = "too many tasks of a step are away"
    LAST_HOST = "its pool has no other host"
    NOT_PLACED = "a task that was stopped finds no other host"
    WAVE = "its wave doesn't empty it any more"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Chosen:
    """A machine to empty.

    ``without_place`` counts the tasks of each step that last and that have
    no other host while the machine is down. Unless it ``fits``, these are too
    many for now, and none of them may be stopped.
    """

    machine: messages.MachineEntry
    fits: bool = True
    without_place: abc.Mapping[jobstates.StepKey, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Refused:
    """A machine that can't be emptied now, and one of the steps in its way.

    Without ``ahead`` it could be taken down if it were empty.
    """

    machine: messages.MachineEntry
    ahead: bool
    why: Why
    step: jobstates.StepKey | None = None


Choice = Chosen | Refused


class Room:
    """What the hosts of the pools have left for tasks of emptied hosts.

    Tasks that are placed use room only here. ``emptied`` has the hosts that
    get none.
    """

    __slots__ = ("_free", "_placed", "_pools", "_without_place", "emptied")

    def __init__(self, *, state: model.State) -> None:
        self._pools: dict[str, list[host_state.Host]] = {}
        for host in state.hosts.values():
            if host_health.is_sound(host):
                pool = self._pools.setdefault(host.entry.service, [])
                pool.append(host)
        self._free: dict[str, jobs.Resources] = {}
        self._placed: dict[tuple[str, jobstates.StepKey], int] = {}
        self._without_place: dict[jobstates.StepKey, int] = {}
        self.emptied: set[str] = set()

    def copy(self) -> "Room":
        """Return a copy in which places can be tried."""
        other = copy.copy(self)
        other._free = dict(self._free)
        other._placed = dict(self._placed)
        other._without_place = dict(self._without_place)
        other.emptied = set(self.emptied)
        return other

    def stay(self, service: str) -> abc.Iterator[host_state.Host]:
        """Yield the sound hosts of a pool that are not emptied."""
        for host in self._pools.get(service, ()):
            if host.id not in self.emptied:
                yield host

    def is_counted(self, key: jobstates.StepKey) -> bool:
        """Return whether tasks of a step were placed, or had no place."""
        return key in self._without_place

    def without_place(self, key: jobstates.StepKey) -> int:
        """Return how many tasks of a step had no place so far."""
        return self._without_place.get(key, 0)

    def place(
        self,
        service: str,
        key: jobstates.StepKey,
        step: jobs.Step,
        count: int,
    ) -> int:
        """Place tasks of a step; return how many have no place."""
        left = count
        for host in self.stay(service):
            while left and self._fits(host, key, step):
                free = self._free.get(host.id, host.free)
                self._free[host.id] = free.minus(step.reserved)
                here = self._placed.get((host.id, key), 0)
                self._placed[host.id, key] = here + 1
                left -= 1
        self._without_place[key] = self.without_place(key) + left
        return left

    def _fits(
        self, host: host_state.Host, key: jobstates.StepKey, step: jobs.Step
    ) -> bool:
        if not step.reserved.fits(self._free.get(host.id, host.free)):
            return False
        if step.label and step.label not in host.entry.labels:
            return False
        here = host.step_runs.get(key, 0)
        here += self._placed.get((host.id, key), 0)
        return not step.per_host or here < step.per_host


class Chooser:
    """Chooses the hosts to empty in one pass over all waves.

    ``room`` has what the hosts chosen so far leave.
    """

    __slots__ = ("_state", "room")

    def __init__(self, *, state: model.State) -> None:
        self._state = state
        self.room = Room(state=state)

    def choose(
        self,
        candidates: abc.Iterable[messages.MachineEntry],
        *,
        turns: int,
        may_go: abc.Callable[[messages.MachineEntry], bool],
        is_held: abc.Callable[[messages.MachineEntry], bool],
    ) -> abc.Iterator[Choice]:
        """Yield whether each of a wave's machines is emptied, in order.

        ``turns`` machines may be down in addition, and a machine that
        ``may_go`` is taken down as soon as it is empty. One that ``is_held``
        is emptied on though its tasks have no place at this moment. Nothing
        is yielded for the machines after the last one that is chosen.
        """
        chosen = 0
        for machine in candidates:
            if chosen >= max(0, turns) + EMPTY_AHEAD:
                return
            ahead = chosen >= turns or not may_go(machine)
            choice = self._consider(
                machine, ahead=ahead, is_held=is_held(machine)
            )
            chosen += isinstance(choice, Chosen)
            yield choice

    def _consider(
        self, machine: messages.MachineEntry, *, ahead: bool, is_held: bool
    ) -> Choice:
        host = self._state.hosts.get(machine.host)
        if host is None or host.entry is None:
            return Chosen(machine=machine)
        room = self.room.copy()
        room.emptied.add(host.id)
        if self._is_last(machine, host, room, ahead=ahead):
            return Refused(machine=machine, ahead=ahead, why=Why.LAST_HOST)
        without_place = {}
        fits = True
        for key, step, count in self._lasting_steps(host, room):
            left = room.place(host.entry.service, key, step, count)
            without_place[key] = left
            lost = _count_lost(self._state, key, host)
            allowed = 0 if ahead else max(1, step.may_be_away) - lost
            if room.without_place(key) > allowed:
                why = Why.NO_PLACE
            elif lost >= max(1, step.may_be_away):
                why = Why.TASKS_AWAY
            else:
                continue
            fits = False
            if not is_held:
                return Refused(machine=machine, ahead=ahead, why=why, step=key)
        self.room = room
        return Chosen(machine=machine, fits=fits, without_place=without_place)

    def _is_last(
        self,
        machine: messages.MachineEntry,
        host: host_state.Host,
        room: Room,
        *,
        ahead: bool,
    ) -> bool:
        """Return whether a pool that has other machines would have no host.

        A host that is emptied ahead would be away for longer.
        """
        service = host.entry.service
        catalog = self._state.catalog
        pool = catalog.pools.get(service) if catalog is not None else None
        if pool is None or pool.standby or any(room.stay(service)):
            return False
        return ahead or any(
            other.pool == service
            and other.name != machine.name
            and other.state is not messages.MachineState.DOWN
            for other in self._state.machines.values()
        )

    def _lasting_steps(
        self, host: host_state.Host, room: Room
    ) -> abc.Iterator[tuple[jobstates.StepKey, jobs.Step, int]]:
        """Yield the steps on a host whose tasks last, and how many to place.

        The tasks that wait for a host count with the first host of a step.
        """
        runs = collections.Counter()
        steps = {}
        for run in host.runs.values():
            if run.step.long_lived and run.task.job in self._state.jobs:
                key = jobstates.step_key(run.task)
                runs[key] += 1
                steps[key] = run.step
        for key, count in runs.items():
            waiting = 0
            if not room.is_counted(key):
                waiting = self._state.jobs[key[0]].waiting[key[1:]]
            yield key, steps[key], count + waiting


def _count_lost(
    state: model.State, key: jobstates.StepKey, host: host_state.Host
) -> int:
    """Return how many tasks of a step are on other hosts that are silent."""
    lost = 0
    for task in state.jobs[key[0]].steps[key[1:]]:
        if task.phase is jobstates.TaskPhase.OPEN and task.host != host.id:
            other = state.hosts.get(task.host)
            lost += other is None or not other.is_responsive
    return lost
