"""A daemon that is paused during a whole move, with real processes."""

import concurrent.futures

import pytest

from azurewood.fleet import model
from azurewood.policy import ownership
from standins import processes
from tests.moves import deployment

BASELINE = ("tests.moves.baseline_entry", "entry")
HOSTS = {"h1": "quoting", "h2": "quoting", "h3": "certs"}
WORK_MS = 1500
SLOTS = model.Host(name="h1", zone="z1", rack="r1", address="").slots


def run_move(tmp_path, module):
    """Move h1 while one of three daemons is paused with open requests.

    Return the old service's executions on h1 that were still running at the
    hand-over or began after it, the executions that were cut, and the
    statuses that the callers got.
    """
    with (
        processes.Processes(log_dir=tmp_path) as running,
        concurrent.futures.ThreadPoolExecutor(24) as pool,
    ):
        dep = deployment.Deployment(
            running=running, hosts=HOSTS, daemons=3, module=module
        )
        dep.publish()
        mover, stale = dep.daemons[0], dep.daemons[2]
        warm_up(dep, pool, stale)
        in_hand = [
            pool.submit(stale.call, "quoting", Work_Ms=WORK_MS)
            for _ in range(4)
        ]
        processes.wait_for(
            lambda: running_on(dep, "h1"), what="h1 works on a request"
        )
        stale.process.pause()
        after_pause = [
            pool.submit(stale.call, "quoting", Work_Ms=1) for _ in range(8)
        ]
        moved = dep.move(mover, "h1", "certs", drain_ms=1000)
        assert moved.resolution == "accepted"
        processes.wait_for(
            lambda: mover.host("h1")["pool"] == "certs", what="handed over"
        )
        at_hand_over = dep.executions("h1")
        stale.process.resume()
        statuses = [fut.result(20)[0] for fut in (*in_hand, *after_pause)]
        deployment.wait_move(mover, "h1", "certs")
        journal = dep.executions("h1")
        late = [e for e in at_hand_over if e["ending"] == "running"]
        late += journal[len(at_hand_over) :]
        cut = [e for e in journal if e["ending"] == "cut"]
        return [e for e in late if is_old(e)], cut, statuses


def is_old(execution):
    return execution["service"] == "quoting"


def warm_up(dep, pool, stale):
    """Make the stale daemon open connections to both hosts."""

    def is_warm():
        calls = [
            pool.submit(stale.call, "quoting", Work_Ms=20) for _ in range(16)
        ]
        concurrent.futures.wait(calls)
        return dep.executions("h1") and dep.executions("h2")

    processes.wait_for(is_warm, what="connections to h1 and h2 are open")


def slots_of_h1(dep, daemon):
    """Return how many slots of h1 a daemon owns.

    A daemon that owns no slot there depends on slots that peers lend it,
    which may be on h1 or on h2.
    """
    names = [other.name for other in dep.daemons]
    owners = [ownership.slot_owner("h1", n, names) for n in range(SLOTS)]
    return owners.count(daemon)


def running_on(dep, host):
    return any(e["ending"] == "running" for e in dep.executions(host))


@pytest.fixture(scope="module")
def careful(tmp_path_factory):
    return run_move(tmp_path_factory.mktemp("careful"), deployment.ENTRY)


def test_old_service_runs_no_request_after_the_hand_over(careful):
    late, _, _ = careful
    assert late == []


def test_no_request_in_flight_is_cut(careful):
    _, cut, statuses = careful
    assert cut == []
    assert statuses == [200] * len(statuses)


def test_move_completes_after_the_host_owner_is_killed(tmp_path):
    with (
        processes.Processes(log_dir=tmp_path) as running,
        concurrent.futures.ThreadPoolExecutor(4) as pool,
    ):
        dep = deployment.Deployment(running=running, hosts=HOSTS, daemons=3)
        dep.publish()
        names = {daemon.name: daemon for daemon in dep.daemons}
        steward = names.pop(ownership.owner("h1", names))
        most = max(names, key=lambda name: slots_of_h1(dep, name))
        first = names.pop(most)
        (second,) = names.values()
        busy = [
            pool.submit(first.call, "quoting", Work_Ms=WORK_MS)
            for _ in range(4)
        ]
        processes.wait_for(
            lambda: running_on(dep, "h1"), what="h1 works on a request"
        )
        assert dep.move(second, "h1", "certs").resolution == "accepted"
        steward.process.kill()
        deployment.wait_move(second, "h1", "certs")
        assert {fut.result(20)[0] for fut in busy} == {200}
        assert all(e["ending"] != "cut" for e in dep.executions("h1"))


def test_baseline_hand_over_lets_the_old_service_continue(tmp_path):
    late, _, _ = run_move(tmp_path, BASELINE)
    assert late
