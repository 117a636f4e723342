"""Simulated daemons of the fleet, and the calls that they make.

A call goes through the simulated network. It may be lost, delayed by a
partition until that ends, or carried out late. Its reply may arrive at a
daemon that was frozen in the meantime.
"""

from collections import abc
import typing

from azurewood.daemons import member as members
from azurewood.http import exchanges
from azurewood.http import sockets
from azurewood.journal import appender
from standins.fleet import platform
from standins.fleet import processor

LATE_CALL_DELAY_S = (2.0, 12.0)
ORDER_PAUSE_S = 3.0
STORE_PARTITIONS = 4
RETENTION_S = 20.0
BLOCKED_RETRY_S = 0.05
"""Interval between attempts to deliver a call that a partition blocks."""
MAX_BLOCKED_S = 15.0
"""How long bytes are retransmitted if the sender does not drop them."""
CALL_COST_IN_FUNCTION_CALLS = 200
"""Processor cost of a network call, counted in function calls."""


class SimCalls:
    """The network calls of one incarnation of a daemon."""

    __slots__ = ("_member", "_world", "under_way")

    def __init__(self, *, world: typing.Any, member: "SimMember") -> None:
        self._world = world
        self._member = member
        self.under_way = 0

    @property
    def waited_s(self) -> float:
        """The simulated time in which the daemon's processor was not busy."""
        return self._world.clock.now - self._member.processor.busy_s

    def submit(
        self,
        call: platform.SimCall,
        done: abc.Callable[[exchanges.Reply], None],
    ) -> None:
        """Send a call and pass its outcome to ``done`` later.

        A call without a reply within its timeout has an unknown outcome.
        """
        self._member.processor.charge(CALL_COST_IN_FUNCTION_CALLS)
        self.under_way += 1

        def on_reply(reply: exchanges.Reply) -> None:
            self.under_way -= 1
            done(reply)

        _Transfer(
            world=self._world, member=self._member, call=call, done=on_reply
        ).send()

    def close_limited(self) -> None:
        """Close no connection, as simulated calls have none."""

    def queue_lengths(self) -> tuple[()]:
        """Return that no call waits."""
        return ()


class _Transfer:
    """One call in flight."""

    __slots__ = (
        "_answered",
        "_disconnected",
        "call",
        "done",
        "incarnation",
        "member",
        "sent_at",
        "world",
    )

    def __init__(
        self,
        *,
        world: typing.Any,
        member: "SimMember",
        call: platform.SimCall,
        done: abc.Callable[[exchanges.Reply], None],
    ) -> None:
        self.world = world
        self.member = member
        self.call = call
        self.done = done
        self.incarnation = member.incarnation
        self.sent_at = world.clock.now
        self._answered = False
        self._disconnected = False

    def send(self) -> None:
        """Start the call and its timeout."""
        if self.sent_at >= self.call.send_by:
            unsent = exchanges.Outcome.NOT_SENT
            self.world.clock.after(0.0, lambda: self._finish(unsent, b""))
            return
        self.world.clock.after(self.call.timeout_s, self._time_out)
        fault = self.world.fault_of(self.call)
        if fault:
            self.world.progress.disturb()
        if fault == "late":
            self.world.clock.after(
                self.world.random.uniform(*LATE_CALL_DELAY_S),
                self._carry_out_late,
            )
            return
        delay = self.world.delay(self.call.target)
        if fault == "closed":
            self.world.clock.after(delay, self._disconnect)
            return
        self.world.clock.after(delay, lambda: self._arrive(fault))

    def _arrive(self, fault: str) -> None:
        if not self.world.reachable(self.member, self.call.target):
            if not self._are_bytes_dropped():
                self.world.clock.after(
                    BLOCKED_RETRY_S, lambda: self._arrive(fault)
                )
            return
        call = self.call
        if self.world.is_disconnected(call):
            delay = self.world.delay(call.target)
            self.world.clock.after(delay, self._disconnect)
            return
        if call.wait_s and call.ready and not call.ready():
            self._wait(fault)
            return
        if call.partition is None:
            self._carry_out(fault)
            return
        after_s = self.world.append_turn_s(call.partition)
        if after_s is None:
            busy = appender.NotDone(reason="too many appends wait")
            self._answer(busy)
        else:
            self.world.clock.after(after_s, lambda: self._carry_out(fault))

    def _are_bytes_dropped(self) -> bool:
        """Return whether the bytes that a partition blocks are dropped.

        A sender that drops unsent bytes does so once its call has timed out
        or the sender was killed. The operating system does so after
        ``sockets.UNSENT_MS``, also if the sender is frozen.
        """
        blocked_s = self.world.clock.now - self.sent_at
        if not self.world.drops_unsent:
            return blocked_s >= MAX_BLOCKED_S
        over = self._answered or self.incarnation != self.member.incarnation
        return over or blocked_s >= sockets.UNSENT_MS / 1000

    def _wait(self, fault: str) -> None:
        """Answer at the first change or at the end of the long poll."""
        state = {"over": False}
        incarnation = self.world.incarnation(self.call.target)

        def go() -> None:
            if not state["over"]:
                state["over"] = True
                # A connection ends with the incarnation that it was made to.
                if self.world.incarnation(self.call.target) == incarnation:
                    self._carry_out(fault)

        if self.call.target in self.world.hosts:
            # A lease renewal takes effect on arrival and is answered later.
            self.call.act(self.sent_at)
        self.call.wait(go)
        self.world.clock.after(self.call.wait_s, go)

    def _carry_out_late(self) -> None:
        """Carry the call out, maybe only once the target has been reached."""
        now = self.world.clock.now
        if self.world.is_late_call_blocked(self.call.target):
            # It stays within the longest delay, or is lost.
            if now + BLOCKED_RETRY_S < self.sent_at + LATE_CALL_DELAY_S[1]:
                self.world.clock.after(BLOCKED_RETRY_S, self._carry_out_late)
            return
        call = self.call
        waits = call.renews and call.wait_s and not call.ready()
        if waits and self.world.is_up(call.target):
            self._wait("lost")
            return
        self._carry_out("lost")

    def _carry_out(self, fault: str) -> None:
        if not self.world.is_up(self.call.target):
            return
        answer = self.call.act(self.sent_at)
        if fault == "lost" or answer is None:
            return
        delay = self.world.delay(self.call.target)
        self.world.clock.after(delay, lambda: self._answer(answer))

    def _answer(self, answer: object) -> None:
        if self.world.reachable(self.member, self.call.target):
            self._finish(exchanges.Outcome.ANSWERED, answer)

    def _disconnect(self) -> None:
        """End a call that has no connection left to go over."""
        self._disconnected = not self._answered
        self._finish(exchanges.Outcome.NOT_SENT, b"")

    def _time_out(self) -> None:
        self._finish(exchanges.Outcome.UNKNOWN, b"")

    def _finish(self, outcome: exchanges.Outcome, answer: object) -> None:
        if self._answered or self.incarnation != self.member.incarnation:
            return
        if self.member.frozen:
            self.member.deferred.append(lambda: self._finish(outcome, answer))
            return
        self._answered = True
        self.member.handle(lambda: self._done(outcome, answer))

    def _done(self, outcome: exchanges.Outcome, answer: object) -> None:
        self.done(
            exchanges.Reply(
                outcome=outcome,
                body=answer,
                reason=outcome.value,
                sent_at=self.sent_at,
                at=self.world.clock.now,
                disconnected=self._disconnected,
            )
        )


