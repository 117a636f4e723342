"""Detection of stuck work: nothing of it runs although it is ready.

A job counts as a whole; the tasks of long-lived jobs count separately.
Stuck work is logged after ``waiting.STUCK_S``, and again each time its age
has doubled.
"""

from collections import abc
import enum
import itertools
import typing

from azurewood.jobs import model as jobs
from azurewood.policy import host_health
from azurewood.policy import restarts
from azurewood.scheduling import account_limits
from azurewood.scheduling import account_shares
from azurewood.scheduling import advice
from azurewood.scheduling import backlog
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import latestarts
from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import waiting

CHECK_INTERVAL_S: typing.Final = 1.0
"""Pause between checks."""
MAX_JOBS_CHECKED: typing.Final = 400
"""Limit on the jobs of a check, which bounds its cost with long queues."""
MAX_LOG_LINES: typing.Final = 10
"""Limit on log lines per check; a full pool has hundreds of stuck jobs."""


class Why(enum.Enum):
    """What stuck work waits for."""

    RETRY = "pause after a failure"
    NO_HOST = "no host in the pool"
    UNSYNCED = "no host of the pool has answered this leader"
    UNUSABLE = "hosts of the pool are silent, leaving or suspended"
    LATE_START = "a start of an earlier run may still be carried out"
    ACCOUNT_LIMIT = "account limit"
    ADVICE = "waiting for advice"
    NOT_APPROVED = "no approved host has room"
    ROOM = "waiting for room"
    SHARE = "beyond the account's share of a full pool"
    RESERVED = "hosts with room are kept for tasks that start alone"
    NOT_PLACED = "a host has room, but not by order, spread or gang"
    NO_RUN = "its run is on no host's record"
    HOST_SILENT = "the host of its run is silent"
    HOST_UNSYNCED = "the host of its run has not answered this leader"
    STORE = "its start waits for the store"
    STARTING = "its start is not answered"
    STOPPING = "its run is stopping and not gone"


class _PoolCapacity:
    """Free resources of a pool's usable hosts, or why it has none."""

    __slots__ = ("hosts", "why")

    def __init__(
        self, *, hosts: list[host_state.Host], why: Why | None
    ) -> None:
        self.hosts = hosts
        self.why = why

    def fits(self, step: jobs.Step) -> bool:
        """Return whether any host has the resources and label for a task."""
        return any(self._fitting(step))

    def is_reserved(self, step: jobs.Step, now: float) -> bool:
        """Return whether all hosts that a task fits are kept for others."""
        return all(
            host.reservation.is_closed(now) for host in self._fitting(step)
        )

    def _fitting(self, step: jobs.Step) -> abc.Iterator[host_state.Host]:
        return (
            host
            for host in self.hosts
            if step.reserved.fits(host.free)
            and (not step.label or step.label in host.entry.labels)
        )


class _PoolCapacities:
    """The pools of one check, each computed once."""

    __slots__ = ("_found",)

    def __init__(self) -> None:
        self._found: dict[str, _PoolCapacity] = {}

    def get(
        self, state: model.State, service: str, now: float
    ) -> _PoolCapacity:
        """Return the free resources of a service's pool."""
        if service not in self._found:
            self._found[service] = _pool(state, service, now)
        return self._found[service]


def check(state: model.State, now: float) -> None:
    """Log work that has been stuck for too long."""
    if now < state.stuck_due or state.catalog is None:
        return
    state.stuck_due = now + CHECK_INTERVAL_S
    known, state.stuck_work = state.stuck_work, {}
    due = []
    for key, task in _stuck_tasks(state):
        found = known.get(key) or waiting.StuckWork(now=now)
        state.stuck_work[key] = found
        if now >= found.log_at:
            due.append((found, task))
    # Work that has not been logged yet goes first, then the oldest.
    due.sort(key=lambda entry: (entry[0].logged, entry[0].since))
    pools = _PoolCapacities()
    for found, task in due[:MAX_LOG_LINES]:
        found.mark_logged(now)
        _log_stuck(state, found, task, pools, now)


def _stuck_tasks(
    state: model.State,
) -> abc.Iterator[tuple[object, jobstates.Task]]:
    """Yield the key and one task of each piece of stuck work.

    Only the ``MAX_JOBS_CHECKED`` jobs that were added first are checked.
    """
    for job in itertools.islice(state.jobs.values(), MAX_JOBS_CHECKED):
        if job.cancelled or job.closing:
            continue
        if job.job.long_lived:
            for task in _due(state, job):
                if not _is_running(state, task):
                    yield task.id, task
            continue
        keys = job.open_steps(state.unix_ms)
        if keys and not _has_running_task(state, job, keys):
            yield job.job.id, next(_due(state, job))


def _has_running_task(
    state: model.State, job: jobstates.JobState, keys: list[tuple[int, int]]
) -> bool:
    """Return whether a task of these steps runs.

    Steps whose tasks all wait are skipped.
    """
    return any(
        _is_running(state, task)
        for key in keys
        if job.waiting[key] < job.undone[key]
        for task in job.steps[key]
    )


