"""Stand-in of the users' platform: store, machines and workers.

It follows the published protocol and needs the standard library only. All of
it runs in one event loop, beside the clients of a case. Every server listens
on a loopback address.
"""

import asyncio
import base64
import collections
import json
import struct
import time
import urllib.parse

APPEND_S = 0.003
"""Time in which a partition carries out one append."""
RECORD_BYTES = 262144
CALL_BYTES = 2097152
HEARTBEAT_S = 1.5
MAX_LEASE_MS = 6000
STOP_S = 0.2
STARTUP_S = 0.3
"""Time until a work item that lasts is at work."""
MAINTENANCE_S = 2.0
MAX_ENDS = 500
CALLER = "caller"
"""Key under which a handler finds the reader of its caller's connection."""
NO_ANSWER = (None, None)
"""Answer of a handler that leaves its request without one."""


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


class HttpServer:
    """Serves HTTP/1.1 with a coroutine that returns status and body."""

    def __init__(self, ip, handler):
        self.ip = ip
        self.port = 0
        self._handler = handler
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """Where the server listens."""
        return f"{self.ip}:{self.port}"

    async def open(self):
        """Listen, at the earlier port if there was one."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self):
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                headers[CALLER] = reader
                status, data = await self._handler(
                    method, target, headers, body
                )
                if status is None:
                    await asyncio.sleep(3600)
                if isinstance(data, dict):
                    data = json.dumps(data).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Partition:
    """One partition of a topic of the store."""

    def __init__(self, *, keyed):
        self.keyed = keyed
        self.records = []
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    def add(self, records):
        """Append records and return the offset of the first one."""
        offset = len(self.records)
        for record in records:
            if self.keyed:
                size = record[0]
                key = record[1 : 1 + size].decode()
                value = record[1 + size :]
                self.newest.pop(key, None)
                if value:
                    self.newest[key] = (len(self.records), value)
            self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Store:
    """The platform's store: a log with topics and partitions.

    Calls to the topics in ``down`` are answered with 503.
    """

    def __init__(self, ip, note):
        self.server = HttpServer(ip, self._handle)
        self._note = note
        self._parts = {}
        self.refused = collections.Counter()
        self.down = set()

    def partition(self, topic, part=0):
        """Return a partition, which is created on first use."""
        key = (topic, part)
        if key not in self._parts:
            keyed = topic.startswith("keyed.")
            self._parts[key] = Partition(keyed=keyed)
        return self._parts[key]

    def value(self, topic, key):
        """Return the newest value of a key, None if there is none."""
        found = self.partition(topic).newest.get(key)
        return json.loads(found[1]) if found is not None else None

    def put(self, topic, key, value):
        """Write a record as the operator or a worker does."""
        name = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        self.partition(topic).add([bytes((len(name),)) + name + data])

    async def _handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        if args["topic"] in self.down:
            return 503, {}
        part = self.partition(args["topic"], int(args.get("part", 0)))
        match path:
            case "/api/log-append":
                return await self._append(part, args, body)
            case "/api/log-read":
                return await self._read(part, args)
            case "/api/log-newest":
                return self._newest(part, args)
        return 404, {}

    async def _append(self, part, args, body):
        records = list(_split(body))
        too_large = any(len(one) > RECORD_BYTES for one in records)
        if too_large or sum(map(len, records)) > CALL_BYTES:
            topic = args["topic"]
            self.refused[topic] += 1
            if self.refused[topic] in (1, 10, 100):
                size = max(map(len, records))
                self._note(
                    f"store refused append {self.refused[topic]} to {topic}:"
                    f" a record has {size} bytes, {RECORD_BYTES} are allowed"
                )
            return 413, {}
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            return self._carry_out(part, args, records)

    def _carry_out(self, part, args, records):
        if "at" in args and int(args["at"]) != len(part.records):
            return 412, {"end": len(part.records)}
        if "producer" not in args:
            return self._appended(part, records)
        epoch, seq = int(args["epoch"]), int(args["seq"])
        known = part.producers.setdefault(
            args["producer"], {"epoch": -1, "seq": None, "answers": {}}
        )
        if epoch < known["epoch"]:
            return 409, {"reason": "fenced"}
        if epoch > known["epoch"]:
            known.update(epoch=epoch, seq=None, answers={})
        if not records:
            known["seq"] = seq if known["seq"] is None else known["seq"]
            return self._appended(part, records)
        if seq in known["answers"]:
            return known["answers"][seq]
        if known["seq"] is not None and seq != known["seq"] + 1:
            return 409, {"reason": "seq", "seq": known["seq"] + 1}
        known["seq"] = seq
        answer = self._appended(part, records)
        known["answers"][seq] = answer
        known["answers"].pop(seq - 5, None)
        return answer

    def _appended(self, part, records):
        offset = part.add(records)
        return 200, {"offset": offset, "end": len(part.records)}

    async def _read(self, part, args):
        offset = int(args["from"])
        end = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
        while len(part.records) <= offset:
            left = end - time.monotonic()
            if left <= 0:
                break
            if args["topic"] in self.down:
                return 503, {}
            try:
                await asyncio.wait_for(part.grown.wait(), left)
            except TimeoutError:
                break
        data = [struct.pack(">QQ", len(part.records), 0)]
        room = int(args.get("max_kb", 1024)) * 1024
        for record in part.records[offset:]:
            room -= len(record) + 4
            if room < 0 and len(data) > 1:
                break
            data.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(data)

    def _newest(self, part, args):
        keys = sorted(k for k in part.newest if k > args.get("after", ""))
        items = []
        size = 0
        for key in keys[:MAX_ENDS]:
            offset, value = part.newest[key]
            size += len(value)
            if size > 1 << 20 and items:
                break
            data = base64.b64encode(value).decode()
            items.append({"key": key, "value": data, "offset": offset})
        more = len(items) < len(keys)
        end = len(part.records)
        return 200, {"items": items, "has_more": more, "end": end}


def _split(body):
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        yield body[position + 4 : position + 4 + length]
        position += 4 + length


class Worker:
    """A worker: one life of a machine, which may start again under its id.

    A spec is JSON; its ``ms`` is how long a work item runs, 0 for one that
    lasts until it is stopped. While ``fails_starts``, it does nothing of what
    it is told to start and answers 503. While ``is_cut``, nothing reaches it
    and its entry isn't written. Each figure in ``late_after_s`` is for one
    start of the job ``late_job``, which gets no answer and is carried out so
    much later.
    """

    def __init__(self, *, ip, id, machine, service, rack, store, note):
        self.id = id
        self.machine = machine
        self.service = service
        self.rack = rack
        self.capacity = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}
        self.up = False
        self.fails_starts = False
        self.tickets = None
        self.is_cut = False
        self.late_after_s = []
        self.late_job = ""
        self.on_start = lambda worker, task, run: None
        self.on_end = lambda worker, task, run, how: None
        self.on_noted = lambda worker, task, run, how: None
        self.server = HttpServer(ip, self._handle)
        self._store = store
        self._note = note
        self._tasks = set()
        self._late = []
        self._reset()

    def _reset(self):
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.runs = {}
        self._born_at = time.monotonic()
        self._ends = []
        self._next_end = 1
        self._barred = {}
        self._deadline_ms = 0
        self._ended = asyncio.Event()

    def clock_ms(self):
        """Return the time of the worker's own clock."""
        return int((time.monotonic() - self._born_at) * 1000)

    async def start(self):
        """Begin a lifetime, which knows nothing of an earlier one."""
        self._reset()
        await self.server.open()
        self.up = True
        if not self.is_cut:
            self._publish()
        for loop in (self._heartbeat, self._watch_lease):
            self._spawn(loop())

    def crash(self):
        """End at once, without a word; behind a cut nobody sees it."""
        self.up = False
        if not self.is_cut:
            self.server.close()
        lost = list(self.runs)
        self.runs = {}
        for task in list(self._tasks):
            task.cancel()
        for task, run in lost:
            self.on_end(self, task, run, "lost with the worker")

    def unregister(self):
        """Remove the entry, as the platform does after a silence."""
        self._store.put("keyed.servers", self.id, None)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _publish(self):
        entry = {
            "service": self.service,
            "addr": self.server.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_ms": 0,
            "seq": int(time.monotonic() * 1000),
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "clock_ms": self.clock_ms(),
            "born": self.born,
        }
        self._store.put("keyed.servers", self.id, entry)

    async def _heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_cut:
                self._publish()

    def reconnect(self):
        """End a cut; connections of before are reset."""
        self.is_cut = False
        self.server.reset()
        self._publish()

    async def _carry_out_late(self, body, seconds):
        await asyncio.sleep(seconds)
        if self.up and body["fence"] >= self.fence:
            self.fence = body["fence"]
            status, answer = self._start_run(body)
            self._note(f"{self.id}: late start of {body['task']}: {answer}")

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms() >= self._deadline_ms:
                for key in list(self.runs):
                    self._end(key, "lapsed")

    def _extend(self, body):
        longest = self.clock_ms() + MAX_LEASE_MS
        until = min(body.get("deadline_ms", 0), longest)
        self._deadline_ms = max(self._deadline_ms, until)

    def _end(self, key, how):
        if key not in self.runs:
            return
        del self.runs[key]
        task, run = key
        self._barred[task] = max(run, self._barred.get(task, 0))
        self._ends.append([self._next_end, task, run, how, ""])
        self._next_end += 1
        self._ended.set()
        self._ended = asyncio.Event()
        self.on_end(self, task, run, how)

    async def _end_later(self, key, seconds, how):
        await asyncio.sleep(seconds)
        self._end(key, how)

    async def _handle(self, method, target, headers, body):
        if self.is_cut:
            return NO_ANSWER
        if headers.get("x-target-instance") != self.id:
            return 421, {}
        body = json.loads(body)
        named = body.get("task", "").startswith(self.late_job)
        if target == "/api/run-start" and self.late_after_s and named:
            late = self._carry_out_late(body, self.late_after_s.pop(0))
            # It goes on when this lifetime ends.
            self._late.append(asyncio.ensure_future(late))
            self._note(f"{self.id} leaves the start of {body['task']} open")
            return NO_ANSWER
        if body.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        match target:
            case "/api/run-start":
                return self._start_run(body)
            case "/api/run-stop":
                return self._stop_run(body)
            case "/api/hold":
                return await self._hold(body)
            case "/api/pace":
                return 200, {"clock_ms": self.clock_ms()}
        return 404, {}

    def _start_run(self, body):
        key = (body["task"], body["run"])
        answer = {"clock_ms": self.clock_ms()}
        if self.fails_starts:
            return 503, {}
        if key in self.runs:
            return 200, answer
        if self.tickets is not None and self.tickets != body.get("ticket"):
            return 409, answer | {"reason": "ticket"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, answer | {"reason": "late"}
        self._extend(body)
        if body["run"] <= self._barred.get(body["task"], 0):
            return 409, answer | {"reason": "old"}
        self.runs[key] = time.monotonic()
        self.on_start(self, *key)
        length_ms = json.loads(body["spec"])["ms"]
        if length_ms:
            self._spawn(self._end_later(key, length_ms / 1000, "done"))
        return 200, answer

    def _stop_run(self, body):
        task, run = body["task"], body["run"]
        self._barred[task] = max(run, self._barred.get(task, 0))
        if (task, run) in self.runs:
            self._spawn(self._end_later((task, run), STOP_S, "stopped"))
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, body):
        born = self.born
        self._extend(body)
        for row in self._ends:
            if row[0] <= body["ack_cursor"]:
                self.on_noted(self, row[1], row[2], row[3])
        self._ends = [e for e in self._ends if e[0] > body["ack_cursor"]]
        if not self._ends and body.get("wait_ms"):
            try:
                wait_s = body["wait_ms"] / 1000
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except TimeoutError:
                pass
        if self.is_cut or not self.up or self.born != born:
            return NO_ANSWER
        now = time.monotonic()
        running = [
            [task, run, "", 100 if now - at >= STARTUP_S else 0, 0]
            for (task, run), at in self.runs.items()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended_runs": self._ends[:MAX_ENDS],
        }


