"""Which hosts fail what they run, told apart from jobs that fail anywhere.

Answers the load of a host that takes work and fails all of it while it says
that it is healthy: failing at once, it is always free and would draw ever
more tasks. Failures of several jobs' tasks with none done between them
suspend a host for a while; a job that fails everywhere is only one.
"""

import typing

from azurewood.scheduling import messages
from azurewood.scheduling import model

FAILING_JOBS: typing.Final = 2
"""Jobs whose tasks have to fail in a row: one may be the job's own fault."""
PAUSE_S: typing.Final = 4.0
"""How long a host is then left out; faults of hosts last about 5 s."""


def ended(host: model.Host, row: messages.EndedRow, now: float) -> None:
    """Take in how a run ended on a host."""
    match row.how:
        case messages.End.DONE:
            host.failed_tasks = set()
        case messages.End.FAILED:
            host.failed_tasks.add(row.task)
            if len({task.job for task in host.failed_tasks}) >= FAILING_JOBS:
                host.suspended_until = now + PAUSE_S
        case _:
            return


def usable(host: model.Host, now: float) -> bool:
    """Return whether new tasks may go to a host."""
    return (
        host.present
        and host.synced
        and host.unresponsive_since is None
        and not host.leaving
        and not host.unknown_runs
        and now >= host.suspended_until
        and host.entry is not None
        and host.entry.state is messages.HostState.READY
    )
