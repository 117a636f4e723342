"""Stand-in for the users' platform over HTTP: store, hosts and machines.

It serves the published protocol from the in-memory stand-in, whose clock
follows real time.
"""

import base64
import struct
import threading
import time

import msgspec
from werkzeug import wrappers

from azurewood.http import server
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.scheduling import messages
from standins.fleet import world as worlds

TOPICS = {
    "keyed.jobs": pages.Topic.JOBS,
    "keyed.intake": pages.Topic.INTAKE,
    "keyed.progress": pages.Topic.PROGRESS,
    "leader": pages.Topic.LEADER,
    "keyed.op": pages.Topic.OPERATORS,
    "keyed.servers": pages.Topic.HOSTS,
    "keyed.status": pages.Topic.REPORTS,
}


class HttpWorld(worlds.World):
    """A world without daemons, whose store holds encoded records."""

    def publish_entry(self, host):
        """Write a host's entry in the platform's format."""
        entry = {
            "service": host.service,
            "addr": host.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "draining" if host.draining else "ready",
            "cold_ms": 0,
            "capacity": {
                "cpu": host.capacity.cpu,
                "mem_mb": host.capacity.memory_mb,
                "gpu": 0,
            },
            "labels": list(host.labels),
            "clock_ms": host.clock_ms(),
            "born": host.incarnation_ms,
            "seq": 1,
        }
        record = appender.Record(key=host.id, value=msgspec.json.encode(entry))
        self.store.add(pages.Topic.HOSTS, (record,))