class Advice:
    """The service that knows which workers may run a queue's steps.

    It approves the workers in ``approved``, for all steps alike. It handles
    one call at a time for each calling machine, in turn; with ``MAX_WAITING``
    calls waiting it answers 429. It skips a call whose caller has left.
    """

    VALIDITY_MS = 3000
    MAX_WAITING = 32

    def __init__(self, ip, workers, note):
        self.server = HttpServer(ip, self._handle)
        self.approved = []
        self.decision_ms = 20
        self.per_item_ms = 1
        self.quiet = False
        self.handled = 0
        self.refused = 0
        self.skipped = 0
        self._workers = workers
        self._note = note
        self._turns = collections.defaultdict(asyncio.Lock)
        self._waiting = collections.Counter()

    async def _handle(self, method, target, headers, body):
        # The leader's machine is the only one that calls.
        turn = self._turns["leader"]
        if self._waiting["leader"] >= self.MAX_WAITING:
            self.refused += 1
            return 429, {}
        self._waiting["leader"] += 1
        async with turn:
            self._waiting["leader"] -= 1
            caller = headers[CALLER]
            if caller.at_eof() or caller.exception() is not None:
                self.skipped += 1
                return 503, {}
            return await self._decide(json.loads(body)["workers"])

    async def _decide(self, asked):
        length_ms = self.decision_ms + self.per_item_ms * len(asked)
        await asyncio.sleep(length_ms / 1000)
        self.handled += 1
        rows = []
        for worker in self.approved:
            if worker.id in asked:
                worker.tickets = f"ticket-{worker.id}"
                rows.append([worker.id, worker.tickets])
        if not self.quiet:
            self._note(f"advice on {len(asked)} workers: {rows}")
        return 200, {"approved": rows, "validity_ms": self.VALIDITY_MS}


