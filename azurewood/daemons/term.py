"""A leader's term, from the election until the daemon steps down.

The term begins with the takeover (`azurewood.daemons.takeover`), and then
schedules until the log shows another leader.
"""

import math
import typing

from loguru import logger

from azurewood.daemons import finished_jobs
from azurewood.daemons import host_calls
from azurewood.daemons import intake as intakes
from azurewood.daemons import machine_calls
from azurewood.daemons import pace
from azurewood.daemons import progress_writes
from azurewood.daemons import takeover as takeovers
from azurewood.daemons import topics
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages
from azurewood.leadership import predecessors
from azurewood.leadership import records as election_records
from azurewood.policy import intake as intake_policy
from azurewood.scheduling import load
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import reducer

TICK_S: typing.Final = 0.05
"""Interval between ticks: 1/40 of the shortest time-out of an answer."""
PASS_PAUSE_FACTOR: typing.Final = 3
"""Pause after a scheduling pass, as a multiple of the pass's duration. It
leaves three quarters of a busy leader's time for lease renewals, starts and
ends."""
MAX_PASS_PAUSE_S: typing.Final = 0.2
"""Upper bound of that pause: a pass during which the process was suspended
appears long."""
HOSTS_READ_INTERVAL_S: typing.Final = 0.25
"""Interval between reads of the hosts' entries."""
HOSTS_MOVING_READ_INTERVAL_S: typing.Final = 0.08
"""The same while machines move between pools, as their hosts are needed."""

HOST_ANSWER_TIMEOUT_S: typing.Final = 2.0
"""Time in which a reachable host answers a new leader."""


