"""Calls with keys of client accounts at daemons on the in-memory platform."""

import dataclasses

import pytest

from azurewood.daemons import member as member_module
from azurewood.jobs import catalog
from azurewood.jobs import desk
from azurewood.jobs import model
from azurewood.journal import pages
from standins.fleet import keys
from standins.fleet import platform
from tests.scheduling import deployment

JOB = "/one/00000000000000a1"
BODY = {"spec": "x", "steps": [{"count": 1, "cpu": 500, "est_ms": 60000}]}


def _catalog(version, *, public=(), **accounts):
    queues = {
        name: dataclasses.replace(queue, public=name in public)
        for name, queue in deployment.CATALOG.queues.items()
    }
    found = {
        name: catalog.Account(
            name=name, key_digests=frozenset(map(catalog.key_digest, known))
        )
        for name, known in accounts.items()
    }
    return dataclasses.replace(
        deployment.CATALOG, version=version, queues=queues, accounts=found
    )


@pytest.fixture
def made():
    made = deployment.world()
    made.configure(_catalog(2, x=["x1"], y=["y1"]))
    made.run(1.0)
    return made


def _call(made, method, path, key="", body=None, member=0):
    return keys.call(made, made.members[member], method, path, key, body)


def _poll(made, seconds, *known):
    """Call all running daemons with keys; return the statuses by key."""
    found = {key: set() for key in known}
    for _ in range(int(seconds / 0.1)):
        for number, member in enumerate(made.members):
            if member.up:
                for key in known:
                    status = _call(made, "GET", "/one/", key, member=number)
                    found[key].add(status)
        made.run(0.1)
    return found


def _rotate(made, cut_s=0.0):
    """Replace x's key while a daemon is cut off; call all of them."""
    if cut_s:
        made.members[1].cut_from.add(platform.STORE)
    made.configure(_catalog(3, x=["x2"], y=["y1"]))
    _poll(made, max(cut_s, 5.0), "x1", "x2", "y1", "never", "")
    made.members[1].cut_from.clear()
    return _poll(made, 4.0, "x1", "x2", "y1", "never", "")


def test_a_key_works_from_its_version_on_and_not_after_its_removal(made):
    """Guards against keys that are added or removed late."""
    _rotate(made)
    after = _poll(made, 2.0, "x1", "x2", "y1", "never", "")
    refused, accepted = {401}, {200}
    assert list(after.values()) == [
        refused,
        accepted,
        accepted,
        refused,
        refused,
    ]
    deployment.check(made)


def test_a_daemon_cut_off_from_the_store_accepts_no_removed_key(made):
    """Guards against a daemon that has missed the removal of a key."""
    made.members[1].cut_from.add(platform.STORE)
    made.run(2.6)
    assert _call(made, "GET", "/one/", "y1", member=1) == 503
    _rotate(made, cut_s=8.0)
    assert _call(made, "GET", "/one/", "x2", member=1) == 200
    deployment.check(made)


def test_it_does_if_the_age_of_its_reading_does_not_count(made, monkeypatch):
    monkeypatch.setattr(
        desk.JobService, "has_fresh_catalog", lambda self: True
    )
    _rotate(made, cut_s=8.0)
    found = {breach.rule for breach in made.rules.breaches}
    assert "call accepted by an outdated version" in found


def test_without_accounts_a_daemon_that_is_cut_off_still_answers():
    """Guards against refused calls where the configuration has no accounts."""
    made = deployment.world()
    made.members[1].cut_from.add(platform.STORE)
    made.run(6.0)
    assert _call(made, "GET", "/one/", member=1) == 200


SLOW = 80.0
"""Factor of the store's delay: about 0.5 s there and back."""


def test_slow_reads_of_the_configuration_keep_keys_valid(made):
    """Guards against refusals while reads are only slow and held open."""
    made.slow = SLOW
    assert _poll(made, 12.0, "y1") == {"y1": {200}}


def test_they_do_not_if_reads_are_held_open_as_without_accounts(
    made, monkeypatch
):
    monkeypatch.setattr(member_module, "KEYS_WAIT_MS", member_module.WAIT_MS)
    made.slow = SLOW
    assert _poll(made, 12.0, "y1") == {"y1": {200, 503}}


def test_a_restarted_daemon_accepts_calls_by_the_newest_version_only(made):
    """Guards against calls that are accepted before the listing."""
    made.members[1].kill()
    made.configure(_catalog(3, x=["x2"]))
    made.run(5.0)
    made.members[1].start()
    assert _call(made, "GET", "/one/", "x1", member=1) == 503
    assert _poll(made, 3.0, "x1", "x2")["x1"] <= {401, 503}
    assert _call(made, "GET", "/one/", "x2", member=1) == 200
    deployment.check(made)


