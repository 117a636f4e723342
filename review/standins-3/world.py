"""Stand-ins of the users' platform, written from its published protocol.

A store, the list of machines and workers, each served over HTTP on a loopback
address, and the daemons of the project as separate processes. Only the
standard library is used. A `World` keeps a record of what was sent, answered
and run.
"""

import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
MAX_HOLD_MS = 6000
HEARTBEAT_S = 1.5
MIGRATE_S = 1.5
STANDBY = "spare"
TICK_S = 0.02


class Record:
    """The lines of ``record.txt``, with the time since the start."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self):
        """Return the time since the start in seconds."""
        return time.monotonic() - self._began

    def add(self, who, text):
        """Write a line."""
        with self._lock:
            self._file.write(f"{self.now():9.3f} {who}: {text}\n")
            self._file.flush()


class Handler(http.server.BaseHTTPRequestHandler):
    """Passes calls to ``server.app``; answers with what it returns."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        """Log nothing."""

    def _serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        answer = self.server.app(self, body)
        if answer is None:
            self.close_connection = True
            return
        status, data = answer
        if not isinstance(data, bytes):
            data = json.dumps(data).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        self.wfile.write(head.encode() + data)

    def handle(self):
        """Serve a connection until it ends."""
        with contextlib.suppress(OSError):
            super().handle()

    do_GET = do_POST = do_DELETE = _serve


class Server(http.server.ThreadingHTTPServer):
    """An HTTP server that can be ended like a process that is killed."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, app, ip="127.0.0.1", port=0, channels=None):
        self.app = app
        self.connections = set()
        self.channels = channels
        self.resets = 0
        super().__init__((ip, port), Handler)
        self.address = f"{ip}:{self.server_address[1]}"
        threading.Thread(
            target=self.serve_forever, args=(0.05,), daemon=True
        ).start()

    def verify_request(self, request, client_address):
        """Reset a new connection if there are as many as allowed."""
        full = self.channels and len(self.connections) >= self.channels
        if full:
            self.resets += 1
            linger = struct.pack("ii", 1, 0)
            request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return False
        self.connections.add(request)
        return True

    def shutdown_request(self, request):
        """Close a connection; one that lingers for no time is reset."""
        self.connections.discard(request)
        self.close_request(request)

    def handle_error(self, request, client_address):
        """Ignore connections that were reset."""

    def kill(self):
        """Close the listener and reset all connections."""
        self.shutdown()
        self.server_close()
        for conn in list(self.connections):
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                conn.shutdown(socket.SHUT_RDWR)


class Proxy:
    """Passes connections on, until the machine that made them goes dark."""

    def __init__(self, target):
        self.target = target
        self._pairs = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            host, _, port = self.target.partition(":")
            try:
                far = socket.create_connection((host, int(port)), 2.0)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = {"near": near, "far": far, "dark": False}
            self._pairs.append(pair)
            for one, other in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(pair, one, other), daemon=True
                ).start()

    def _pump(self, pair, source, sink):
        try:
            while data := source.recv(65536):
                if pair["dark"]:
                    return
                sink.sendall(data)
        except OSError:
            pass
        if pair["dark"]:
            return
        linger = struct.pack("ii", 1, 0)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
        if pair in self._pairs:
            self._pairs.remove(pair)

    def lose_power(self):
        """Pass nothing more on from those that are connected now.

        The other end isn't told that they are gone.
        """
        count = 0
        for pair in list(self._pairs):
            if not pair["dark"]:
                pair["dark"] = True
                count += 1
        return count


class Part:
    """A partition of a topic."""

    def __init__(self, keyed):
        self.keyed = keyed
        self.first = 0
        self.records = []
        self.newest = {}
        self.producers = {}

    @property
    def end(self):
        """The offset of the next record."""
        return self.first + len(self.records)

    def add(self, records):
        """Append raw records and return the offset of the first."""
        offset = self.end
        for number, raw in enumerate(records):
            self.records.append((time.monotonic(), raw))
            if self.keyed:
                key = raw[1 : 1 + raw[0]].decode()
                value = raw[1 + raw[0] :]
                self.newest.pop(key, None)
                if value:
                    self.newest[key] = (offset + number, value)
        return offset