class Cloud:
    """The platform's interface for machines.

    While ``down``, it answers every call with 503.
    """

    def __init__(self, ip, workers, note):
        self.server = HttpServer(ip, self._handle)
        self.down = False
        self.on_upkeep = lambda worker: None
        self._workers = workers
        self._note = note
        self._done = set()
        self._upkeep = set()
        self._tasks = set()

    async def _handle(self, method, target, headers, body):
        if self.down:
            return 503, {}
        if target.startswith("/api/machines"):
            nodes = [self._entry(worker) for worker in self._workers]
            return 200, {"nodes": nodes, "next_token": None}
        body = json.loads(body)
        found = [w for w in self._workers if w.machine == body["machine"]]
        if not found or target != "/api/machine-upkeep":
            return 400, {}
        return self._begin_upkeep(found[0], body["tranche"])

    def _begin_upkeep(self, worker, number):
        if (worker.machine, number) in self._done:
            return 200, {}
        if not worker.up:
            return 409, {"reason": "busy"}
        self._done.add((worker.machine, number))
        self._note(f"upkeep of {worker.machine} begins")
        self.on_upkeep(worker)
        task = asyncio.ensure_future(self._carry_out(worker))
        self._tasks.add(task)
        return 200, {}

    async def _carry_out(self, worker):
        self._upkeep.add(worker.machine)
        worker.crash()
        worker.unregister()
        await asyncio.sleep(MAINTENANCE_S)
        worker.id += "-n"
        await worker.start()
        self._upkeep.discard(worker.machine)

    def _entry(self, worker):
        state = "up" if worker.up else "down"
        if worker.machine in self._upkeep:
            state = "upkeep"
        return {
            "machine": worker.machine,
            "pool": worker.service,
            "state": state,
            "zone": "a",
            "labels": ["a", worker.rack],
            "capacity": worker.capacity,
            "id": worker.id if worker.up else None,
        }
