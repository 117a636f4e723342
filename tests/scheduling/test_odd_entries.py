"""A host whose entry was good and is odd: its renewals decide.

The odd entry names no host, so it takes none away either. A leader that
knows the host from its last good entry goes on using it while it answers; a
later leader doesn't know it, and uses the others.
"""

import pytest

from azurewood.jobs import model
from azurewood.journal import appender
from azurewood.journal import pages
from standins.fleet import platform
from tests.scheduling import deployment

ODD = b"odd"


def _make_odd(made, host):
    """Leave an odd entry in place of a host's, for good."""
    publish_entry = made.publish_entry

    def publish(other):
        if other is not host:
            publish_entry(other)

    made.publish_entry = publish
    record = appender.Record(key=host.id, value=ODD)
    made.store.add(pages.Topic.HOSTS, (record,))


def _begin(made):
    """Run a long-lived job and leave an odd entry for one of its hosts."""
    job = deployment.job(made, 1, deployment.LONG_LIVED)
    made.submit(made.members[0], job)
    made.run(4.0)
    assert deployment.running_tasks(made, job.id) == 3
    host = next(h for h in made.hosts.values() if h.runs)
    _make_odd(made, host)
    made.run(1.0)
    return job, host


def _all_hosts_used(made):
    """Return whether three tasks that each fill a host run at once."""
    needs = made.leaders()[0].member.term.state.largest_capacity
    used = deployment.LONG_LIVED.needs
    step = model.Step(
        count=3,
        needs=model.Resources(
            needs.cpu - used.cpu, needs.memory_mb - used.memory_mb, 0
        ),
        estimate_ms=9000,
        per_host=1,
    )
    job = deployment.job(made, 2, step)
    made.submit(made.members[0], job)
    made.run(2.0)
    return deployment.running_tasks(made, job.id) == 3


def _known(made, host):
    found = made.leaders()[0].member.term.state.hosts.get(host.id)
    return found is not None and found.present


def test_a_host_that_answers_is_used():
    made = deployment.world()
    job, host = _begin(made)
    starts = made.rules.starts
    made.run(12.0)
    assert deployment.running_tasks(made, job.id) == 3
    assert made.rules.starts == starts, "a run was moved without need"
    assert _all_hosts_used(made)
    deployment.check(made)


def test_the_leaders_loop_ends_if_a_decoder_raises(monkeypatch):
    host_record = platform.SimPlatform.host_record

    def nested_too_deeply(self, record):
        if record.value == ODD:
            raise RecursionError
        return host_record(self, record)

    monkeypatch.setattr(platform.SimPlatform, "host_record", nested_too_deeply)
    made = deployment.world()
    with pytest.raises(RecursionError):
        _begin(made)


def test_a_host_that_is_silent_loses_its_runs():
    made = deployment.world(**{"s-one": 4, "s-two": 2})
    job, host = _begin(made)
    host.crash()
    made.run(11.0)
    assert deployment.running_tasks(made, job.id) == 3
    deployment.check(made)


def test_a_later_leader_uses_the_other_hosts():
    made = deployment.world(**{"s-one": 4, "s-two": 2})
    job, host = _begin(made)
    made.leaders()[0].kill()
    made.run(16.0)
    assert not _known(made, host)
    assert deployment.running_tasks(made, job.id) == 3
    other = deployment.job(made, 2)
    made.submit(made.leaders()[0], other)
    made.run(4.0)
    assert deployment.phase(made, other.id) is model.Phase.COMPLETED
    deployment.check(made)


def test_a_host_is_used_again_once_its_entry_is_good():
    made = deployment.world()
    job, host = _begin(made)
    made.leaders()[0].kill()
    made.run(6.0)
    assert not _known(made, host)
    del made.publish_entry
    made.publish_entry(host)
    made.run(8.0)
    assert _known(made, host)
    assert deployment.running_tasks(made, job.id) == 3
    deployment.check(made)
