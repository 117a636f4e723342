"""Case 2: a job never starts, as its worker is never asked about."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment  # noqa: E402

JOB = "5c0e7a21d94b36f8"
WORKERS = 40
"""The service's workers, as many as the largest of the site's."""
WAIT_S = 40.0


async def case(run, trouble):
    """Lose one of two workers that may run a job's step."""
    first, other = run.workers[3], run.workers[-3]
    run.advice.approved = [first, other]
    run.note(f"{first.id} and {other.id} may run the steps of the queue")
    if trouble:
        run.note(f"{first.id} is lost for good")
        first.crash()
        await asyncio.sleep(4.5)
        first.unregister()
    await asyncio.sleep(8.0)
    step = {"count": 1, "cpu": 500, "mem_mb": 100, "est_ms": 500}
    body = {"spec": '{"ms": 500}', "steps": [step]}
    status, _ = await run.ask(0, "POST", f"/q/{JOB}", body)
    if status != 200:
        raise deployment.CouldNotRun("the job was not accepted")
    await asyncio.sleep(WAIT_S)
    state = await run.state_of(JOB)
    run.note(f"after {WAIT_S} s: {state}; starts: {run.starts}")
    return bool(run.starts)


if __name__ == "__main__":
    sys.exit(
        deployment.play(__file__, case, workers=WORKERS, advice_ms=(20, 1))
    )
