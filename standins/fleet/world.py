"""Simulated deployment: daemons, hosts and store under one clock.

Faults: daemons that are killed, frozen or partitioned from the store or
from hosts; hosts that crash, are partitioned, fail their runs, or whose
capacity shrinks and grows while they run; a store
that is down, loses replies or drops its history; calls to hosts that are
carried out late, and lease renewals too if ``late_renewal_share`` is set;
a renewal that acknowledges run ends drops those that there are when it is
carried out, and later ones too with ``hosts_keep_cursors``.
What a daemon sends into a partition arrives when the
partition ends, unless the daemon has dropped those bytes by then; daemons
do so early if ``drops_unsent`` is set. With ``late_after_contact``, late
calls reach a host only once its incarnation has answered the leader with a
list and the leader has had ``REACTION_S`` to respond. Tasks of ``deadly_jobs``
crash each host that starts them; it is back after ``deadly_down_s``, under its
id if ``deadly_keeps_id`` is set.
"""

from collections import abc
import dataclasses
import random

from azurewood.jobs import catalog
from azurewood.jobs import desk
from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.scheduling import messages
from standins.fleet import advice as sim_advice
from standins.fleet import clock as clocks
from standins.fleet import gangs as sim_gangs
from standins.fleet import hosts as sim_hosts
from standins.fleet import keys as key_rules
from standins.fleet import members as sim_members
from standins.fleet import platform
from standins.fleet import progress
from standins.fleet import rules as rule_checks
from standins.fleet import store as stores

