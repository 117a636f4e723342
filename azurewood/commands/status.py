"""``azurewood status``: show daemons, pools, services, hosts and waves."""

import collections

import click

from azurewood.commands import base
from azurewood.commands import output
from azurewood.operators import messages


@click.command(
    help=base.help_of(
        "Show the deployment as the first daemon that answers sees it.",
        "azurewood status",
        "azurewood status --output json",
    )
)
@base.with_session
def status(*, session: base.Session) -> None:
    """Print the status as tables or JSON."""
    found = session.client.status()
    if session.is_json:
        output.json(found)
        return
    click.echo(
        f"as {found.daemon} in {found.zone} sees it: revision"
        f" {found.revision}, preset {found.in_force or '-'} in force since"
        f" revision {found.in_force_revision}"
    )
    for section in (_zones, _daemons, _pools, _services, _hosts, _waves):
        section(found)


def _table(title: str, header: tuple[str, ...], rows: list[tuple]) -> None:
    if rows:
        click.echo(f"\n{title}")
        output.table(header, rows)


def _zones(found: messages.Status) -> None:
    zones: dict[str, list[messages.DaemonStatus]] = {}
    for daemon in found.daemons:
        zones.setdefault(daemon.zone, []).append(daemon)
    rows = [
        (
            zone,
            sum(daemon.alive for daemon in daemons),
            len(daemons),
            min((d.revision for d in daemons if d.alive), default=None),
            sum(d.alive and d.log_reachable for d in daemons),
        )
        for zone, daemons in sorted(zones.items())
    ]
    header = ("ZONE", "ALIVE", "KNOWN", "REVISION", "REACH LOG")
    _table("Zones", header, rows)


def _daemons(found: messages.Status) -> None:
    rows = [
        (d.daemon, d.zone, d.revision, d.alive, d.log_reachable, d.stopping)
        for d in sorted(found.daemons, key=lambda d: (d.zone, d.daemon))
    ]
    header = ("DAEMON", "ZONE", "REVISION", "ALIVE", "LOG", "STOPPING")
    _table("Daemons", header, rows)


def _pools(found: messages.Status) -> None:
    rows = [
        (
            pool.pool,
            pool.spare,
            pool.hosts,
            ", ".join(f"{n} {name}" for name, n in pool.phases.items()),
        )
        for pool in found.pools
    ]
    _table("Pools", ("POOL", "SPARE", "HOSTS", "PHASES"), rows)


def _services(found: messages.Status) -> None:
    rows = [
        (
            item.service,
            item.hosts,
            item.waiting,
            item.in_flight,
            item.all_good,
            item.all_bad,
            item.availability,
            f"{item.budget_left:.0%}",
        )
        for item in found.services
    ]
    header = (
        "SERVICE",
        "HOSTS",
        "WAITING",
        "IN FLIGHT",
        "GOOD",
        "BAD",
        "AVAILABILITY",
        "BUDGET LEFT",
    )
    _table("Services", header, rows)


def _hosts(found: messages.Status) -> None:
    phases = collections.Counter(host.phase.value for host in found.hosts)
    _table("Hosts", ("PHASE", "HOSTS"), sorted(phases.items()))


def _waves(found: messages.Status) -> None:
    rows = [
        (wave.name, wave.phase.value, len(wave.done), len(wave.hosts))
        for wave in found.waves
    ]
    _table("Maintenance waves", ("WAVE", "PHASE", "DONE", "HOSTS"), rows)
