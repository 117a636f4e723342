"""A small deployment of real processes: platform, workers and daemons."""

import contextlib
import dataclasses
import http.client
import socket
import time

import msgspec

from azurewood.fleet import model
from azurewood.state import effects
from azurewood.state import records
from standins import client
from standins import processes

TOKEN = "operators-token-of-tests"
KEY = "peers-key-of-the-tests"
ZONE = "z1"
ENTRY = ("azurewood", "entry")


@dataclasses.dataclass(slots=True, kw_only=True)
class Daemon:
    """The process of a daemon and the ports that it listens on."""

    name: str
    process: processes.Process
    port: int
    operators_port: int

    def operate(self, method, path, body=None):
        """Call the operators' interface; return the decoded answer."""
        headers = {"Authorization": f"Bearer {TOKEN}"}
        data = msgspec.json.encode(body) if body is not None else None
        conn = http.client.HTTPConnection(
            "127.0.0.1", self.operators_port, timeout=12
        )
        try:
            conn.request(method, path, body=data, headers=headers)
            return msgspec.json.decode(conn.getresponse().read())
        finally:
            conn.close()

    def propose(self, object_name, base, change):
        """Propose one change and return how it was resolved."""
        proposal = records.Proposal(
            object=object_name, base=base, change=change
        )
        body = {"proposals": [proposal]}
        answer = self.operate("POST", "/v1/proposals", body)
        return msgspec.convert(answer["resolved"][0], effects.Resolved)

    def agreed(self):
        return self.operate("GET", "/v1/agreed")

    def host(self, name):
        return self.agreed()["hosts"][name]

    def call(self, service, path="/", *, method="GET", **headers):
        """Call a service; return the status and the outcome header."""
        conn = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        named = {k.replace("_", "-"): str(v) for k, v in headers.items()}
        try:
            conn.request(method, f"/{service}{path}", headers=named)
            answer = conn.getresponse()
            answer.read()
            return answer.status, answer.getheader("Azurewood-Outcome")
        finally:
            conn.close()


class Deployment:
    """One zone with pools ``quoting`` and ``certs``, on real processes."""

    def __init__(
        self,
        *,
        running,
        hosts,
        preset=None,
        daemons=2,
        module=ENTRY,
        reboot_ms=400,
    ):
        self.running = running
        network = 40 + int(time.monotonic_ns() // 1000 % 150)
        self.addresses = {
            name: f"127.1.{network}.{number}"
            for number, name in enumerate(sorted(hosts), 1)
        }
        pools = sorted(set(hosts.values()))
        first = next(iter(self.addresses.values()))
        self.ports = dict(
            zip(pools, free_ports(len(pools), first), strict=True)
        )
        numbers = iter(free_ports(3 * daemons + 1))
        platform_port = next(numbers)
        _, self.url = running.start_platform(
            "--host-list-lag-ms",
            "300",
            "--reboot-ms",
            str(reboot_ms),
            port=platform_port,
        )
        self.platform = client.Client(url=self.url)
        self.control_port = None
        self.start_worker()
        self.controls = {
            name: client.Client(url=f"http://{address}:{self.control_port}")
            for name, address in self.addresses.items()
        }
        self.fleet = make_fleet(hosts, self.addresses, self.ports, preset)
        self.peers = [
            f"tcp://127.0.0.1:{next(numbers)}" for _ in range(daemons)
        ]
        self.listens = [(next(numbers), next(numbers)) for _ in range(daemons)]
        self.daemons = [
            self.start_daemon(n, module=module) for n in range(daemons)
        ]

    def start_worker(self):
        """Start the worker of all hosts, on the same ports every time."""
        self.worker, self.control_port = self.running.start_worker(
            platform=self.url,
            hosts={n: f"{a}@{ZONE}" for n, a in self.addresses.items()},
            control_port=self.control_port,
        )

    def start_daemon(self, number, *, module=ENTRY):
        """Start a daemon and wait until its operators' port is open."""
        port, operators = self.listens[number]
        process = self.running.start_ready(
            f"entry-{number}",
            *module,
            *("--zone", ZONE, "--name", f"entry-{number}"),
            *("--listen", f"127.0.0.1:{port}"),
            *("--operators-listen", f"127.0.0.1:{operators}"),
            *("--peers-listen", self.peers[number]),
            *("--peers", ",".join(self.peers)),
            *("--platform-url", self.url),
            *("--operators-token", TOKEN, "--peers-key", KEY),
            *("--threads", "24"),
            ready=lambda: processes.is_listening("127.0.0.1", operators),
        )
        return Daemon(
            name=f"entry-{number}",
            process=process,
            port=port,
            operators_port=operators,
        )

    def publish(self):
        """Publish the configuration; wait until all hosts serve."""
        first = self.daemons[0]
        processes.wait_for(
            lambda: first.operate("GET", "/v1/status")["log_reachable"],
            what="the log is read",
        )
        change = records.PublishFleet(fleet=self.fleet)
        resolved = first.propose("fleet", 0, change)
        assert resolved.resolution == "accepted", resolved
        for daemon in self.daemons:
            processes.wait_for(
                lambda daemon=daemon: self.serves(daemon),
                what="all hosts serve",
            )

    def serves(self, daemon):
        hosts = daemon.agreed()["hosts"].values()
        return (
            hosts
            and all(h["phase"] == "serving" for h in hosts)
            and daemon.operate("GET", "/v1/status")["ready"]
        )

    def move(self, daemon, host, to_pool, *, drain_ms=5000):
        """Propose a move and return how it was resolved."""
        change = records.MoveHost(
            to_pool=to_pool, reason="test", drain_ms=drain_ms
        )
        base = daemon.host(host)["revision"]
        return daemon.propose(f"host:{host}", base, change)

    def executions(self, host):
        """Return the executions on a host from the worker's journal."""
        return self.controls[host].get("/control/executions")["executions"]


def free_ports(count, address="127.0.0.1"):
    """Return ports that are free and differ from each other."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((address, 0))
        return [sock.getsockname()[1] for sock in socks]


def make_fleet(hosts, addresses, ports, preset=None):
    """Return a fleet of one zone with each host in a separate rack."""
    preset = preset or model.Preset(name="ordinary")
    pools = sorted(set(hosts.values()))
    return model.Fleet(
        deployment="test",
        zones=(model.Zone(name=ZONE, region="r1"),),
        hosts=tuple(
            model.Host(
                name=name,
                zone=ZONE,
                rack=f"rack-{name}",
                address=addresses[name],
            )
            for name in sorted(hosts)
        ),
        pools=tuple(
            model.Pool(
                name=pool,
                hosts=tuple(n for n in sorted(hosts) if hosts[n] == pool),
                spare=pool == pools[-1],
            )
            for pool in pools
        ),
        services=tuple(
            model.Service(name=pool, pool=pool, port=ports[pool], quota=1.0)
            for pool in pools
        ),
        presets=(preset,),
        preset=preset.name,
    )


def wait_move(daemon, host, pool, *, timeout_s=15.0):
    """Wait until a daemon reports that the host serves a pool."""

    def is_done():
        found = daemon.host(host)
        return found["pool"] == pool and found["phase"] == "serving"

    processes.wait_for(
        is_done, what=f"{host} serves {pool}", timeout_s=timeout_s
    )
