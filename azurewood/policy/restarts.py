"""Decides where a task starts again while an earlier start may be late.

The load: for seconds, a part of the starts gets no answer. Hosts carry some
of them out up to twelve seconds later, and some hosts are silent meanwhile,
restart under their ids, also more than once, move or come back. A run that
begins late beside the task's next run is a task that runs twice; so is one
that begins after the end of its task was acknowledged. A task that waits for
the latest possible time instead stands still beside free hosts.

What bars a late start ends with the host's incarnation. A host treats all
starts of one run as one start, in each incarnation. So while the host of a
late start goes on, the task starts there again under the number of that run.
It gets a number of its own, on any host, once no start of the earlier one can
take effect any more.

If the host has listed the end of that run it refuses the number, and the task
waits. A long-lived task waits for seconds only: then its next run begins on
that host, in a calm time, in which starts are answered. Only if its start got
no answer either, and the host restarted, could both be carried out.
"""

from collections import abc
import dataclasses
import typing

NEXT_RUN_PAUSE_S: typing.Final = 5.0
"""Time from the listed end of a run that may still begin late until its
task's next run. Users miss a long-lived task some seconds after that."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class SentStart:
    """A start without an answer, and its host.

    ``takes_tasks`` is whether the host is known to go on in its incarnation
    and isn't about to leave. A ``draining`` one goes on and has announced its
    end. That it won't return under its id is likely, not promised.
    ``repeatable`` is whether the same run may be started again: it is the
    task's newest one, and the host hasn't listed its end. If it has,
    ``next_run_at`` is when the next run may begin there, None if it may not.
    ``possible_until`` is when the host carries it out at the latest,
    ``expires_at`` when the last lease has expired that it may obtain.
    ``listed_at`` is when the host's newest list was requested. In a ``calm``
    time no start of late is known to have got no answer, on any host.
    """

    host: str
    takes_tasks: bool
    draining: bool
    repeatable: bool
    next_run_at: float | None
    calm: bool
    possible_until: float
    expires_at: float
    listed_at: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Anywhere:
    """The task's next run may start on any host."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Again:
    """The task may start on one host only, under the same run's number.

    That ends at a deadline.
    """

    host: str
    until: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Only:
    """The task's next run may start on one host only, until a deadline.

    An earlier run of the task may still be late there.
    """

    host: str
    until: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Nowhere:
    """The task may not start, until a deadline at the latest.

    ``host`` is the one that may still carry out the earlier start.
    """

    host: str
    until: float


Where = Anywhere | Again | Only | Nowhere


def where_to_start(sent: SentStart, now: float, *, long_lived: bool) -> Where:
    """Return where a task may begin.

    A run of the late start is on the host's first list after it, or ends
    with its lease. Users wait for a long-lived task, so in a calm time it
    doesn't wait for a draining host, which may restart under its id as well.
    """
    if _is_over(sent, now):
        return Anywhere()
    if sent.takes_tasks and sent.repeatable:
        return Again(host=sent.host, until=sent.expires_at)
    if sent.takes_tasks and long_lived and _may_follow(sent, now):
        return Only(host=sent.host, until=sent.expires_at)
    if sent.draining and long_lived and sent.calm:
        return Anywhere()
    return Nowhere(host=sent.host, until=sent.expires_at)


def strictest(answers: abc.Iterable[Where]) -> Where:
    """Return where a task may begin that has several late starts.

    These are of different runs. The newest could be started again, but an
    earlier one may be carried out beside it.
    """
    found = [where for where in answers if not isinstance(where, Anywhere)]
    if not found:
        return Anywhere()
    if len(found) == 1:
        return found[0]
    latest = max(found, key=lambda where: where.until)
    return Nowhere(host=latest.host, until=latest.until)


def _may_follow(sent: SentStart, now: float) -> bool:
    """Return whether the next run may begin beside the earlier start."""
    next_at = sent.next_run_at
    return sent.calm and next_at is not None and now >= next_at


def _is_over(sent: SentStart, now: float) -> bool:
    """Return whether a run of the start would be known or has expired."""
    return sent.listed_at > sent.possible_until or now > sent.expires_at
