"""A platform stand-in that reaches each machine through its own link."""

import datetime
import random
import time

from werkzeug import wrappers

from azurewood.journal import pages
from standins.fleet import store as stores
from tests.platform import standin
from tests.soak import proxy
from tests.soak import resets

APPEND_DELAY_S = 0.004
LATE_CALL_DELAY_S = (2.0, 12.0)
ORDERS = frozenset({"/api/run-start", "/api/run-stop", "/api/pace"})
RENEWAL = "/api/hold"
HOST_CALLS = ORDERS | {RENEWAL}


class SoakStore(stores.Store):
    """A store that knows the keys of all job records it was ever given."""

    __slots__ = ("job_keys",)

    def __init__(self):
        super().__init__()
        self.job_keys = set()

    def add(self, topic, records, part=0):
        """Append records unconditionally."""
        if topic in (pages.Topic.JOBS, pages.Topic.INTAKE):
            self.job_keys |= {r.key for r in records if r.value is not None}
        return super().add(topic, records, part)


class SoakWorld(standin.HttpWorld):
    """Machines in ``hidden`` do not reach the store with their entries.

    ``slowness`` has factors of the tasks' durations by machine.
    """

    def __init__(self, **options):
        self.hidden = set()
        self.slowness = {}
        super().__init__(**options)
        self.store = SoakStore()

    def add_host(self, machine, *args, **options):
        """Add a host; its tasks take longer by its machine's slowness."""
        host = super().add_host(machine, *args, **options)
        host.run_duration_s = lambda task, step: (
            self.run_duration_s(task, step) * self.slowness.get(machine, 1.0)
        )
        return host

    def publish_entry(self, host):
        """Write a host's entry, unless its machine is cut off."""
        if host.machine not in self.hidden:
            super().publish_entry(host)


