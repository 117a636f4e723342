"""Checks that work which could run does run, on the simulated fleet.

Work that could run has its turn, its service has room for it twice over and
under half of its capacity in use. While nothing has disturbed the fleet for
``CALM_S``, a long-lived task that could run may be idle for ``MAX_IDLE_S``
from ``GRACE_S`` after its last run; a timed job may have nothing running that
long from ``FINISH_S`` after the last disturbance. Tasks that crash their
hosts are not checked, nor jobs once they are shown as ended. Jobs that need
advice are checked while the service approves all hosts and has no call to
handle; a call that it refuses disturbs the fleet.
"""

from collections import abc
import math
import typing

from azurewood.jobs import model
from standins.fleet import disturbances
from standins.fleet import hosts
from standins.fleet import rules

INTERVAL_S = 0.25
CALM_S = 4.0
MAX_IDLE_S = 3.0
GRACE_S = 6.0
FINISH_S = 14.0
ROOM_FACTOR = 2
"""How many times over a service must have room for idle work."""


class Progress:
    """Looks at the fleet periodically and reports idle work to the rules.

    ``disturbed_at`` is the time of the last disturbance.
    """

    __slots__ = (
        "_accepted",
        "_idle_since",
        "_ran_at",
        "_seen",
        "_world",
        "disturbed_at",
    )

    def __init__(self, *, world: typing.Any) -> None:
        self._world = world
        self._accepted: dict[str, model.Job] = {}
        self._idle_since: dict[str | model.TaskId, float] = {}
        self._ran_at: dict[model.TaskId, float] = {}
        self._seen: object = None
        self.disturbed_at = world.clock.now

    def start(self) -> None:
        """Look at the fleet now and periodically from now on."""
        self._look()
        self._world.clock.after(INTERVAL_S, self.start)

    def accept(self, job: model.Job) -> None:
        """Check a job from now on, as its caller was told of it."""
        self._accepted[job.id] = job

    def disturb(self) -> None:
        """Record that something disturbs the fleet now."""
        self.disturbed_at = self._world.clock.now

    def _look(self) -> None:
        now = self._world.clock.now
        condition = disturbances.condition(self._world)
        if condition != self._seen or disturbances.are_present(self._world):
            self._seen = condition
            self.disturb()
        idle = set(self._idle_work())
        self._idle_since = {
            work: self._idle_since.get(work, now) for work in idle
        }
        for work, since in self._idle_since.items():
            began_at = max(since, self._owed_from(work))
            if now > began_at + MAX_IDLE_S:
                self._world.rules.breach("could run and doesn't", str(work))
                self._idle_since[work] = math.inf

    def _owed_from(self, work: str | model.TaskId) -> float:
        """Return from when idle work counts."""
        if isinstance(work, str):
            return self.disturbed_at + FINISH_S
        ran_at = self._ran_at.get(work, -math.inf)
        return max(self.disturbed_at + CALM_S, ran_at + GRACE_S)

    def _idle_work(self) -> abc.Iterator[str | model.TaskId]:
        """Yield the jobs and long-lived tasks that could run and don't."""
        running = self._running()
        now = self._world.clock.now
        self._ran_at.update(dict.fromkeys(running, now))
        busy = {task.job for task in running}
        found = {}
        for id, job in list(self._accepted.items()):
            if self._world.rules.is_over(job) or self._is_shown(id):
                del self._accepted[id]
                continue
            if job.id in busy and not job.long_lived:
                continue
            if self._needs_advice(job) and not self._world.advice.is_idle():
                continue
            if job.service not in found:
                found[job.service] = self._half_free(job.service)
            if found[job.service]:
                yield from self._idle_work_of(job, running, found[job.service])

    def _needs_advice(self, job: model.Job) -> bool:
        found = self._world.catalog
        queue = found.queues.get(job.queue) if found is not None else None
        return queue is not None and queue.advice is not None

    def _is_shown(self, job_id: str) -> bool:
        """Return whether any daemon shows a job as ended."""
        for member in self._world.members:
            if member.up:
                known = member.member.job_service.registry.entries
                if job_id in known and known[job_id].phase.final:
                    return True
        return False

    def _idle_work_of(
        self,
        job: model.Job,
        running: set[model.TaskId],
        found: list[hosts.SimHost],
    ) -> abc.Iterator[str | model.TaskId]:
        """Yield a timed job's id, or the idle tasks of a long-lived one."""
        for task in self._due(job):
            step = job.steps[task.step]
            if task in running or not _has_room(found, task, step):
                continue
            if not self._world.rules.accounts.owes_room(job, step):
                continue
            yield task if step.long_lived else job.id

    def _running(self) -> set[model.TaskId]:
        return {
            task
            for host in self._world.hosts.values()
            for run in host.runs.values()
            for task in rules.represented(run.task, run.step)
        }

    def _due(self, job: model.Job) -> abc.Iterator[model.TaskId]:
        """Yield the tasks of a job whose turn has come and not passed."""
        checks = self._world.rules
        now_ms = self._world.clock.now * 1000
        for task in rules.tasks_of(job):
            if task in checks.deadly or checks.is_done(task):
                continue
            if job.schedule and job.due_ms(task.occurrence) > now_ms:
                continue
            if not any(checks.missing_before(job, task)):
                yield task

    def _half_free(self, service: str) -> list[hosts.SimHost]:
        """Return a service's hosts, none if over half of it is in use."""
        listed = {machine.host for machine in self._world.machines.values()}
        found = [
            host
            for host in self._world.hosts.values()
            if host.service == service and host.id in listed and host.up
        ]
        cpu = sum(host.capacity.cpu for host in found)
        memory_mb = sum(host.capacity.memory_mb for host in found)
        used = [_used(host) for host in found]
        if 2 * sum(one.cpu for one in used) >= cpu:
            return []
        if 2 * sum(one.memory_mb for one in used) >= memory_mb:
            return []
        return found


def _used(host: hosts.SimHost) -> model.Resources:
    used = model.Resources()
    for run in host.runs.values():
        used = used.plus(run.step.reserved)
    return used


def _has_room(
    found: list[hosts.SimHost], task: model.TaskId, step: model.Step
) -> bool:
    """Return whether hosts have room for a task, or its gang, twice over."""
    needed = ROOM_FACTOR * (step.count if step.gang else 1)
    room = 0
    for host in found:
        if step.label and step.label not in host.labels:
            continue
        room += _places(host, task, step, needed)
        if room >= needed:
            return True
    return False


def _places(
    host: hosts.SimHost, task: model.TaskId, step: model.Step, needed: int
) -> int:
    """Return for how many tasks of a step a host has room."""
    free = host.capacity.minus(_used(host))
    most = needed
    if step.per_host:
        there = sum(run.task[:3] == task[:3] for run in host.runs.values())
        most = min(needed, step.per_host - there)
    places = 0
    while places < most and step.reserved.fits(free):
        free = free.minus(step.reserved)
        places += 1
    return places
