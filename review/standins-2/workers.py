"""Stand-ins of workers, which run work items under a lease, by their page."""

import json
import threading
import time

import web

HOLD_MAX_S = 6.0
STOP_S = 0.1
STARTUP_S = 0.3
"""Time after which a work item that lasts is at work."""
LIST_ENDS = 500
UNANSWERED_S = 2.0
"""How long the channel of a start without an answer stays open."""


class Worker:
    """A worker on a machine; ``crash`` and ``restart`` change its lifetime.

    ``jobs`` maps the id of a job to its body, as the client sent it, and
    ``note`` is called with what happens, and ``started`` gets the work items
    that were started.
    """

    def __init__(
        self, *, id, machine, service, capacity, jobs, note, started, labels
    ):
        self.id = id
        self.machine = machine
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.state = "ready"
        self.up = False
        self.late_task = None
        self.late_s = 0.0
        self.on_noted = lambda row: None
        self._jobs = jobs
        self._note = note
        self._started = started
        self._lock = threading.Condition()
        self._listener = None
        self._port = 0
        self.begin()

    def begin(self):
        """Begin a lifetime, which knows nothing of before."""
        self._listener = web.Listener(self._answer, port=self._port)
        self.address = self._listener.address
        self._port = int(self.address.rpartition(":")[2])
        self._begin_life()

    def _begin_life(self):
        with self._lock:
            self.born = int(time.time() * 1000)
            self._began = time.monotonic()
            self.fence = 0
            self.runs = {}
            self.ends = []
            self._number = 0
            self._barred = {}
            self._lease_until = None
            self.seq = 0
            self.up = True
            self._lock.notify_all()
        life = (self.born,)
        threading.Thread(target=self._tick, args=life, daemon=True).start()

    def cut(self):
        """Cut the worker off: nothing reaches it, and it runs on."""
        self._listener.silent.set()
        self._note(f"{self.id} is cut off")

    def join(self):
        """End the cut; what it held up is lost."""
        self._listener.silent.clear()
        self._note(f"{self.id} is reached again")

    def be_reborn(self):
        """Crash and begin again under the same id, behind a cut."""
        for task, run in list(self.runs):
            self._note(f"{self.id} ends (crash) with {task} run {run}")
        self._begin_life()
        self._note(f"{self.id} begins again behind the cut")

    def end(self, why):
        """End the lifetime: everything that runs here terminates."""
        with self._lock:
            self.up = False
            for task, run in self.runs:
                self._note(f"{self.id} ends ({why}) with {task} run {run}")
            self.runs = {}
            self._lock.notify_all()
        self._listener.close()

    def darken(self):
        """End the lifetime silently: calls get no answer and no reset."""
        self._listener.silent.set()
        with self._lock:
            self.up = False
            for task, run in self.runs:
                self._note(f"{self.id} ends (dark) with {task} run {run}")
            self.runs = {}

    def lighten(self):
        """Begin a lifetime after a silent end."""
        self._listener.close()
        self.begin()

    def clock_ms(self):
        """Return the steady clock of this lifetime."""
        return int((time.monotonic() - self._began) * 1000)

    def entry(self):
        """Return the worker's entry in the store."""
        self.seq += 1
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "seq": self.seq,
            "born": self.born,
        }

    def running(self):
        """Return the names of the work items that are at work here."""
        now = time.monotonic()
        with self._lock:
            return {
                task
                for (task, _), found in self.runs.items()
                if now >= found["began"] + STARTUP_S
            }

    def _answer(self, method, path, query, body, headers):
        if headers.get("X-Target-Instance", self.id) != self.id:
            return 421, b"{}"
        found = json.loads(body or b"{}")
        if path == "/api/run-start" and found["task"] == self.late_task:
            self._postpone(found)
            return None
        with self._lock:
            if not self.up:
                return None
            if found.get("fence", 0) < self.fence:
                return self._reply(409, reason="fence")
            self.fence = found.get("fence", 0)
            match path:
                case "/api/run-start":
                    return self._start(found)
                case "/api/run-stop":
                    return self._stop(found)
                case "/api/pace":
                    return self._reply(200)
                case "/api/hold":
                    return self._hold(found)
        return 404, b"{}"

    def _postpone(self, found):
        """Leave a start unanswered and carry it out later."""
        self.late_task = None
        name = f"{found['task']} run {found['run']}"
        self._note(f"{self.id} leaves the start of {name} unanswered")

        def carry_out():
            with self._lock:
                if found["fence"] < self.fence:
                    self._note(f"{self.id} refuses the late start of {name}")
                    return
                self.fence = found["fence"]
                status, reply = self._start(found)
            self._note(f"{self.id} late start of {name}: {status} {reply}")

        threading.Timer(self.late_s, carry_out).start()
        time.sleep(UNANSWERED_S)

    def _reply(self, status, **fields):
        value = {"clock_ms": self.clock_ms(), **fields}
        return status, json.dumps(value).encode()

    def _extend(self, deadline_ms):
        if deadline_ms is None:
            return
        left = (deadline_ms - self.clock_ms()) / 1000
        until = time.monotonic() + min(left, HOLD_MAX_S)
        self._lease_until = max(self._lease_until or 0.0, until)

    def _start(self, found):
        task, run = found["task"], found["run"]
        if (task, run) in self.runs:
            return self._reply(200)
        if found["deadline_ms"] <= self.clock_ms():
            return self._reply(409, reason="late")
        self._extend(found["deadline_ms"])
        if run <= self._barred.get(task, 0):
            return self._reply(409, reason="old")
        job, _, step, _ = task.split(".")
        wanted = self._jobs[job]["steps"][int(step)]
        self.runs[(task, run)] = {
            "began": time.monotonic(),
            "ends": None
            if wanted.get("long_running")
            else time.monotonic() + wanted["est_ms"] / 1000,
            "stops": None,
        }
        self._started.append(task)
        self._note(f"{self.id} starts {task} run {run}")
        return self._reply(200)

    def _stop(self, found):
        task, run = found["task"], found["run"]
        self._barred[task] = max(run, self._barred.get(task, 0))
        known = self.runs.get((task, run))
        if known is not None and known["stops"] is None:
            known["stops"] = time.monotonic() + STOP_S
        return self._reply(200)

    def _hold(self, found):
        self._extend(found.get("deadline_ms"))
        cursor = found.get("ack_cursor", 0)
        for row in self.ends:
            if row[0] <= cursor:
                self.on_noted(row)
        self.ends = [row for row in self.ends if row[0] > cursor]
        until = time.monotonic() + found.get("wait_ms", 0) / 1000
        life = self.born
        while not self.ends and time.monotonic() < until:
            self._lock.wait(until - time.monotonic())
            if not self.up or self.born != life:
                return None
        now = time.monotonic()
        running = [
            [task, run, "", 100 if now >= row["began"] + STARTUP_S else 0, 0]
            for (task, run), row in self.runs.items()
        ]
        return self._reply(
            200,
            running=running,
            ended_runs=self.ends[:LIST_ENDS],
            born=self.born,
        )

    def _tick(self, life):
        while True:
            time.sleep(0.01)
            with self._lock:
                if not self.up or self.born != life:
                    return
                self._end_runs()

    def _end_runs(self):
        now = time.monotonic()
        lapsed = self._lease_until is not None and now >= self._lease_until
        if lapsed:
            self._lease_until = None
        for (task, run), found in list(self.runs.items()):
            how = None
            if lapsed:
                how = "lapsed"
            elif found["stops"] is not None and now >= found["stops"]:
                how = "stopped"
            elif found["ends"] is not None and now >= found["ends"]:
                how = "done"
            if how is not None:
                self._end_run(task, run, how)

    def _end_run(self, task, run, how):
        del self.runs[(task, run)]
        self._barred[task] = max(run, self._barred.get(task, 0))
        self._number += 1
        self.ends.append([self._number, task, run, how, ""])
        self._note(f"{self.id} lists the end of {task} run {run}: {how}")
        self._lock.notify_all()
