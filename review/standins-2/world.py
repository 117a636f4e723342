"""A small deployment for the scripts: platform, workers, daemons, clients."""

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

import store as stores
import web
import workers

ROOT = pathlib.Path(__file__).resolve().parents[2]
BEAT_S = 0.5
MISSED_BEATS = 3
UPKEEP_S = 2.0
MOVE_S = 1.5
CAPACITY = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}
HOST = "jobs.example"

SETTINGS = """
node: "{name}"
role: "entry"
class: "edge"
serves: ["edge"]
ip: "{ip}"
zone: "a"
region: "r"
zones: {{a: "r"}}
listen: {{front: "{ip}:{front}", ready: "{ip}:{ready}"}}
bootstrap: true
limits: {{cpu_share: 0.537, vcpus: 2, memory_mb: 300, max_fds: 4100}}
bounds:
  contact_ms: 3000
  ack_ms: 4000
  grace_s: 6
  hold_max_ms: 6000
  stop_ms: 400
  cancel_ms: 3000
  visible_ms: 3000
  finish_s: 14
  status_s: 120
  warning_ms: 4500
  migrate_s: 1.5
  maintenance_s: 2
  fencing: false
  lease_ms: 3000
orders: "rpc"
hint: null
platform: {{addr: "{store}", form: "log", parts: 16}}
cloud: {{addr: "{cloud}"}}
"""


class World:
    """The deployment; ``close`` ends all that it started."""

    def __init__(self, folder):
        self._began = time.monotonic()
        self._record = (pathlib.Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self._folder = tempfile.mkdtemp()
        self.store = stores.Store(self.note)
        self.jobs = {}
        self.workers = {}
        self.machines = {}
        self.daemons = []
        self.started = []
        self.closing = False
        self._next_id = 0
        self._cloud = web.Listener(self._cloud_answer)
        threading.Thread(target=self._beat, daemon=True).start()

    def note(self, text):
        """Write a line of the record."""
        with self._lock:
            at = time.monotonic() - self._began
            print(f"{at:8.3f} {text}", file=self._record, flush=True)

    # The operator

    def configure(self, queues, services, version=1):
        """Write the manifest: ``queues`` maps a name to its fields."""
        manifest = {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": HOST,
                    "path_prefix": f"/{name}/",
                    "kind": "unsafe",
                    "timeout_ms": 3000,
                    "slo_ms": 600,
                    "priority": 0,
                    "attempts": 2,
                    "slo_factor": 1.6,
                    **fields,
                }
                for name, fields in queues.items()
            ],
            "services": services,
            "limits": {},
        }
        self.store.put("keyed.op", "config", manifest)

    def request_wave(self, number, machines, *, max_count, finish_by_s):
        """Ask for the upkeep of machines."""
        self.note(f"wave {number} of {machines}, {max_count} at once")
        self.store.put(
            "keyed.op",
            f"wave/{number}",
            {
                "tranche": number,
                "nodes": machines,
                "max_count": max_count,
                "finish_by_s": finish_by_s,
            },
        )

    # Machines and workers

    def add_machine(self, name, pool, rack="r1"):
        """Add a machine that is up in a pool, with its worker."""
        self.machines[name] = {"pool": pool, "state": "up", "rack": rack}
        return self._begin_worker(name)

    def _begin_worker(self, name):
        self._next_id += 1
        found = self.machines[name]
        worker = workers.Worker(
            id=f"i-{self._next_id:04}",
            machine=name,
            service=found["pool"],
            capacity=CAPACITY,
            jobs=self.jobs,
            note=self.note,
            started=self.started,
            labels=["k1", found["rack"]],
        )
        found["id"] = worker.id
        self.workers[worker.id] = worker
        self.note(f"{worker.id} begins on {name} in {found['pool']}")
        self._publish(worker)
        return worker

    def _publish(self, worker):
        self.store.put("keyed.servers", worker.id, worker.entry())

    def crash(self, worker, down_s):
        """Crash a worker, which begins again under its id after a time."""
        worker.end("crash")
        name = worker.machine
        self.machines[name]["state"] = "down"

        def restart():
            if self.closing:
                return
            worker.begin()
            self.machines[name]["state"] = "up"
            self.note(f"{worker.id} begins again")
            self._publish(worker)

        threading.Timer(down_s, restart).start()

    def darken(self, found, for_s):
        """Have workers end silently; they begin again after a time."""
        for worker in found:
            worker.darken()
            self.machines[worker.machine]["state"] = "down"
            self.note(f"{worker.id} is dark")

        def remove():
            for worker in found:
                if not self.closing:
                    self.store.put("keyed.servers", worker.id, None)

        def restart():
            for worker in found:
                if not self.closing:
                    worker.lighten()
                    self.machines[worker.machine]["state"] = "up"
                    self.note(f"{worker.id} begins again")
                    self._publish(worker)

        threading.Timer(MISSED_BEATS * BEAT_S, remove).start()
        threading.Timer(for_s, restart).start()

    def lose(self, worker):
        """Crash a worker and lose it and its machine for good."""
        worker.end("lost for good")
        del self.machines[worker.machine]

        def remove():
            if not self.closing:
                del self.workers[worker.id]
                self.store.put("keyed.servers", worker.id, None)

        threading.Timer(MISSED_BEATS * BEAT_S, remove).start()

    def _beat(self):
        while not self.closing:
            time.sleep(BEAT_S)
            for worker in list(self.workers.values()):
                if worker.up:
                    self._publish(worker)

    def _cloud_answer(self, method, path, query, body, headers):
        if path == "/api/machines":
            rows = [
                {
                    "machine": name,
                    "pool": row["pool"],
                    "state": row["state"],
                    "zone": "a",
                    "labels": ["k1", row["rack"]],
                    "capacity": CAPACITY,
                    "id": row["id"],
                }
                for name, row in list(self.machines.items())
            ]
            return _json(200, {"nodes": rows, "next_token": None})
        order = json.loads(body)
        with self._lock:
            row = self.machines.get(order["machine"])
            if row is None:
                return _json(400, {})
            if row["state"] != "up":
                return _json(409, {"reason": "busy"})
            if path == "/api/machine-move":
                if row["pool"] == order["pool"]:
                    return _json(200, {})
                row["pool"], row["state"] = order["pool"], "moving"
                pause = MOVE_S
            else:
                done = row.setdefault("waves", set())
                if order["tranche"] in done:
                    return _json(200, {})
                done.add(order["tranche"])
                row["state"] = "upkeep"
                pause = UPKEEP_S
        self.note(f"{path} {order} by {headers.get('X-Lease-Holder')}")
        self._order(order["machine"], pause)
        return _json(200, {})

    def _order(self, name, pause):
        worker = self.workers.pop(self.machines[name]["id"])
        worker.end("its machine was ordered away")
        self.store.put("keyed.servers", worker.id, None)

        def back():
            if not self.closing:
                self.machines[name]["state"] = "up"
                self._begin_worker(name)

        threading.Timer(pause, back).start()

    # Daemons

    def add_daemon(self, ip):
        """Start a daemon, with a link of its own to the store."""
        daemon = Daemon(self, len(self.daemons) + 1, ip, self._folder)
        self.daemons.append(daemon)
        return daemon

    @property
    def cloud(self):
        """Return the address of the service for machines."""
        return self._cloud.address

    def leader(self):
        """Return the daemon that gave the newest order, by its log."""
        for daemon in self.daemons:
            if daemon.leads():
                return daemon
        return None

    def running(self):
        """Return the work items that are at work, on all workers."""
        found = set()
        for worker in list(self.workers.values()):
            if worker.up:
                found |= worker.running()
        return found

    def wait(self, what, timeout_s, text):
        """Wait until ``what`` holds; end with status 2 if it never does."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if what():
                return
            time.sleep(0.05)
        self.note(f"could not run: {text}")
        raise CannotRun(text)

    def close(self):
        """End all processes and listeners."""
        self.closing = True
        for daemon in self.daemons:
            daemon.kill()
        shutil.rmtree(self._folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be brought about."""


