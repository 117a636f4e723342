"""A whole deployment as processes: platform, hosts and entry daemons."""

import collections
import contextlib
import dataclasses
import http.client
import os
import pathlib
import subprocess
import sys
import typing
import urllib.parse

import msgspec

from azurewood.fleet import document
from azurewood.fleet import model
from azurewood.operators import client as clients
from standins import exceptions
from standins import processes

TOKEN = "operators-token-of-the-stand-ins"
PEERS_KEY = "peers-key-of-the-stand-ins-0123456789"
COMMAND_TIMEOUT_S = 90.0
PROBE_TIMEOUT_S = 2.0


class CommandFailedError(exceptions.StandinError):
    """A command of the command line ended with another status than 0."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """An entry daemon's process and its listeners."""

    name: str
    zone: str
    process: processes.Process
    url: str
    operators_url: str

    def is_answering(self, path: str = "/healthz") -> bool:
        """Return whether a probe is answered with 200."""
        return probe(self.operators_url, path) == 200


def probe(url: str, path: str) -> int:
    """Return the status of a GET, 0 if there is no answer."""
    parts = urllib.parse.urlsplit(url)
    conn = http.client.HTTPConnection(
        parts.hostname, parts.port, timeout=PROBE_TIMEOUT_S
    )
    try:
        conn.request("GET", path)
        return conn.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()


def shift_addresses(fleet: model.Fleet, network: int) -> model.Fleet:
    """Return a fleet whose hosts are in 127.``network``.0.0/16.

    Deployments on one machine do not meet then.
    """
    hosts = tuple(
        dataclasses.replace(
            host,
            address=".".join(
                ["127", str(network), *host.address.split(".")[2:]]
            ),
        )
        for host in fleet.hosts
    )
    return dataclasses.replace(fleet, hosts=hosts)


class Deployment(contextlib.AbstractContextManager):
    """The processes of one configuration document.

    ``apart`` names hosts that get a process of their own, to be killed.
    """

    def __init__(
        self,
        *,
        source: pathlib.Path,
        work_dir: pathlib.Path,
        network: int,
        entries_per_zone: int = 2,
        apart: typing.Iterable[str] = (),
        env: dict[str, str] | None = None,
    ):
        self.fleet = shift_addresses(
            document.load(source.read_text(), str(source)), network
        )
        work_dir.mkdir(parents=True, exist_ok=True)
        self.path = work_dir / source.name
        self.path.write_text(document.dump(self.fleet))
        self.processes = processes.Processes(log_dir=work_dir / "logs")
        self.entries: list[Entry] = []
        self.workers: dict[str, processes.Process] = {}
        self.platform_url = ""
        self._per_zone = entries_per_zone
        self._apart = frozenset(apart)
        self._env = env or {}

    def __exit__(self, *exc_info: object) -> None:
        self.processes.close()

    def start(self) -> None:
        """Start all processes and wait until each answers."""
        _, self.platform_url = self.processes.start_platform(
            "--host-list-lag-ms",
            "300",
            "--heartbeat-timeout-ms",
            "1000",
        )
        self.start_entries()
        self.start_workers()
        for entry in self.entries:
            processes.wait_for(entry.is_answering, what=entry.name)

    def start_entries(self) -> None:
        """Start the entry daemons without waiting for them."""
        names = [
            (zone.name, f"{zone.name}-entry-{number}")
            for number in range(1, self._per_zone + 1)
            for zone in self.fleet.zones
        ]
        peers = {name: processes.free_port() for _, name in names}
        seeds = list(peers.values())[: len(self.fleet.zones)]
        for zone, name in names:
            self.entries.append(
                self.start_entry(
                    name=name, zone=zone, peers_port=peers[name], seeds=seeds
                )
            )

    def start_entry(
        self,
        *,
        name: str,
        zone: str,
        peers_port: int,
        seeds: typing.Iterable[int],
        env: dict[str, str] | None = None,
    ) -> Entry:
        """Start one entry daemon without waiting for it."""
        listen, operators = (processes.free_port() for _ in range(2))
        process = self.processes.start(
            name,
            "azurewood",
            "entry",
            env={
                "AZUREWOOD_NAME": name,
                "AZUREWOOD_ZONE": zone,
                "AZUREWOOD_LISTEN": f"127.0.0.1:{listen}",
                "AZUREWOOD_OPERATORS_LISTEN": f"127.0.0.1:{operators}",
                "AZUREWOOD_PEERS_LISTEN": f"tcp://127.0.0.1:{peers_port}",
                "AZUREWOOD_PEERS": ",".join(
                    f"tcp://127.0.0.1:{port}" for port in seeds
                ),
                "AZUREWOOD_PLATFORM_URL": self.platform_url,
                "AZUREWOOD_OPERATORS_TOKEN": TOKEN,
                "AZUREWOOD_PEERS_KEY": PEERS_KEY,
                **self._env,
                **(env or {}),
            },
        )
        return Entry(
            name=name,
            zone=zone,
            process=process,
            url=f"http://127.0.0.1:{listen}",
            operators_url=f"http://127.0.0.1:{operators}",
        )

    def start_workers(self) -> None:
        """Start a process for each zone's hosts, and for those apart."""
        groups = collections.defaultdict(dict)
        for host in self.fleet.hosts:
            key = host.name if host.name in self._apart else host.zone
            groups[key][host.name] = f"{host.address}@{host.zone}"
        for key, hosts in groups.items():
            self.workers[key], _ = self.processes.start_worker(
                platform=self.platform_url, hosts=hosts
            )

    def client(self, entry: Entry) -> clients.OperatorsClient:
        """Return an operators' client of one daemon."""
        return clients.OperatorsClient(
            daemons=[entry.operators_url], token=TOKEN
        )

    def command(
        self, *args: str, entries: typing.Iterable[Entry] | None = None
    ) -> subprocess.CompletedProcess:
        """Run a command of the command line; return how it ended."""
        daemons = self.entries if entries is None else entries
        flags = [
            word
            for entry in daemons
            if entry.process.alive
            for word in ("--daemon", entry.operators_url)
        ]
        return subprocess.run(
            [sys.executable, "-m", "azurewood", *args, *flags],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            env=self._command_env(),
            check=False,
        )

    def _command_env(self) -> dict[str, str]:
        return os.environ | {
            "AZUREWOOD_OPERATORS_TOKEN": TOKEN,
            "AZUREWOOD_OPERATOR": "demo",
        }

    def checked(self, *args: str) -> str:
        """Run a command; return its output, raise CommandFailedError."""
        done = self.command(*args)
        if done.returncode:
            raise CommandFailedError(
                f"azurewood {' '.join(args)}: status {done.returncode}\n"
                f"{done.stderr}"
            )
        return done.stdout

    def checked_json(self, *args: str) -> typing.Any:
        """Run a command and return its decoded JSON."""
        return msgspec.json.decode(self.checked(*args, "--output", "json"))

    def apply(self) -> None:
        """Apply the configuration and wait until all hosts serve."""
        self.checked("config", "apply", str(self.path), "--wait")
        client = self.client(self.entries[0])
        processes.wait_for(
            lambda: all(
                host.phase == "serving" for host in client.status().hosts
            ),
            what="all hosts serve",
            timeout_s=30.0,
        )
