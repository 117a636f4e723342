"""What daemons tell callers while the store resets and refuses their calls.

Issue 45. The store carries out an append of job records, resets its
connection and then refuses all calls for a while. A daemon that takes the
refusal of a repeated append for the fate of the first one refuses jobs that
run, and tells callers of others that they are stored.
"""

import contextlib
import errno
import itertools
import os
import socket
import threading
import time

import msgspec
import pytest
from werkzeug import wrappers

from azurewood.daemons import fleet
from azurewood.http import connections
from azurewood.jobs import catalog
from azurewood.jobs import records
from azurewood.journal import pages
from azurewood.platform import jobs
from azurewood.policy import intake as intakes
from tests.http import resetting
from tests.platform import standin
from tests.platform import test_daemons

MIN_RESETS = 3
REFUSING_S = 0.9
"""Longer than a record waits to be sent while the store cannot be read."""
CALM_S = 0.4
CALLERS = 12
VISIBLE_S = 3.0
"""Time after its acceptance from which every daemon must know a job."""
FIRST_STEP_MS = 3000
LATE_S = 4.0
"""Longer than a caller waits, shorter than a late call may take."""
CANCEL_S = 2.5
"""Time after a cancellation from which nothing of the job may start, of which
the store may refuse calls for ``REFUSING_S``. The second step comes later."""
DEADLINE_S = 15.0
QUEUE = catalog.Queue(
    name="r-1", host="", path_prefix="", service="one", attempts=2
)
SHORT = {"spec": "", "steps": [{"count": 1, "cpu": 1, "est_ms": 50}]}
LONG = {
    "spec": "",
    "steps": [
        {"count": 1, "cpu": 1, "est_ms": FIRST_STEP_MS},
        {"count": 1, "cpu": 1, "est_ms": 50, "after": [0]},
    ],
}


class _ResettingServer(standin.Server):
    """Resets appends that it carries out, and refuses all calls after that."""

    def __init__(self, *, status):
        self.status = status
        self.resets = 0
        self.holds_reads = False
        self.started = []
        self._used = set()
        self._refusing_until = 0.0
        self._calm_until = float("inf")
        super().__init__(port=test_daemons.free_port(), pools={"one": 3})

    def begin(self):
        """Begin to reset appends."""
        self._calm_until = 0.0

    def end(self):
        """Reset no more appends."""
        self._calm_until = float("inf")

    @property
    def refusing(self):
        """Whether the store refuses all calls now."""
        return time.monotonic() < self._refusing_until

    def __call__(self, environ, start_response):
        client = environ["REMOTE_PORT"]
        reused = client in self._used
        self._used.add(client)
        req = wrappers.Request(environ)
        response = self._refusal(req)
        if response is None and reused and self._is_due(req):
            self._answer(req)
            _reset(environ[connections.SOCKET_KEY])
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        response = response or self.canned_responses.get(req.path)
        response = response or self._answer(req)
        while self.holds_reads and req.path == "/api/log-read":
            time.sleep(0.01)
        # A read that was held open is refused, too.
        response = self._refusal(req) or response
        return response(environ, start_response)

    def _refusal(self, req):
        if self.refusing and req.path.startswith("/api/log-"):
            return wrappers.Response(b"{}", status=self.status)
        return None

    def _is_due(self, req):
        """Return whether to reset this append, and begin to refuse calls."""
        if req.path != "/api/log-append" or req.args["topic"] != "keyed.jobs":
            return False
        if req.args.get("producer") == "leader":
            return False
        with self.lock:
            now = time.monotonic()
            if now < self._calm_until:
                return False
            self.resets += 1
            self._refusing_until = now + REFUSING_S
            self._calm_until = self._refusing_until + CALM_S
            return True

    def _run(self, req):
        response = super()._run(req)
        if req.path == "/api/run-start" and response.status_code == 200:
            task = standin.task_id(msgspec.json.decode(req.get_data())["task"])
            self.started.append((task.job, time.monotonic()))
        return response


