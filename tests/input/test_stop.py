"""A planned stop: not ready, nothing new, what is in hand ends whole."""

import concurrent.futures
import signal
import time

from standins import processes
from standins import testbed

WORK_MS = "1200"
PROBE_EVERY_S = 0.5


def readiness(daemon):
    try:
        return daemon.operate("GET", "/readyz")["ready"]
    except testbed.OperatorsCallError:
        return False


def test_a_stopping_daemon_refuses_new_requests_and_ends_its_own(started):
    daemon = started.start_daemon("volos-3", "volos")
    processes.wait_for(
        lambda: readiness(daemon) and daemon.call("/desk/x").status == 200,
        what="it answers",
    )
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        slow = pool.submit(
            daemon.call, "/desk/slow", headers={"Work-Ms": WORK_MS}
        )
        processes.wait_for(
            lambda: any(
                item["in_flight"] for item in daemon.status()["services"]
            ),
            what="the request is at its endpoint",
        )
        daemon.process.signal(signal.SIGTERM)
        processes.wait_for(lambda: not readiness(daemon), what="not ready")
        refused = daemon.call("/desk/new")
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert b"stopping" in refused.body
        whole = slow.result()
    assert (whole.status, whole.outcome) == (200, "ran")
    assert b"/slow" in whole.body
    assert daemon.process.popen.wait(15.0) == 0
    assert not processes.is_listening("127.0.0.1", daemon.port)
    assert started.first.call("/desk/after").status == 200


def test_a_balancer_that_probes_twice_a_second_sees_an_idle_daemon_leave(
    started,
):
    daemon = started.start_daemon("volos-4", "volos")
    processes.wait_for(lambda: readiness(daemon), what="it is ready")
    daemon.process.signal(signal.SIGTERM)
    time.sleep(PROBE_EVERY_S)
    assert readiness(daemon) is False
    refused = daemon.call("/desk/new")
    assert (refused.status, refused.outcome) == (503, "not-run")
    assert daemon.process.popen.wait(15.0) == 0
