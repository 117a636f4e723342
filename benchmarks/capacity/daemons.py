"""Measure memory and CPU of an entry daemon process, by load."""

import concurrent.futures
import http.client
import itertools
import threading
import time
import typing

import psutil

from azurewood.fleet import model as fleet_model
from azurewood.peers import transport as transports
from azurewood.state import records
from benchmarks.capacity import fleets
from benchmarks.capacity import results
from standins import client as clients
from standins import exceptions
from standins import processes

TOKEN = "capacity-operators"
KEY = "capacity-peers-key"
STREAM = "azurewood"
SETTLE_S = 3.0
IDLE_S = 5.0
REQUEST_SIZES = (400, 800, 1600, 3200)
CALLERS = 8
PEER_SIZES = (0, 10, 32, 109)
PEER_INTERVAL_S = 0.25
WAIT_S = 10.0
MIB = 1 << 20
LONG_TIMEOUT_MS = 3_600_000


class Entry(typing.NamedTuple):
    """A running entry daemon: its process and its ports."""

    process: psutil.Process
    callers: int
    operators: int
    peers: int


def start_entry(procs: processes.Processes, url: str, *, zone: str) -> Entry:
    """Start a daemon and wait until it is ready."""
    ports = [processes.free_port() for _ in range(3)]
    options = {
        "--zone": zone,
        "--name": "e00-z00",
        "--listen": f"127.0.0.1:{ports[0]}",
        "--operators-listen": f"127.0.0.1:{ports[1]}",
        "--peers-listen": f"tcp://127.0.0.1:{ports[2]}",
        "--platform-url": url,
        "--log-level": "error",
    }
    words = [word for pair in options.items() for word in pair]
    caller = clients.Client(url=f"http://127.0.0.1:{ports[1]}")
    started = procs.start_ready(
        "entry",
        "azurewood",
        "entry",
        *words,
        ready=lambda: is_ready(caller),
        env={
            "AZUREWOOD_OPERATORS_TOKEN": TOKEN,
            "AZUREWOOD_PEERS_KEY": KEY,
        },
    )
    return Entry(psutil.Process(started.pid), *ports)


def is_ready(caller: clients.Client) -> bool:
    """Return whether a daemon reports that it is ready."""
    conn = http.client.HTTPConnection(*caller._address, timeout=2)
    try:
        conn.request("GET", "/readyz")
        return conn.getresponse().status == 200
    except (OSError, http.client.HTTPException) as exc:
        raise exceptions.StandinError(str(exc)) from exc
    finally:
        conn.close()


def publish(url: str, log: fleets.Log) -> None:
    """Append a configuration to the log and mark all hosts as serving."""
    caller = clients.Client(url=url)
    names = list(log.state.hosts)
    fresh = fleets.Log(state=log.state)
    first = fresh.record(fleets.publish(log.state.fleet))
    caller.append(STREAM, records.encode(first))
    # The first record publishes all hosts, so each has revision 1.
    for start in range(0, len(names), 64):
        proposals = [
            records.Proposal(
                object=records.host_object(name),
                base=1,
                change=records.MarkServing(),
            )
            for name in names[start : start + 64]
        ]
        caller.append(STREAM, records.encode(fresh.record(*proposals)))


def cpu_share(process: psutil.Process, seconds: float) -> float:
    """Return the CPU use of a process over some time, in % of a core."""
    before = process.cpu_times()
    started = time.monotonic()
    time.sleep(seconds)
    after = process.cpu_times()
    spent = after.user + after.system - before.user - before.system
    return 100 * spent / (time.monotonic() - started)


def by_hosts(procs: processes.Processes) -> results.Table:
    """Measure an idle daemon without peers, by number of hosts."""
    rows = []
    for size in fleets.SIZES:
        rows.append([size, *_idle_row(procs, size)])
    table = results.Table(
        name="daemon-hosts",
        title="One daemon alone, nobody calling, all hosts in one zone",
        columns=["hosts", "RSS, MiB", "core, %", "ready after, s"],
        rows=rows,
    )
    table.add_fit("hosts", "RSS, MiB")
    table.add_fit("hosts", "core, %")
    table.add_fit("hosts", "ready after, s")
    return table


def _platform(procs: processes.Processes) -> tuple[processes.Process, str]:
    return procs.start_platform(
        *("--heartbeat-timeout-ms", str(LONG_TIMEOUT_MS)),
    )


def _idle_row(procs: processes.Processes, size: int) -> list[results.Cell]:
    platform, url = _platform(procs)
    publish(url, fleets.log(fleets.fleet(hosts=size, zones=1)))
    started = time.monotonic()
    entry = start_entry(procs, url, zone=fleets.zone_name(0))
    ready_s = time.monotonic() - started
    time.sleep(SETTLE_S)
    share = cpu_share(entry.process, IDLE_S)
    rss = entry.process.memory_info().rss / MIB
    entry.process.terminate()
    platform.terminate()
    return [rss, share, ready_s]


