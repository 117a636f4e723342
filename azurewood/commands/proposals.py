"""Propose changes from commands, report conflicts and wait for zones."""

from collections import abc
import dataclasses
import difflib
import time
import typing

import click

from azurewood.commands import base
from azurewood.commands import exceptions
from azurewood.commands import output
from azurewood.operators import client as clients
from azurewood.operators import messages
from azurewood.state import effects
from azurewood.state import records

WAIT_TIMEOUT_S: typing.Final = 60.0
ExitCode = exceptions.ExitCode
Resolution = effects.Resolution
ReadContent = abc.Callable[[messages.AgreedView], str]
"""Returns the current content of an object as text, for a diff."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Draft:
    """A change that a command proposes, and the revision it is based on.

    ``wanted_text`` is the wanted content as text, and ``read_current``
    returns the current content. A change without content to compare has
    neither.
    """

    object: str
    base: int
    change: records.AnyChange
    wanted_text: str = ""
    read_current: ReadContent | None = None


def propose(session: base.Session, draft: Draft) -> effects.Resolved:
    """Propose a change and return the result if it is accepted.

    For any other result, raise ``CommandError`` with its exit code.
    """
    result = session.client.propose(
        records.Proposal(
            object=draft.object, base=draft.base, change=draft.change
        ),
        timeout_s=session.timeout_s,
    )
    match result.resolution:
        case Resolution.ACCEPTED:
            return result
        case Resolution.REJECTED:
            raise exceptions.CommandError(
                _rejection(session, draft, result), code=ExitCode.REJECTED
            )
        case Resolution.NOT_ACCEPTED:
            raise exceptions.CommandError(
                f"{result.object} was not changed: {result.reason}",
                code=ExitCode.NOT_ACCEPTED,
            )
        case _:
            raise exceptions.CommandError(
                f"it is not known whether {result.object} was changed:"
                f" {result.reason}\nask by: azurewood outcome {result.id}",
                code=ExitCode.UNKNOWN,
            )


def _rejection(
    session: base.Session, draft: Draft, result: effects.Resolved
) -> str:
    """Return why a change was rejected; for a conflict, show both sides."""
    lines = [f"{draft.object} was not changed: {result.reason}"]
    seen = session.client.object(draft.object)
    if seen.revision != draft.base:
        who = seen.author or seen.writer or "an unknown proposer"
        lines.append(f"in force: revision {seen.revision}, by {who}")
        lines.append(f"yours:    based on revision {draft.base}")
        lines.extend(_difference(session, draft, seen.revision))
    return "\n".join(lines)


def _difference(
    session: base.Session, draft: Draft, revision: int
) -> abc.Iterator[str]:
    if draft.read_current is None:
        return
    theirs = draft.read_current(session.client.agreed())
    lines = difflib.unified_diff(
        theirs.splitlines(),
        draft.wanted_text.splitlines(),
        f"in force, revision {revision}",
        "yours",
        lineterm="",
        n=1,
    )
    empty = True
    for line in lines:
        empty = False
        yield line
    if empty:
        yield "both say the same"


def show(session: base.Session, result: effects.Resolved) -> None:
    """Print the result of an accepted proposal."""
    if session.is_json:
        output.json(
            {
                "id": result.id,
                "object": result.object,
                "resolution": result.resolution,
                "revision": result.revision,
            }
        )
    else:
        click.echo(f"{result.object} accepted at revision {result.revision}")


def wait_in_force(
    session: base.Session, revision: int, *, timeout_s: float = WAIT_TIMEOUT_S
) -> dict[str, float]:
    """Wait until a revision is in force in every zone.

    Progress is printed for each zone. A daemon has all changes up to its
    own revision in force. Return the number of seconds that each zone took.
    Raise ``CommandError`` after ``timeout_s``.
    """
    begun = time.monotonic()
    took_s: dict[str, float] = {}
    missing: set[str] = set()
    for status in clients.poll(
        session.client.status, deadline=begun + timeout_s
    ):
        zones = progress_by_zone(status, revision)
        missing = {name for name, zone in zones.items() if not zone.in_force}
        for name in zones.keys() - missing - took_s.keys():
            took_s[name] = time.monotonic() - begun
            output.progress(
                f"{name}: in force on {zones[name].up_to_date} of"
                f" {zones[name].alive} daemons after {took_s[name]:.1f} s"
            )
        if not missing:
            return took_s
    raise exceptions.CommandError(
        f"revision {revision} is accepted, but not known to be in force in"
        f" {', '.join(sorted(missing)) or 'any zone'}",
        code=ExitCode.FAILED,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class ZoneProgress:
    """Numbers of live daemons in a zone, and of those with a revision.

    Daemons that are stopping are not counted.
    """

    alive: int = 0
    up_to_date: int = 0

    @property
    def in_force(self) -> bool:
        """Whether all live daemons have the revision, and there is one."""
        return 0 < self.alive == self.up_to_date


def progress_by_zone(
    status: messages.Status, revision: int
) -> dict[str, ZoneProgress]:
    """Count, for each zone, the live daemons that have a revision."""
    zones: dict[str, ZoneProgress] = {}
    for daemon in status.daemons:
        zone = zones.setdefault(daemon.zone, ZoneProgress())
        if daemon.alive and not daemon.stopping:
            zone.alive += 1
            zone.up_to_date += daemon.revision >= revision
    return zones