class Term:
    """A leader's term: its takeover, scheduling state and records."""

    __slots__ = (
        "_check_hosts_at",
        "_context",
        "_finished_jobs",
        "_host_calls",
        "_hosts",
        "_intake",
        "_jobs",
        "_known_hosts",
        "_loop_monitor",
        "_machines",
        "_next_pass_at",
        "_progress",
        "_progress_writes",
        "_reports",
        "_store_slow",
        "_takeover",
        "_tick_at",
        "end_reason",
        "number",
        "state",
    )

    def __init__(self, *, context: takeovers.TermContext, number: int) -> None:
        self._context = context
        self.number = number
        self.end_reason = ""
        self.state: scheduling.State | None = None
        self._takeover = takeovers.Takeover(context=context, number=number)
        self._tick_at = 0.0
        self._store_slow = False
        self._next_pass_at = 0.0
        self._check_hosts_at = math.inf
        self._hosts = follower.Follower(
            topic=pages.Topic.HOSTS,
            keyed=True,
            wait_ms=0,
            pause_s=HOSTS_READ_INTERVAL_S,
        )
        self._known_hosts: set[str] = set()
        self._loop_monitor: pace.LoopMonitor | None = None
        self._machines = machine_calls.MachineCalls(
            context=context, term=number, handle_event=self.handle_event
        )
        self._host_calls = host_calls.HostCalls(
            context=context, term=number, handle_event=self.handle_event
        )
        self._progress_writes = progress_writes.ProgressWrites(
            writer=self._writer,
            on_saved=lambda: self.handle_event(messages.ProgressSaved()),
            on_refused=lambda key: self.handle_event(
                messages.ProgressRefused(key=key)
            ),
        )
        self._progress = self._progress_writes.writer
        self._jobs = self._writer(pages.Topic.JOBS)
        self._reports = self._writer(pages.Topic.REPORTS)
        self._finished_jobs = finished_jobs.FinishedJobs(
            registry=context.registry,
            retention_s=context.retention_s,
            append=self._jobs.add,
        )
        self._intake = intakes.IntakeCopier(
            platform=context.platform,
            calls=context.calls,
            clock=context.clock,
            registry=context.registry,
            partitions=context.partitions,
            producer=takeovers.PRODUCER,
            epoch=number,
            append=self._jobs.add,
        )

    def _writer(
        self,
        topic: pages.Topic,
        on_refused: topics.OnRefused | None = None,
    ) -> topics.Writer:
        """Return this term's writer of a topic, which a later term fences."""
        return topics.Writer(
            platform=self._context.platform,
            calls=self._context.calls,
            clock=self._context.clock,
            topic=topic,
            producer=takeovers.PRODUCER,
            epoch=self.number,
            on_refused=on_refused,
        )

    def step(self, now: float) -> None:
        """Run one iteration of the takeover or of the leader's work."""
        if self.end_reason:
            return
        try:
            self._step(now)
        except Exception:
            self._fail()

    def _step(self, now: float) -> None:
        if self.state is not None:
            self._lead(now)
            return
        found = self._takeover.step(now)
        if found is not None:
            self._begin(found)
        elif self._takeover.failure:
            self.stop(self._takeover.failure)

    def _fail(self) -> None:
        """End the term after an unexpected error.

        The scheduling state may be inconsistent, so nothing more is done
        with it. The daemon goes on serving callers, and a leader restores
        the state from the records.
        """
        logger.bind(event="term.error", term=self.number).exception(
            "unexpected error; ending the term"
        )
        self.stop("unexpected error")

    def next_at(self, now: float) -> float:
        """Return when ``step`` is due again."""
        if self.state is None:
            return now + takeovers.RETRY_S
        if self.state.placement_due and now < self._next_pass_at:
            return min(self._tick_at, self._next_pass_at)
        return self._tick_at

    def stop(self, reason: str) -> None:
        """End the term; later answers are ignored."""
        if not self.end_reason:
            self.end_reason = reason
            self._host_calls.close()
            logger.bind(
                event="term.over",
                term=self.number,
                reason=reason,
                **self._unfinished_work(),
            ).info("no longer the leader")

    def _unfinished_work(self) -> dict[str, int]:
        """Return the counts of unfinished work for the log."""
        state = self.state
        if state is None:
            return {}
        waiting = (*state.deferred_effects, *(state.saving_effects or ()))
        starts = [e for e in waiting if isinstance(e, messages.StartRun)]
        down = [
            name for name in state.machines if state.awaiting_maintenance(name)
        ]
        return {
            "jobs": len(state.jobs),
            "starts_unstored": len(starts),
            "orders_open": len(state.moving) + len(down),
        }

    def _begin(self, state: scheduling.State) -> None:
        """Begin to schedule with the state from the takeover."""
        self.state = state
        self._loop_monitor = pace.LoopMonitor(
            term=self.number,
            calls=self._context.calls,
            now=self._context.clock(),
        )
        self._check_hosts_at = self._context.clock() + HOST_ANSWER_TIMEOUT_S
        for entry in self._context.registry.entries.values():
            if entry.phase.final:
                self._add_finished(entry.job.id)
        known = self._context.catalog()
        if known is not None:
            self.handle_event(messages.CatalogChanged(catalog=known))
        for wave in self._context.waves():
            self.handle_event(wave)

    def handle_event(self, event: messages.Event) -> None:
        """Handle an event, unless the takeover runs or the term is over."""
        if self.state is None or self.end_reason:
            return
        try:
            reducer.handle_event(self.state, event, self._context.clock())
        except Exception:
            self._fail()

    def handle_record(self, record: records.Record) -> None:
        """Handle a job record that the job registry has applied."""
        match record:
            case records.Accepted(job=job):
                entry = self._context.registry.entries.get(job.id)
                if entry is None:
                    return
                if entry.phase.final:
                    self._add_finished(job.id)
                elif entry.unfinished:
                    self.handle_event(messages.JobAdded(job=entry.job))
            case records.Cancelled(id=job_id):
                self._add_finished(job_id)
                self.handle_event(messages.JobCancelled(id=job_id))
            case records.Ended(id=job_id):
                self._add_finished(job_id)
                self.handle_event(messages.JobClosed(id=job_id))

    def handle_repeated(self, job: model.Job) -> None:
        """Handle a known job's record that is stored once more."""
        if self.state is not None and not self.end_reason:
            self._finished_jobs.handle_repeated(job, self._context.clock())

    def handle_removed(self, job_id: str) -> None:
        """Handle the removal of a job's records."""
        self._finished_jobs.forget(job_id)

    def _add_finished(self, job_id: str) -> None:
        self._finished_jobs.add(job_id, self._context.clock())

    def _step_finished_jobs(self, now: float) -> None:
        """Reduce and remove the records of jobs that have ended.

        A job that is still in the intake would be copied again after its
        removal.
        """
        if self._intake.complete:
            self._finished_jobs.remove_expired(now)
        if self._jobs.idle and not self._store_slow:
            self._finished_jobs.step(now)

    def reaches_few_hosts(self, now: float) -> bool:
        """Return whether less than half of the hosts answered in time.

        This is checked once per term, ``HOST_ANSWER_TIMEOUT_S`` after the
        takeover: later on, hosts are added and removed anyway.
        """
        if self.state is None or now < self._check_hosts_at:
            return False
        self._check_hosts_at = math.inf
        asked = [host for host in self.state.hosts.values() if host.present]
        return 2 * sum(host.incarnation.synced for host in asked) < len(asked)

    def largest_capacity(self) -> model.Resources:
        """Return the largest machine's capacity, which beats publish."""
        return self.state.largest_capacity if self.state else model.Resources()

    def copied_at(self, now: float) -> float:
        """Return up to when the intake's jobs are copied, for beats."""
        if self.state is None:
            return -math.inf
        reported_at = self._context.election.slow_reported_at
        return self._intake.copied_at(now, slow_reported_at=reported_at)

    def load(self, now: float) -> tuple[election_records.QueueLoad, ...]:
        """Return the loaded queues, which beats publish."""
        return load.report(self.state, now) if self.state else ()

    def _lead(self, now: float) -> None:
        self._loop_monitor.step(self.state, now)
        election = self._context.election
        if not election.leads(now, within_s=predecessors.RENEWAL_VALID_S):
            self._tick_at = now + TICK_S
            return
        moving = bool(self.state.moving)
        self._hosts.pause_s = (
            HOSTS_MOVING_READ_INTERVAL_S if moving else HOSTS_READ_INTERVAL_S
        )
        topics.read(
            self._context.platform,
            self._context.calls,
            self._context.clock,
            self._hosts,
            self._on_hosts_read,
        )
        if now >= self._tick_at:
            self._loop_monitor.tick(self.state, due=self._tick_at, now=now)
            self._host_calls.step(self.state, now)
            self._tick_at = now + TICK_S
            self._step_finished_jobs(now)
            self._reports.step(now)
            self._step_intake(now)
            self.handle_event(self._tick(now))
        if now >= self._next_pass_at:
            self._run_scheduling_pass(now)
        for effect in reducer.collect_effects(self.state, now):
            self._carry_out(effect)
        self._progress.step(now)
        self._jobs.step(now)
        written = (self._progress, self._jobs, self._reports)
        # Lists cost fewer calls than generators, and this runs in each step.
        if [writer for writer in written if writer.fenced]:
            self.stop("a later term has written")
        elif self._intake.out_of_sequence or [
            writer for writer in written if writer.out_of_sequence
        ]:
            # A later term's epoch may begin at any sequence number.
            self.stop("the store refuses a sequence number")

    def _step_intake(self, now: float) -> None:
        """Report the delay of appends and copy jobs from the intake."""
        election = self._context.election
        writers = (self._progress, self._jobs)
        election.append_delay_s = intake_policy.reported_append_s(
            max(writer.latency_s(now) for writer in writers),
            self._hosts.delay_s(now),
            step_s=self._loop_monitor.longest_step_s,
        )
        self._store_slow = intake_policy.is_slow(
            max(election.append_delay_s, election.own_append_s)
        )
        for writer in writers:
            writer.set_slow(self._store_slow)
        self._intake.step(now, slow=self._store_slow)

    def _run_scheduling_pass(self, now: float) -> None:
        """Run a scheduling pass and schedule the next by its duration."""
        began_at = self._context.clock()
        reducer.place(self.state, now)
        ended_at = self._context.clock()
        pause_s = min(
            MAX_PASS_PAUSE_S, PASS_PAUSE_FACTOR * (ended_at - began_at)
        )
        self._next_pass_at = ended_at + pause_s

    def _tick(self, now: float) -> messages.Tick:
        election = self._context.election
        return messages.Tick(
            unix_ms=self._context.unix_ms(),
            may_order=election.may_order(now),
            hosts_read_at=self._hosts.fresh_at,
            store_slow=self._store_slow,
            fence=election.fence,
            fenced_at=election.confirmed_at,
        )

    def _on_hosts_read(self, changes: follower.Changes) -> None:
        for key in list(follower.removed_keys(self._known_hosts, changes)):
            self._known_hosts.discard(key)
            self.handle_event(messages.HostGone(id=key))
        newest = {record.key: record for record in changes.records}
        for record in newest.values():
            event = self._context.platform.host_record(record)
            match event:
                case messages.HostSeen():
                    self._known_hosts.add(record.key)
                case messages.HostGone():
                    self._known_hosts.discard(record.key)
            if event is not None:
                self.handle_event(event)

    def _carry_out(self, effect: messages.Effect) -> None:
        match effect:
            case messages.LogEvent():
                logger.bind(event=effect.event, **effect.fields).info(
                    effect.event
                )
            case messages.SaveProgress(values=values):
                self._progress_writes.add(values)
            case messages.NotifyJobBegun(ids=ids):
                for job_id in ids:
                    self._append_job_record(records.Begun(ids=(job_id,)))
            case messages.NotifyJobEnded(id=job_id, phase=phase):
                ended = records.Ended(id=job_id, phase=phase)
                self._jobs.add(self._finished_jobs.records_of_end(ended), None)
            case messages.ReadMachines():
                self._machines.read_list()
            case messages.MoveMachine() | messages.MaintainMachine():
                self._machines.send_order(effect)
            case messages.ReportWave():
                record = self._context.platform.wave_report(effect)
                self._reports.add((record,), None)
            case messages.AskAdvice():
                self._context.calls.submit(
                    self._context.platform.advice_call(effect),
                    lambda reply: self.handle_event(
                        self._context.platform.advice_event(effect, reply)
                    ),
                )
            case messages.StepDown(reason=reason):
                self.stop(reason)
            case _:
                if isinstance(effect, messages.StartRun):
                    self._loop_monitor.started()
                self._host_calls.send(effect)

    def _append_job_record(self, record: records.Record) -> None:
        stored = appender.Record(key=record.key, value=records.encode(record))
        self._jobs.add((stored,), None)
