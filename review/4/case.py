"""Case 4: a cancelled job runs on, as a daemon didn't know it yet."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment  # noqa: E402

JOBS = 120
INTERVAL_S = 0.1
"""Ten jobs a second, about as many as the site's page has."""
CANCELLED_SHARE = 0.4
CANCEL_S = 3.0
"""``cancel_ms`` of the site's page."""
LATER_S = 1.0
"""Without trouble, a job is cancelled this long after its acceptance."""
STEPS = 4
STEP_MS = 1500


class _Case:
    def __init__(self, run, trouble):
        self._run = run
        self._trouble = trouble
        self._random = random.Random(7)
        self.acknowledged = {}

    async def client(self, number):
        """Hand a job in at one daemon and cancel it at another."""
        await asyncio.sleep(number * INTERVAL_S)
        job = f"{self._random.getrandbits(64):016x}"
        cancels = self._random.random() < CANCELLED_SHARE
        step = {"count": 1, "cpu": 500, "mem_mb": 100, "est_ms": STEP_MS}
        steps = [
            step | ({"after": [index - 1]} if index else {})
            for index in range(STEPS)
        ]
        body = {"spec": f'{{"ms": {STEP_MS}}}', "steps": steps}
        first = number % 3
        status, _ = await self._run.ask(first, "POST", f"/q/{job}", body)
        if status != 200 or not cancels:
            return
        if not self._trouble:
            await asyncio.sleep(LATER_S)
        second = (first + 1) % 3
        status, _ = await self._run.ask(second, "DELETE", f"/q/{job}")
        if status in (200, 410):
            self.acknowledged[job] = (self._run.now(), status)


async def case(run, trouble):
    """Cancel some jobs right after their acceptance."""
    played = _Case(run, trouble)
    await asyncio.gather(*(played.client(n) for n in range(JOBS)))
    await asyncio.sleep(STEPS * STEP_MS / 1000 + 4)
    late = []
    for at, worker, task, _ in run.starts:
        known = played.acknowledged.get(task.split(".")[0])
        if known is not None and at > known[0] + CANCEL_S:
            late.append((worker, task, round(at - known[0], 3), known[1]))
    answers = [status for _, status in played.acknowledged.values()]
    run.note(
        f"{len(answers)} cancels acknowledged, {answers.count(410)} by 410"
    )
    for worker, task, after_s, status in late:
        run.note(
            f"{task} starts on {worker} {after_s} s after the {status}"
            " to its job's DELETE"
        )
    return bool(answers) and not late


if __name__ == "__main__":
    sys.exit(deployment.play(__file__, case, workers=6))