class SoakServer(standin.Server):
    """Lists each machine's hosts under the address of the machine's link.

    A call to a host that no longer runs is answered with status 421, as a
    later incarnation at the same address would answer it. While ``late`` is
    a fault of the plan, calls to hosts are left unanswered and carried out
    seconds later, by the incarnation that the host has by then.

    ``trace`` holds what happens on the hosts, ``late_starts`` a note on each
    late start that ran, by its task.
    """

    def __init__(self, *, ip, port, pools):
        self.links = {}
        self.late = None
        self.append_s = APPEND_DELAY_S
        self.trace = []
        self.resets = resets.Resets(note=self.note)
        self.late_starts = {}
        self._random = random.Random(0)
        self._first_listed = {}
        self._connected_to = {}
        self._renewed_first = set()
        super().__init__(ip=ip, port=port, pools=pools, world=SoakWorld)
        began = datetime.datetime.now(datetime.UTC).isoformat()
        self.note(f"the clock of this trace began at {began}")

    def note(self, text):
        """Add a line to the trace."""
        self.trace.append(f"{self.world.clock.now:.3f} {text}")

    def link_machines(self, links):
        """Set each machine's link and publish the new host addresses."""
        with self.lock:
            self.links = links
            self.advance()
            for host in self.world.hosts.values():
                self.world.publish_entry(host)

    def advance(self):
        """Advance the simulated clock to the elapsed real time."""
        end = 1000.0 + time.monotonic() - self.started_at
        for host in self.world.hosts.values():
            self._address(host)
        self.world.clock.run_until(end)
        for host in self.world.hosts.values():
            self._address(host)

    def _address(self, host):
        host.observe = self._observe
        link = self.links.get(host.machine)
        wanted = link.address if link else self.address
        if host.address != wanted:
            host.address = wanted
            if host.up:
                self.world.publish_entry(host)

    def _observe(self, what, host, run, how=""):
        self.note(f"{host.id} {what} {run.task} run {run.run} {how}")
        known = len(self.world.rules.breaches)
        self.world.rules.observe(what, host, run, how or None)
        for breach in self.world.rules.breaches[known:]:
            self.note(f"BREACH {breach}")

    def _answer(self, req):
        return self.resets.answer(req, self._carry_out)

    def _carry_out(self, req):
        if req.path not in HOST_CALLS:
            if req.path == "/api/log-append":
                time.sleep(self.append_s)
            return super()._answer(req)
        with self.lock:
            self.advance()
            host = self.world.hosts.get(req.headers["X-Target-Instance"])
            if host is None or not host.up:
                return wrappers.Response(status=421)
            incarnation = host.incarnation_ms
            if self._has_connection_ended(req, host):
                return _no_answer()
            if self._is_late(req.path):
                self._postpone(req, host)
                return _no_answer()
            if req.path in ORDERS:
                response = super()._answer(req)
                self._note_call(req, host, response)
                return response
            if (host.id, incarnation) not in self._renewed_first:
                self._renewed_first.add((host.id, incarnation))
                body = req.get_data().decode()
                self.note(f"{host.id} first renewal of {incarnation}: {body}")
        response = super()._answer(req)
        return self._renewed(host, incarnation, response)

    def _has_connection_ended(self, req, host):
        """Return whether a call's connection led to an earlier incarnation.

        A call that was on its way when its host restarted is not answered by
        the new process.
        """
        conn = (req.remote_addr, req.environ["REMOTE_PORT"], host.id)
        now = host.incarnation_ms
        return self._connected_to.setdefault(conn, now) != now

    def _renewed(self, host, incarnation, response):
        """Return the answer of a renewal, if its incarnation still runs."""
        with self.lock:
            if not host.up or host.incarnation_ms != incarnation:
                return _no_answer()
            if response.status_code == 200:
                key = (host.id, incarnation)
                if key not in self._first_listed:
                    self._first_listed[key] = self.world.clock.now
                    self.note(f"{host.id} first list of {incarnation}")
            return response

    def _note_call(self, req, host, response, extra=""):
        body = standin.msgspec.json.decode(req.get_data())
        reason = standin.msgspec.json.decode(response.get_data()).get("reason")
        self.note(
            f"{host.id} {req.path} {body['task']} run {body['run']}"
            f" fence {body['fence']} {reason or 'done'}{extra}"
        )

    # Calls that are carried out late

    def _is_late(self, path):
        late = self.late
        if late is None or (path == RENEWAL and late.kind != "calls"):
            return False
        return self._random.random() < late.share

    def _postpone(self, req, host):
        # Read while the connection is there.
        body = standin.msgspec.json.decode(req.get_data())
        sent = f"sent {self.world.clock.now:.3f} to {host.incarnation_ms}"
        self.note(f"{host.id} {req.path} {body.get('task', '')} postponed")
        self.world.clock.after(
            self._random.uniform(*LATE_CALL_DELAY_S),
            lambda: self._carry_out_late(req, host, body, sent),
        )

    def _carry_out_late(self, req, host, body, sent):
        now = host.incarnation_ms
        extra = f" LATE, {sent}, now {now}"
        if not host.up:
            self.note(f"{host.id} {req.path} found nobody{extra}")
        elif req.path == RENEWAL:
            refusal = self._begin_renewal(host, body)
            self.note(f"{host.id} {req.path} {body} {refusal}{extra}")
        else:
            listed = self._first_listed.get((host.id, now), "not yet")
            extra += f", listed first {listed}"
            started = self.world.rules.starts
            task = str(standin.task_id(body["task"]))
            note = f"run {body['run']} on {host.id}{extra}"
            if req.path == "/api/run-start":
                self.late_starts[task] = note
            self._note_call(req, host, self._run(req), extra)
            if req.path == "/api/run-start" and (
                self.world.rules.starts == started
            ):
                del self.late_starts[task]

    def describe(self, breach):
        """Return a breach with the late start of its task, if any."""
        notes = [
            f" ({note})"
            for task, note in self.late_starts.items()
            if task in breach.place
        ]
        return str(breach) + "".join(notes)


def _no_answer():
    return wrappers.Response(headers={proxy.NO_ANSWER_HEADER: "1"})
