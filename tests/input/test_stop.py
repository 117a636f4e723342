"""A planned stop: a stopping daemon reports that it is not ready, refuses
new requests and completes those in flight.
"""

import concurrent.futures
import signal
import time

from standins import processes
from standins import testbed

WORK_MS = "1200"
PROBE_INTERVAL_S = 0.5


def is_ready(daemon):
    try:
        return daemon.operate("GET", "/readyz")["ready"]
    except testbed.OperatorsCallError:
        return False


def test_a_stopping_daemon_refuses_new_requests_and_completes_open_ones(
    started,
):
    daemon = started.start_daemon("volos-3", "volos")
    processes.wait_for(
        lambda: is_ready(daemon) and daemon.call("/desk/x").status == 200,
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
        processes.wait_for(lambda: not is_ready(daemon), what="not ready")
        refused = daemon.call("/desk/new")
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert b"stopping" in refused.body
        completed = slow.result()
    assert (completed.status, completed.outcome) == (200, "ran")
    assert b"/slow" in completed.body
    assert daemon.process.popen.wait(15.0) == 0
    assert not processes.is_listening("127.0.0.1", daemon.port)
    assert started.first.call("/desk/after").status == 200


def test_a_stopping_idle_daemon_still_answers_probes_for_half_a_second(
    started,
):
    """A load balancer that probes twice a second sees that it stops.

    The daemon must not exit before the next probe finds it not ready.
    """
    daemon = started.start_daemon("volos-4", "volos")
    processes.wait_for(lambda: is_ready(daemon), what="it is ready")
    daemon.process.signal(signal.SIGTERM)
    time.sleep(PROBE_INTERVAL_S)
    assert is_ready(daemon) is False
    refused = daemon.call("/desk/new")
    assert (refused.status, refused.outcome) == (503, "not-run")
    assert daemon.process.popen.wait(15.0) == 0
