"""Requests that callers repeat at a daemon before their verdict is known."""

import pytest

from azurewood.jobs import records
from azurewood.jobs import verdicts
from azurewood.journal import pages
from tests.scheduling import deployment

UNANSWERED_S = 4.0
"""Time without answers of the store, for longer than a record waits."""
RECOVERED_S = 3.0


class _Entry:
    """A daemon whose store carries appends out late and answers none."""

    def __init__(self):
        self.made = deployment.world()
        self.member = self.made.members[0].member
        self.service = self.member.job_service
        self.told = []
        self.answers = True
        enqueue = self.service._enqueue
        usual = self.made.fault_of

        def keep(request):
            request.future.add_done_callback(
                lambda fut: self.told.append(fut.result())
            )
            enqueue(request)

        def fault_of(call):
            is_append = call.partition == (pages.Topic.JOBS, 0)
            return "late" if is_append and not self.answers else usual(call)

        self.service._enqueue = keep
        self.made.fault_of = fault_of

    def repeat(self, ask):
        """Ask twice without answers; return all verdicts in the end."""
        self.answers = False
        told = [ask()]
        self.made.run(0.5)
        told.append(ask())
        self.made.run(UNANSWERED_S)
        self.answers = True
        self.made.run(RECOVERED_S)
        return told + self.told


@pytest.fixture
def entry():
    return _Entry()


def test_no_job_is_refused_that_an_earlier_request_may_have_stored(entry):
    job = deployment.job(entry.made, 1)
    entry.made.rules.asked[job.id] = job
    told = entry.repeat(lambda: entry.service.submit(job, timeout_s=0.0))
    assert verdicts.Taken() in told
    assert not [v for v in told if isinstance(v, verdicts.Refused)]


def test_no_job_is_refused_for_stale_reads_while_its_request_is_open(entry):
    job = deployment.job(entry.made, 1)
    entry.service.submit(job, timeout_s=0.0)
    entry.service.fresh_at = -10.0
    verdict = entry.service.submit(job, timeout_s=0.0)
    assert isinstance(verdict, verdicts.OutcomeUnknown)


def test_a_job_that_was_refused_is_stored_when_it_is_handed_in_again(entry):
    job = deployment.job(entry.made, 1)
    requests = []
    entry.service._enqueue = requests.append
    entry.service.submit(job, timeout_s=0.0)
    requests[0].future.set_result(verdicts.Refused(reason="test"))
    entry.service.submit(job, timeout_s=0.0)
    assert [r.record for r in requests] == [records.Accepted(job=job)] * 2


def test_a_job_that_may_be_stored_yet_is_not_denied(entry):
    """A cancellation that is answered with 410 would not be stored."""
    job = deployment.job(entry.made, 1)
    entry.made.rules.asked[job.id] = job
    entry.answers = False
    entry.service.submit(job, timeout_s=0.0)
    entry.made.run(0.5)
    assert isinstance(entry.service.show(job.id), verdicts.StatusUnknown)
    cancelled = entry.service.cancel(job.id, timeout_s=0.0)
    assert isinstance(cancelled, verdicts.Refused)
    entry.answers = True
    entry.made.run(RECOVERED_S)
    assert isinstance(entry.service.show(job.id), verdicts.JobStatus)
    other = deployment.job(entry.made, 2)
    assert isinstance(entry.service.show(other.id), verdicts.NotThere)
