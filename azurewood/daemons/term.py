"""One term of the leader: from its election to stepping down.

It takes over first, as `azurewood.daemons.takeover` says, and schedules
until the log shows another leader.
"""

import collections
import dataclasses
import math
import typing

from loguru import logger

from azurewood.daemons import pace
from azurewood.daemons import takeover as takeovers
from azurewood.daemons import topics
from azurewood.http import multiplex
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.journal import appender
from azurewood.journal import follower
from azurewood.journal import pages
from azurewood.leadership import base as leadership
from azurewood.scheduling import messages
from azurewood.scheduling import model as scheduling
from azurewood.scheduling import reducer

TICK_S: typing.Final = 0.05
"""Pause between ticks: a fortieth of the shortest bound on an answer."""
PASS_REST: typing.Final = 3
"""Rest after a pass over the queue, in lengths of the pass: three quarters
of a busy leader's time are left for holds, starts and ends."""
MOST_REST_S: typing.Final = 0.2
"""Bound on that rest: a pass in which the process stood still looks long."""
HOSTS_EVERY_S: typing.Final = 0.25
"""Pause between readings of the hosts' entries."""
HOSTS_COMING_S: typing.Final = 0.08
"""The same while machines are on their way, whose hosts are waited for."""

PROVE_S: typing.Final = 2.0
"""Time in which a host answers a leader that reaches any."""


