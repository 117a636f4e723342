"""Gangs of the simulated hosts: members of one run work and end together.

The members of a run of a gang work once all are present. If one of them ends
otherwise than by its work, the others are broken. A member whose gang isn't
whole in time ends alone.
"""

from collections import abc
import dataclasses
import functools
import typing

from azurewood.jobs import model
from azurewood.scheduling import messages
from standins.fleet import clock as clocks

ALONE_S = 3.0
"""Time from a member's start within which its gang has to be whole."""
BROKEN_S = 0.02
"""Time from a member's end until the others are broken."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Member:
    """A run of a gang's task; ``finish`` ends it on its host.

    It works for ``duration_s``, which is None for a long-lived step.
    """

    run: typing.Any
    duration_s: float | None
    finish: abc.Callable[[messages.End], None]


Gang = tuple[model.TaskId, int]
"""What all members of one run of a gang share."""
Members = dict[int, Member]
"""The members of one run of a gang that are present, by task index."""


class Gangs:
    """The gangs of all hosts."""

    __slots__ = ("_clock", "_present")

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._present: dict[Gang, Members] = {}

    def join(self, member: Member) -> None:
        """Add a member that has begun; a gang that is whole now works."""
        run = member.run
        members = self._present.setdefault(_gang(run), {})
        members[run.task.index] = member
        if len(members) < run.step.count:
            self._clock.after(ALONE_S, lambda: self._end_alone(member))
        else:
            self._work(members)

    def _work(self, members: Members) -> None:
        """Have the members that fail end one by one, or all end together."""
        limited = [m for m in members.values() if m.duration_s is not None]
        failing = [m for m in limited if m.run.how is not messages.End.DONE]
        for member in failing:
            self._clock.after(
                member.duration_s, functools.partial(_end_work, member)
            )
        if limited and not failing:
            duration_s = max(member.duration_s for member in limited)
            gang = _gang(limited[0].run)
            self._clock.after(duration_s, lambda: self._end_all(gang, members))

    def leave(self, run: typing.Any) -> None:
        """Remove a run that has ended; break the others of a whole gang."""
        members = self._present.get(_gang(run), {})
        if not _is_present(run, members):
            return
        whole = len(members) == run.step.count
        del members[run.task.index]
        if whole or not members:
            del self._present[_gang(run)]
        if whole:
            self._clock.after(
                BROKEN_S, lambda: _finish(members, messages.End.BROKEN)
            )

    def _end_all(self, gang: Gang, members: Members) -> None:
        """End the work of a gang, unless it has been broken before."""
        if self._present.get(gang) is members:
            del self._present[gang]
            _finish(members, messages.End.DONE)

    def _end_alone(self, member: Member) -> None:
        """End a member if its gang still lacks others."""
        run = member.run
        members = self._present.get(_gang(run), {})
        if _is_present(run, members) and len(members) < run.step.count:
            member.finish(messages.End.ALONE)


def _gang(run: typing.Any) -> Gang:
    return (run.task._replace(index=0), run.run)


def _is_present(run: typing.Any, members: Members) -> bool:
    member = members.get(run.task.index)
    return member is not None and member.run is run


def _end_work(member: Member) -> None:
    member.finish(member.run.how)


def _finish(members: Members, how: messages.End) -> None:
    for member in list(members.values()):
        member.finish(how)
