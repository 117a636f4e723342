"""Case 1: a job that lasts is given up after four crashes of workers."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment  # noqa: E402

JOB = "5c0e7a21d94b36f8"
CRASHES = 5
AT_WORK_S = 3.0
"""Time at work before each crash."""
DOWN_S = 2.0
SETTLE_S = 10.0


async def _wait_for_worker(run):
    """Return the worker that runs the work item, once it is at work."""
    end = run.now() + 12
    while run.now() < end:
        for worker in run.workers:
            if any(task.startswith(JOB) for task, _ in worker.runs):
                return worker
        await asyncio.sleep(0.05)
    return None


async def case(run, trouble):
    """Crash one worker of seven at a time, and ask for the job's state."""
    step = {
        "count": 1,
        "cpu": 500,
        "mem_mb": 256,
        "est_ms": 900,
        "long_running": True,
    }
    body = {"spec": '{"ms": 0}', "steps": [step]}
    status, _ = await run.ask(0, "POST", f"/q/{JOB}", body)
    if status != 200:
        raise deployment.CouldNotRun("the job was not accepted")
    for number in range(CRASHES):
        worker = await _wait_for_worker(run)
        if worker is None:
            break
        await asyncio.sleep(AT_WORK_S)
        if trouble:
            run.note(f"crash {number + 1}: {worker.id} ends without a word")
            worker.crash()
            await asyncio.sleep(DOWN_S)
            await worker.start()
            run.note(f"{worker.id} starts again, it knows nothing of before")
        else:
            await asyncio.sleep(DOWN_S)
        await run.state_of(JOB)
    await asyncio.sleep(SETTLE_S)
    states = [await run.state_of(JOB, number=n) for n in range(3)]
    failed = [end for end in run.ends if end[4] == "failed"]
    running = any(worker.runs for worker in run.workers)
    run.note(f"states {states}, ends 'failed' {failed}, running {running}")
    for line in run.logged("task.given_up"):
        run.note(f"daemon's log: {line}")
    return running and states == ["running"] * 3


if __name__ == "__main__":
    sys.exit(deployment.play(__file__, case, workers=7))
