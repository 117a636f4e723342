"""Case 2: after one large job no job of any caller starts any more."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment  # noqa: E402

LARGE = "5c0e7a21d94b36f8"
LARGE_COUNT = 10000
USUAL_COUNT = 24
"""Work items of the widest job on the site's page."""
SMALL_JOBS = 6
SMALL_INTERVAL_S = 8.0
WAIT_S = 25.0


def _job(count, length_ms):
    step = {"count": count, "cpu": 10, "mem_mb": 10, "est_ms": length_ms}
    return {"spec": f'{{"ms": {length_ms}}}', "steps": [step]}


async def case(run, trouble):
    """Hand in a job, then small ones, and wait for the small ones."""
    run.quiet = True
    count = LARGE_COUNT if trouble else USUAL_COUNT
    status, _ = await run.ask(0, "POST", f"/q/{LARGE}", _job(count, 60000))
    if status != 200:
        raise deployment.CouldNotRun("the large job was not accepted")
    run.note(f"it has {count} work items of 0.01 cores each")
    accepted = []
    for number in range(SMALL_JOBS):
        await asyncio.sleep(SMALL_INTERVAL_S)
        job = f"{number:016x}"
        status, _ = await run.ask(1, "POST", f"/q/{job}", _job(2, 500))
        if status == 200:
            accepted.append(job)
        _note_load(run)
    await asyncio.sleep(WAIT_S)
    _note_load(run)
    states = {job: await run.state_of(job, number=2) for job in accepted}
    started = {task.split(".")[0] for _, _, task, _ in run.starts}
    lost = [job for job in accepted if job not in started]
    run.note(f"small jobs: {states}")
    run.note(f"accepted and no work item of it was ever started: {lost}")
    return bool(accepted) and not lost


def _note_load(run):
    used = [10 * len(worker.runs) for worker in run.workers]
    run.note(f"used of 64000 thousandths of a core on each worker: {used}")


if __name__ == "__main__":
    sys.exit(deployment.play(__file__, case, workers=7))
