"""Several reducers in one thread, with a simulated log and network.

Nothing happens by itself: the test advances the clock, delivers or drops
messages, answers calls to the log, and pauses or kills daemons.
"""

import collections
import dataclasses
import random

from azurewood.fleet import model as fleet_model
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import records
from azurewood.state import reducer

SERVICE = "certs"


def fleet(*, hosts, zones=1, slots=8):
    """Return a configuration of one service, its hosts spread over zones."""
    return fleet_model.Fleet(
        deployment="test",
        zones=tuple(
            fleet_model.Zone(name=f"z{z}", region="r") for z in range(zones)
        ),
        hosts=tuple(
            fleet_model.Host(
                name=f"w{n}",
                zone=f"z{n % zones}",
                rack="r",
                address="127.0.0.1",
                slots=slots,
            )
            for n in range(hosts)
        ),
        pools=(
            fleet_model.Pool(
                name=SERVICE, hosts=tuple(f"w{n}" for n in range(hosts))
            ),
        ),
        services=(
            fleet_model.Service(
                name=SERVICE, pool=SERVICE, port=80, quota=1, deadline_ms=2500
            ),
        ),
        presets=(fleet_model.Preset(name="ordinary"),),
        preset="ordinary",
    )


@dataclasses.dataclass
class Node:
    state: model.State
    frozen: bool = False
    dead: bool = False
    read_pending: bool = False
    appends: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass
class Start:
    """A request that a daemon sent to a worker, and when it started."""

    node: str
    effect: effects.StartRequest
    at: float


class Net:
    """Reducers by name; ``started`` holds the requests that workers run."""

    def __init__(self, *, configuration, log_up=True):
        self.now = 100.0
        self.log = []
        self.log_up = log_up
        self.nodes = {}
        self.messages = []
        self.started = {}
        self.ended = []
        self.answers = {}
        self.runs = collections.Counter()
        self.boots = 0
        self._append("test", 1, self._publication(configuration))

    def _publication(self, configuration):
        change = records.PublishFleet(fleet=configuration)
        yield records.Proposal(object=records.FLEET, base=0, change=change)
        for host in configuration.hosts:
            yield records.Proposal(
                object=records.host_object(host.name),
                base=1,
                change=records.MarkServing(),
            )

    def _append(self, writer, sequence, proposals):
        record = records.Proposals(
            writer=writer, sequence=sequence, proposals=tuple(proposals)
        )
        self.append_data(records.encode(record))

    def append_data(self, data):
        self.log.append(
            events.StoredRecord(
                offset=len(self.log), at_ms=int(self.now * 1000), data=data
            )
        )

    def add(self, name, *, zone="z0", **changes):
        """Start a daemon, which first reads the whole log."""
        self.boots += 1
        state = model.State(
            me=model.Identity(
                name=name, zone=zone, address=name, boot=self.boots
            ),
            rng=random.Random(self.boots),
            seeds=tuple(self.nodes),
            **changes,
        )
        state.agreed.incarnation = "i"
        self.nodes[name] = Node(state=state)
        self.read(name)
        self.step(name, events.Tick())

    def step(self, name, event):
        """Reduce an event at a daemon unless it is paused or dead."""
        node = self.nodes[name]
        if node.frozen or node.dead:
            return
        for effect in reducer.step(node.state, event, self.now):
            self._carry_out(name, node, effect)

    def _carry_out(self, name, node, effect):
        match effect:
            case effects.SendPeer():
                self.messages.append((name, effect.address, effect.message))
            case effects.AppendRecord():
                node.appends.append(effect)
            case effects.StartRequest():
                self.started[effect.id] = Start(
                    node=name, effect=effect, at=self.now
                )
            case (
                effects.RefuseRequest()
                | effects.AnswerCaller()
                | effects.AnswerUnknown()
                | effects.AnswerRan()
            ):
                assert effect.id not in self.answers, "answered twice"
                self.answers[effect.id] = effect

    def read(self, name):
        """Let a daemon read the log to its end if the log is up."""
        state = self.nodes[name].state
        if not self.log_up:
            self.step(name, events.LogUnreachable(reason="down"))
            return
        offset = state.agreed.offset
        self.step(
            name,
            events.RecordsRead(
                incarnation="i",
                first=0,
                next=len(self.log),
                records=tuple(self.log[offset:]),
            ),
        )

    def append(self, name, *, lost=False):
        """Carry out a daemon's pending append; its answer may be lost."""
        node = self.nodes[name]
        if not node.appends or node.frozen or node.dead:
            return
        effect = node.appends.popleft()
        outcome = events.AppendOutcome.NOT_DONE
        if self.log_up:
            self.append_data(effect.data)
            outcome = events.AppendOutcome.DONE
        if lost:
            outcome = events.AppendOutcome.UNKNOWN
        self.step(
            name,
            events.AppendEnded(sequence=effect.sequence, outcome=outcome),
        )

    def deliver(self, index=0, *, keep=False):
        """Deliver one pending message; keep it to deliver it twice."""
        if not self.messages:
            return
        index %= len(self.messages)
        sender, address, message = self.messages[index]
        if not keep:
            del self.messages[index]
        if address in self.nodes:
            self.step(
                address, events.MessageReceived(sender=sender, message=message)
            )

    def drop(self, index=0):
        """Drop one pending message."""
        if self.messages:
            del self.messages[index % len(self.messages)]

    def advance(self, seconds):
        self.now += seconds

    def tick(self, names=None):
        for name in names or tuple(self.nodes):
            self.step(name, events.Tick())

    def run(self, seconds, *, every=0.1):
        """Let time pass without faults."""
        end = self.now + seconds
        while self.now < end:
            self.advance(every)
            self.settle()

    def settle(self):
        """Tick, and carry out all pending appends, reads and messages."""
        self.tick()
        for _ in range(4):
            for name in self.nodes:
                self.append(name)
                self.read(name)
            for _ in range(len(self.messages)):
                self.deliver()

    def request(self, name, request_id, *, deadline_s=2.5, **fields):
        self.step(
            name,
            events.RequestArrived(
                id=request_id,
                service=SERVICE,
                urgency=fields.pop("urgency", fleet_model.Urgency.NORMAL),
                deadline=self.now + deadline_s,
                **fields,
            ),
        )

    def end(self, request_id, result=events.RequestResult.ANSWERED):
        """End a request at a worker and notify its daemon."""
        start = self.started.pop(request_id)
        self.ended.append(start)
        self.step(
            start.node,
            events.RequestEnded(
                id=request_id, result=result, elapsed_s=0.01, status=200
            ),
        )

    def busy(self, host):
        """Return the number of requests that run on a host."""
        return sum(s.effect.host == host for s in self.started.values())

    def kill(self, name):
        self.nodes[name].dead = True
        for request_id in [
            i for i, s in self.started.items() if s.node == name
        ]:
            del self.started[request_id]
