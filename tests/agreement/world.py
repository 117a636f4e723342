"""A simulation of several reducers, a log and a network on one clock.

Only the interfaces are simulated: the log answers reads and appends, and the
network delivers, delays, duplicates and drops messages. All randomness comes
from one seeded generator.
"""

import dataclasses
import random

from azurewood.fleet import document
from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import fold
from azurewood.state import log_reader
from azurewood.state import model
from azurewood.state import records
from azurewood.state import reducer

STEP_S = 0.1
FLEET = document.load(
    """
deployment: small
preset: ordinary
zones:
  - {name: a, region: r}
  - {name: b, region: r}
hosts:
  - {name: h1, zone: a, rack: a1, address: 127.3.1.1}
  - {name: h2, zone: b, rack: b1, address: 127.3.1.2}
  - {name: h3, zone: a, rack: a1, address: 127.3.1.3}
pools:
  - {name: one, hosts: [h1, h2]}
  - {name: two, hosts: [h3], spare: true}
services:
  - {name: one, pool: one, port: 18301}
  - {name: two, pool: two, port: 18302}
presets:
  - {name: ordinary}
  - {name: peak}
  - {name: maintenance}
""",
    "world",
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Log:
    """An append-only log in memory that fails like the real one."""

    incarnation: int = 1
    first: int = 0
    records: list[events.StoredRecord] = dataclasses.field(
        default_factory=list
    )
    snapshots: list[bytes] = dataclasses.field(default_factory=list)
    down: bool = False
    lose_answers: int = 0
    late: list[bytes] = dataclasses.field(default_factory=list)
    defer_appends: int = 0

    @property
    def name(self) -> str:
        return f"log-{self.incarnation}"

    @property
    def next(self) -> int:
        return self.first + len(self.records)

    def append(self, data: bytes, now: float) -> None:
        self.records.append(
            events.StoredRecord(
                offset=self.next, at_ms=int(now * 1000), data=data
            )
        )

    def append_record(self, data: bytes, now: float) -> events.AppendOutcome:
        if self.down:
            return events.AppendOutcome.NOT_DONE
        if self.defer_appends:
            self.defer_appends -= 1
            self.late.append(data)
            return events.AppendOutcome.UNKNOWN
        self.append(data, now)
        if self.lose_answers:
            self.lose_answers -= 1
            return events.AppendOutcome.UNKNOWN
        return events.AppendOutcome.DONE

    def deliver_late(self, now: float) -> None:
        for data in self.late:
            self.append(data, now)
        self.late.clear()

    def read(self, offset: int) -> events.AnyEvent:
        if self.down:
            return events.LogUnreachable(reason="down")
        if not self.first <= offset <= self.next:
            return events.LogTrimmed(
                incarnation=self.name, first=self.first, next=self.next
            )
        return events.RecordsRead(
            incarnation=self.name,
            first=self.first,
            next=self.next,
            records=tuple(self.records[offset - self.first :]),
        )

    def read_snapshot(self) -> events.AnyEvent:
        if self.down:
            return events.LogUnreachable(reason="down")
        state = self.snapshots[-1] if self.snapshots else b""
        return events.SnapshotRead(incarnation=self.name, state=state)

    def trim(self) -> None:
        """Drop all records covered by the newest snapshot."""
        if not self.snapshots:
            return
        upto = agreed_state.unpack(self.snapshots[-1]).offset
        del self.records[: max(0, upto - self.first)]
        self.first = max(self.first, upto)

    def reset(self) -> None:
        """Lose all records and snapshots and start a new incarnation."""
        self.incarnation += 1
        self.first = 0
        self.records.clear()
        self.snapshots.clear()
        self.late.clear()


@dataclasses.dataclass(slots=True, kw_only=True)
class Node:
    """One daemon: its state and its effects in progress."""

    state: model.State
    reads: list[effects.AnyEffect] = dataclasses.field(default_factory=list)
    appends: list[effects.AnyEffect] = dataclasses.field(default_factory=list)
    cut: bool = False
    paused: bool = False
    highest: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class InTransit:
    """A message in transit."""

    at: float
    to: str
    event: events.MessageReceived


class World:
    """The nodes, the log and the network, advanced step by step."""

    def __init__(self, *, seed: int, zones: tuple[str, ...]) -> None:
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.log = Log()
        self.nodes: dict[str, Node] = {}
        self.in_transit: list[InTransit] = []
        self.answers: dict[str, effects.AnswerProposal] = {}
        self.reports: list[effects.Report] = []
        self.loss = 0.0
        self.apart: set[frozenset[str]] = set()
        self.boots = 0
        for number, zone in enumerate(zones):
            self.start(f"d{number}", zone)

    def start(self, name: str, zone: str) -> None:
        """Start a daemon, replacing any daemon of the same name."""
        self.boots += 1
        state = model.State(
            me=model.Identity(
                name=name, zone=zone, address=name, boot=self.boots
            ),
            rng=random.Random(self.boots),
            seeds=("d0", "d1"),
        )
        node = Node(state=state)
        self.nodes[name] = node
        self._carry_out(node, log_reader.start(state, self.now))

    def post(self, node: Node, event: events.AnyEvent) -> None:
        self._carry_out(node, reducer.step(node.state, event, self.now))
        assert node.state.agreed.revision >= node.highest, "reverted"
        node.highest = node.state.agreed.revision

    def _carry_out(self, node: Node, wanted: list[effects.AnyEffect]) -> None:
        for effect in wanted:
            match effect:
                case effects.ReadLog() | effects.ReadSnapshot():
                    node.reads.append(effect)
                case (
                    effects.AppendRecord()
                    | effects.AppendSeed()
                    | effects.AppendSnapshot()
                ):
                    node.appends.append(effect)
                case effects.SendPeer():
                    self._send(node, effect)
                case effects.AnswerProposal(ticket=ticket):
                    self.answers[ticket] = effect
                case effects.Report():
                    self.reports.append(effect)

    def _send(self, node: Node, effect: effects.SendPeer) -> None:
        ends = frozenset({node.state.me.name, effect.address})
        copies = 2 if self.rng.random() < self.loss else 1
        for _ in range(copies):
            if ends in self.apart or self.rng.random() < self.loss:
                continue
            event = events.MessageReceived(
                sender=node.state.me.name, message=effect.message
            )
            delay = self.rng.uniform(0.001, 0.05 + self.loss)
            self.in_transit.append(
                InTransit(at=self.now + delay, to=effect.address, event=event)
            )

    def run(self, seconds: float) -> None:
        """Advance the simulation in steps of ``STEP_S``."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for node in list(self.nodes.values()):
                if not node.paused:
                    self._run_node(node)
            self._deliver()

    def _run_node(self, node: Node) -> None:
        self.post(node, events.Tick())
        due = [item for item in node.reads if item.not_before <= self.now]
        node.reads = [item for item in node.reads if item not in due]
        for effect in due:
            self.post(node, self._read(node, effect))
        pending, node.appends = node.appends, []
        for effect in pending:
            self._append(node, effect)

    def _read(self, node: Node, effect: effects.AnyEffect) -> events.AnyEvent:
        if node.cut:
            return events.LogUnreachable(reason="cut")
        match effect:
            case effects.ReadLog(offset=offset):
                return self.log.read(offset)
            case _:
                return self.log.read_snapshot()

    def _append(self, node: Node, effect: effects.AnyEffect) -> None:
        match effect:
            case effects.AppendRecord():
                outcome = events.AppendOutcome.NOT_DONE
                if not node.cut:
                    outcome = self.log.append_record(effect.data, self.now)
                self.post(
                    node,
                    events.AppendEnded(
                        sequence=effect.sequence, outcome=outcome
                    ),
                )
            case effects.AppendSeed(data=data):
                if not (node.cut or self.log.down):
                    self.log.append(data, self.now)
            case effects.AppendSnapshot(state=state):
                if not (node.cut or self.log.down):
                    self.log.snapshots.append(state)

    def _deliver(self) -> None:
        due = [item for item in self.in_transit if item.at <= self.now]
        self.in_transit = [
            item for item in self.in_transit if item.at > self.now
        ]
        for item in due:
            node = self.nodes.get(item.to)
            if node is None:
                continue
            if node.paused:
                self.in_transit.append(item)
            else:
                self.post(node, item.event)

    def propose(
        self,
        name: str,
        target: str,
        change: records.AnyChange,
        *,
        seconds: float = 3.0,
    ) -> str:
        """Propose a change through a node, based on the revision it knows."""
        node = self.nodes[name]
        ticket = f"t{len(self.answers)}-{self.now:.1f}-{self.rng.random()}"
        base = base_of(node.state.agreed, target)
        self.post(
            node,
            events.Proposed(
                ticket=ticket,
                proposals=(
                    records.Proposal(object=target, base=base, change=change),
                ),
                deadline=self.now + seconds,
            ),
        )
        return ticket

    def heal(self) -> None:
        """End all failures."""
        self.log.down = False
        self.log.lose_answers = 0
        self.log.defer_appends = 0
        self.loss = 0.0
        self.apart.clear()
        for node in self.nodes.values():
            node.cut = False
            node.paused = False

    def whole_fold(self) -> agreed_state.Agreed:
        """Return the fold of the untrimmed log, as a reference."""
        state = agreed_state.Agreed(incarnation=self.log.name)
        assert self.log.first == 0
        for stored in self.log.records:
            fold.apply(
                state,
                offset=stored.offset,
                at_ms=stored.at_ms,
                record=records.decode(stored.data),
            )
        return state


def base_of(state: agreed_state.Agreed, target: str) -> int:
    """Return the revision of an object in an agreed state."""
    kind, _, name = target.partition(":")
    match kind:
        case records.FLEET:
            return state.fleet_revision
        case records.IN_FORCE:
            return state.in_force_revision
        case "host":
            return state.hosts[name].revision
        case _:
            return 0