class Daemon:
    """A daemon's process, and its own link to the store."""

    def __init__(self, world, number, ip, folder):
        self.world = world
        self.name = f"edge-{number}"
        self.ip = ip
        self.link = web.Listener(world.store.answer)
        self.front = _free_port(ip)
        self._path = pathlib.Path(folder) / f"{self.name}.yaml"
        self._log = pathlib.Path(folder) / f"{self.name}.log"
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=ip,
                front=self.front,
                ready=_free_port(ip),
                store=self.link.address,
                cloud=world.cloud,
            ),
            encoding="utf-8",
        )
        self.process = None
        self.start()

    def start(self):
        """Start the process with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        words = role["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        env = {
            **os.environ,
            "AZUREWOOD_SETTINGS": str(self._path),
            "PYTHONPATH": f"{ROOT / 'target/deps'}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("a") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.world.note(f"{self.name} starts")

    def kill(self):
        """End the process at once."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def lines(self):
        """Yield the decoded lines of the daemon's log."""
        for line in self._log.read_text("utf-8", "replace").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                continue

    def leads(self):
        """Return whether the daemon says that it leads."""
        found = [
            row["event"]
            for row in self.lines()
            if row.get("event") in ("term.leading", "term.over")
        ]
        return bool(found) and found[-1] == "term.leading"

    def call(self, method, path, body=None, timeout_s=3.0):
        """Make a client's call; return its status and body, or None."""
        conn = http.client.HTTPConnection(
            self.ip, self.front, timeout=timeout_s
        )
        data = None if body is None else json.dumps(body).encode()
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(timeout_s * 1000))}
        if data is not None:
            headers["Content-Type"] = "application/json"
        try:
            conn.request(method, path, data, headers)
            reply = conn.getresponse()
            found = reply.status, reply.read().decode()
        except (OSError, http.client.HTTPException) as exc:
            found = 0, type(exc).__name__
        finally:
            conn.close()
        self.world.note(
            f"client {method} {path} at {self.name}: {found[0]} {found[1]}"
        )
        return found

    def submit(self, queue, job_id, body):
        """Hand in a job and return the status of the answer."""
        self.world.jobs[job_id] = body
        return self.call("POST", f"/{queue}/{job_id}", body)[0]

    def state(self, queue, job_id):
        """Return the state that the daemon shows of a job."""
        status, body = self.call("GET", f"/{queue}/{job_id}")
        return json.loads(body)["state"] if status == 200 else status


def _free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def _json(status, value):
    return status, json.dumps(value).encode()


def run(case, folder):
    """Run a case and exit as the scripts have to.

    ``case`` gets the world and whether there is trouble, and returns whether
    the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder)
    try:
        held = case(world, trouble)
        world.note("the rule held" if held else "the rule was broken")
        status = 0 if held else 1
    except CannotRun:
        status = 2
    finally:
        world.close()
    sys.stdout.flush()
    os._exit(status)