class SimMember:
    """A simulated daemon of the fleet, across all its incarnations.

    ``cores`` is the number of cores in its settings, 0 if not set.
    ``clock_step_ms`` is by how much its time of day is wrong.
    ``deferred`` holds the callbacks that wait for the end of a freeze.
    """

    __slots__ = (
        "_step_queued",
        "clock_step_ms",
        "cores",
        "cut_from",
        "deferred",
        "frozen",
        "incarnation",
        "member",
        "name",
        "processor",
        "up",
        "world",
    )

    def __init__(
        self, *, world: typing.Any, name: str, cores: float = 0.0
    ) -> None:
        self.world = world
        self.name = name
        self.cores = cores
        self.processor = processor.Processor(clock=world.clock)
        self.incarnation = 0
        self.clock_step_ms = 0.0
        self._step_queued = False
        self.up = False
        self.frozen = False
        self.deferred: list[abc.Callable[[], None]] = []
        self.cut_from: set[str] = set()
        self.member: members.Member | None = None

    def start(self) -> None:
        """Start a new incarnation of the daemon."""
        self.incarnation += 1
        self.up = True
        self.frozen = False
        self.deferred = []
        world = self.world
        self.member = members.Member(
            name=self.name,
            nonce=f"{world.random.getrandbits(64):016x}",
            platform=platform.SimPlatform(world=world),
            calls=SimCalls(world=world, member=self),
            clock=lambda: world.clock.now + self.processor.spent_s,
            unix_ms=lambda: world.clock.now * 1000 + self.clock_step_ms,
            wake=self.step,
            order_pause_s=ORDER_PAUSE_S,
            retention_s=RETENTION_S,
            cores=self.cores,
            store_partitions=STORE_PARTITIONS,
            address=self.name,
        )
        self._loop(self.incarnation)

    def kill(self) -> None:
        """Kill the daemon immediately."""
        self.incarnation += 1
        self.up = False
        self.member = None

    def freeze(self, seconds: float) -> None:
        """Freeze the daemon for ``seconds``."""
        if self.up and not self.frozen:
            self.frozen = True
            incarnation = self.incarnation
            self.world.clock.after(seconds, lambda: self._thaw(incarnation))

    def _thaw(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        for what in deferred:
            what()
        self.step()

    def handle(self, what: abc.Callable[[], None]) -> None:
        """Run a reply's callback on the processor, then take a step."""
        incarnation = self.incarnation

        def work() -> None:
            if incarnation != self.incarnation:
                return
            if self.frozen:
                self.deferred.append(what)
                return
            what()
            self._step()

        self.processor.run(work)

    def step(self) -> None:
        """Queue a step of the daemon, unless one is queued already."""
        if not self._step_queued:
            self._step_queued = True
            self.processor.run(self._step)

    def _step(self) -> None:
        self._step_queued = False
        if self.up and not self.frozen:
            self.member.step(self.world.clock.now)

    def _loop(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.step()
        now = self.world.clock.now
        pause = max(0.005, self.member.next_at(now) - now)
        self.world.clock.after(pause, lambda: self._loop(incarnation))

    @property
    def leads(self) -> bool:
        """Whether this daemon is in a term as leader."""
        return self.up and self.member.term is not None
