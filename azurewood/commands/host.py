"""``azurewood host``: list, explain, move, drain and return hosts."""

import time

import click

from azurewood.commands import base
from azurewood.commands import exceptions
from azurewood.commands import output
from azurewood.commands import proposals
from azurewood.operators import client as clients
from azurewood.operators import messages
from azurewood.state import agreed as agreed_state
from azurewood.state import records

DRAIN_MS = 30000
ExitCode = exceptions.ExitCode
HostPhase = agreed_state.HostPhase

base_option = click.option(
    "--base",
    "base_revision",
    type=int,
    help="Revision of the host that the change is based on; the present one"
    " by default.",
)
reason_option = click.option(
    "--reason", default="asked for by an operator", show_default=True
)
drain_option = click.option(
    "--drain-ms",
    type=click.IntRange(min=0),
    default=DRAIN_MS,
    show_default=True,
    help="How long requests in flight may take to end.",
)
wait_option = click.option(
    "--wait", is_flag=True, help="Wait until it is done, with progress."
)


@click.group()
def host() -> None:
    """List, explain, move, drain and return hosts."""


@host.command(
    name="list",
    help=base.help_of(
        "List the hosts with their pool and phase.",
        "azurewood host list --pool quoting",
    ),
)
@click.option("--pool", help="Only hosts of this pool.")
@click.option("--zone", help="Only hosts of this zone.")
@click.option("--phase", help="Only hosts in this phase.")
@base.with_session
def list_(
    *,
    session: base.Session,
    pool: str | None,
    zone: str | None,
    phase: str | None,
) -> None:
    """Print the hosts that match the options."""
    agreed = session.client.agreed()
    places = (
        {item.name: item for item in agreed.fleet.hosts}
        if (agreed.fleet)
        else {}
    )
    rows = [
        (
            item.name,
            places[item.name].zone,
            places[item.name].rack,
            item.pool,
            item.phase.value,
            item.target,
            item.wave,
            item.revision,
            item.reason,
        )
        for item in agreed.hosts.values()
        if item.name in places
    ]
    rows = [
        row
        for row in rows
        if pool in (None, row[3])
        and zone in (None, row[1])
        and phase in (None, row[4])
    ]
    header = (
        "HOST",
        "ZONE",
        "RACK",
        "POOL",
        "PHASE",
        "TARGET",
        "WAVE",
        "REVISION",
        "REASON",
    )
    if session.is_json:
        names = [title.lower() for title in header]
        output.json([dict(zip(names, row, strict=True)) for row in rows])
    else:
        output.table(header, rows)


@host.command(
    help=base.help_of(
        "Say why a host is where it is.",
        "azurewood host explain quoting-nizwa-1-1",
    )
)
@click.argument("name")
@base.with_session
def explain(*, session: base.Session, name: str) -> None:
    """Print the host's state and the reasons for it."""
    view = session.client.host(name)
    if session.is_json:
        output.json(view)
        return
    click.echo(f"{name} ({view.zone}, {view.rack}, {view.address})")
    by = f" by {view.author}" if view.author else ""
    click.echo(f"  last changed at revision {view.host.revision}{by}")
    for sentence in view.because:
        click.echo(f"  {sentence}")
    click.echo(
        f"  here: service {view.service or '-'}, platform lists it as"
        f" {view.listed}, task {view.task_state or '-'},"
        f" {view.busy_slots} of {view.owned_slots} own slots busy"
    )


@host.command(
    help=base.help_of(
        "Move a host to another pool once its requests have ended.",
        "azurewood host move backoffice-nizwa-1-1 quoting --wait",
    )
)
@click.argument("name")
@click.argument("pool")
@reason_option
@drain_option
@base_option
@wait_option
@base.with_session
def move(
    *,
    session: base.Session,
    name: str,
    pool: str,
    reason: str,
    drain_ms: int,
    base_revision: int | None,
    wait: bool,
) -> None:
    """Propose moving a host to another pool."""
    change = records.MoveHost(to_pool=pool, reason=reason, drain_ms=drain_ms)
    revision = _propose(session, name, change, base_revision)
    if wait:
        _wait(
            session,
            name,
            revision,
            lambda view: (
                view.host.pool == pool and view.host.phase == HostPhase.SERVING
            ),
        )


@host.command(
    help=base.help_of(
        "Drain a host for maintenance, and reboot it unless told not to.",
        "azurewood host drain certs-nizwa-2-1 --no-reboot --wait",
    )
)
@click.argument("name")
@click.option(
    "--reboot/--no-reboot",
    default=True,
    show_default=True,
    help="Reboot it once drained and bring it back, or leave it down.",
)
@click.option("--wave", default="", help="Count it as done in this wave.")
@reason_option
@drain_option
@base_option
@wait_option
@base.with_session
def drain(
    *,
    session: base.Session,
    name: str,
    reboot: bool,
    wave: str,
    reason: str,
    drain_ms: int,
    base_revision: int | None,
    wait: bool,
) -> None:
    """Propose draining a host."""
    change = records.DrainHost(
        reason=reason, drain_ms=drain_ms, reboot=reboot, wave=wave
    )
    revision = _propose(session, name, change, base_revision)
    last = HostPhase.SERVING if reboot else HostPhase.DOWN
    if wait:
        _wait(session, name, revision, lambda view: view.host.phase == last)


@host.command(
    name="return",
    help=base.help_of(
        "Bring a drained host back to its pool.",
        "azurewood host return certs-nizwa-2-1 --wait",
    ),
)
@click.argument("name")
@reason_option
@base_option
@wait_option
@base.with_session
def return_(
    *,
    session: base.Session,
    name: str,
    reason: str,
    base_revision: int | None,
    wait: bool,
) -> None:
    """Propose returning a host to its pool."""
    change = records.ReturnHost(reason=reason)
    revision = _propose(session, name, change, base_revision)
    if wait:
        _wait(
            session,
            name,
            revision,
            lambda view: view.host.phase == HostPhase.SERVING,
        )


def _propose(
    session: base.Session,
    name: str,
    change: records.AnyChange,
    base_revision: int | None,
) -> int:
    """Propose a change of a host and return the accepted revision."""
    if base_revision is None:
        base_revision = session.client.host(name).host.revision
    result = proposals.propose(
        session,
        proposals.Draft(
            object=records.host_object(name), base=base_revision, change=change
        ),
    )
    proposals.show(session, result)
    return result.revision


def _wait(session, name, revision, is_done) -> None:
    """Wait until ``is_done`` accepts the host, and print its progress.

    States older than ``revision`` are skipped. Raise ``CommandError`` after
    ``proposals.WAIT_TIMEOUT_S``.
    """
    shown = ""
    deadline = time.monotonic() + proposals.WAIT_TIMEOUT_S
    for view in clients.poll(
        lambda: session.client.host(name), deadline=deadline
    ):
        if view.host.revision < revision:
            continue
        text = _progress(view)
        if text != shown:
            output.progress(text)
            shown = text
        if is_done(view):
            return
    raise exceptions.CommandError(
        f"timed out waiting for host {name}:"
        f" {shown or 'no daemon has reported the change'}",
        code=ExitCode.FAILED,
    )


def _progress(view: messages.HostView) -> str:
    target = f", to {view.host.target}" if view.host.target else ""
    return f"{view.host.name}: {view.host.phase} in {view.host.pool}{target}"
