"""Refuses jobs that no host or no account's limit can ever hold.

A job that needs more than the largest machine offers would otherwise be
accepted and wait indefinitely, and so would its caller. The same holds for a
task or a gang that alone is larger than the limit of its account.
"""

import typing

import msgspec

from azurewood.jobs import catalog
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


def over_limit_reason(job: model.Job, known: catalog.Catalog | None) -> str:
    """Return which task or gang is larger than its account's limit, or "".

    The members of a gang run at the same time. A limit of 0 is none.
    """
    accounts = known.accounts if known is not None else None
    account = (accounts or {}).get(job.account)
    if account is None:
        return ""
    for number, step in enumerate(job.steps):
        together = step.count if step.gang else 1
        for unit, need, most in zip(
            ("mcpu", "MB", "GPUs"),
            msgspec.structs.astuple(step.needs),
            msgspec.structs.astuple(account.limit),
            strict=True,
        ):
            if most and need * together > most:
                what = "the gang of step" if step.gang else "step"
                return (
                    f"{what} {number} needs {need * together} {unit},"
                    f" the account's limit is {most}"
                )
    return ""


def _format(resources: model.Resources) -> str:
    return (
        f"{resources.cpu} mcpu, {resources.memory_mb} MB, {resources.gpu} GPUs"
    )
