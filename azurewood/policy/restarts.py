"""Decides where a task starts again while an earlier start may be late.

The load: for seconds, a part of the starts gets no answer. Hosts carry some
of them out up to twelve seconds later, and some hosts are silent meanwhile,
restart under their ids, move or come back. A run that begins late beside the
task's next run is a task that runs twice; so is one that begins after the
end of its task was acknowledged. A task that waits for the latest possible
time instead stands still beside free hosts.

A host that goes on in its incarnation treats a late start of an older run
as done, once it has a newer run of the task. So a long-lived task begins on
that host at once. Other tasks wait: their ends are acknowledged, after which
the host would carry a late start out. On a silent host nothing is known of
the incarnation that a late start may reach, and its runs end with the lease.
"""

import dataclasses
import enum


class HostCondition(enum.Enum):
    """What is known of the host that a late start was sent to.

    ``PRESENT`` hosts go on in their incarnation. ``LEAVING`` ones do too,
    take no tasks, and won't return under their ids. Of ``SILENT`` ones
    nothing newer is known.
    """

    PRESENT = "present"
    LEAVING = "leaving"
    SILENT = "silent"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class SentStart:
    """A start without an answer, and its host.

    ``possible_until`` is when the host carries it out at the latest,
    ``expires_at`` when the last lease has expired that it may obtain.
    ``listed_at`` is when the host's newest list was requested.
    """

    host: str
    condition: HostCondition
    possible_until: float
    expires_at: float
    listed_at: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Anywhere:
    """The task may start on any host."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Only:
    """The task may start on one host only, until a deadline."""

    host: str
    until: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Nowhere:
    """The task may not start, until a deadline at the latest.

    ``host`` is the one that may still carry out the earlier start.
    """

    host: str
    until: float


Where = Anywhere | Only | Nowhere


def where_to_start(sent: SentStart, now: float, *, long_lived: bool) -> Where:
    """Return where the next run of a task may begin.

    A run of the late start is on the host's first list after it, or ends
    with its lease.
    """
    if _is_over(sent, now):
        return Anywhere()
    if not long_lived:
        return Nowhere(host=sent.host, until=sent.expires_at)
    match sent.condition:
        case HostCondition.PRESENT:
            return Only(host=sent.host, until=sent.expires_at)
        case HostCondition.LEAVING:
            return Anywhere()
        case HostCondition.SILENT:
            return Nowhere(host=sent.host, until=sent.expires_at)


def _is_over(sent: SentStart, now: float) -> bool:
    """Return whether a run of the start would be known or has expired."""
    return sent.listed_at > sent.possible_until or now > sent.expires_at
