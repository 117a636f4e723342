"""The heartbeats of many reducers, handed over in memory."""

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
START_S = 30.0
COUNTED_S = 60.0
SILENCE_S = 60.0
FIRST_S = 1000.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Counted:
    """Bytes a second sent and received, and how peers are known."""

    mean_bytes: float
    most_bytes: float
    least_known: int
    silent_s: float


class Deployment:
    """Daemons that hear each other at once; none has hosts to serve."""

    def __init__(self, *, daemons: int, zones: int) -> None:
        names = fleets.peer_names(daemons, zones)
        self.now = FIRST_S
        self.states = [
            self._daemon(number, name, zone)
            for number, (name, zone) in enumerate(names.items())
        ]
        self._by_address = {state.me.address: state for state in self.states}
        self.bytes = dict.fromkeys(self._by_address, 0)
        self.silent: set[str] = set()

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
        # The budget depends on the hosts; the daemon looks at none of them.
        state.agreed.hosts = dict.fromkeys(range(fleets.HOSTS))
        state.agreed.incarnation = fleets.INCARNATION
        state.log.reachable = True
        for service in range(fleets.POOLS):
            view = model.ServiceView(name=f"service-{service:02d}", port=1)
            view.count.good = 1_000_000
            state.services[view.name] = view
        return state

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for state in self.states:
                for view in state.services.values():
                    view.in_flight = 100 - view.in_flight
                if state.me.address not in self.silent:
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
        if target is None or effect.address in self.silent:
            return
        size = wire.wire_bytes(effect.message, sender.me.name)
        self.bytes[sender.me.address] += size
        self.bytes[effect.address] += size
        event = events.MessageReceived(
            sender=sender.me.name, message=effect.message
        )
        yield target, event

    def zone_mates(self, state: model.State) -> int:
        """Return how many of its zone's other daemons one knows alive."""
        return sum(
            state.peers[name].zone == state.me.zone for name in state.alive
        )


def exchange(*, daemons: int, zones: int) -> Counted:
    """Let the daemons of a deployment find and hear each other."""
    made = Deployment(daemons=daemons, zones=zones)
    made.run(START_S)
    made.bytes = dict.fromkeys(made.bytes, 0)
    made.run(COUNTED_S)
    rates = [total / COUNTED_S for total in made.bytes.values()]
    least = min(made.zone_mates(state) for state in made.states)
    return Counted(
        mean_bytes=sum(rates) / len(rates),
        most_bytes=max(rates),
        least_known=least,
        silent_s=_silence(made),
    )


def _silence(made: Deployment) -> float:
    """Return how long a daemon that falls silent is held for alive."""
    lost = made.states[-1]
    made.silent.add(lost.me.address)
    started = made.now
    mates = [
        state
        for state in made.states
        if state.me.zone == lost.me.zone and state is not lost
    ]
    while made.now < started + SILENCE_S:
        made.run(STEP_S)
        if not any(lost.me.name in state.alive for state in mates):
            return made.now - started
    return SILENCE_S