class Peers:
    """Simulated peers that send heartbeats and ignore what they receive."""

    def __init__(self, *, count: int, target: str) -> None:
        self._target = target
        self._stopped = threading.Event()
        state = fleets.daemon(fleets.log(fleets.fleet(hosts=100)).state)
        names = fleets.peer_names(count + 1, fleets.ZONES)
        self._messages = {
            name: fleets.heartbeat(state, name, zone, number)
            for number, (name, zone) in enumerate(names.items())
            if name != state.me.name
        }
        self._transports = {
            name: transports.Transport(
                name=name, listen=message.address, key=KEY.encode()
            )
            for name, message in self._messages.items()
        }
        self._thread = threading.Thread(target=self._send_heartbeats)

    def start(self) -> None:
        """Open all transports and start to send heartbeats."""
        for item in self._transports.values():
            item.open()
        self._thread.start()

    def _send_heartbeats(self) -> None:
        pause_s = PEER_INTERVAL_S / max(1, len(self._transports))
        while not self._stopped.is_set():
            for name, item in self._transports.items():
                item.send(self._target, self._messages[name])
                self._stopped.wait(pause_s)

    def stop(self) -> None:
        """Stop the heartbeats and close all transports."""
        self._stopped.set()
        self._thread.join()
        for item in self._transports.values():
            item.close()


def by_peers(procs: processes.Processes) -> results.Table:
    """Measure an idle daemon with 3,700 hosts, by number of peers."""
    platform, url = _platform(procs)
    publish(url, fleets.log(fleets.fleet()))
    rows = []
    for count in PEER_SIZES:
        entry = start_entry(procs, url, zone=fleets.zone_name(0))
        peers = Peers(count=count, target=f"tcp://127.0.0.1:{entry.peers}")
        peers.start()
        time.sleep(SETTLE_S)
        share = cpu_share(entry.process, IDLE_S)
        rss = entry.process.memory_info().rss / MIB
        entry.process.terminate()
        entry.process.wait(WAIT_S)
        peers.stop()
        rows.append([count, rss, share])
    platform.terminate()
    table = results.Table(
        name="daemon-peers",
        title=(
            "One daemon among simulated peers in 11 zones, nobody calling, "
            "3,700 hosts serving"
        ),
        columns=["peers", "RSS, MiB", "core, %"],
        rows=rows,
        note=(
            "Each peer sends a whole heartbeat every 250 ms; the daemon "
            "sends at its own interval. Peers in other zones that send to it "
            "are more than in a deployment of that size."
        ),
    )
    table.add_fit("peers", "RSS, MiB")
    table.add_fit("peers", "core, %")
    return table


def requests(procs: processes.Processes) -> results.Table:
    """Measure the CPU time of a daemon, by number of requests."""
    platform, url = _platform(procs)
    config = _small_fleet()
    caller = clients.Client(url=url)
    hosts = {host.name: f"{host.address}@zone-00" for host in config.hosts}
    worker, _ = procs.start_worker(platform=url, hosts=hosts)
    record = fleets.Log(state=fleets.log(config).state).record(
        fleets.publish(config)
    )
    caller.append(STREAM, records.encode(record))
    entry = start_entry(procs, url, zone=fleets.zone_name(0))
    processes.wait_for(
        lambda: _call(entry.callers, 1)[0] == 200,
        what="a complete answer",
        timeout_s=30.0,
    )
    _send(entry.callers, 200)
    rows = [[size, *_load(entry, size)] for size in REQUEST_SIZES]
    for process in (worker, platform):
        process.terminate()
    entry.process.terminate()
    table = results.Table(
        name="entry-requests",
        title=(
            "One daemon, 8 callers on kept connections, 2 hosts of 8 slots "
            "that answer at once"
        ),
        columns=["requests", "daemon's CPU, ms", "answered a second"],
        rows=rows,
    )
    table.add_fit("requests", "daemon's CPU, ms")
    return table


def _small_fleet() -> fleet_model.Fleet:
    config = fleets.fleet(hosts=2, pools=1, zones=1)
    for host, address in zip(
        config.hosts, ("127.4.0.1", "127.4.0.2"), strict=True
    ):
        host.address = address
    config.services[0].port = processes.free_port()
    return config


def _call(port: int, count: int) -> list[int]:
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    found = []
    try:
        for _ in range(count):
            conn.request("GET", "/service-00/quote")
            answer = conn.getresponse()
            answer.read()
            found.append(answer.status)
    finally:
        conn.close()
    return found


def _send(port: int, count: int) -> list[int]:
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        calls = [
            pool.submit(_call, port, count // CALLERS) for _ in range(CALLERS)
        ]
        return list(
            itertools.chain.from_iterable(fut.result() for fut in calls)
        )


def _load(entry: Entry, size: int) -> list[results.Cell]:
    before = entry.process.cpu_times()
    started = time.monotonic()
    statuses = _send(entry.callers, size)
    elapsed = time.monotonic() - started
    after = entry.process.cpu_times()
    if statuses.count(200) != size:
        raise ValueError(
            f"{size - statuses.count(200)} of {size} requests not answered"
        )
    spent = after.user + after.system - before.user - before.system
    return [spent * 1000, size / elapsed]


def measure(procs: processes.Processes) -> typing.Iterator[results.Table]:
    """Measure daemon processes by hosts, peers and requests."""
    yield by_hosts(procs)
    yield by_peers(procs)
    yield requests(procs)
