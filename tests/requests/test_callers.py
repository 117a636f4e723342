"""The answers that callers get from a daemon, with real processes."""

import json
import signal
import socket
import time

import pytest

from standins import processes
from tests.requests import deployment as deployments

SLOTS = 8


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    log_dir = tmp_path_factory.mktemp("one")
    with deployments.running(log_dir, net=57, hosts=1) as one:
        yield one.start(1)


def paths(fleet):
    return [entry["path"] for entry in fleet.executions()]


def test_an_unknown_outcome_is_logged_with_the_requests_id(fleet):
    daemon = fleet.daemons[0]
    reply = daemon.call("/x", method="GET", Fault="hang", Work_Ms=1)
    assert reply.outcome == "unknown"
    lines = [
        json.loads(line)
        for line in daemon.process.output().splitlines()
        if '"request_unknown"' in line
    ]
    (line,) = lines
    assert line["request_id"].startswith(f"{daemon.name}-")
    assert (line["service"], line["level"]) == ("certs", "warning")


def test_a_caller_that_left_is_not_served(fleet):
    daemon = fleet.daemons[0]
    calls = [
        deployments.call_in_thread(daemon.call, "/busy", Work_Ms=1500)
        for _ in range(SLOTS)
    ]
    processes.wait_for(
        lambda: fleet.control().get("/control/state")["busy_slots"] == SLOTS,
        what="all slots busy",
    )
    with socket.create_connection(("127.0.0.1", daemon.port)) as conn:
        conn.sendall(b"GET /certs/gone HTTP/1.1\r\nHost: x\r\n\r\n")
        processes.wait_for(
            lambda: daemon.dump()["waiting"] == 1, what="it waits"
        )
    processes.wait_for(lambda: daemon.dump()["waiting"] == 0, what="left")
    assert {fut.result().outcome for fut in calls} == {"ran"}
    assert daemon.call("/next").outcome == "ran"
    assert "/gone" not in paths(fleet)


def test_a_leaving_host_gets_no_new_requests_and_interrupts_none(tmp_path):
    with deployments.running(tmp_path, net=58, hosts=3) as fleet:
        fleet.start(2)
        # Neither the host list nor the task service reports the stop.
        fleet.platform.post("/v1/faults", down=True)
        control = fleet.control("w0")
        task = next(iter(control.get("/control/state")["tasks"]))
        stopped = []

        def call(number):
            if number == 100:
                control.post(f"/control/tasks/{task}/stop", grace_ms=10_000)
                stopped.append(time.time())
            daemon = fleet.daemons[number % 2]
            return daemon.call(f"/{number}", Work_Ms=40)

        replies = deployments.in_threads(call, range(900), threads=8)
        left_s = stopped[0] + 3.0
        late = [
            entry
            for entry in fleet.control("w0").get(
                "/control/executions?since=0"
            )["executions"]
            if entry["started_ms"] / 1000 > left_s
        ]
        assert not late
        assert {reply.outcome for reply in replies} == {"ran"}
        assert time.time() > left_s


def test_a_stopping_daemon_interrupts_no_request(tmp_path):
    with deployments.running(tmp_path, net=61, hosts=1) as fleet:
        fleet.start(2)
        stopping, other = fleet.daemons

        def call(number):
            return stopping.call(
                f"/issue/{number}" if number % 2 else f"/{number}",
                key=f"k{number}",
                Work_Ms=700,
            )

        # More requests than slots, so that some are queued at the stop.
        calls = [deployments.call_in_thread(call, n) for n in range(3 * SLOTS)]
        processes.wait_for(
            lambda: len(stopping.dump()["requests"]) == 3 * SLOTS,
            what="all in hand",
        )
        stopping.process.signal(signal.SIGTERM)
        processes.wait_for(
            lambda: stopping.call_operators("GET", "/readyz")[0] == 503,
            what="not ready",
            timeout_s=1.0,
        )
        late = stopping.call("/late")
        assert (late.outcome, late.reason) == ("not-run", "stopping")
        assert not all(fut.done() for fut in calls)
        replies = [fut.result() for fut in calls]
        assert {reply.outcome for reply in replies} == {"ran"}
        assert all(reply.closes for reply in replies[-SLOTS:])
        assert stopping.process.popen.wait(20) == 0
        assert other.call("/after").outcome == "ran"
        assert set(fleet.runs_by_key("k").values()) == {1}
