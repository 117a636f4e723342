"""A small deployment for a case: stand-ins, daemons, a record and clients.

The daemons are the project's own, started with the command of the deploy
file as separate processes on loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import tomllib

import platform_standin

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
DEADLINE_S = 3.0
"""How long a client waits for an answer."""
COULD_NOT_RUN = 2


class CouldNotRun(Exception):
    """The case could not be played."""


class Deployment:
    """Six workers of one service, a store, and daemons.

    ``record`` gets what was sent, answered and run.
    """

    def __init__(self, *, folder, daemons=3, workers=6, attempts=3):
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()
        self._daemons = {}
        self._count = daemons
        self._attempts = attempts
        self._tmp = tempfile.TemporaryDirectory()
        pid = os.getpid()
        self._net = f"127.{100 + pid // 250 % 100}.{1 + pid % 250}"
        here = self._ip(250)
        self.store = platform_standin.Store(here, self.note)
        self.workers = [
            platform_standin.Worker(
                ip=self._ip(100 + number),
                id=f"i-{pid % 0x1000000:06x}{number:04x}",
                machine=f"m-{number}",
                service="svc",
                rack=f"r-{number // 4}",
                store=self.store,
                note=self.note,
            )
            for number in range(workers)
        ]
        for worker in self.workers:
            worker.on_start = self._started
            worker.on_end = self._ended
        self.cloud = platform_standin.Cloud(here, self.workers, self.note)
        self.advice = platform_standin.Advice(here, self.workers, self.note)
        self.with_advice = False
        self.starts = []
        self.ends = []
        self.quiet = False

    def _ip(self, number):
        return f"{self._net}.{number}"

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_at

    def note(self, text):
        """Write a line to the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")
        self._record.flush()

    def _started(self, worker, task, run):
        self.starts.append((self.now(), worker.id, task, run))
        if not self.quiet:
            self.note(f"{worker.id} starts {task} run {run}")

    def _ended(self, worker, task, run, how):
        self.ends.append((self.now(), worker.id, task, run, how))
        if not self.quiet:
            self.note(f"{worker.id}: {task} run {run} ends: {how}")

    async def open(self):
        """Start everything and wait until all daemons are ready."""
        await self.store.server.open()
        await self.cloud.server.open()
        await self.advice.server.open()
        route = {
            "name": "queue",
            "host": "jobs.example",
            "path_prefix": "/q/",
            "service": "svc",
            "priority": 0,
            "attempts": self._attempts,
            "slo_factor": 2.0,
            "slo_ms": 2000,
        }
        if self.with_advice:
            route["hint"] = {
                "decision_ms": self.advice.decision_ms,
                "per_item_ms": self.advice.per_item_ms,
                "validity_ms": self.advice.VALIDITY_MS,
            }
        services = [{"name": "svc", "enforce_capacity": False}]
        manifest = {"version": 1, "routes": [route], "services": services}
        self.store.put("keyed.op", "config", manifest)
        for worker in self.workers:
            await worker.start()
        for number in range(self._count):
            self.start_daemon(number)
        end = self.now() + 25
        while not await self._all_ready():
            if self.now() > end:
                raise CouldNotRun("the daemons are not ready")
            await asyncio.sleep(0.1)
        self.note("all daemons are ready")
        await asyncio.sleep(4.0)

    async def _all_ready(self):
        for number in range(self._count):
            status, _ = await self.ask(
                number, "GET", "/api/readyz", port=8622, quiet=True
            )
            if status != 200:
                return False
        return True

    def start_daemon(self, number):
        """Start a daemon's process with the command of the deploy file."""
        deploy = REPOSITORY / "deploy" / "system.toml"
        roles = tomllib.loads(deploy.read_text(encoding="utf-8"))["roles"]
        command = roles["entry"]["run"].split()
        path = pathlib.Path(self._tmp.name) / f"node-{number}.yaml"
        # A JSON text is YAML as well.
        path.write_text(json.dumps(self._settings(number)), encoding="utf-8")
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["AZUREWOOD_SETTINGS"] = str(path)
        env["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        log = pathlib.Path(self._tmp.name) / f"node-{number}.log"
        with log.open("ab") as out:
            self._daemons[number] = subprocess.Popen(
                command, cwd=REPOSITORY, env=env, stdout=out, stderr=out
            )
        self.note(f"daemon {number} is started")

    def _settings(self, number):
        ip = self._ip(number + 1)
        platform = {
            "addr": self.store.server.address,
            "form": "log",
            "writes_per_s": 600,
            "reads_per_s": 2000,
            "parts": 16,
            "append_ms": 3.0,
            "record_bytes": platform_standin.RECORD_BYTES,
            "call_bytes": platform_standin.CALL_BYTES,
        }
        return {
            "node": f"edge-{number}",
            "role": "entry",
            "class": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {"front": f"{ip}:8624", "ready": f"{ip}:8622"},
            "limits": {"cpu_share": 0.537, "vcpus": 2, "memory_mb": 300},
            "heartbeat_ms": 1500,
            "bounds": {
                "grace_s": 6,
                "lease_ms": 3000,
                "status_s": 120,
                "contact_ms": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "hold_max_ms": 6000,
                "stop_ms": 400,
            },
            "platform": platform,
            "cloud": {"addr": self.cloud.server.address},
            "hint": self.advice.server.address,
        }

    def leader(self):
        """Return the number of the daemon that claimed the newest term."""
        for record in reversed(self.store.partition("leader").records):
            for number in range(self._count):
                if f"edge-{number}".encode() in record and b"claim" in record:
                    return number
        raise CouldNotRun("no daemon has claimed a term")

    def kill(self, number):
        """Kill a daemon's process."""
        process = self._daemons[number]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.note(f"daemon {number} is killed")

    def logged(self, text):
        """Return the lines of all daemons' logs that contain a text."""
        lines = []
        for path in sorted(pathlib.Path(self._tmp.name).glob("*.log")):
            for line in path.read_text("utf-8", "replace").splitlines():
                if text in line:
                    lines.append(line)
        return lines

    def close(self):
        """End all processes that the case started."""
        for process in self._daemons.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self._record.close()
        self._tmp.cleanup()

    async def ask(self, number, method, path, body=None, *, port=8624, **how):
        """Send a request to a daemon; return status and decoded body."""
        data = b"" if body is None else json.dumps(body).encode()
        text = (
            f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\n"
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        try:
            status, answer = await asyncio.wait_for(
                _exchange(self._ip(number + 1), port, text.encode() + data),
                DEADLINE_S,
            )
        except (OSError, EOFError, TimeoutError) as exc:
            status, answer = 0, repr(exc).encode()
        if not how.get("quiet"):
            self.note(
                f"client: {method} {path} at daemon {number}:"
                f" {status} {answer[:80].decode().strip()}"
            )
        try:
            return status, json.loads(answer)
        except ValueError:
            return status, {}

    async def state_of(self, job, *, number=0, quiet=False):
        """Return a job's state as a daemon shows it, or the status."""
        status, body = await self.ask(number, "GET", f"/q/{job}", quiet=quiet)
        return body.get("state", str(status))


async def _exchange(ip, port, data):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(data)
        await writer.drain()
        first, _, body = await platform_standin.read_message(reader)
        return int(first.split()[1]), body
    finally:
        writer.transport.abort()


def play(file, case, **options):
    """Play a case and return the exit status for it.

    ``case`` gets the deployment and whether to make trouble, and returns
    whether the rule held.
    """
    folder = pathlib.Path(file).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    return asyncio.run(_play(folder, case, trouble, options))


async def _play(folder, case, trouble, options):
    advice_ms = options.pop("advice_ms", None)
    deployment = Deployment(folder=folder, **options)
    if advice_ms is not None:
        deployment.with_advice = True
        advice = deployment.advice
        advice.decision_ms, advice.per_item_ms = advice_ms
    try:
        await deployment.open()
        async with asyncio.timeout(100):
            held = await case(deployment, trouble)
        deployment.note("the rule held" if held else "the rule was broken")
        return 0 if held else 1
    except (CouldNotRun, TimeoutError, OSError) as exc:
        deployment.note(f"the case could not run: {exc!r}")
        return COULD_NOT_RUN
    finally:
        deployment.close()
