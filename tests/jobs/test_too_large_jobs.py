"""Jobs whose own record is larger than the store takes."""

from azurewood.jobs import model
from azurewood.jobs import verdicts
from azurewood.platform import frontdoor
from tests.scheduling import deployment


def _steps(count):
    step = model.Step(count=1, estimate_ms=900, label="kind", data_rack="r1")
    return [step] * count


def test_a_job_that_the_store_does_not_take_is_refused_at_once():
    """Guards against LOST: it held all later jobs of its daemon up."""
    made = deployment.world()
    service = made.members[0].member.job_service
    job = deployment.job(made, 1, *_steps(19000))
    verdict = service.submit(job, timeout_s=0.0)
    assert isinstance(verdict, verdicts.TooLarge)
    assert frontdoor._verdict(verdict).status_code == 413


def test_a_job_of_which_only_the_store_knows_that_it_is_too_large():
    made = deployment.world()
    made.store.max_record_bytes = 20_000
    service = made.members[0].member.job_service
    large = deployment.job(made, 1, *_steps(900))
    answers = []
    enqueue = service._enqueue

    def keep(request):
        request.future.add_done_callback(
            lambda fut: answers.append(fut.result())
        )
        enqueue(request)

    service._enqueue = keep
    for job in (large, deployment.job(made, 2)):
        made.rules.asked[job.id] = job
        service.submit(job, timeout_s=0.0)
    made.run(1.0)
    assert sorted(type(verdict).__name__ for verdict in answers) == [
        "Taken",
        "TooLarge",
    ]
