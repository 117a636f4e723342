"""Case 1: after a short burst the jobs of a queue hardly start any more."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment  # noqa: E402

ADVICE_MS = (100, 10)
"""Time of an answer to advice, and for each worker named."""
JOBS_PER_S = 4.0
BURST_FACTOR = 2.6
BURST_S = 4.0
"""The site's largest burst."""
CALM_S = 10.0
AFTER_S = 50.0
OLD_S = 20.0
"""Age from which a job without a start counts as stuck."""


def _job():
    step = {"count": 1, "cpu": 500, "mem_mb": 100, "est_ms": 300}
    return {"spec": '{"ms": 300}', "steps": [step]}


class _Callers:
    def __init__(self, run):
        self._run = run
        self._number = 0
        self.accepted_at = {}
        self._tasks = set()

    async def hand_in(self, seconds, per_s):
        """Hand jobs in at a steady rate."""
        end = self._run.now() + seconds
        while self._run.now() < end:
            task = asyncio.ensure_future(self._submit(self._number))
            self._tasks.add(task)
            self._number += 1
            await asyncio.sleep(1 / per_s)

    async def _submit(self, number):
        job = f"{number:016x}"
        status, _ = await self._run.ask(
            number % 3, "POST", f"/q/{job}", _job(), quiet=True
        )
        if status == 200:
            self.accepted_at[job] = self._run.now()


def _stuck(run, callers):
    started = {task.split(".")[0] for _, _, task, _ in run.starts}
    return [
        job
        for job, at in callers.accepted_at.items()
        if job not in started and run.now() - at > OLD_S
    ]


async def case(run, trouble):
    """Play a steady load with one burst."""
    run.quiet = True
    run.advice.quiet = True
    run.advice.approved = list(run.workers)
    callers = _Callers(run)
    await callers.hand_in(CALM_S, JOBS_PER_S)
    run.note(f"the burst begins, {len(run.starts)} starts so far")
    factor = BURST_FACTOR if trouble else 1.0
    await callers.hand_in(BURST_S, JOBS_PER_S * factor)
    run.note("the burst is over")
    for _ in range(int(AFTER_S / 5)):
        await callers.hand_in(5.0, JOBS_PER_S)
        used = [500 * len(worker.runs) for worker in run.workers]
        run.note(
            f"{len(callers.accepted_at)} accepted, {len(run.starts)} starts,"
            f" {len(_stuck(run, callers))} jobs over {OLD_S} s without one;"
            f" advice: {run.advice.handled} answers, {run.advice.refused} x"
            f" 429, {run.advice.skipped} given up; used of 64000 on each"
            f" worker: {used}"
        )
    stuck = _stuck(run, callers)
    run.note(f"jobs over {OLD_S} s old of which nothing has started: {stuck}")
    return not stuck


if __name__ == "__main__":
    sys.exit(deployment.play(__file__, case, workers=7, advice_ms=ADVICE_MS))