ONE_WAY_S = 0.001
STORE_ONE_WAY_S = 0.003
ENTRY_INTERVAL_S = 1.5
SILENCE_S = 4.5
MAINTENANCE_S = 2.0
MOVE_S = 1.5
MAX_APPEND_QUEUE_S = 2.0
LEADER_CHANGE_PAUSE_S = 3.0
"""Minimum time between the orders of two leaders to one machine."""
DEADLY_AFTER_S = 0.01
"""Time from the start of a deadly task to the crash of its host."""
REACTION_S = 0.01
"""Time for a host's list and the leader's next call on the network."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class LastOrder:
    """The newest order to a machine, as its fence and time."""

    fence: int
    at: float


class World:
    """The simulated deployment; ``rules`` collects violated invariants."""

    def __init__(
        self,
        *,
        seed: int,
        members: int,
        pools: dict[str, int],
        cores: tuple[float, ...] = (),
        zones: tuple[str, ...] = ("a",),
        pools_off: frozenset[str] = frozenset(),
    ) -> None:
        self.random = random.Random(seed)
        self.zones = zones
        self.pools_off = pools_off
        self.clock = clocks.Clock()
        self.store = stores.Store()
        self.advice = sim_advice.SimAdvice(clock=self.clock)
        self.rules = rule_checks.Rules(clock=self.clock)
        self.key_rules = key_rules.KeyRules(
            clock=self.clock, breach=self.rules.breach
        )
        self.gangs = sim_gangs.Gangs(clock=self.clock)
        self.hosts: dict[str, sim_hosts.SimHost] = {}
        self.machines: dict[str, messages.MachineEntry] = {}
        self.labels: dict[str, tuple[str, ...]] = {}
        self.upkeep_done: dict[int, set[str]] = {}
        self.ordered: dict[str, LastOrder] = {}
        self.cut_hosts: set[str] = set()
        self.cut_zones: set[str] = set()
        self.moves: list[str] = []
        self.keep_ids = False
        self.catalog: catalog.Catalog | None = None
        self.drops_unsent = True
        self.store_down = False
        self.lost_share = 0.0
        self.late_share = 0.0
        self.late_renewal_share = 0.0
        self.late_after_contact = False
        self.hosts_keep_cursors = False
        self.late_write_share = 0.0
        self.deadly_jobs: set[str] = set()
        self.deadly_down_s = 1.2
        self.deadly_keeps_id = False
        self.slow = 1.0
        self.append_s = 0.0
        self._appends_end: dict[object, float] = {}
        self.run_duration_s = lambda task, step: step.estimate_ms / 1000
        self._names = 0
        for service, count in pools.items():
            for number in range(count):
                self._add_machine(service, number)
        self.members = [
            sim_members.SimMember(
                world=self,
                name=f"m{number}",
                cores=cores[number] if cores else 0.0,
            )
            for number in range(members)
        ]
        self.progress = progress.Progress(world=self)
        self.progress.start()
        for member in self.members:
            member.start()

    def append_turn_s(self, partition: object) -> float | None:
        """Return in how many seconds an append that arrives is carried out.

        Return None if it is refused, as too many wait for the partition.
        """
        now = self.clock.now
        begin = max(now, self._appends_end.get(partition, 0.0))
        if begin - now > MAX_APPEND_QUEUE_S:
            return None
        end = begin + self.append_s * self.slow
        self._appends_end[partition] = end
        return end - now

    def _add_machine(self, service: str, number: int) -> None:
        name = f"{service}-{number}"
        zone = self.zones[number % len(self.zones)]
        labels = (f"rack-{number % 2}",)
        self.labels[name] = labels
        self.machines[name] = messages.MachineEntry(
            name=name,
            pool=service,
            state=messages.MachineState.UP,
            host=self._boot(name, service, labels, zone),
            zone=zone,
        )

    def _boot(
        self, machine: str, service: str, labels: tuple[str, ...], zone: str
    ) -> str:
        """Return the id of a machine's new host, or "" if it is off."""
        if service in self.pools_off:
            return ""
        return self.add_host(machine, service, labels, zone).id

    def add_host(
        self,
        machine: str,
        service: str,
        labels: tuple[str, ...],
        zone: str = "a",
    ) -> sim_hosts.SimHost:
        """Add a host on a machine; the host publishes its entry."""
        self._names += 1
        host = sim_hosts.SimHost(
            id=f"h{self._names}",
            machine=machine,
            service=service,
            capacity=model.Resources(4000, 8000, 0),
            labels=("kind", *labels),
            clock=self.clock,
            gangs=self.gangs,
            run_duration_s=lambda task, step: self.run_duration_s(task, step),
            observe=self._observe,
            on_end_acknowledged=self.rules.on_end_acknowledged,
            clock_rate=self.random.choice((1.0, 0.98)),
            zone=zone,
        )
        self.hosts[host.id] = host
        self._publish_periodically(host)
        return host

    def _observe(
        self,
        what: str,
        host: sim_hosts.SimHost,
        run: sim_hosts.SimRun,
        how: messages.End | None = None,
    ) -> None:
        self.rules.observe(what, host, run, how)
        if what == "start" and run.task.job in self.deadly_jobs:
            key = (run.task, run.run)
            self.clock.after(
                DEADLY_AFTER_S, lambda: self._crash_under(host, key)
            )

    def _crash_under(
        self, host: sim_hosts.SimHost, key: sim_hosts.Key
    ) -> None:
        """Crash a host under a deadly run, if the run still exists."""
        if key not in host.runs:
            return
        self.rules.deadly.add(key[0])
        host.crash()
        machine = self.machines[host.machine]
        if self.deadly_keeps_id:
            self.clock.after(self.deadly_down_s, lambda: self._reborn(host))
            return
        down = messages.MachineState.DOWN
        self._set_machine(machine.name, machine.pool, down, "")
        self.clock.after(SILENCE_S, lambda: self._remove_entry(host))
        self.clock.after(self.deadly_down_s, lambda: self._back(machine))

    def _reborn(self, host: sim_hosts.SimHost) -> None:
        if self.machines[host.machine].host == host.id and not host.up:
            host.restart()
            self.publish_entry(host)

    def _remove_entry(self, host: sim_hosts.SimHost) -> None:
        gone = appender.Record(key=host.id, value=None)
        self.store.add(pages.Topic.HOSTS, (gone,))

    def _back(self, machine: messages.MachineEntry) -> None:
        """Start a new host on a machine."""
        name = machine.name
        labels = self.labels[name]
        fresh = self._boot(name, machine.pool, labels, machine.zone)
        up = messages.MachineState.UP
        self._set_machine(name, machine.pool, up, fresh)

    def _publish_periodically(self, host: sim_hosts.SimHost) -> None:
        """Write a host's entry periodically while the host is up."""
        if self.hosts.get(host.id) is not host:
            return
        cut = self.store_down or host.zone in self.cut_zones
        if host.up and not cut:
            self.publish_entry(host)
        self.clock.after(
            ENTRY_INTERVAL_S, lambda: self._publish_periodically(host)
        )

    def publish_entry(self, host: sim_hosts.SimHost) -> None:
        """Write a host's entry to the store."""
        record = appender.Record(key=host.id, value=host.entry())
        self.store.add(pages.Topic.HOSTS, (record,))
        host.on_entry_written()

    # The network

    def delay(self, target: str) -> float:
        """Return the one-way network delay to a target."""
        if target == platform.STORE:
            return STORE_ONE_WAY_S * self.slow * self.random.uniform(0.8, 1.5)
        return ONE_WAY_S * self.random.uniform(0.5, 2.0)

    def fault_of(self, call: platform.SimCall) -> str:
        """Return the fault to inject into a call, or an empty string."""
        if call.target == platform.STORE:
            if call.changes and self.random.random() < self.lost_share:
                return "lost"
            late = call.changes and self.late_write_share
            if late and self.random.random() < self.late_write_share:
                return "late"
            return ""
        order = call.changes and call.target in self.hosts
        if order and self.random.random() < self.late_share:
            return "late"
        late = call.renews and self.late_renewal_share
        if late and self.random.random() < self.late_renewal_share:
            return "late"
        return ""

    def reachable(self, member: sim_members.SimMember, target: str) -> bool:
        """Return whether the network connects a daemon and a target."""
        if target in member.cut_from or target in self.cut_hosts:
            return False
        host = self.hosts.get(target)
        return host is None or host.zone not in self.cut_zones

    def is_up(self, target: str) -> bool:
        """Return whether the target of a call is running."""
        if target == platform.STORE:
            return not self.store_down
        host = self.hosts.get(target)
        return host is None or host.up

    def is_late_call_blocked(self, target: str) -> bool:
        """Return whether a late call waits for the target's first list."""
        host = self.hosts.get(target)
        return (
            self.late_after_contact
            and host is not None
            and host.up
            and self.clock.now < host.listed_at + REACTION_S
        )

    def incarnation(self, target: str) -> int:
        """Return the incarnation of a host, 0 for any other target."""
        host = self.hosts.get(target)
        return host.incarnation_ms if host is not None else 0

    def is_disconnected(self, call: platform.SimCall) -> bool:
        """Return whether no connection is left that a call may go over.

        A connection ends with the incarnation that it was made to.
        """
        if call.connected_by is None:
            return False
        return self.hosts[call.target].born_at > call.connected_by

    # Effects of calls

    def on_host(
        self, effect: messages.Effect, sent_at: float
    ) -> messages.Event | None:
        """Carry out an effect on its host."""
        host = self.hosts[effect.host]
        match effect:
            case messages.StartRun():
                job = self.rules.asked.get(effect.task.job)
                if job is None:
                    self.rules.breach("unasked", str(effect.task))
                    return None
                step = job.steps[effect.task.step]
                return messages.StartAnswered(
                    host=host.id,
                    incarnation_ms=effect.incarnation_ms,
                    fence=effect.fence,
                    task=effect.task,
                    run=effect.run,
                    refusal=host.start(effect, effect.fence, step),
                    clock_ms=host.clock_ms(),
                )
            case messages.StopRun():
                return messages.StopAnswered(
                    host=host.id,
                    incarnation_ms=effect.incarnation_ms,
                    fence=effect.fence,
                    task=effect.task,
                    run=effect.run,
                    refusal=host.stop(effect.task, effect.run, effect.fence),
                )
            case messages.SetRunSpeed():
                return messages.SpeedAnswered(
                    host=host.id,
                    task=effect.task,
                    run=effect.run,
                    refusal=None,
                )
            case messages.RenewLease():
                refusal = host.renew_lease(
                    effect, effect.fence, keep_cursor=self.hosts_keep_cursors
                )
                if refusal is not None:
                    return messages.RenewalFailed(
                        host=host.id, number=effect.number, reason=refusal
                    )
                return host.listing(effect.number, sent_at)
            case _:
                return None

    def machine_page(self, token: str = "") -> "MachinePage":
        """Return the list of machines, which has a single page."""
        return MachinePage(machines=tuple(self.machines.values()))

    def order(
        self, order: messages.Effect, fence: int
    ) -> messages.OrderResult:
        """Carry out an order to a machine."""
        machine = self.machines[order.machine]
        self._check_order_fence(machine.name, fence)
        if machine.state is not messages.MachineState.UP:
            return messages.OrderResult.BUSY
        match order:
            case messages.MaintainMachine(wave=wave):
                done = self.upkeep_done.setdefault(wave, set())
                if machine.name in done:
                    return messages.OrderResult.DONE
                done.add(machine.name)
                state = messages.MachineState.UPKEEP
                self._replace(machine, machine.pool, state, MAINTENANCE_S)
            case messages.MoveMachine(pool=pool):
                if machine.pool != pool:
                    self.moves.append(pool)
                    state = messages.MachineState.MOVING
                    self._replace(machine, pool, state, MOVE_S)
        return messages.OrderResult.DONE

    def _check_order_fence(self, machine: str, fence: int) -> None:
        """Check that two leaders never send orders to a machine in turns.

        A new leader must pause before its first order, because machines do
        not check fences themselves.
        """
        now = self.clock.now
        last = self.ordered.get(machine, LastOrder(fence=fence, at=now))
        if fence < last.fence:
            self.rules.breach("an old order to a machine", machine)
        elif fence > last.fence and now < last.at + LEADER_CHANGE_PAUSE_S:
            self.rules.breach("leaders order in turns", machine)
        self.ordered[machine] = LastOrder(fence=fence, at=now)

    def _replace(
        self,
        machine: messages.MachineEntry,
        pool: str,
        state: messages.MachineState,
        seconds: float,
    ) -> None:
        """Crash a machine's host; a new host joins the pool later.

        With ``keep_ids`` the old host does, under its id.
        """
        old = self.hosts.get(machine.host)
        if old is not None:
            old.crash(ordered=True)
            gone = appender.Record(key=machine.host, value=None)
            self.store.add(pages.Topic.HOSTS, (gone,))
        self._set_machine(machine.name, pool, state, "")
        labels = self.labels[machine.name]

        def back() -> None:
            up = messages.MachineState.UP
            if self.keep_ids and old is not None:
                old.service = pool
                old.restart()
                self.publish_entry(old)
                self._set_machine(machine.name, pool, up, old.id)
                return
            fresh = self._boot(machine.name, pool, labels, machine.zone)
            self._set_machine(machine.name, pool, up, fresh)

        self.clock.after(seconds, back)

    def _set_machine(
        self, name: str, pool: str, state: messages.MachineState, host: str
    ) -> None:
        self.machines[name] = messages.MachineEntry(
            name=name,
            pool=pool,
            state=state,
            host=host,
            zone=self.machines[name].zone,
        )

    # Operators and callers

    def configure(self, found: catalog.Catalog) -> None:
        """Publish a configuration."""
        self.catalog = found
        self.key_rules.add_version(found)
        self.rules.accounts.configure(found)
        record = appender.Record(key="config", value=found)
        self.store.add(pages.Topic.OPERATORS, (record,))

    def request_wave(self, wave: messages.WaveRequested) -> None:
        """Request a wave of maintenance."""
        record = appender.Record(key=f"wave/{wave.number}", value=wave)
        self.store.add(pages.Topic.OPERATORS, (record,))

    def submit(
        self, member: sim_members.SimMember, job: model.Job
    ) -> "Submission":
        """Submit a job to a daemon; the verdict is set later."""
        asked = Submission()
        if not member.up or member.frozen:
            asked.verdict = verdicts.OutcomeUnknown(reason="nobody answers")
            return asked
        known = member.member.job_service
        if job.id in known.registry.entries:
            asked.verdict = verdicts.Taken()
            return asked
        self.rules.asked[job.id] = job
        record = desk.records.Accepted(job=job)

        def refused() -> None:
            self.rules.refused.add(job.id)

        def stored() -> None:
            self.progress.accept(job)

        asked.begin(member, job.id, record, self.clock.now, stored, refused)
        return asked

    def cancel(
        self, member: sim_members.SimMember, job_id: str
    ) -> "Submission":
        """Cancel a job at a daemon; the verdict is set later."""
        asked = Submission()
        if member.up and not member.frozen:
            record = desk.records.Cancelled(id=job_id)
            self.rules.cancelled_at.setdefault(job_id, float("inf"))

            def stored() -> None:
                self.rules.cancelled_at[job_id] = self.clock.now

            asked.begin(member, job_id, record, self.clock.now, stored)
        return asked

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        self.clock.run_until(self.clock.now + seconds)

    def check_shown_phases(self) -> None:
        """Check the phase that every daemon shows for every job."""
        for member in self.members:
            if member.up and member.member.job_service.loaded:
                for job_id in self.rules.asked:
                    entry = member.member.job_service.registry.entries.get(
                        job_id
                    )
                    phase = entry.phase if entry else None
                    self.rules.check_shown_phase(job_id, phase)

    def leaders(self) -> list[sim_members.SimMember]:
        """Return the daemons that are in a term as leader."""
        return [member for member in self.members if member.leads]


class MachinePage:
    """The whole list of machines on one page."""

    __slots__ = ("machines", "token")

    def __init__(self, *, machines: tuple[messages.MachineEntry, ...]) -> None:
        self.machines = machines
        self.token = ""


class Submission:
    """A caller's write request and its verdict, None until it is known."""

    __slots__ = ("verdict",)

    def __init__(self) -> None:
        self.verdict: verdicts.Verdict | None = None

    def begin(
        self,
        member: sim_members.SimMember,
        job_id: str,
        record: desk.records.Record,
        now: float,
        stored: abc.Callable[[], None] | None = None,
        refused: abc.Callable[[], None] | None = None,
    ) -> None:
        """Submit a record and call back when its verdict is known."""

        def done(answered: desk.concurrent.futures.Future) -> None:
            self.verdict = answered.result()
            match self.verdict:
                case verdicts.Taken() if stored is not None:
                    stored()
                case verdicts.Refused() if refused is not None:
                    refused()

        service = member.member.job_service
        service.request(job_id, record, now).add_done_callback(done)
