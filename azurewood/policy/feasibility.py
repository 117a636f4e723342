"""Refuses jobs that no host of the deployment can ever run.

A job that needs more than the largest machine offers would otherwise be
accepted and wait indefinitely, and so would its caller.
"""

import typing

from azurewood.jobs import model

RETRY_AFTER_S: typing.Final = 60
"""Long, because a larger machine has to be installed first."""


def infeasible_reason(job: model.Job, largest: model.Resources) -> str:
    """Return which step fits on no machine, or an empty string.

    The result is also empty while ``largest`` is empty, that is before the
    list of machines was read.
    """
    if largest == model.Resources():
        return ""
    for number, step in enumerate(job.steps):
        if not step.reserved.fits(largest):
            return (
                f"step {number} needs {_format(step.reserved)},"
                f" the largest host has {_format(largest)}"
            )
    return ""


def _format(resources: model.Resources) -> str:
    return (
        f"{resources.cpu} mcpu, {resources.memory_mb} MB, {resources.gpu} GPUs"
    )
