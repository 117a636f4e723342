"""Refusal under load, compared with accepting all jobs."""

import collections

import pytest

from azurewood.jobs import model
from azurewood.leadership import records
from azurewood.policy import load_shedding
from tests.policy import played_load

WAITS = (
    records.Wait(work=1, wait_ms=600),
    records.Wait(work=1000, wait_ms=9000),
)
LOAD = records.QueueLoad(
    queue="q",
    waits=WAITS,
    beyond=(
        records.AccountLoad(
            account="flood", waits=(records.Wait(work=0, wait_ms=30_000),)
        ),
    ),
)
JOB = played_load.make_job("j", "a", 0, count=4)
SMALL = played_load.make_job("s", "a", 0, count=1)
FLOOD = played_load.make_job("f", "flood", 0, count=1)
OVERLOAD = model.Resources(32_000, 100_000, 0)


def _refused(job, age_s=0.5, load=LOAD):
    decided = load_shedding.decide(job, (load,), age_s)
    return isinstance(decided, load_shedding.Refuse)


def test_only_jobs_whose_answer_comes_too_late_are_refused():
    """Guards against refusals of jobs that could still be of use."""
    assert _refused(JOB)
    assert not _refused(SMALL)
    assert _refused(FLOOD)
    useful = 3 * (1.6 * 600 + 600) - 600
    for wait_ms, refused in ((useful, False), (useful + 1, True)):
        waits = (records.Wait(work=0, wait_ms=int(wait_ms)),)
        load = records.QueueLoad(queue="q", waits=waits)
        assert _refused(SMALL, load=load) is refused


@pytest.mark.parametrize(
    "changed",
    [
        {"schedule": model.Schedule(count=2, first_ms=0, interval_ms=9)},
        {"queue": "other"},
        {"objective_factor": 0.0, "objective_ms": 0},
    ],
)
def test_other_jobs_are_never_refused(changed):
    """Guards against refused schedules, and jobs without an objective."""
    args = {f: getattr(JOB, f) for f in JOB.__struct_fields__} | changed
    assert not _refused(model.Job(**args))


def test_long_lived_jobs_are_never_refused():
    """Guards against a peak that keeps long-lived jobs from starting."""
    job = played_load.make_job("l", "a", 0, count=4, long_lived=True)
    assert not _refused(job)


def test_an_old_report_refuses_nothing():
    """Guards against refusals long after the leader was lost."""
    assert _refused(JOB, age_s=load_shedding.REPORT_VALID_S)
    assert not _refused(JOB, age_s=load_shedding.REPORT_VALID_S + 0.01)


def test_retries_are_spread_and_grow_with_the_backlog():
    """Guards against callers that all return in the same second."""
    means = []
    for late_ms in (1, 1500, 3500, 60_000):
        counts = collections.Counter(
            load_shedding.retry_after_s(f"{n:x}", late_ms) for n in range(3000)
        )
        assert len(counts) >= 3
        assert max(counts.values()) <= 3000 / len(counts) * 1.2
        assert min(counts) >= 1 and max(counts) <= 10
        assert min(counts) * 1000 >= min(late_ms, 5000)
        means.append(sum(s * n for s, n in counts.items()) / 3000)
    assert means == sorted(means)


def _play(accounts, monkeypatch, capacity=OVERLOAD):
    """Return sums over plays: refused, needless, useful before and after."""
    monkeypatch.setattr(played_load, "CAPACITY", capacity)
    found = collections.Counter()
    for seed in range(5):
        coming = played_load.arrivals(seed, flood=True)
        args = {"accounts": accounts}
        usual = played_load.play(coming, played_load.by_shares, **args)
        shed = played_load.play(
            coming, played_load.by_shares, shed=True, **args
        )
        found["jobs"] += len(coming)
        found["refused"] += len(shed.refused)
        found["needless"] += sum(map(usual.useful, shed.refused))
        found["flood"] += sum(
            shed.jobs[id].account == played_load.FLOODING
            for id in shed.refused
        )
        found["useful"] += sum(map(shed.useful, shed.jobs))
        found["usual"] += sum(map(usual.useful, usual.jobs))
    return found


@pytest.mark.parametrize("accounts", [True, False])
def test_refusals_are_of_jobs_that_would_not_be_served(accounts, monkeypatch):
    """Guards against refusals of jobs that would have been served in time.

    The baseline accepts all jobs. In a peak of three times the capacity,
    refusals give more useful answers, and few of them are needless. With
    accounts, most of them are of the one that floods, which has less than
    half of the jobs.
    """
    found = _play(accounts, monkeypatch)
    assert found["refused"] >= 30
    assert found["needless"] <= 0.25 * found["refused"]
    assert found["useful"] >= found["usual"]
    if accounts:
        assert found["flood"] >= 0.6 * found["refused"]
    accepted = found["jobs"] - found["refused"]
    late = accepted - found["useful"]
    assert late <= found["jobs"] - found["usual"] - 0.6 * found["refused"]


def test_a_peak_that_is_served_in_time_refuses_hardly_any(monkeypatch):
    """Guards against a wait that is overrated."""
    enough = model.Resources(60_000, 100_000, 0)
    found = _play(False, monkeypatch, enough)
    assert found["refused"] <= 0.002 * found["jobs"]


def test_an_overrated_wait_is_found(monkeypatch):
    """Shows that the measure of needless refusals fails on a wrong wait."""
    usual = load_shedding.decide

    def overrated(job, queues, age_s):
        queues = tuple(_times(load, 3) for load in queues)
        return usual(job, queues, age_s)

    monkeypatch.setattr(load_shedding, "decide", overrated)
    found = _play(False, monkeypatch)
    assert found["needless"] > 0.25 * found["refused"]


def _times(load, factor):
    waits = tuple(
        records.Wait(work=0, wait_ms=factor * wait.wait_ms)
        for wait in load.waits
    )
    return records.QueueLoad(queue=load.queue, waits=waits)