def test_a_key_that_no_version_had_runs_nothing(made):
    """Guards against jobs of callers that have no account."""
    assert _call(made, "POST", JOB, "never", BODY) == 401
    assert _call(made, "POST", JOB, "", BODY) == 401
    made.run(2.0)
    assert not made.store.values(pages.Topic.JOBS)
    assert not made.rules.starts


def test_the_rules_find_a_call_that_no_version_allowed(made, monkeypatch):
    account = catalog.Account(name="z")
    monkeypatch.setattr(
        catalog.Catalog, "account_of", lambda self, key: account
    )
    status = _call(made, "GET", "/one/", "never")
    monkeypatch.undo()
    del made.key_rules._versions[0]  # It had no accounts.
    made.key_rules.check("/one/", "never", status)
    assert "no version ever allowed" in made.rules.breaches[0].rule


def _assert_owned_by_x(made, member):
    """Check that only x reaches the job, whose existence y cannot see."""
    calls = [("GET", "y1", None), ("DELETE", "y1", None)]
    statuses = [
        _call(made, method, JOB, key, body, member)
        for method, key, body in [*calls, ("POST", "y1", BODY)]
    ]
    unknown = [
        _call(made, method, "/one/00000000000000ff", key, body, member)
        for method, key, body in calls
    ]
    assert statuses == [*unknown, 409]


def test_a_job_is_its_accounts_alone_at_every_stage(made):
    """Guards against another account that sees, cancels or reuses a job.

    Its request is open first, then its record is stored and not read yet,
    and then all daemons have read it.
    """
    usual = made.fault_of
    made.fault_of = lambda call: (
        "lost" if call.wait_s == member_module.WAIT_MS / 1000 else usual(call)
    )
    made.run(1.1)
    assert _call(made, "POST", JOB, "x1", BODY) == 504
    _assert_owned_by_x(made, 0)
    made.run(0.3)
    service = made.members[0].member.job_service
    assert service.unread
    assert not service.registry.entries
    _assert_owned_by_x(made, 0)
    assert _call(made, "GET", JOB, "x1") == 200
    assert _call(made, "POST", JOB, "x1", BODY) == 200
    made.fault_of = usual
    made.run(4.0)
    for member in range(3):
        _assert_owned_by_x(made, member)
        assert _call(made, "GET", JOB, "y1", member=member) == 410
        assert _call(made, "GET", JOB, "x1", member=member) == 200
    record = service.registry.entries["00000000000000a1"]
    assert record.job.account == "x"
    assert record.phase is model.Phase.RUNNING
    _call(made, "DELETE", JOB, "x1")
    made.run(1.0)
    assert record.phase is model.Phase.CANCELLED
    deployment.check(made)


def test_jobs_follow_their_account_over_versions(made):
    """Keys rotate, queues become public, and accounts are removed."""
    _call(made, "POST", JOB, "x1", BODY)
    made.configure(_catalog(3, x=["x2"], y=["y1"]))
    made.run(1.0)
    assert _call(made, "GET", JOB, "x2") == 200
    made.configure(_catalog(4, y=["y1"]))
    made.run(1.0)
    assert _call(made, "GET", JOB, "x2") == 401
    assert _call(made, "GET", JOB, "y1") == 410
    assert made.rules.live("00000000000000a1")
    made.configure(_catalog(5, public=["one"], y=["y1"]))
    made.run(1.0)
    assert _call(made, "GET", JOB) == 200
    assert _call(made, "POST", JOB, "", BODY) == 200
    deployment.check(made)


def test_a_job_without_an_account_is_open_to_who_may_call_its_queue(made):
    """As are jobs that the previous release stored."""
    made.configure(_catalog(3, public=["one", "two"], y=["y1"]))
    made.run(1.0)
    assert _call(made, "POST", JOB, "y1", BODY) == 504
    made.configure(_catalog(4, public=["two"], y=["y1"]))
    made.run(1.0)
    entries = made.members[0].member.job_service.registry.entries
    assert not entries["00000000000000a1"].job.account
    assert _call(made, "GET", JOB, "y1") == 200
    assert _call(made, "GET", JOB) == 401
    other = JOB.replace("one", "two")
    assert _call(made, "GET", other) == 410
    assert _call(made, "GET", other, "y1") == 200