class Term:
    """The work of the leader in one term."""

    __slots__ = (
        "_given",
        "_hosts",
        "_jobs",
        "_known_hosts",
        "_pace",
        "_place_at",
        "_prove_at",
        "_progress",
        "_reports",
        "_retired",
        "_takeover",
        "_tick_at",
        "number",
        "over",
        "state",
    )

    def __init__(self, *, given: takeovers.Given, number: int) -> None:
        self._given = given
        self.number = number
        self.over = ""
        self.state: scheduling.State | None = None
        self._takeover = takeovers.Takeover(given=given, number=number)
        self._tick_at = 0.0
        self._place_at = 0.0
        self._prove_at = math.inf
        self._retired: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._hosts = follower.Follower(
            topic=pages.Topic.HOSTS,
            keyed=True,
            wait_ms=0,
            pause_s=HOSTS_EVERY_S,
        )
        self._known_hosts: set[str] = set()
        self._pace: pace.Pace | None = None
        self._progress = self._writer(pages.Topic.PROGRESS)
        self._jobs = self._writer(pages.Topic.JOBS)
        self._reports = self._writer(pages.Topic.REPORTS)

    def _writer(self, topic: pages.Topic) -> topics.Writer:
        """Return this term's appends to a topic, which a later term bars."""
        return topics.Writer(
            platform=self._given.platform,
            calls=self._given.calls,
            clock=self._given.clock,
            topic=topic,
            producer=takeovers.PRODUCER,
            epoch=self.number,
        )

    def step(self, now: float) -> None:
        """Do what is due."""
        if self.over:
            return
        if self.state is not None:
            self._lead(now)
            return
        found = self._takeover.step(now)
        if found is not None:
            self._begin(found)
        elif self._takeover.failure:
            self.stop(self._takeover.failure)

    def next_at(self, now: float) -> float:
        """Return when ``step`` has something to do again."""
        if self.state is None:
            return now + takeovers.RETRY_S
        if self.state.placement_due and now < self._place_at:
            return min(self._tick_at, self._place_at)
        return self._tick_at

    def stop(self, reason: str) -> None:
        """End the term; answers that are still to come are dropped."""
        if not self.over:
            self.over = reason
            logger.bind(
                event="term.over",
                term=self.number,
                reason=reason,
                **self._in_hand(),
            ).info("no longer the leader")

    def _in_hand(self) -> dict[str, int]:
        """Return how much a term that ends had begun and not finished."""
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
        """Schedule from the state that the take-over found."""
        self.state = state
        self._pace = pace.Pace(
            term=self.number,
            calls=self._given.calls,
            now=self._given.clock(),
        )
        self._prove_at = self._given.clock() + PROVE_S
        for entry in self._given.register.entries.values():
            if entry.phase.final:
                self._retire_later(entry.job.id)
        known = self._given.catalog()
        if known is not None:
            self.take(messages.CatalogChanged(catalog=known))
        for wave in self._given.waves():
            self.take(wave)

    def take(self, event: messages.Event) -> None:
        """Take an event in, if this term schedules already."""
        if self.state is not None and not self.over:
            reducer.handle_event(self.state, event, self._given.clock())

    def take_record(self, record: records.Record) -> None:
        """Take in a record of the jobs that the register has taken in."""
        match record:
            case records.Accepted(job=job):
                entry = self._given.register.entries.get(job.id)
                if entry is not None and not entry.phase.final:
                    self.take(messages.JobAdded(job=entry.job))
            case records.Cancelled(id=job_id):
                self._retire_later(job_id)
                self.take(messages.JobCancelled(id=job_id))
            case records.Ended(id=job_id):
                self._retire_later(job_id)
                self.take(messages.JobClosed(id=job_id))

    def _retire_later(self, job_id: str) -> None:
        """Have a job that is over dropped when its retention ends."""
        at = self._given.clock() + self._given.retention_s
        self._retired.append((at, job_id))

    def _retire(self, now: float) -> None:
        """Drop the records of jobs whose retention is over."""
        while self._retired and self._retired[0][0] <= now:
            _, job_id = self._retired.popleft()
            self._jobs.add(
                tuple(
                    appender.Record(key=key, value=None)
                    for key in records.keys(job_id)
                ),
                None,
            )

    def hears_few_hosts(self, now: float) -> bool:
        """Return whether under half of the hosts answered, given the time.

        That is asked once: later on, hosts come and go.
        """
        if self.state is None or now < self._prove_at:
            return False
        self._prove_at = math.inf
        asked = [host for host in self.state.hosts.values() if host.present]
        return 2 * sum(host.synced for host in asked) < len(asked)

    def largest_capacity(self) -> model.Resources:
        """Return the largest machine's room, which beats tell all daemons."""
        return self.state.largest_capacity if self.state else model.Resources()

    def _lead(self, now: float) -> None:
        self._pace.step(self.state, now)
        election = self._given.election
        if not election.leads(now, within_s=leadership.VALID_S):
            self._tick_at = now + TICK_S
            return
        coming = bool(self.state.moving)
        self._hosts.pause_s = HOSTS_COMING_S if coming else HOSTS_EVERY_S
        topics.read(
            self._given.platform,
            self._given.calls,
            self._given.clock,
            self._hosts,
            self._took_hosts,
        )
        if now >= self._tick_at:
            self._pace.tick(self.state, due=self._tick_at, now=now)
            self._tick_at = now + TICK_S
            self._retire(now)
            self._reports.step(now)
            self.take(self._tick(now))
        if now >= self._place_at:
            self._place(now)
        for effect in reducer.collect_effects(self.state, now):
            self._carry_out(effect)
        self._progress.step(now)
        self._jobs.step(now)
        written = (self._progress, self._jobs, self._reports)
        if any(writer.fenced for writer in written):
            self.stop("a later term has written")

    def _place(self, now: float) -> None:
        """Make a pass over the queue; the next waits by what it took."""
        began_at = self._given.clock()
        reducer.place(self.state, now)
        ended_at = self._given.clock()
        rest_s = min(MOST_REST_S, PASS_REST * (ended_at - began_at))
        self._place_at = ended_at + rest_s

    def _tick(self, now: float) -> messages.Tick:
        election = self._given.election
        return messages.Tick(
            unix_ms=self._given.unix_ms(), may_order=election.may_order(now)
        )

    def _took_hosts(self, changes: follower.Changes) -> None:
        for key in list(follower.keys_gone(self._known_hosts, changes)):
            self._known_hosts.discard(key)
            self.take(messages.HostGone(id=key))
        newest = {record.key: record for record in changes.records}
        for record in newest.values():
            event = self._given.platform.host_record(record)
            match event:
                case messages.HostSeen():
                    self._known_hosts.add(record.key)
                case messages.HostGone():
                    self._known_hosts.discard(record.key)
            if event is not None:
                self.take(event)

    def _carry_out(self, effect: messages.Effect) -> None:
        match effect:
            case messages.LogEvent():
                logger.bind(event=effect.event, **effect.fields).info(
                    effect.event
                )
            case messages.SaveProgress(values=values):
                found = tuple(
                    appender.Record(key=key, value=value)
                    for key, value in values.items()
                )
                self._progress.add(found, self._saved)
            case messages.NotifyJobBegun(ids=ids):
                for job_id in ids:
                    self._announce(records.Begun(ids=(job_id,)))
            case messages.NotifyJobEnded(id=job_id, phase=phase):
                self._announce(records.Ended(id=job_id, phase=phase))
            case messages.ReadMachines():
                self._read_machines("", (), self._given.clock())
            case messages.MoveMachine() | messages.MaintainMachine():
                self._order(effect)
            case messages.ReportWave():
                record = self._given.platform.wave_report(effect)
                self._reports.add((record,), None)
            case messages.AskAdvice():
                self._given.calls.submit(
                    self._given.platform.advice_call(effect),
                    lambda reply: self._took(
                        self._given.platform.advice_event(effect, reply)
                    ),
                )
            case messages.StepDown(reason=reason):
                self.stop(reason)
            case _:
                if isinstance(effect, messages.StartRun):
                    self._pace.started()
                self._given.calls.submit(
                    self._given.platform.host_call(effect, self.number),
                    lambda reply: self._took(
                        self._given.platform.host_event(effect, reply)
                    ),
                )

    def _took(self, event: messages.Event | None) -> None:
        if event is not None:
            self.take(event)

    def _saved(self) -> None:
        self.take(messages.ProgressSaved())

    def _announce(self, record: records.Record) -> None:
        stored = appender.Record(key=record.key, value=records.encode(record))
        self._jobs.add((stored,), None)

    def _order(
        self, order: messages.MoveMachine | messages.MaintainMachine
    ) -> None:
        """Send an order at once or not at all.

        It may leave until its own time or the leader's, whichever is first;
        the call sees to that, as the process may stand still meanwhile.
        """
        confirmed_at = self._given.election.confirmed_at
        send_by = min(order.send_by, confirmed_at + leadership.ORDER_VALID_S)
        now = self._given.clock()
        if not self._given.election.may_order(now) or now >= send_by:
            result = messages.OrderResult.NOT_DONE
            event = messages.OrderAnswered(
                machine=order.machine, result=result
            )
            self.take(event)
            return
        order = dataclasses.replace(order, send_by=send_by)
        self._given.calls.submit(
            self._given.platform.order_call(order, self.number),
            lambda reply: self.take(
                messages.OrderAnswered(
                    machine=order.machine,
                    result=self._given.platform.order_result(reply),
                )
            ),
        )

    def _read_machines(
        self,
        token: str,
        found: tuple[messages.MachineEntry, ...],
        began_at: float,
    ) -> None:
        def took(reply: multiplex.Reply) -> None:
            page = self._given.platform.machines_page(reply)
            if page is None:
                logger.bind(event="machines.unread").warning(
                    "the list of machines was not read: {} {}",
                    reply.status,
                    reply.reason,
                )
                return
            every = found + page.machines
            if page.token:
                self._read_machines(page.token, every, began_at)
            else:
                self.take(
                    messages.MachinesListed(machines=every, began_at=began_at)
                )

        self._given.calls.submit(
            self._given.platform.machines_call(token), took
        )
