"""The state of the leader: its hosts, jobs, machines and waves."""

from collections import abc
import math
import typing

from azurewood.incarnations import late_starts
from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.journal import appender
from azurewood.policy import arrivals
from azurewood.policy import pool_sizes
from azurewood.policy import unlisted_runs
from azurewood.policy import withheld_ends
from azurewood.scheduling import account_usage
from azurewood.scheduling import advice_queue
from azurewood.scheduling import host_state
from azurewood.scheduling import jobstates
from azurewood.scheduling import learning
from azurewood.scheduling import machine_orders
from azurewood.scheduling import messages
from azurewood.scheduling import waiting

CONFIRMED_SAVE_S: typing.Final = 0.2
"""Time in which answers to starts are collected for a common record."""


class State:
    """The state of a leader during its term.

    ``placement_due`` has the services whose waiting tasks the next
    scheduling pass places. ``full_capacities`` has the largest capacity that
    each listed machine has had in this term, and ``largest_capacity`` the
    most that any of them has of each resource. ``recorded_unresponsive`` has
    the hosts that a stored record may name as unresponsive. ``unix_ms`` is the
    time of day, which may be set back or forward; only schedules follow it.
    ``fence`` is the newest fencing token of this leader, and its election
    record was not written before ``fenced_at``. ``clock_ms``, for
    ages and objectives, advances with the monotonic clock from the time of day
    at the beginning of the term, which was at ``began_at``.
    ``unreadable_jobs`` has the jobs whose
    progress record cannot be read, and ``unstorable_jobs`` those with one that
    the store refuses, as it has more than ``max_record_bytes`` perhaps; they
    are to fail. ``no_order_before`` is the time from which
    machines may get orders at all. ``unseen_since`` maps the hosts that the
    machine list names and that are not known to the time since when.
    ``late_steps`` has the late starts of all hosts by step.
    ``known_job`` returns the record of a job by its id, also of one that is
    over or whose progress cannot be read, and None if there is none.
    ``usage`` has what accounts have running on all hosts. ``unlisted_usage``
    has the most that jobs stopped before this term, whose tasks are in
    ``stopped_tasks``, may have running on ``unlisted_hosts`` hosts, and
    ``accounts_logged`` the accounts whose latest log line had anything.
    ``divisions`` has the latest division of each pool that was full.
    Hosts to empty for maintenance are chosen at ``emptying_due``; machines
    whose hosts could not be emptied may be chosen again at ``empty_after``.
    A host more in each of ``pools_in_the_way`` would let a wave go on.
    ``unwanted`` has the hosts that may have a run of a task that has to end
    before the task, and its gang, start anywhere.
    ``suspects`` has the tasks that may have to start alone, as hosts have
    crashed under them.

    ``confirmed_jobs`` have starts whose answers are to be stored at
    ``confirmed_due``, if not sooner.

    ``host_machines`` maps hosts to their machines, and ``recorded_machines``
    is what of it is on record.

    ``values``, the progress of ``dirty_jobs``, the late starts of the hosts in
    ``dirty_late_starts`` and the machines of ``dirty_machines`` are stored in
    the next batch, for which ``deferred_effects`` wait. ``saving_effects``
    wait for the batch under way; it is None if there is none.
    """

    __slots__ = (
        "accounts_log_at",
        "accounts_logged",
        "advice",
        "arrivals",
        "began_at",
        "backlogs",
        "begun_job_ids",
        "catalog",
        "clock_ms",
        "clock_offset_ms",
        "confirmed_due",
        "confirmed_jobs",
        "deferred_effects",
        "demands",
        "dirty_jobs",
        "divisions",
        "empty_after",
        "emptying_due",
        "dirty_late_starts",
        "dirty_machines",
        "durations",
        "effects",
        "fence",
        "fenced_at",
        "full_capacities",
        "host_machines",
        "hosts",
        "hosts_read_at",
        "jobs",
        "known_job",
        "largest_capacity",
        "late_steps",
        "leases_expire_at",
        "machines",
        "machines_at",
        "machines_due",
        "max_record_bytes",
        "moving",
        "no_order_before",
        "pools_in_the_way",
        "order_after",
        "ordered_at",
        "orders",
        "placement_due",
        "pools_due",
        "pools_log_at",
        "recorded_machines",
        "recorded_unresponsive",
        "saving_effects",
        "store_slow",
        "stopped_tasks",
        "stuck_due",
        "stuck_work",
        "suspects",
        "term",
        "unanswered_starts",
        "unstorable_jobs",
        "unwanted",
        "unix_ms",
        "unlisted_hosts",
        "unlisted_usage",
        "unreadable_jobs",
        "unresponsive_changed",
        "unseen_since",
        "usage",
        "values",
        "waves",
    )

    def __init__(self, *, term: int, leases_expire_at: float) -> None:
        self.term = term
        self.fence = term
        self.fenced_at = 0.0
        self.leases_expire_at = leases_expire_at
        self.catalog: catalog.Catalog | None = None
        self.jobs: dict[str, jobstates.JobState] = {}
        self.known_job: abc.Callable[[str], model.Job | None] = lambda id: None
        self.advice = advice_queue.AdviceQueue()
        self.hosts: dict[str, host_state.Host] = {}
        self.usage = account_usage.AccountUsage()
        self.began_at = 0.0
        self.stopped_tasks: dict[str, unlisted_runs.Tasks] = {}
        self.unlisted_hosts = 0
        self.unlisted_usage: dict[str, model.Resources] = {}
        self.accounts_log_at = 0.0
        self.accounts_logged: set[str] = set()
        self.divisions: dict[str, waiting.Division] = {}
        self.late_steps = late_starts.LateSteps(usage=self.usage)
        self.durations = learning.Learning()
        self.hosts_read_at = 0.0
        self.unseen_since: dict[str, float] = {}
        self.machines: dict[str, messages.MachineEntry] = {}
        self.full_capacities: dict[str, model.Resources] = {}
        self.largest_capacity = model.Resources()
        self.machines_at = -1.0
        self.machines_due = 0.0
        self.orders: dict[str, float] = {}
        self.moving: dict[str, machine_orders.MachineMove] = {}
        self.demands: dict[str, pool_sizes.Demand] = {}
        self.pools_due = 0.0
        self.pools_log_at = 0.0
        self.backlogs: dict[str, waiting.Backlog] = {}
        self.stuck_work: dict[str | model.TaskId, waiting.StuckWork] = {}
        self.stuck_due = 0.0
        self.store_slow = False
        self.arrivals: dict[str, arrivals.Arrivals] = {}
        self.ordered_at: dict[str, float] = {}
        self.order_after: dict[str, float] = {}
        self.no_order_before = 0.0
        self.host_machines: dict[str, str] = {}
        self.recorded_machines: dict[str, str] = {}
        self.dirty_machines: set[str] = set()
        self.emptying_due = 0.0
        self.empty_after: dict[str, float] = {}
        self.pools_in_the_way: set[str] = set()
        self.waves: dict[int, machine_orders.Wave] = {}
        self.unanswered_starts = withheld_ends.UnansweredStarts()
        self.unix_ms = 0.0
        self.clock_ms = 0.0
        self.clock_offset_ms = 0.0
        self.unreadable_jobs: set[str] = set()
        self.unstorable_jobs: set[str] = set()
        self.unwanted: dict[model.TaskId, set[str]] = {}
        self.max_record_bytes = appender.MAX_RECORD_BYTES
        self.suspects: set[model.TaskId] = set()
        self.unresponsive_changed = False
        self.recorded_unresponsive: set[str] = set()
        self.placement_due: set[str] = set()
        self.begun_job_ids: list[str] = []
        self.confirmed_jobs: set[str] = set()
        self.confirmed_due = 0.0
        self.dirty_jobs: set[str] = set()
        self.dirty_late_starts: set[str] = set()
        self.values: dict[str, bytes | None] = {}
        self.deferred_effects: list[messages.Effect] = []
        self.saving_effects: list[messages.Effect] | None = None
        self.effects: list[messages.Effect] = []

    def host(self, id: str) -> host_state.Host:
        """Return a host, adding it if it is not known."""
        host = self.hosts.get(id)
        if host is None:
            host = host_state.Host(
                id=id,
                leases_expire_at=self.leases_expire_at,
                fence=self.fence,
            )
            host.late_starts = late_starts.LateStarts(steps=self.late_steps)
            host.usage = self.usage
            self.hosts[id] = host
        return host

    def set_unwanted(
        self, host: host_state.Host, tasks: frozenset[model.TaskId]
    ) -> None:
        """Record the tasks of which a host lists runs that have to end."""
        for task in host.unwanted - tasks:
            self.unwanted[task].discard(host.id)
            if not self.unwanted[task]:
                del self.unwanted[task]
        for task in tasks:
            self.unwanted.setdefault(task, set()).add(host.id)
        host.unwanted = tasks

    def may_begin(self, task: jobstates.Task, now: float) -> bool:
        """Return whether a waiting task may start, as far as its runs go.

        A run that has to end first counts for as long as it may exist,
        however late the next list or the answer to its stop is.
        """
        return now >= task.waits_until and task.id not in self.unwanted

    def waits_for_end(self, host: host_state.Host, task: model.TaskId) -> bool:
        """Return whether a start on a host waits for a run that has to end.

        It is of the same task, on any host, or uses room of this one. What it
        uses may not be known any more.
        """
        return bool(host.unwanted) or task in self.unwanted

    def may_order(self, machine: str, now: float) -> bool:
        """Return whether this leader may send an order to a machine.

        It may not until the pause after an earlier leader's order is over.
        """
        after = self.order_after.get(machine, 0.0)
        return now >= max(after, self.no_order_before)

    def is_ordered_away(self, host: host_state.Host) -> bool:
        """Return whether an order ends a host's incarnation, or has ended it.

        A confirmed order has not ended a later incarnation than it was for.
        """
        began_ms = host.incarnation.began_ms
        name = self.host_machines.get(host.id)
        move = self.moving.get(name)
        if move is not None and move.host == host.id and move.ends(began_ms):
            return True
        return any(
            wave.ordered.get(name) == host.id and wave.ends(name, began_ms)
            for wave in self.waves.values()
        )

    def awaiting_maintenance(self, machine: str) -> bool:
        """Return whether a wave took a machine down that isn't back yet."""
        if not self.waves:
            return False
        return any(
            machine in wave.ordered and machine not in wave.returned
            for wave in self.waves.values()
        )

    def task(self, id: model.TaskId) -> jobstates.Task | None:
        """Return a task, or None if its job is not known."""
        job = self.jobs.get(id.job)
        return job.task(id) if job is not None else None

    def account_of(self, id: model.TaskId) -> tuple[str, model.Resources]:
        """Return the account of a task and what it uses, ``""`` for none.

        Runs of a job that is over exist until they have been stopped. Its
        record has its steps for as long as starts may be late.
        """
        job = self.jobs.get(id.job)
        found = job.job if job is not None else self.known_job(id.job)
        if found is None or not 0 <= id.step < len(found.steps):
            return "", model.Resources()
        return found.account, found.steps[id.step].needs

    def add_late_start(
        self,
        host: host_state.Host,
        key: tuple[model.TaskId, int],
        late: late_starts.LateStart,
    ) -> None:
        """Record a start without an answer, also for a later leader."""
        self.dirty_late_starts.add(host.id)
        known = host.late_starts.add(key, late)
        id, _ = key
        task = self.task(id)
        if task is None:
            return
        others = [
            other
            for other in task.late_starts
            if other is not known and self._may_be_late(id, other)
        ]
        task.late_starts = [*others, known]

    def _may_be_late(
        self, id: model.TaskId, late: late_starts.LateStart
    ) -> bool:
        """Return whether a start of a task is still known of its host."""
        host = self.hosts.get(late.host)
        return (
            host is not None and host.late_starts.get((id, late.run)) is late
        )

    def note_begun(self, job_id: str) -> None:
        """Have daemons know that a run of a job has started."""
        job = self.jobs.get(job_id)
        if job is not None and not job.begun:
            job.begun = True
            self.begun_job_ids.append(job_id)

    def note_changed(self, id: model.TaskId) -> None:
        """Have the progress of a task stored in the next batch."""
        self.jobs[id.job].note_changed(id)
        self.dirty_jobs.add(id.job)

    def note_confirmed(self, run: host_state.Run, now: float) -> None:
        """Note that a start was accepted, also for a later leader."""
        self.note_begun(run.task.job)
        job = self.jobs.get(run.task.job)
        task = job.task(run.task) if job is not None else None
        if task is None or task.run != run.run:
            return
        task.confirmed = True
        job.note_changed(task.id)
        if not self.confirmed_jobs:
            self.confirmed_due = now + CONFIRMED_SAVE_S
        self.confirmed_jobs.add(run.task.job)

    def bar_late_starts(
        self, host: host_state.Host, possible_until: float = math.inf
    ) -> None:
        """Record that a host has ended and won't return under its id.

        Starts that may be late after ``possible_until`` are left.
        """
        starts = host.late_starts
        if starts and starts.bar_all(possible_until=possible_until):
            self.dirty_late_starts.add(host.id)

    def bar_late_start(
        self, host: host_state.Host, key: tuple[model.TaskId, int]
    ) -> None:
        """Record that a start can no longer take effect."""
        if host.late_starts.bar(key):
            self.dirty_late_starts.add(host.id)

    def service_of(self, job: model.Job) -> str:
        """Return the service whose hosts run a job's tasks."""
        queue = self.catalog and self.catalog.queues.get(job.queue)
        return queue.service if queue else job.service

    def emit(self, effect: messages.Effect) -> None:
        """Request an effect immediately."""
        self.effects.append(effect)

    def emit_after_save(self, effect: messages.Effect) -> None:
        """Request an effect for when the current progress is stored."""
        self.deferred_effects.append(effect)

    def log_event(self, event: str, **fields: typing.Any) -> None:
        """Log a decision."""
        self.effects.append(messages.LogEvent(event=event, fields=fields))

    def log_run(
        self,
        event: str,
        host: host_state.Host,
        run: host_state.Run,
        **fields: typing.Any,
    ) -> None:
        """Log a decision about a run that may exist on a host."""
        self.log_event(
            event,
            job=run.task.job,
            task=str(tuple(run.task[1:])),
            run=run.run,
            host=host.id,
            incarnation=run.incarnation_ms,
            **fields,
        )
