"""Proposing a change from a command: its end, conflicts and waits."""

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

WAIT_S: typing.Final = 60.0
ExitCode = exceptions.ExitCode
Resolution = effects.Resolution
Contents = abc.Callable[[messages.AgreedView], str]
"""Returns an object's present content as text, for a difference."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Draft:
    """A change that a command wants, and what it was based on.

    ``mine`` is the wanted content as text, ``current`` returns the present
    one; both are empty if the change has no content to compare.
    """

    object: str
    base: int
    change: records.AnyChange
    mine: str = ""
    current: Contents | None = None


def propose(session: base.Session, draft: Draft) -> effects.Resolved:
    """Propose a change and return its accepted end.

    Raise ``CommandError`` with the exit code of any other end.
    """
    ended = session.client.propose(
        records.Proposal(
            object=draft.object, base=draft.base, change=draft.change
        ),
        timeout_s=session.timeout_s,
    )
    match ended.resolution:
        case Resolution.ACCEPTED:
            return ended
        case Resolution.REJECTED:
            raise exceptions.CommandError(
                _rejection(session, draft, ended), code=ExitCode.REJECTED
            )
        case Resolution.NOT_ACCEPTED:
            raise exceptions.CommandError(
                f"{ended.object} was not changed: {ended.reason}",
                code=ExitCode.NOT_ACCEPTED,
            )
        case _:
            raise exceptions.CommandError(
                f"it is not known whether {ended.object} was changed:"
                f" {ended.reason}\nask by: azurewood outcome {ended.id}",
                code=ExitCode.UNKNOWN,
            )


def _rejection(
    session: base.Session, draft: Draft, ended: effects.Resolved
) -> str:
    """Return why a change was rejected; both sides of a conflict."""
    lines = [f"{draft.object} was not changed: {ended.reason}"]
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
    if draft.current is None:
        return
    theirs = draft.current(session.client.agreed())
    lines = difflib.unified_diff(
        theirs.splitlines(),
        draft.mine.splitlines(),
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


def show(session: base.Session, ended: effects.Resolved) -> None:
    """Print the end of an accepted proposal."""
    if session.is_json:
        output.json(
            {
                "id": ended.id,
                "object": ended.object,
                "resolution": ended.resolution,
                "revision": ended.revision,
            }
        )
    else:
        click.echo(f"{ended.object} accepted at revision {ended.revision}")


def wait_in_force(
    session: base.Session, revision: int, *, timeout_s: float = WAIT_S
) -> dict[str, float]:
    """Wait until every zone has a revision in force; tell zone by zone.

    A daemon has every change up to its own revision in force. Return the
    seconds that each zone took. Raise ``CommandError`` after a while.
    """
    begun = time.monotonic()
    took: dict[str, float] = {}
    missing: set[str] = set()
    for status in clients.poll(
        session.client.status, deadline=begun + timeout_s
    ):
        zones = by_zone(status, revision)
        missing = {name for name, zone in zones.items() if not zone.in_force}
        for name in zones.keys() - missing - took.keys():
            took[name] = time.monotonic() - begun
            output.progress(
                f"{name}: in force on {zones[name].have} of"
                f" {zones[name].alive} daemons after {took[name]:.1f} s"
            )
        if not missing:
            return took
    raise exceptions.CommandError(
        f"revision {revision} is accepted, but not known to be in force in"
        f" {', '.join(sorted(missing)) or 'any zone'}",
        code=ExitCode.FAILED,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class ZoneProgress:
    """How many live daemons of a zone have a revision in force."""

    alive: int = 0
    have: int = 0

    @property
    def in_force(self) -> bool:
        """Whether all live daemons have it, and there is one."""
        return 0 < self.alive == self.have


def by_zone(status: messages.Status, revision: int) -> dict[str, ZoneProgress]:
    """Count the live daemons of each zone that have a revision in force."""
    zones: dict[str, ZoneProgress] = {}
    for daemon in status.daemons:
        zone = zones.setdefault(daemon.zone, ZoneProgress())
        if daemon.alive and not daemon.stopping:
            zone.alive += 1
            zone.have += daemon.revision >= revision
    return zones