class Server:
    """Serves store, hosts and machines at one address.

    The header ``X-Target-Instance`` names the incarnation of a host that a
    call is meant for. ``canned_responses`` maps paths to responses that are
    sent instead of the real ones.
    """

    def __init__(self, *, port, pools, ip="127.0.0.1", world=HttpWorld):
        self.lock = threading.RLock()
        self.world = world(seed=1, members=0, pools=pools)
        self.started_at = time.monotonic()
        self.canned_responses = {}
        self.calls = []
        self.address = f"{ip}:{port}"
        self.listener = server.make(
            host=ip,
            port=port,
            application=self,
            threads=24,
            timeout_s=5.0,
            max_header_bytes=16384,
            max_body_bytes=1 << 21,
        )
        for host in self.world.hosts.values():
            host.address = self.address
            self.world.publish_entry(host)
        threading.Thread(target=self.listener.serve, daemon=True).start()

    def stop(self):
        """Stop serving."""
        self.listener.stop()

    def advance(self):
        """Advance the world's clock to real time."""
        end = 1000.0 + time.monotonic() - self.started_at
        for host in self.world.hosts.values():
            host.address = self.address
        self.world.clock.run_until(end)

    def write_operator_record(self, topic, key, value):
        """Write a record to the store, as operators do."""
        with self.lock:
            self.advance()
            record = appender.Record(key=key, value=msgspec.json.encode(value))
            self.world.store.add(topic, (record,))

    def __call__(self, environ, start_response):
        """Serve a call, with a canned response if its path has one."""
        req = wrappers.Request(environ)
        with self.lock:
            self.calls.append(req.path)
        response = self.canned_responses.get(req.path) or self._answer(req)
        return response(environ, start_response)

    def _answer(self, req):
        match req.path:
            case "/api/log-append":
                return self._call_locked(self._append, req)
            case "/api/log-read":
                return self._read(req)
            case "/api/log-newest":
                return self._call_locked(self._newest, req)
            case "/api/run-start" | "/api/run-stop" | "/api/pace":
                return self._call_locked(self._run, req)
            case "/api/hold":
                return self._renew_lease(req)
            case "/api/machines":
                return self._call_locked(self._machines, req)
            case "/api/machine-move" | "/api/machine-upkeep":
                return self._call_locked(self._order, req)
        return wrappers.Response(status=404)

    def _call_locked(self, handler, req):
        with self.lock:
            self.advance()
            return handler(req)

    def _append(self, req):
        store = self.world.store
        topic = TOPICS[req.args["topic"]]
        part = int(req.args["part"])
        records = tuple(read_records(req.args["topic"], req.get_data()))
        if "at" in req.args:
            result = store.append_at(topic, records[0], int(req.args["at"]))
        elif "producer" in req.args:
            result = store.append(
                topic,
                records,
                req.args["producer"],
                int(req.args["epoch"]),
                int(req.args["seq"]),
                part,
            )
        else:
            result = store.add(topic, records, part)
        match result:
            case appender.Appended(offset=offset, end=end):
                return _json(200, {"offset": offset, "end": end})
            case appender.Fenced():
                return _json(409, {"reason": "fenced"})
            case appender.Conflict(reason="condition", end=end):
                return _json(412, {"end": end})
            case _:
                return _json(409, {"reason": "seq"})

    def _read(self, req):
        topic = TOPICS[req.args["topic"]]
        part = int(req.args["part"])
        offset = int(req.args["from"])
        until = time.monotonic() + int(req.args.get("wait_ms", 0)) / 1000
        while True:
            with self.lock:
                self.advance()
                page = self.world.store.read(topic, offset, part)
            if isinstance(page, pages.Trimmed):
                return _json(410, {"first_offset": page.first})
            if page.records or time.monotonic() >= until:
                return wrappers.Response(_page(req.args["topic"], page))
            time.sleep(0.005)

    def _newest(self, req):
        topic = TOPICS[req.args["topic"]]
        part = int(req.args["part"])
        after = req.args.get("after", "")
        page = self.world.store.newest(topic, after, part)
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": offset,
            }
            for offset, record in zip(page.offsets, page.records, strict=True)
        ]
        body = {"items": items, "has_more": page.more, "end": page.end}
        return _json(200, body)

    def _host(self, req):
        return self.world.hosts[req.headers["X-Target-Instance"]]

    def _run(self, req):
        body = msgspec.json.decode(req.get_data())
        host = self._host(req)
        task = task_id(body["task"])
        if req.path == "/api/run-start":
            effect = messages.StartRun(
                host=host.id,
                fence=body["fence"],
                incarnation_ms=host.incarnation_ms,
                address="",
                task=task,
                run=body["run"],
                payload=body["spec"],
                saved=body.get("last_checkpoint", ""),
                lease_until_ms=body["deadline_ms"],
            )
            step = self.world.rules.asked[task.job].steps[task.step]
            refusal = host.start(effect, body["fence"], step)
        else:
            refusal = host.stop(task, body["run"], body["fence"])
        answer = {"clock_ms": host.clock_ms()}
        if refusal is not None:
            return _json(409, answer | {"reason": refusal.value})
        return _json(200, answer)

    def _renew_lease(self, req):
        body = msgspec.json.decode(req.get_data())
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        with self.lock:
            self.advance()
            host = self._host(req)
            if self._begin_renewal(host, body) is not None:
                return _json(409, {"reason": "fence"})
        while True:
            with self.lock:
                self.advance()
                if host.has_ends() or time.monotonic() >= until:
                    return _json(200, _listing(host))
            time.sleep(0.005)

    def _begin_renewal(self, host, body):
        """Renew a lease and return the refusal; the list is sent later."""
        effect = messages.RenewLease(
            host="",
            address="",
            number=1,
            fence=body["fence"],
            acknowledged=body["ack_cursor"],
            lease_until_ms=body.get("deadline_ms"),
            wait_ms=0,
        )
        return host.renew_lease(effect, body["fence"])

    def _machines(self, req):
        nodes = [
            {
                "machine": entry.name,
                "pool": entry.pool,
                "state": entry.state.value,
                "zone": entry.zone,
                "labels": [],
                "capacity": {"cpu": 4000, "mem_mb": 8000, "gpu": 0},
                "id": entry.host or None,
            }
            for entry in self.world.machines.values()
        ]
        return _json(200, {"nodes": nodes, "next_token": None})

    def _order(self, req):
        body = msgspec.json.decode(req.get_data())
        fence = int(req.headers["X-Fencing-Token"])
        if req.path == "/api/machine-move":
            order = messages.MoveMachine(
                machine=body["machine"], pool=body["pool"]
            )
        else:
            order = messages.MaintainMachine(
                machine=body["machine"], wave=body["tranche"]
            )
        match self.world.order(order, fence):
            case messages.OrderResult.DONE:
                return _json(200, {})
            case _:
                return _json(409, {"reason": "busy"})


def _listing(host):
    listing = host.listing(1, 0.0)
    return {
        "clock_ms": listing.clock_ms,
        "born": listing.incarnation_ms,
        "running": [
            [_name(row.task), row.run, row.saved, row.percent, 0]
            for row in listing.running
        ],
        "ended_runs": [
            [row.number, _name(row.task), row.run, row.how.value, row.saved]
            for row in listing.ended
        ],
    }


def _name(task):
    return ".".join(map(str, task))


def task_id(name):
    """Return the task that a name stands for."""
    job, *numbers = name.split(".")
    return messages.model.TaskId(job, *map(int, numbers))


def read_records(topic, data):
    position = 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        body = data[position + 4 : position + 4 + length]
        position += 4 + length
        if topic.startswith("keyed."):
            key = body[1 : 1 + body[0]].decode()
            value = body[1 + body[0] :] or None
            yield appender.Record(key=key, value=value)
        else:
            yield appender.Record(key="", value=body)


def _page(topic, page):
    parts = [struct.pack(">QQ", page.end, page.first)]
    for record in page.records:
        body = record.value or b""
        if topic.startswith("keyed."):
            key = record.key.encode()
            body = bytes((len(key),)) + key + body
        parts.append(struct.pack(">I", len(body)) + body)
    return b"".join(parts)


def _json(status, body):
    return wrappers.Response(
        msgspec.json.encode(body),
        status=status,
        content_type="application/json",
    )
