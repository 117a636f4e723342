"""What callers get of one daemon with real processes."""

import socket
import time

import pytest

from standins import processes
from tests.requests import deployment as deployments

SLOTS = 8


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with processes.Processes(log_dir=tmp_path_factory.mktemp("one")) as all_:
        yield deployments.Deployment(all_, net=57, hosts=1).start(1)


def paths(fleet):
    return [entry["path"] for entry in fleet.executions()]


def test_a_caller_that_left_is_not_served(fleet):
    daemon = fleet.daemons[0]
    calls = [
        deployments.later(daemon.call, "/busy", Work_Ms=1500)
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


def test_a_leaving_host_gets_no_new_work_and_cuts_none(tmp_path):
    with processes.Processes(log_dir=tmp_path) as started:
        fleet = deployments.Deployment(started, net=58, hosts=3)
        fleet.start(2)
        # Neither the host list nor the task service tells of the stop.
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

        replies = deployments.in_threads(call, range(1200), threads=12)
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
