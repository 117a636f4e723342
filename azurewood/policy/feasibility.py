"""Which jobs are refused at once because no host can ever run them.

Answers the load of jobs that ask for more than the largest machine of the
deployment has: taken, they would wait for good, and their callers with them.
"""

import typing

from azurewood.jobs import model

RETRY_AFTER_S: typing.Final = 60
"""When to come back: larger machines are installed, not lent."""


def infeasible_reason(job: model.Job, most: model.Resources) -> str:
    """Say which step no machine can hold; empty if there is none.

    Nothing is said while ``most`` is empty: no list was read yet.
    """
    if most == model.Resources():
        return ""
    for number, step in enumerate(job.steps):
        if not step.reserved.fits(most):
            return (
                f"step {number} needs {_text(step.reserved)},"
                f" the largest host has {_text(most)}"
            )
    return ""


def _text(room: model.Resources) -> str:
    return f"{room.cpu} mcpu, {room.memory_mb} MB, {room.gpu} GPUs"
