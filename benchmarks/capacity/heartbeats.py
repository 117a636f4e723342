"""Measure the bytes and the CPU time of heartbeats, by deployment size."""

import itertools
import time
import typing

import msgspec

from azurewood.peers import messages
from azurewood.peers import transport as transports
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from azurewood.state import reducer
from benchmarks.capacity import deployments
from benchmarks.capacity import fleets
from benchmarks.capacity import results
from benchmarks.capacity import timing
from benchmarks.capacity import wire
from standins import processes

MEASURED_S = 60
STEP_S = 0.1
STEPS_PER_HEARTBEAT = 5
GREETING_S = 30
RATES = (25, 50, 100, 200)
SENDING_S = 2.0
DAEMON_SIZES = (33, 66, 110, 300)


class Deployment(typing.NamedTuple):
    """Numbers of daemons, zones, services and hosts of a deployment."""

    daemons: int
    zones: int
    services: int
    hosts: int


DEPLOYMENTS = (
    Deployment(9, 3, 5, 30),
    Deployment(33, 11, 37, 3700),
    Deployment(66, 11, 37, 3700),
    Deployment(110, 11, 37, 3700),
    Deployment(300, 11, 37, 3700),
)


def measure() -> typing.Iterator[results.Table]:
    """Measure CPU time and traffic of heartbeats."""
    cpu = cpu_table()
    yield cpu
    yield traffic_table(cpu.fit("CPU, µs a second").slope)
    yield deployments_table()


def sent_by_daemon(
    deployment: Deployment, *, seconds: int = MEASURED_S
) -> list[messages.AnyMessage]:
    """Return the messages that one daemon sends in a steady deployment.

    Hosts and peers do not change. The daemon receives heartbeats of all peers
    every half second, and its demand changes each time.
    """
    log = fleets.log(
        fleets.fleet(
            hosts=deployment.hosts,
            zones=deployment.zones,
            pools=deployment.services,
        )
    )
    state = fleets.daemon(log.state)
    sent: list[messages.AnyMessage] = []
    now = 1000.0
    for number in range(int((seconds + GREETING_S) / STEP_S)):
        now += STEP_S
        if number % STEPS_PER_HEARTBEAT == 0:
            _count_requests(state)
            fleets.deliver_heartbeats(
                state,
                daemons=deployment.daemons,
                zones=deployment.zones,
                now=now,
            )
        for effect in reducer.step(state, events.Tick(), now):
            is_greeting = number * STEP_S < GREETING_S
            if isinstance(effect, effects.SendPeer) and not is_greeting:
                sent.append(effect.message)
    return sent


def _count_requests(state: model.State) -> None:
    """Change the counters and the demand of all services."""
    for view in state.services.values():
        view.count.good += 1000
        view.count.bad += 1
        view.in_flight = 100 - view.in_flight


def traffic_table(us_per_message: float) -> results.Table:
    """Count the heartbeats that one daemon sends and their cost."""
    rows = []
    for deployment in DEPLOYMENTS:
        sent = sent_by_daemon(deployment)
        total = sum(wire.wire_bytes(message, "e00-z00") for message in sent)
        rate = len(sent) / MEASURED_S
        rows.append(
            [
                deployment.daemons,
                deployment.zones,
                deployment.services,
                rate,
                total / len(sent),
                total / MEASURED_S / 1000,
                2 * total / MEASURED_S / 1000,
                rate * us_per_message / timing.US_PER_S * 100,
            ]
        )
    return results.Table(
        name="heartbeats",
        title="Heartbeats of one daemon, the demand changing all the time",
        columns=[
            "daemons",
            "zones",
            "services",
            "sent a second",
            "B each",
            "sent, KB/s",
            "sent and received, KB/s",
            "core, %",
        ],
        rows=rows,
        note=(
            "Counted from the reducer over 60 s. Bytes are the frame, the "
            "transport's 8-byte header, and IPv4 and TCP headers of 52 B for "
            "the data and for its ACK; Ethernet is left out. What is received "
            "equals what is sent, as every message has one receiver. Core is "
            "the messages times the CPU of sending one and receiving one."
        ),
    )


def deployments_table() -> results.Table:
    """Count the traffic among all daemons of a deployment."""
    rows = []
    for size in DAEMON_SIZES:
        counted = deployments.exchange(daemons=size, zones=fleets.ZONES)
        rows.append(
            [
                size,
                counted.mean_bytes_per_s / 1000,
                counted.max_bytes_per_s / 1000,
                counted.min_known_peers,
                counted.detection_s,
            ]
        )
    return results.Table(
        name="heartbeats-deployment",
        title=(
            "Heartbeats and greetings between the reducers of a whole "
            "deployment in 11 zones, messages handed over in memory"
        ),
        columns=[
            "daemons",
            "a daemon, KB/s",
            "the busiest, KB/s",
            "peers known, least",
            "until a lost one is given up, s",
        ],
        rows=rows,
        note=(
            "Sent and received, over 60 s of virtual time after 30 s of "
            "start; 37 services, 100 hosts, and the budget of 3,700. Peers "
            "known is the least number of its zone's daemons that any daemon "
            "holds for alive, itself left out; the last column is the longest "
            "time until all of its zone have given up a daemon that falls "
            "silent."
        ),
    )


def cpu_table() -> results.Table:
    """Measure the CPU of sending and receiving heartbeats over pynng."""
    deployment = Deployment(110, 11, 37, 3700)
    sent = sent_by_daemon(deployment, seconds=20)
    rows = [[rate, _cpu_us_a_second(rate, sent)] for rate in RATES]
    table = results.Table(
        name="heartbeat-cpu",
        title=(
            "Heartbeats sent and received by one process over loopback: "
            "encoding, HMAC, pynng, decoding and the reducer's step"
        ),
        columns=["messages a second", "CPU, µs a second"],
        rows=rows,
    )
    table.add_fit("messages a second", "CPU, µs a second")
    return table


def _cpu_us_a_second(rate: int, sent: list[messages.AnyMessage]) -> float:
    """Send messages over loopback and reduce them; return CPU µs per s."""
    log = fleets.log(fleets.fleet())
    state = fleets.daemon(log.state)
    fleets.deliver_heartbeats(state, daemons=110, zones=11, now=1000.0)
    senders = itertools.cycle([*state.peers])
    address = f"tcp://127.0.0.1:{processes.free_port()}"
    receiver = transports.Transport(name="r", listen=address, key=wire.KEY)
    sender = transports.Transport(name="e01-z00", listen="", key=wire.KEY)
    receiver.open()
    count = int(rate * SENDING_S)
    arrivals = receiver.receive()
    messages_sent = itertools.cycle(sent)

    def run() -> None:
        due = time.monotonic()
        for _ in range(count):
            due += 1 / rate
            time.sleep(max(0.0, due - time.monotonic()))
            sender.send(address, next(messages_sent))
            envelope = next(arrivals)
            peer = state.peers[next(senders)]
            message = msgspec.structs.replace(
                envelope.message,
                zone=peer.zone if envelope.message.zone else "",
                address=peer.address,
                boot=peer.boot,
            )
            event = events.MessageReceived(sender=peer.name, message=message)
            reducer.step(state, event, 1000.0)

    sender.send(address, sent[0])
    next(arrivals)
    spent = timing.process_us(run) / SENDING_S
    sender.close()
    receiver.close()
    return spent
