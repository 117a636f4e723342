"""Registration of the hosts with the platform, and their heartbeats."""

import collections
import http.client
import secrets
import threading
import urllib.parse

import msgspec

from standins import exceptions
from standins.worker import host as host_module

HEARTBEAT_S = 0.5
TIMEOUT_S = 3.0
ZONE_HEADER = "Azurewood-Zone"


class ReportError(exceptions.StandinError):
    """The platform did not accept a report."""


class Reporter:
    """A thread that reports for all hosts of this process.

    Each zone has its own heartbeat, because a zone can be partitioned from
    the platform.
    """

    def __init__(
        self,
        *,
        platform: str,
        hosts: list[host_module.Host],
        control_port: int,
    ):
        parts = urllib.parse.urlsplit(platform)
        self._platform = (parts.hostname, parts.port)
        self._control_port = control_port
        self._boot = secrets.token_hex(8)
        self._zones = collections.defaultdict(list)
        for host in hosts:
            self._zones[host.zone].append(host)
        self._conns: dict[str, http.client.HTTPConnection] = {}
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the reporting thread."""
        self._thread.start()

    def wake(self) -> None:
        """Send the next report immediately."""
        self._wake.set()

    def _run(self) -> None:
        while True:
            for zone, hosts in self._zones.items():
                try:
                    self._report(zone, hosts)
                except ReportError:
                    # The next heartbeat tries again.
                    continue
            self._wake.wait(HEARTBEAT_S)
            self._wake.clear()

    def _report(self, zone: str, hosts: list[host_module.Host]) -> None:
        stopped = {host.name: tuple(host.stopped) for host in hosts}
        heartbeat = {
            "boot": self._boot,
            "busy": {host.name: host.busy_slots for host in hosts},
            "stopped": [i for ids in stopped.values() for i in ids],
        }
        answer = self._post(zone, "/internal/heartbeats", heartbeat)
        unknown = set(answer["unknown"])
        for host in hosts:
            del host.stopped[: len(stopped[host.name])]
            if host.name in unknown:
                self._register(host)

    def _register(self, host: host_module.Host) -> None:
        body = {
            "name": host.name,
            "address": host.address,
            "control_port": self._control_port,
            "zone": host.zone,
            "boot": self._boot,
        }
        self._post(host.zone, "/v1/hosts", body)

    def _post(self, zone: str, path: str, body: dict) -> dict:
        conn = self._conns.get(zone)
        if conn is None:
            conn = http.client.HTTPConnection(
                *self._platform, timeout=TIMEOUT_S
            )
            self._conns[zone] = conn
        try:
            conn.request(
                "POST",
                path,
                body=msgspec.msgpack.encode(body),
                headers={ZONE_HEADER: zone},
            )
            answer = conn.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException) as exc:
            conn.close()
            raise ReportError(f"{path}: {exc!r}") from exc
        if answer.status != 200:
            raise ReportError(f"{path}: {answer.status}")
        return msgspec.msgpack.decode(data)