class Store:
    """The platform's store: topics of records, with conditional appends."""

    def __init__(self, *, keep_s=300.0, append_s=0.003):
        self.parts = {}
        self.lock = threading.Condition()
        self.keep_s = keep_s
        self.append_s = append_s
        self.server = Server(self.answer)
        self.address = self.server.address

    def part(self, topic, number=0):
        """Return a partition, which is created on first use."""
        key = (topic, number)
        if key not in self.parts:
            self.parts[key] = Part(topic.startswith("keyed."))
        found = self.parts[key]
        oldest = time.monotonic() - self.keep_s
        while found.records and found.records[0][0] < oldest:
            found.records.pop(0)
            found.first += 1
        return found

    def put(self, topic, key, value):
        """Write a keyed record, as the platform or the operator does."""
        name = key.encode()
        data = json.dumps(value).encode() if value is not None else b""
        with self.lock:
            self.part(topic).add([bytes((len(name),)) + name + data])
            self.lock.notify_all()

    def value(self, topic, key):
        """Return the newest value of a key, None without one."""
        with self.lock:
            found = self.part(topic).newest.get(key)
        return json.loads(found[1]) if found else None

    def answer(self, call, body):
        """Answer a call."""
        url = urllib.parse.urlsplit(call.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        match url.path:
            case "/api/log-append":
                time.sleep(self.append_s)
                with self.lock:
                    answer = self._append(query, body)
                    self.lock.notify_all()
                    return answer
            case "/api/log-read":
                return self._read(query)
            case "/api/log-newest":
                with self.lock:
                    return self._newest(query)
        return 404, {}

    def _append(self, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        found = self.part(query["topic"], int(query.get("part", 0)))
        records = []
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        if "at" in query and int(query["at"]) != found.end:
            return 412, {"end": found.end}
        if "producer" not in query:
            offset = found.add(records)
            return 200, {"offset": offset, "end": found.end}
        epoch, seq = int(query["epoch"]), int(query["seq"])
        known = found.producers.setdefault(
            query["producer"], {"epoch": -1, "seq": None, "answers": {}}
        )
        if epoch < known["epoch"]:
            return 409, {"reason": "fenced"}
        if epoch > known["epoch"]:
            known.update(epoch=epoch, seq=None, answers={})
        if not records:
            known["seq"] = seq
            return 200, {"offset": found.end, "end": found.end}
        if seq in known["answers"]:
            return 200, known["answers"][seq]
        if known["seq"] is not None and seq != known["seq"] + 1:
            return 409, {"reason": "seq", "seq": known["seq"] + 1}
        known["seq"] = seq
        offset = found.add(records)
        known["answers"][seq] = {"offset": offset, "end": found.end}
        for old in sorted(known["answers"])[:-5]:
            del known["answers"][old]
        return 200, known["answers"][seq]

    def _read(self, query):
        topic, number = query["topic"], int(query.get("part", 0))
        offset = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.lock:
            while True:
                found = self.part(topic, number)
                if offset < found.first:
                    return 410, {"first_offset": found.first}
                left = until - time.monotonic()
                if found.end > offset or left <= 0:
                    break
                self.lock.wait(min(left, 1.0))
            out = [struct.pack(">QQ", found.end, found.first)]
            size = 0
            for _, raw in found.records[offset - found.first :]:
                size += len(raw)
                if size > 1 << 20:
                    break
                out.append(struct.pack(">I", len(raw)) + raw)
        return 200, b"".join(out)

    def _newest(self, query):
        found = self.part(query["topic"], int(query.get("part", 0)))
        after = query.get("after", "")
        keys = sorted(key for key in found.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(found.newest[key][1]).decode(),
                "offset": found.newest[key][0],
            }
            for key in keys[:500]
        ]
        more = len(keys) > len(items)
        return 200, {"items": items, "has_more": more, "end": found.end}


class Run:
    """A run on a worker; it lasts if ``until`` is None."""

    def __init__(self, task, number, spec, now):
        self.task = task
        self.number = number
        self.began = now
        self.lasts = spec.startswith("last")
        ms = float(spec.partition("ms=")[2].split()[0]) if "ms=" in spec else 0
        self.until = None if self.lasts else now + ms / 1000
        self.stop_at = None


class Worker:
    """A worker on a machine of a pool: one life at a time."""

    def __init__(self, world, machine, *, cpu=64000, rack="r1"):
        self.world = world
        self.machine = machine
        self.cpu = cpu
        self.rack = rack
        self.id = f"i-{random.getrandbits(40):010x}"
        self.up = False
        self.state = "ready"
        self.lock = threading.Condition()
        self.server = None
        self.start()

    def start(self):
        """Begin a life, which knows nothing of those before."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.t0 = time.monotonic()
            self.fence = 0
            self.deadline_ms = 0
            self.runs = {}
            self.barred = {}
            self.ended = []
            self.count = 0
            self.acked = 0
            self.state = "ready"
            self.up = True
        self.server = Server(self.answer, channels=self.world.channels)
        self.address = self.server.address
        if self.world.with_proxies:
            self.proxy = Proxy(self.server.address)
            self.address = self.proxy.address
        self.publish()
        threading.Thread(
            target=self._live, args=(self.born,), daemon=True
        ).start()

    def crash(self):
        """End this life at once; whatever runs ends with it."""
        with self.lock:
            self.up = False
            lost = list(self.runs)
            self.runs = {}
        self.world.record.add(self.machine, f"crashed; it ran {lost}")
        for task in lost:
            self.world.on_end(self, task, 0, "crash")
        self.server.kill()

    def leave(self):
        """End this life as its machine is ordered away."""
        self.crash()
        self.world.store.put("keyed.servers", self.id, None)

    def clock_ms(self):
        """Return this life's clock."""
        return int((time.monotonic() - self.t0) * 1000)

    def publish(self):
        """Write the entry in the store."""
        entry = {
            "service": self.world.machines[self.machine]["pool"],
            "addr": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
            "labels": ["a", self.rack],
            "born": self.born,
            "seq": 1,
        }
        self.world.store.put("keyed.servers", self.id, entry)

    def _live(self, born):
        last = time.monotonic()
        while self.up and self.born == born:
            time.sleep(TICK_S)
            now = time.monotonic()
            with self.lock:
                if not (self.up and self.born == born):
                    return
                if self.runs and self.clock_ms() > self.deadline_ms:
                    for run in list(self.runs.values()):
                        self._end(run, "lapsed")
                for run in list(self.runs.values()):
                    if run.stop_at is not None and now >= run.stop_at:
                        self._end(run, "stopped")
                    elif run.until is not None and now >= run.until:
                        self._end(run, "done")
            if now - last > HEARTBEAT_S:
                last = now
                self.publish()

    def _end(self, run, how):
        del self.runs[run.task]
        self.count += 1
        self.ended.append([self.count, run.task, run.number, how, ""])
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.world.on_end(self, run.task, run.number, how)
        self.lock.notify_all()

    def answer(self, call, body):
        """Answer a call."""
        if call.headers.get("X-Target-Instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        ask = json.loads(body) if body else {}
        path = call.path
        with self.lock:
            if not self.up:
                return None
            fence = ask.get("fence", 0)
            if fence < self.fence:
                self.world.record.add(self.machine, f"{path} {ask} -> fence")
                return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
            self.fence = fence
            if "deadline_ms" in ask:
                most = self.clock_ms() + MAX_HOLD_MS
                self.deadline_ms = max(
                    self.deadline_ms, min(most, ask["deadline_ms"])
                )
            match path:
                case "/api/run-start":
                    return self._start(ask)
                case "/api/run-stop":
                    return self._stop(ask)
                case "/api/pace":
                    return 200, {"clock_ms": self.clock_ms()}
                case "/api/hold":
                    return self._hold(ask)
        return 404, {}

    def _start(self, ask):
        task, number = ask["task"], ask["run"]
        clock = {"clock_ms": self.clock_ms()}
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, clock
        if number <= self.barred.get(task, 0) or (
            known is not None and number < known.number
        ):
            return 409, clock | {"reason": "old"}
        if ask["deadline_ms"] <= clock["clock_ms"]:
            return 409, clock | {"reason": "late"}
        self.world.on_start(self, ask)
        self.runs[task] = Run(task, number, ask["spec"], time.monotonic())
        return 200, clock

    def _stop(self, ask):
        task, number = ask["task"], ask["run"]
        self.world.on_stop(self, ask)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            if run.stop_at is None:
                run.stop_at = time.monotonic() + 0.1
        else:
            self.barred[task] = max(number, self.barred.get(task, 0))
        return 200, {"clock_ms": self.clock_ms()}

    def _hold(self, ask):
        cursor = ask.get("ack_cursor", 0)
        if cursor > self.acked:
            taken = [e for e in self.ended if e[0] <= cursor]
            self.acked = cursor
            self.ended = [e for e in self.ended if e[0] > cursor]
            for end in taken:
                self.world.on_ack(self, end)
        until = time.monotonic() + min(2000, ask.get("wait_ms", 0)) / 1000
        born = self.born
        while self.up and self.born == born and not self.ended:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(left)
        if not self.up or self.born != born:
            return None
        rows = [
            [r.task, r.number, "", 100 if self._works(r) else 0, 0]
            for r in self.runs.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": rows,
            "ended_runs": self.ended[:500],
        }

    def _works(self, run):
        return time.monotonic() > run.began + 0.5


class Daemon:
    """A daemon of the project, as the deploy file starts it."""

    def __init__(self, world, number, folder):
        self.world = world
        self.name = f"m{number}"
        self.ip = f"127.{world.net}.{number}.1"
        self.front = f"{self.ip}:8624"
        self._path = pathlib.Path(folder) / f"{self.name}.yaml"
        self._path.write_text(json.dumps(world.settings(self)))
        path = pathlib.Path(folder) / f"{self.name}.log"
        self._log = path.open("ab")  # noqa: SIM115
        self.process = None

    def start(self):
        """Start the process."""
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["AZUREWOOD_SETTINGS"] = str(self._path)
        self.process = subprocess.Popen(
            ["python3", "-m", "azurewood.commands.fleet_process"],
            cwd=ROOT,
            env=env,
            stdout=self._log,
            stderr=self._log,
        )
        self.world.record.add(self.name, f"started at {self.ip}")

    def signal(self, number):
        """Send a signal."""
        self.world.record.add(self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def lines(self):
        """Yield the decoded lines of the log."""
        self._log.flush()
        text = pathlib.Path(self._log.name).read_text("utf-8", "replace")
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                yield json.loads(line)


class World:
    """A small deployment: store, machines, workers, daemons and a caller."""

    def __init__(
        self,
        folder,
        pools,
        *,
        queues,
        keep_s=300.0,
        status_s=120,
        channels=None,
        with_proxies=False,
    ):
        self.channels = channels
        self.with_proxies = with_proxies
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self._tmp = tempfile.TemporaryDirectory()
        self.tmp = pathlib.Path(self._tmp.name)
        self.net = 2 + os.getpid() % 250
        self.lock = threading.RLock()
        self.status_s = status_s
        self.machines = {}
        self.order_log = []
        self.starts = []
        self.ends = []
        self.acks = []
        self.stops = []
        self.store = Store(keep_s=keep_s)
        self.cloud = Server(self._cloud)
        self.workers = {}
        self.queues = queues
        self.pools = pools
        self.version = 0
        for pool, count in pools.items():
            for number in range(count):
                name = f"mc-{pool}-{number}"
                self.machines[name] = {"pool": pool, "state": "up"}
                self._boot(name)
        self.configure()
        self.daemons = []

    # The platform

    def settings(self, daemon):
        """Return the settings of a daemon, as the platform writes them."""
        return {
            "node": daemon.name,
            "role": "entry",
            "class": "edge",
            "zone": "a",
            "ip": daemon.ip,
            "listen": {
                "front": daemon.front,
                "ready": f"{daemon.ip}:8622",
            },
            "limits": {"cpu_share": 0.537, "vcpus": 2, "memory_mb": 300},
            "bounds": {
                "grace_s": 6,
                "lease_ms": 3000,
                "status_s": self.status_s,
                "hold_max_ms": MAX_HOLD_MS,
            },
            "platform": {
                "addr": self.store_address(daemon),
                "parts": 16,
                "record_bytes": 262144,
                "keep_s": self.store.keep_s,
            },
            "cloud": {"addr": self.cloud.address},
            "hint": None,
        }

    def store_address(self, daemon):
        """Return where a daemon reaches the store."""
        return self.store.address

    def configure(self, **changes):
        """Write the next version of the manifest."""
        self.version += 3
        routes = [
            {
                "name": name,
                "host": f"{name}.example",
                "path_prefix": f"/{name}/",
                "priority": 0,
                "attempts": 2,
                "slo_factor": 1.5,
                "slo_ms": 1000,
                "service": pool,
            }
            for name, pool in self.queues.items()
        ]
        services = [
            {
                "name": pool,
                "enforce_capacity": False,
                "standby": pool == STANDBY,
            }
            for pool in self.pools
        ]
        manifest = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"body_bytes": 262144},
        } | changes
        self.store.put("keyed.op", "config", manifest)

    def _id_on(self, name):
        worker = self.workers.get(name)
        return worker.id if worker is not None else None

    def _cloud(self, call, body):
        if call.path.startswith("/api/machines"):
            with self.lock:
                nodes = [
                    {
                        "machine": name,
                        "pool": entry["pool"],
                        "state": entry["state"],
                        "zone": "a",
                        "labels": ["a"],
                        "capacity": {
                            "cpu": 64000,
                            "mem_mb": 131072,
                            "gpu": 0,
                        },
                        "id": self._id_on(name),
                    }
                    for name, entry in self.machines.items()
                ]
            return 200, {"nodes": nodes, "next_token": None}
        ask = json.loads(body)
        holder = call.headers.get("X-Lease-Holder")
        fence = int(call.headers.get("X-Fencing-Token"))
        with self.lock:
            self.order_log.append(
                (time.monotonic(), ask["machine"], holder, fence, call.path)
            )
            status, answer = self._order(call.path, ask)
        self.record.add(
            "cloud", f"{call.path} {ask} by {holder} {fence} -> {status}"
        )
        return status, answer

    def _order(self, path, ask):
        """Carry out an order; only moves are known here."""
        name, pool = ask["machine"], ask.get("pool")
        entry = self.machines.get(name)
        if entry is None or pool not in self.pools:
            return 400, {}
        if not path.endswith("machine-move"):
            return 409, {"reason": "wave"}
        if entry["pool"] == pool:
            return 200, {}
        if entry["state"] != "up":
            return 409, {"reason": "busy"}
        entry.update(pool=pool, state="moving")
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.leave()
        timer = threading.Timer(MIGRATE_S, self._arrive, (name,))
        timer.daemon = True
        timer.start()
        return 200, {}

    def _arrive(self, name):
        self._boot(name)
        self.machines[name]["state"] = "up"

    def _boot(self, name):
        """Start a machine's worker, unless its pool is off."""
        if self.machines[name]["pool"] != STANDBY:
            rack = f"r{int(name.rpartition('-')[2]) % 3}"
            self.workers[name] = Worker(self, name, rack=rack)

    def crash(self, machine, for_s=None):
        """Crash a machine's worker; another life begins after a time.

        Without a time it is lost for good, and its machine with it.
        """
        worker = self.workers[machine]
        with self.lock:
            self.machines[machine]["state"] = "down"
            if for_s is None:
                del self.machines[machine]
                del self.workers[machine]
        worker.crash()
        delay = 3 * HEARTBEAT_S if for_s is None else for_s

        def over():
            if for_s is None:
                self.store.put("keyed.servers", worker.id, None)
                return
            self.record.add(machine, "its worker is up again")
            worker.start()
            self.machines[machine]["state"] = "up"

        timer = threading.Timer(delay, over)
        timer.daemon = True
        timer.start()

    # What workers tell

    def on_start(self, worker, ask):
        """Note that a work item begins."""
        self.record.add(
            worker.machine,
            f"starts {ask['task']} run {ask['run']} fence {ask['fence']}",
        )
        with self.lock:
            self.starts.append((time.monotonic(), worker, dict(ask)))

    def on_stop(self, worker, ask):
        """Note that a work item is told to stop."""
        here = ask["task"] in worker.runs
        step = ask["task"].rpartition(".")[0] + "."
        others = len(self.running(step)) - here
        self.record.add(
            worker.machine,
            f"told to stop {ask['task']} run {ask['run']} fence"
            f" {ask['fence']}; it is {'' if here else 'not '}there",
        )
        with self.lock:
            self.stops.append(
                (time.monotonic(), worker, dict(ask), here, others)
            )

    def on_end(self, worker, task, run, how):
        """Note that a run has ended."""
        self.record.add(worker.machine, f"{task} run {run} ended {how}")
        with self.lock:
            self.ends.append((time.monotonic(), worker, task, run, how))

    def on_ack(self, worker, end):
        """Note that an end was taken note of."""
        self.record.add(worker.machine, f"end taken note of: {end}")
        with self.lock:
            self.acks.append((time.monotonic(), worker, end))

    def running(self, prefix=""):
        """Return the machines and names of the work items that run."""
        return {
            task: name
            for name, worker in self.workers.items()
            for task in list(worker.runs)
            if task.startswith(prefix)
        }

    # The caller

    def ask(self, daemon, method, path, body=None, timeout=3.0, headers=None):
        """Make a call as a client; return status and body, None if none."""
        queue = path.split("/")[1]
        heads = {
            "Host": f"{queue}.example",
            "X-Deadline-Ms": str(int(timeout * 1000)),
        } | (headers or {})
        data = json.dumps(body) if body is not None else None
        if data is not None:
            heads["Content-Type"] = "application/json"
        host, _, port = daemon.front.partition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
        try:
            conn.request(method, path, data, heads)
            answer = conn.getresponse()
            text = answer.read().decode("utf-8", "replace").strip()
            found = (answer.status, text)
        except OSError as exc:
            found = (None, type(exc).__name__)
        except http.client.HTTPException as exc:
            found = (None, type(exc).__name__)
        finally:
            conn.close()
        self.record.add(
            "client", f"{method} {path} at {daemon.name} -> {found}"
        )
        return found

    # The daemons

    def start_daemons(self, count, within_s=15.0):
        """Start daemons and wait until each answers that it is ready."""
        folder = self.tmp
        for number in range(1, count + 1):
            daemon = Daemon(self, number, folder)
            self.daemons.append(daemon)
            daemon.start()
        return self.wait(
            lambda: all(self.is_ready(d) for d in self.daemons), within_s
        )

    def is_ready(self, daemon):
        """Return whether a daemon reports that it is ready."""
        conn = http.client.HTTPConnection(daemon.ip, 8622, timeout=1.0)
        try:
            conn.request("GET", "/api/readyz")
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()

    def leader(self):
        """Return the daemon that appended the newest claim, if it is up."""
        best = None
        for daemon in self.daemons:
            for line in daemon.lines():
                leads = line.get("event") == "term.leading"
                if leads and (best is None or line["term"] > best[0]):
                    best = (line["term"], daemon)
        return best[1] if best else None

    def wait(self, check, within_s):
        """Wait until a check is true; return whether it was in time."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if check():
                return True
            time.sleep(0.05)
        return False

    def close(self):
        """End all processes and servers."""
        for daemon in self.daemons:
            daemon.kill()
        for worker in self.workers.values():
            worker.up = False
        self._tmp.cleanup()