def _reset(sock):
    """Reset a connection; the server's own close would send an end first."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, resetting.RESET_ON_CLOSE
    )
    with socket.socket() as unconnected:
        os.dup2(unconnected.fileno(), sock.fileno())


def _register(server, job_id, body):
    """Register a job with the stand-in, which checks starts against it."""
    server.world.rules.asked[job_id] = jobs.decode(
        job_id, QUEUE, msgspec.json.encode(body), 0
    )


class _Caller:
    """Hands jobs in, cancels some of them, and keeps what it is told."""

    def __init__(self, server, daemons, number):
        self.accepted, self.refused, self.cancelled = {}, set(), {}
        self._server = server
        self._daemons = daemons[number % 2 :] + daemons[: number % 2]
        self._tries = 1 + number // 2 % 2
        self._number = number
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self):
        self._stopping.set()
        self._thread.join(DEADLINE_S)

    def _run(self):
        for number in itertools.count():
            if self._stopping.wait(0.02):
                return
            job_id = f"{self._number:08x}{number:08x}"
            body = LONG if number % 2 else SHORT
            self._hand_in(job_id, body)
            if body is LONG and job_id in self.accepted:
                self._cancel(job_id)

    def _hand_in(self, job_id, body):
        _register(self._server, job_id, body)
        statuses = [
            daemon.call("POST", f"/one/{job_id}", body)[0]
            for daemon in self._daemons[: self._tries]
        ]
        if 200 in statuses:
            self.accepted[job_id] = self._daemons[statuses.index(200)]
        elif set(statuses) <= {429, 503}:
            self.refused.add(job_id)

    def _cancel(self, job_id):
        if self._daemons[0].call("DELETE", f"/one/{job_id}")[0] == 200:
            self.cancelled[job_id] = time.monotonic()


@contextlib.contextmanager
def _serving(status, kind=_ResettingServer):
    """Yield a server and two daemons that are ready."""
    server = kind(status=status)
    server.write_operator_record(
        pages.Topic.OPERATORS, "config", test_daemons.MANIFEST
    )
    daemons = [test_daemons.Daemon(name, server) for name in ("m1", "m2")]
    try:
        for daemon in daemons:
            test_daemons.wait_for(
                lambda d=daemon: d.call("GET", "/api/readyz", port=1)[0] == 200
            )
        yield server, daemons
    finally:
        for daemon in daemons:
            daemon.stop()
        server.stop()


def _call_until_reset(server, daemons):
    """Return callers of which some were refused, after some resets."""
    callers = [_Caller(server, daemons, n) for n in range(CALLERS)]
    try:
        test_daemons.wait_for(lambda: all(c.cancelled for c in callers))
        server.begin()
        test_daemons.wait_for(
            lambda: (
                server.resets >= MIN_RESETS and any(c.refused for c in callers)
            )
        )
        server.end()
        test_daemons.wait_for(lambda: not server.refusing)
    finally:
        for caller in callers:
            caller.stop()
    return callers


def _stored(server, topic, kind, part=0):
    """Return the jobs that have a record of a kind in the store."""
    with server.lock:
        values = server.world.store.values(topic, part).values()
        found = map(records.decode, values)
        return {r.key.partition("/")[2] for r in found if isinstance(r, kind)}


def _in_intake(server):
    """Return the accepted jobs that are still in the intake."""
    parts = range(intakes.MAX_PARTITIONS)
    return set().union(
        *(
            _stored(server, pages.Topic.INTAKE, records.Accepted, part)
            for part in parts
        )
    )


@pytest.mark.parametrize("status", (429, 503))
def test_callers_are_told_the_fate_of_their_jobs(status, monkeypatch):
    monkeypatch.setattr(fleet, "BALANCER_NOTICE_S", 0.0)
    with _serving(status) as (server, daemons):
        callers = _call_until_reset(server, daemons)
        visible_at = time.monotonic() + VISIBLE_S
        entries = {k: e for c in callers for k, e in c.accepted.items()}
        accepted = set(entries)
        refused = set().union(*(c.refused for c in callers))
        cancelled = {k: at for c in callers for k, at in c.cancelled.items()}
        found = {
            "accepted and 410 at its entry": {
                job_id
                for job_id, daemon in entries.items()
                if daemon.call("GET", f"/one/{job_id}")[0] == 410
            },
        }
        test_daemons.wait_for(lambda: time.monotonic() > visible_at)
        found["accepted and 410"] = {
            job_id
            for job_id, daemon in itertools.product(accepted, daemons)
            if daemon.call("GET", f"/one/{job_id}")[0] == 410
        }
        last = max(cancelled.values()) + FIRST_STEP_MS / 1000 + CANCEL_S
        test_daemons.wait_for(lambda: time.monotonic() > last)
        # By now the leader has copied what was in the intake.
        stored = _stored(server, pages.Topic.JOBS, records.Accepted)
        ended = _stored(server, pages.Topic.JOBS, records.Cancelled)
        ended |= _stored(server, pages.Topic.JOBS, records.Ended)
        found["refused and stored"] = refused & (stored | _in_intake(server))
        found["accepted and absent"] = accepted - stored
        found["cancelled and absent"] = set(cancelled) - ended
        found["refused and started"] = refused & {k for k, _ in server.started}
        found["cancelled and started"] = {
            (job_id, round(at - cancelled[job_id], 2))
            for job_id, at in server.started
            if at > cancelled.get(job_id, at) + CANCEL_S
        }
    assert {name: jobs for name, jobs in found.items() if jobs} == {}


def test_an_accepted_job_is_not_denied_while_reads_are_refused(monkeypatch):
    """A cancellation that is answered with 410 would not be stored."""
    monkeypatch.setattr(fleet, "BALANCER_NOTICE_S", 0.0)
    job_id = "00000000000000ae"
    with _serving(503) as (server, daemons):
        _register(server, job_id, SHORT)
        server.canned_responses["/api/log-read"] = wrappers.Response(
            status=503
        )
        test_daemons.wait_for(
            lambda: all(
                d.daemon.member.job_service.reads_fail for d in daemons
            )
        )
        asked = [
            daemon.call(method, f"/one/{job_id}", body)[0]
            for daemon in daemons
            for method, body in (
                ("POST", SHORT),
                ("GET", None),
                ("DELETE", None),
            )
        ]
    assert asked[0] == 200
    assert 410 not in asked


def test_the_entry_that_took_a_job_knows_it_before_it_is_read(monkeypatch):
    monkeypatch.setattr(fleet, "BALANCER_NOTICE_S", 0.0)
    job_id = "00000000000000af"
    with _serving(503) as (server, daemons):
        _register(server, job_id, SHORT)
        server.holds_reads = True
        asked = [
            daemons[0].call(method, f"/one/{job_id}", body)[0]
            for method, body in (
                ("POST", SHORT),
                ("GET", None),
                ("DELETE", None),
            )
        ]
        server.holds_reads = False
    assert asked == [200, 200, 200]


class _LateServer(_ResettingServer):
    """While ``is_late``, carries daemons' appends of jobs out 4 s late."""

    is_late = False

    def __call__(self, environ, start_response):
        req = wrappers.Request(environ)
        appends = req.path == "/api/log-append"
        if (
            appends
            and self.is_late
            and req.args["topic"] == "keyed.jobs"
            and req.args.get("producer") != "leader"
        ):
            time.sleep(LATE_S)
        return super().__call__(environ, start_response)


def test_a_job_that_may_be_stored_is_not_denied_by_its_entry(monkeypatch):
    """Its cancellation would be answered, and the job would run."""
    monkeypatch.setattr(fleet, "BALANCER_NOTICE_S", 0.0)
    job_id = "00000000000000b0"
    with _serving(503, _LateServer) as (server, daemons):
        _register(server, job_id, SHORT)
        server.is_late = True
        asked = [
            daemons[0].call(method, f"/one/{job_id}", body)[0]
            for method, body in (
                ("POST", SHORT),
                ("GET", None),
                ("DELETE", None),
            )
        ]
        asked_at = time.monotonic()
        server.is_late = False
        test_daemons.wait_for(
            lambda: any(job == job_id for job, _ in server.started)
        )
    assert server.started[0][1] > asked_at
    assert asked[0] == 504
    assert 410 not in asked
