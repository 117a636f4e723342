"""Simulate heartbeats among many reducers; messages pass in memory."""

import dataclasses
import random
import typing

from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import reducer
from benchmarks.capacity import fleets
from benchmarks.capacity import wire

STEP_S = 0.1
WARM_UP_S = 30.0
MEASURED_S = 60.0
DETECTION_TIMEOUT_S = 60.0
START_TIME_S = 1000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ExchangeStats:
    """Traffic and failure detection of a deployment.

    Bytes per second are those that one daemon sends and receives.
    ``min_known_peers`` is the lowest number of other daemons of its zone that
    any daemon knows to be alive. ``detection_s`` is the time until all
    daemons of the zone treat a stopped daemon as dead.
    """

    mean_bytes_per_s: float
    max_bytes_per_s: float
    min_known_peers: int
    detection_s: float


class Deployment:
    """Daemons whose messages arrive immediately; none serves hosts."""

    def __init__(self, *, daemons: int, zones: int) -> None:
        names = fleets.peer_names(daemons, zones)
        self.now = START_TIME_S
        self.states = [
            self._daemon(number, name, zone)
            for number, (name, zone) in enumerate(names.items())
        ]
        self._by_address = {state.me.address: state for state in self.states}
        self.bytes = dict.fromkeys(self._by_address, 0)
        self.stopped: set[str] = set()

    def _daemon(self, number: int, name: str, zone: int) -> model.State:
        state = model.State(
            me=model.Identity(
                name=name,
                zone=fleets.zone_name(zone),
                address=f"tcp://127.3.{number // 250}.{number % 250}:9000",
                boot=0xB007_0000_0000 + number,
            ),
            rng=random.Random(number),
            seeds=("tcp://127.3.0.0:9000", "tcp://127.3.0.1:9000"),
        )
        # The traffic budget depends only on the number of hosts, so their
        # states are left out.
        state.agreed.hosts = dict.fromkeys(range(fleets.HOSTS))
        state.agreed.incarnation = fleets.INCARNATION
        state.log.reachable = True
        for service in range(fleets.POOLS):
            view = model.ServiceView(name=f"service-{service:02d}", port=1)
            view.count.good = 1_000_000
            state.services[view.name] = view
        return state

    def run(self, seconds: float) -> None:
        """Advance the virtual time, with a tick of all daemons per step."""
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for state in self.states:
                for view in state.services.values():
                    view.in_flight = 100 - view.in_flight
                if state.me.address not in self.stopped:
                    self._step(state, events.Tick())

    def _step(self, state: model.State, event: events.AnyEvent) -> None:
        pending = [(state, event)]
        while pending:
            target, happened = pending.pop()
            for effect in reducer.step(target, happened, self.now):
                if isinstance(effect, effects.SendPeer):
                    pending += self._deliver(target, effect)

    def _deliver(
        self, sender: model.State, effect: effects.SendPeer
    ) -> typing.Iterator[tuple[model.State, events.AnyEvent]]:
        target = self._by_address.get(effect.address)
        if target is None or effect.address in self.stopped:
            return
        size = wire.wire_bytes(effect.message, sender.me.name)
        self.bytes[sender.me.address] += size
        self.bytes[effect.address] += size
        event = events.MessageReceived(
            sender=sender.me.name, message=effect.message
        )
        yield target, event

    def count_zone_peers(self, state: model.State) -> int:
        """Return how many other daemons of its zone a daemon knows alive."""
        return sum(
            state.peers[name].zone == state.me.zone for name in state.alive
        )


def exchange(*, daemons: int, zones: int) -> ExchangeStats:
    """Simulate the heartbeats of a deployment and return the statistics."""
    deployment = Deployment(daemons=daemons, zones=zones)
    deployment.run(WARM_UP_S)
    deployment.bytes = dict.fromkeys(deployment.bytes, 0)
    deployment.run(MEASURED_S)
    rates = [total / MEASURED_S for total in deployment.bytes.values()]
    least = min(
        deployment.count_zone_peers(state) for state in deployment.states
    )
    return ExchangeStats(
        mean_bytes_per_s=sum(rates) / len(rates),
        max_bytes_per_s=max(rates),
        min_known_peers=least,
        detection_s=_measure_detection(deployment),
    )


def _measure_detection(deployment: Deployment) -> float:
    """Return how long a stopped daemon still counts as alive."""
    lost = deployment.states[-1]
    deployment.stopped.add(lost.me.address)
    started = deployment.now
    zone_peers = [
        state
        for state in deployment.states
        if state.me.zone == lost.me.zone and state is not lost
    ]
    while deployment.now < started + DETECTION_TIMEOUT_S:
        deployment.run(STEP_S)
        if not any(lost.me.name in state.alive for state in zone_peers):
            return deployment.now - started
    return DETECTION_TIMEOUT_S
