"""A small deployment of real processes: platform, workers and daemons."""

import concurrent.futures
import contextlib
import dataclasses
import http.client
import json
import time

import msgspec

from azurewood.fleet import model
from standins import client
from standins import processes

TOKEN = "operators-token-0001"
PEERS_KEY = "peers-key-000000001"
CERTS = model.Service(
    name="certs",
    pool="certs",
    port=0,
    deadline_ms=6000,
    quota=1.0,
    routes=(
        model.Route(prefix="/issue", repeatable=False, methods=("POST",)),
        model.Route(prefix="/urgent", urgency=model.Urgency.URGENT),
        model.Route(prefix="/later", urgency=model.Urgency.DEFERRABLE),
    ),
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Reply:
    status: int
    outcome: str
    body: bytes
    retry_after: int = 0
    closes: bool = False

    @property
    def reason(self):
        return json.loads(self.body).get("reason", "")


@dataclasses.dataclass(slots=True, kw_only=True)
class Daemon:
    name: str
    process: processes.Process
    port: int
    operators_port: int

    def call(self, path, *, method="POST", key="", body=b"", **headers):
        """Make one request on a new connection; return None if it broke."""
        fields = {n.replace("_", "-"): str(v) for n, v in headers.items()}
        if key:
            fields["Idempotency-Key"] = key
        conn = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        try:
            conn.request(method, f"/certs{path}", body=body, headers=fields)
            res = conn.getresponse()
            return Reply(
                status=res.status,
                outcome=res.getheader("Azurewood-Outcome", ""),
                body=res.read(),
                retry_after=int(res.getheader("Retry-After", "0")),
                closes=res.getheader("Connection", "") == "close",
            )
        except (OSError, http.client.HTTPException):
            return None
        finally:
            conn.close()

    def call_operators(self, method, path, body=None):
        conn = http.client.HTTPConnection(
            "127.0.0.1", self.operators_port, timeout=15
        )
        try:
            conn.request(
                method,
                path,
                body=msgspec.json.encode(body) if body else None,
                headers={"Authorization": f"Bearer {TOKEN}"},
            )
            res = conn.getresponse()
            return res.status, json.loads(res.read())
        finally:
            conn.close()

    def dump(self):
        return self.call_operators("GET", "/v1/dump")[1]

    def status(self):
        return self.call_operators("GET", "/v1/status")[1]

    def is_serving(self, hosts):
        services = self.status()["services"]
        return services and services[0]["hosts"] == hosts


class Deployment:
    """Workers ``w0``, ``w1``... and daemons ``e0``, ``e1``... in zones."""

    def __init__(self, started, *, net, zones=("z0",), hosts=1, service=CERTS):
        self.started = started
        self.net = net
        self.addresses = {
            f"w{i}": (f"127.1.{net}.{i + 1}", zones[i % len(zones)])
            for i in range(hosts)
        }
        self.service = dataclasses.replace(
            service, port=processes.free_port(f"127.1.{net}.1")
        )
        self.zones = zones
        self.daemons = []
        _, self.url = started.start_platform("--host-list-lag-ms", "2000")
        self.platform = client.Client(url=self.url)
        self.worker, self.control_port = started.start_worker(
            platform=self.url,
            hosts={n: f"{a}@{z}" for n, (a, z) in self.addresses.items()},
        )
        processes.wait_for(
            lambda: len(self.platform.get("/v1/hosts")["hosts"]) == hosts,
            what="registered",
        )

    def start_daemon(self, *, zone=None, program=("azurewood",), extra=()):
        number = len(self.daemons)
        port, operators_port, peers_port = (
            processes.free_port() for _ in range(3)
        )
        name = f"e{number}"
        args = {
            "zone": zone or self.zones[0],
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "operators-listen": f"127.0.0.1:{operators_port}",
            "peers-listen": f"tcp://127.0.0.1:{peers_port}",
            "platform-url": self.url,
        }
        if self.daemons:
            args["peers"] = self.first_peer
        else:
            self.first_peer = args["peers-listen"]
        words = [w for k, v in args.items() for w in (f"--{k}", v)]
        process = self.started.start_ready(
            name,
            *program,
            "entry",
            *words,
            *extra,
            ready=lambda: processes.is_listening("127.0.0.1", operators_port),
            env={
                "AZUREWOOD_OPERATORS_TOKEN": TOKEN,
                "AZUREWOOD_PEERS_KEY": PEERS_KEY,
            },
        )
        daemon = Daemon(
            name=name,
            process=process,
            port=port,
            operators_port=operators_port,
        )
        self.daemons.append(daemon)
        return daemon

    def start(self, count, *, program=("azurewood",), extra=()):
        """Start daemons, publish a configuration and wait until all serve."""
        for i in range(count):
            zone = self.zones[i % len(self.zones)]
            self.start_daemon(zone=zone, program=program, extra=extra)
        self.publish()
        self.wait_serving()
        return self

    def publish(self):
        change = {
            "type": "PublishFleet",
            "fleet": msgspec.to_builtins(self.fleet()),
        }
        proposal = {"object": "fleet", "base": 0, "change": change}
        status, answer = self.daemons[0].call_operators(
            "POST", "/v1/proposals", {"proposals": [proposal]}
        )
        assert status == 200, answer
        assert answer["resolved"][0][2] == "accepted", answer

    def fleet(self):
        return model.Fleet(
            deployment="test",
            zones=tuple(
                model.Zone(name=z, region="r")
                for z in dict.fromkeys(self.zones)
            ),
            hosts=tuple(
                model.Host(name=n, zone=z, rack=f"{z}-a", address=a)
                for n, (a, z) in self.addresses.items()
            ),
            pools=(
                model.Pool(name="certs", hosts=tuple(self.addresses)),
                model.Pool(name="spare", spare=True),
            ),
            services=(self.service,),
            presets=(model.Preset(name="ordinary"),),
            preset="ordinary",
        )

    def wait_serving(self):
        count = len(self.daemons)
        for daemon in self.daemons:
            processes.wait_for(
                lambda daemon=daemon: (
                    daemon.is_serving(len(self.addresses))
                    and len(daemon.dump()["alive"]) == count - 1
                    and daemon.status()["ready"]
                ),
                what=f"{daemon.name} serves",
            )

    def control(self, host="w0"):
        address, _ = self.addresses[host]
        return client.Client(url=f"http://{address}:{self.control_port}")

    def executions(self):
        return [
            entry
            for name in self.addresses
            for entry in self.control(name).get("/control/executions?since=0")[
                "executions"
            ]
        ]

    def runs_by_key(self, prefix=""):
        runs = {}
        for entry in self.executions():
            if not entry["key"].startswith(prefix):
                continue
            runs[entry["key"]] = runs.get(entry["key"], 0) + 1
        return runs

    def set_behaviour(self, **changes):
        for name in self.addresses:
            self.control(name).post("/control/behaviour", **changes)


@contextlib.contextmanager
def running(log_dir, **options):
    """Yield a deployment without daemons; kill its daemons at the end.

    They are killed because a graceful stop takes seconds; it is tested
    separately.
    """
    with processes.Processes(log_dir=log_dir) as started:
        deployment = Deployment(started, **options)
        try:
            yield deployment
        finally:
            for daemon in deployment.daemons:
                daemon.process.resume()
                daemon.process.kill()


def in_threads(function, items, *, threads=16):
    """Call a function on all items in threads; return the results in order."""
    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        return list(pool.map(function, items))


def call_in_thread(function, *args, **kwargs):
    """Call a function in a new thread; return its future."""
    pool = concurrent.futures.ThreadPoolExecutor(1)
    fut = pool.submit(function, *args, **kwargs)
    pool.shutdown(wait=False)
    return fut


def timed_call(function, *args, **kwargs):
    """Return a call's result and its duration in seconds."""
    started_at = time.monotonic()
    result = function(*args, **kwargs)
    return result, time.monotonic() - started_at