def _due(
    state: model.State, job: jobstates.JobState
) -> abc.Iterator[jobstates.Task]:
    """Yield the tasks that are ready to run and not done."""
    for _, tasks in backlog.due_steps(state, job):
        yield from (
            t for t in tasks if t.phase is not jobstates.TaskPhase.DONE
        )


def _open_run(
    state: model.State, task: jobstates.Task
) -> host_state.Run | None:
    host = state.hosts.get(task.host)
    return host.runs.get((task.id, task.run)) if host else None


def _is_running(state: model.State, task: jobstates.Task) -> bool:
    """Return whether a task runs on a responsive, synced host."""
    if task.phase is not jobstates.TaskPhase.OPEN:
        return False
    run = _open_run(state, task)
    if run is None or run.phase is not host_state.RunPhase.RUNNING:
        return False
    host = state.hosts[task.host]
    return host.is_responsive


def _log_stuck(
    state: model.State,
    found: waiting.StuckWork,
    task: jobstates.Task,
    pools: _PoolCapacities,
    now: float,
) -> None:
    run = _open_run(state, task)
    why = _why(state, task, pools, now)
    state.log_event(
        "task.stuck",
        job=task.id.job,
        account=state.jobs[task.id.job].job.account,
        task=str(tuple(task.id[1:])),
        phase=task.phase.name.lower(),
        run=task.run,
        run_phase=run.phase.value if run else "",
        host=task.host,
        why=why.value,
        stuck_ms=int((now - found.since) * 1000),
        **_late_start_fields(state, task, why, now),
    )


def _late_start_fields(
    state: model.State, task: jobstates.Task, why: Why, now: float
) -> dict[str, object]:
    """Return the log fields about the late start that a task waits for."""
    if why is not Why.LATE_START:
        return {}
    match latestarts.where_to_start(state, task, now):
        case (
            restarts.Again(host=host, until=until)
            | restarts.Only(host=host, until=until)
            | restarts.Nowhere(host=host, until=until)
        ):
            return {
                "late_host": host,
                "late_for_ms": int((until - now) * 1000),
            }
        case _:
            return {}


def _why(
    state: model.State,
    task: jobstates.Task,
    pools: _PoolCapacities,
    now: float,
) -> Why:
    if task.phase is jobstates.TaskPhase.OPEN:
        return _why_open(state, task)
    return _why_waiting(state, task, pools, now)


def _why_open(state: model.State, task: jobstates.Task) -> Why:
    """Return why a task with an open run is not known to run."""
    run = _open_run(state, task)
    if run is None:
        return Why.NO_RUN
    host = state.hosts[task.host]
    if host.unresponsive_since is not None:
        return Why.HOST_SILENT
    match run.phase:
        case host_state.RunPhase.STOPPING:
            return Why.STOPPING
        case host_state.RunPhase.STARTING:
            return Why.STORE if _unsent(state, run) else Why.STARTING
        case _:
            return Why.HOST_UNSYNCED


def _unsent(state: model.State, run: host_state.Run) -> bool:
    """Return whether a run's start waits for its record to be stored."""
    return any(
        isinstance(effect, messages.StartRun)
        and (effect.task, effect.run) == run.key
        for effect in (*state.deferred_effects, *(state.saving_effects or ()))
    )


def _why_waiting(
    state: model.State,
    task: jobstates.Task,
    pools: _PoolCapacities,
    now: float,
) -> Why:
    """Return why a waiting task has no host."""
    if not state.may_begin(task, now):
        return Why.RETRY
    job = state.jobs[task.id.job]
    if not account_limits.may_start_step(state, job, job.step_of(task.id)):
        return Why.ACCOUNT_LIMIT
    pool = pools.get(state, state.service_of(job.job), now)
    if pool.why is not None:
        return pool.why
    beyond = account_shares.is_beyond(state, job.job, now)
    if not pool.fits(job.step_of(task.id)):
        return Why.SHARE if beyond else Why.ROOM
    if task.late_starts:
        where = latestarts.where_to_start(state, task, now)
        if not isinstance(where, restarts.Anywhere):
            return Why.LATE_START
    queue = state.catalog.queues.get(job.job.queue)
    if queue is not None and queue.advice is not None:
        key = jobstates.step_key(task.id)
        known = advice.all_known(job, key, pool.hosts, now)
        return Why.NOT_APPROVED if known else Why.ADVICE
    if beyond:
        return Why.SHARE
    reserved = pool.is_reserved(job.job.steps[task.id.step], now)
    return Why.RESERVED if reserved else Why.NOT_PLACED


def _pool(state: model.State, service: str, now: float) -> _PoolCapacity:
    hosts = [
        host
        for host in state.hosts.values()
        if host.present and host.entry and host.entry.service == service
    ]
    usable = [host for host in hosts if host_health.usable(host, now)]
    why = None
    if not hosts:
        why = Why.NO_HOST
    elif not any(host.incarnation.synced for host in hosts):
        why = Why.UNSYNCED
    elif not usable:
        why = Why.UNUSABLE
    return _PoolCapacity(hosts=usable, why=why)
