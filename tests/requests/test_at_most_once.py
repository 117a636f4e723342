"""Requests with a key run at most once, with real processes."""

import contextlib
import json

import pytest


from standins import processes
from tests.requests import deployment as deployments

BASELINE = ("tests.requests.baseline", "no-claims")
KEYS = 60


@contextlib.contextmanager
def deployed(tmp_path, count, **kwargs):
    with deployments.running(tmp_path, net=55, hosts=2) as fleet:
        yield fleet.start(count, **kwargs)


@pytest.fixture(scope="module")
def pair(tmp_path_factory):
    """Two daemons, shared by tests that restore their state."""
    with deployed(tmp_path_factory.mktemp("pair"), 2) as fleet:
        yield fleet


def kill_and_repeat(fleet):
    """Kill a daemon that handles requests; repeat them at another one."""
    first, second = fleet.daemons[:2]

    def issue(number):
        return first.call("/issue", key=f"k{number}", Work_Ms=400)

    waiting = [deployments.call_in_thread(issue, n) for n in range(KEYS)]
    processes.wait_for(
        lambda: len(fleet.executions()) >= 8, what="requests at work"
    )
    first.process.kill()
    for fut in waiting:
        fut.result()
    return deployments.in_threads(
        lambda n: second.call("/issue", key=f"k{n}"), range(KEYS)
    )


def test_runs_once_if_the_entry_daemon_is_killed(tmp_path):
    with deployed(tmp_path, 2) as fleet:
        replies = kill_and_repeat(fleet)
        runs = fleet.runs_by_key()
        assert max(runs.values()) == 1, runs
        outcomes = [reply.outcome for reply in replies]
        assert set(outcomes) <= {"ran", "unknown", "not-run"}
        ran = {f"k{n}" for n, o in enumerate(outcomes) if o == "ran"}
        assert ran <= runs.keys()
        not_run = {f"k{n}" for n, o in enumerate(outcomes) if o == "not-run"}
        assert not not_run & runs.keys()
        assert "unknown" in outcomes


def test_baseline_runs_twice_if_the_entry_daemon_is_killed(tmp_path):
    with deployed(tmp_path, 2, program=BASELINE) as fleet:
        kill_and_repeat(fleet)
        assert max(fleet.runs_by_key().values()) > 1


def test_two_daemons_race_for_one_key(pair):
    calls = [(d, f"race{n}") for n in range(KEYS) for d in pair.daemons]
    replies = deployments.in_threads(
        lambda call: call[0].call("/issue", key=call[1], Work_Ms=20),
        calls,
        threads=24,
    )
    runs = pair.runs_by_key("race")
    assert set(runs.values()) == {1}
    assert len(runs) == KEYS
    assert {reply.outcome for reply in replies} == {"ran"}
    bodies = [json.loads(reply.body) for reply in replies]
    assert [body["key"] for body in bodies] == [key for _, key in calls]


def test_log_faults(pair):
    first, second = pair.daemons
    # Answers to appends are lost: the daemon reads the record back.
    pair.platform.post("/v1/faults", lose_answers=3)
    assert first.call("/issue", key="lost").outcome == "ran"
    # The log is down: requests are refused, have not run and may be retried.
    pair.platform.post("/v1/faults", down=True)
    replies = deployments.in_threads(
        lambda n: first.call("/issue", key=f"down{n}"), range(20)
    )
    assert {r.outcome for r in replies} == {"not-run"}
    assert {r.reason for r in replies} == {"log-unavailable"}
    assert all(r.status == 503 and r.retry_after for r in replies)
    assert second.call("/other").outcome == "ran"
    assert pair.runs_by_key("lost") == {"lost": 1}
    assert not pair.runs_by_key("down")
    pair.platform.post("/v1/faults", down=False)
    # Afterwards the same requests run through another daemon.
    for n in range(20):
        processes.wait_for(
            lambda n=n: second.call("/issue", key=f"down{n}").outcome == "ran",
            what="runs once the log is back",
        )
    runs = pair.runs_by_key("down")
    assert all(runs[f"down{n}"] == 1 for n in range(20))


def test_a_slow_log_loses_no_claim(pair):
    first, second = pair.daemons
    pair.platform.post("/v1/faults", delay_ms=1200)
    reply = first.call("/issue", key="slow", Azurewood_Deadline_Ms=800)
    assert reply.outcome == "not-run"
    assert reply.reason == "log-unavailable"
    pair.platform.post("/v1/faults", delay_ms=0)
    # The claim is accepted later; its holder releases it.
    processes.wait_for(
        lambda: second.call("/issue", key="slow").outcome == "ran",
        what="the claim is released",
    )
    assert pair.runs_by_key("slow") == {"slow": 1}


def test_pause_between_claim_and_send(pair):
    first, second = pair.daemons
    processes.wait_for(
        lambda: first.status()["log_reachable"], what="the log is read again"
    )
    pair.platform.post("/v1/faults", delay_ms=1000)
    fut = deployments.call_in_thread(first.call, "/issue", key="paused")
    processes.wait_for(
        lambda: first.dump()["outbox"]["sent"], what="claim under way"
    )
    first.process.pause()
    processes.wait_for(
        lambda: not second.status()["daemons"][1]["alive"],
        what="e0 is considered dead",
    )
    pair.platform.post("/v1/faults", delay_ms=0)
    repeated = second.call("/issue", key="paused")
    first.process.resume()
    fut.result()
    assert repeated.outcome in ("ran", "unknown")
    processes.wait_for(
        lambda: not first.dump()["claims"]["settling"], what="settled"
    )
    assert pair.runs_by_key("paused").get("paused", 0) <= 1


def test_key_errors(pair):
    daemon = pair.daemons[0]
    missing = daemon.call("/issue")
    assert (missing.status, missing.reason) == (428, "key-required")
    first = daemon.call("/issue", key="bit", body=b"bit 17")
    again = daemon.call("/issue", key="bit", body=b"bit 17")
    other = daemon.call("/issue", key="bit", body=b"bit 18")
    assert first.body == again.body
    assert (other.status, other.reason) == (422, "key-reused")
    assert pair.runs_by_key("bit") == {"bit": 1}
