"""Suspends hosts that fail tasks although they report to be healthy.

A faulty host that fails its tasks immediately always has free capacity, so
it would attract more and more tasks. A host is suspended for a while after
tasks of several jobs failed on it in a row with none completed in between.
A single job that fails on every host does not suspend any of them.
"""

import typing

from azurewood.scheduling import host_state
from azurewood.scheduling import messages

MIN_FAILING_JOBS: typing.Final = 2
"""Jobs whose tasks must fail in a row: one job may itself be at fault."""
SUSPENSION_S: typing.Final = 4.0
"""How long a host stays suspended. Faults of hosts last about 5 s."""


def record_run_end(
    host: host_state.Host, row: messages.EndedRow, now: float
) -> None:
    """Record how a run ended and suspend its host if it fails too much."""
    match row.how:
        case messages.End.DONE:
            host.incarnation.failed_tasks = set()
        case messages.End.FAILED:
            host.incarnation.failed_tasks.add(row.task)
            if (
                len({task.job for task in host.incarnation.failed_tasks})
                >= MIN_FAILING_JOBS
            ):
                host.suspended_until = now + SUSPENSION_S
        case _:
            return


def is_sound(host: host_state.Host) -> bool:
    """Return whether a host goes on, as far as known, and takes tasks."""
    return (
        host.present
        and host.incarnation.synced
        and host.unresponsive_since is None
        and not host.ordered_away
        and host.entry is not None
        and host.entry.state is messages.HostState.READY
    )


def usable(host: host_state.Host, now: float) -> bool:
    """Return whether new tasks may be placed on a host."""
    return (
        host.present
        and host.incarnation.synced
        and host.unresponsive_since is None
        and not host.ordered_away
        and not host.emptying
        and not host.incarnation.unknown_runs
        and now >= host.suspended_until
        and host.entry is not None
        and host.entry.state is messages.HostState.READY
    )
