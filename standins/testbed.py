"""A deployment of real processes for tests, benchmarks and the demo.

Daemons get all their settings as flags and environment variables, as
operators would pass them.
"""

import collections.abc
import dataclasses
import http.client
import json
import typing

import msgspec

from azurewood.fleet import model
from azurewood.state import effects
from azurewood.state import records
from standins import client
from standins import processes

OPERATORS_TOKEN = "token-of-a-stand-in-deployment"
PEERS_KEY = "peers-key-of-a-stand-in-deployment"
CALL_TIMEOUT_S = 20.0
SERVING_TIMEOUT_S = 30.0


class OperatorsCallError(processes.NotReadyError):
    """The operators' interface answered with an error."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Reply:
    """A complete HTTP answer to a caller."""

    status: int
    outcome: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Daemon:
    """An entry daemon's process and the ports on which it listens."""

    name: str
    zone: str
    process: processes.Process
    port: int
    operators_port: int

    @property
    def url(self) -> str:
        """Return the base URL of the callers' interface."""
        return f"http://{processes.LOOPBACK}:{self.port}"

    @property
    def operators_url(self) -> str:
        """Return the base URL of the operators' interface."""
        return f"http://{processes.LOOPBACK}:{self.operators_port}"

    def call(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one caller's request on a new connection.

        Raises ``OSError`` or ``http.client.HTTPException`` if no complete
        answer arrives.
        """
        answer, data = _exchange(self.port, method, path, body, headers or {})
        return Reply(
            status=answer.status,
            outcome=answer.getheader("Azurewood-Outcome", ""),
            headers=dict(answer.getheaders()),
            body=data,
        )

    def operate(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        """Call the operators' interface; return the decoded JSON."""
        data = b"" if body is None else msgspec.json.encode(body)
        headers = {"Authorization": f"Bearer {OPERATORS_TOKEN}"}
        answer, found = _exchange(
            self.operators_port, method, path, data, headers
        )
        if answer.status >= 400:
            raise OperatorsCallError(
                f"operators' interface answered {answer.status}:"
                f" {found[:200]!r}"
            )
        return json.loads(found)

    def status(self) -> dict[str, typing.Any]:
        """Return the daemon's summary of the deployment."""
        return self.operate("GET", "/v1/status")

    def agreed(self) -> dict[str, typing.Any]:
        """Return this daemon's copy of the agreed state."""
        return self.operate("GET", "/v1/agreed")

    def host(self, name: str) -> dict[str, typing.Any]:
        """Return the agreed state of one host."""
        return self.agreed()["hosts"][name]

    def propose(
        self, target: str, base: int, change: records.AnyChange
    ) -> effects.Resolved:
        """Propose one change and return its resolution."""
        proposal = records.Proposal(object=target, base=base, change=change)
        answer = self.operate(
            "POST", "/v1/proposals", {"proposals": [proposal]}
        )
        return msgspec.convert(answer["resolved"][0], effects.Resolved)

    def use_preset(self, name: str) -> effects.Resolved:
        """Propose a preset, based on the revision this daemon knows."""
        base = self.agreed()["in_force_revision"]
        change = records.UsePreset(name=name)
        return self.propose(records.IN_FORCE, base, change)


def _exchange(
    port: int,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
) -> tuple[http.client.HTTPResponse, bytes]:
    conn = http.client.HTTPConnection(
        processes.LOOPBACK, port, timeout=CALL_TIMEOUT_S
    )
    try:
        conn.request(method, path, body=body or None, headers=headers)
        answer = conn.getresponse()
        return answer, answer.read()
    finally:
        conn.close()


class Deployment:
    """The processes of one deployment, started one part at a time."""

    def __init__(
        self,
        *,
        running: processes.Processes,
        fleet: model.Fleet,
        platform_args: collections.abc.Sequence[str] = (),
    ) -> None:
        self.running = running
        self.fleet = fleet
        self.daemons: dict[str, Daemon] = {}
        self.workers: dict[str, processes.Process] = {}
        self.controls: dict[str, client.Client] = {}
        self.platform_process, self.url = running.start_platform(
            *platform_args
        )
        self.platform = client.Client(url=self.url)
        self._seeds: list[str] = []

    def start_workers(
        self, *, per_process: int = 10, apart: tuple[str, ...] = ()
    ) -> None:
        """Start the hosts, several to a process, and wait for them.

        Each host named in ``apart`` gets a process of its own.
        """
        hosts = list(self.fleet.hosts)
        for host in [host for host in hosts if host.name in apart]:
            self._start_worker([host])
        hosts = [host for host in hosts if host.name not in apart]
        for first in range(0, len(hosts), per_process):
            self._start_worker(hosts[first : first + per_process])
        processes.wait_for(
            lambda: (
                len(self.platform.get("/v1/hosts")["hosts"])
                == len(self.workers)
            ),
            what="all hosts are registered",
        )

    def _start_worker(self, hosts: list[model.Host]) -> None:
        process, port = self.running.start_worker(
            platform=self.url,
            hosts={host.name: f"{host.address}@{host.zone}" for host in hosts},
        )
        for host in hosts:
            self.workers[host.name] = process
            self.controls[host.name] = client.Client(
                url=f"http://{host.address}:{port}"
            )

    def start_daemons(self, *, per_zone: int, extra: tuple[str, ...] = ()):
        """Start entry daemons in every zone and wait until all listen."""
        for number in range(1, per_zone + 1):
            for zone in self.fleet.zones:
                self.start_daemon(f"{zone.name}-{number}", zone.name, extra)

    def start_daemon(
        self, name: str, zone: str, extra: tuple[str, ...] = ()
    ) -> Daemon:
        """Start an entry daemon and wait until it listens."""
        port, operators_port, peers_port = (
            processes.free_port() for _ in range(3)
        )
        peers_listen = f"tcp://{processes.LOOPBACK}:{peers_port}"
        process = self.running.start_ready(
            name,
            *("azurewood", "entry"),
            *("--name", name, "--zone", zone),
            *("--listen", f"{processes.LOOPBACK}:{port}"),
            *("--operators-listen", f"{processes.LOOPBACK}:{operators_port}"),
            *("--peers-listen", peers_listen),
            *("--peers", ",".join(self._seeds[:2])),
            *("--platform-url", self.url),
            *extra,
            ready=lambda: processes.is_listening(
                processes.LOOPBACK, operators_port
            ),
            env={
                "AZUREWOOD_OPERATORS_TOKEN": OPERATORS_TOKEN,
                "AZUREWOOD_PEERS_KEY": PEERS_KEY,
            },
        )
        self._seeds.append(peers_listen)
        daemon = Daemon(
            name=name,
            zone=zone,
            process=process,
            port=port,
            operators_port=operators_port,
        )
        self.daemons[name] = daemon
        return daemon

    @property
    def first(self) -> Daemon:
        """Return the daemon that was started first."""
        return next(iter(self.daemons.values()))

    def publish(self) -> None:
        """Wait until the log is reachable, then publish the configuration."""
        processes.wait_for(
            lambda: self.first.status()["log_reachable"],
            what="the log is read",
        )
        change = records.PublishFleet(fleet=self.fleet)
        resolved = self.first.propose(records.FLEET, 0, change)
        if resolved.resolution != effects.Resolution.ACCEPTED:
            raise OperatorsCallError(f"fleet not published: {resolved}")

    def wait_serving(self) -> None:
        """Wait until all hosts serve in the view of every daemon."""
        for daemon in self.daemons.values():
            processes.wait_for(
                lambda daemon=daemon: _all_serve(daemon, len(self.daemons)),
                what=f"all hosts serve for {daemon.name}",
                timeout_s=SERVING_TIMEOUT_S,
            )

    def wait_in_force(
        self,
        preset: str,
        *,
        names: collections.abc.Iterable[str] = (),
        timeout_s: float = 10.0,
    ) -> None:
        """Wait until a preset is in force in daemons (default: all)."""
        for name in list(names) or list(self.daemons):
            daemon = self.daemons[name]
            processes.wait_for(
                lambda daemon=daemon: daemon.status()["in_force"] == preset,
                what=f"{preset} is in force in {name}",
                timeout_s=timeout_s,
            )

    def executions(self) -> list[dict[str, typing.Any]]:
        """Return the executions recorded in the journals of all workers."""
        return [
            entry
            for control in self.controls.values()
            for entry in control.get("/control/executions?since=0")[
                "executions"
            ]
        ]


def _all_serve(daemon: Daemon, daemons: int) -> bool:
    status = daemon.status()
    hosts = status["hosts"]
    alive = sum(item["alive"] for item in status["daemons"])
    return (
        alive == daemons
        and status["ready"]
        and bool(hosts)
        and all(host["phase"] == "serving" for host in hosts)
    )
