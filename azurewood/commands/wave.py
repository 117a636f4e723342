"""``azurewood wave``: start, pause, resume, watch and list waves."""

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

ExitCode = exceptions.ExitCode
WavePhase = agreed_state.WavePhase
WATCH_TIMEOUT_S = 7 * 24 * 3600.0


@click.group()
def wave() -> None:
    """Start, pause, resume, watch and list maintenance waves."""


@wave.command(
    help=base.help_of(
        "Start a maintenance wave over hosts, by name, rack, zone or pool.",
        "azurewood wave start week-49 --zone nizwa-1",
        "azurewood wave start rack-a --rack nizwa-1-a --pool quoting",
    )
)
@click.argument("name")
@click.option("--host", "hosts", multiple=True, help="A host; repeatable.")
@click.option("--rack", help="Hosts of this rack.")
@click.option("--zone", help="Hosts of this zone.")
@click.option("--pool", help="Hosts that are in this pool now.")
@click.option("--all", "everything", is_flag=True, help="All hosts.")
@base.with_session
def start(
    *,
    session: base.Session,
    name: str,
    hosts: tuple[str, ...],
    rack: str | None,
    zone: str | None,
    pool: str | None,
    everything: bool,
) -> None:
    """Propose starting a wave."""
    if not (hosts or rack or zone or pool or everything):
        raise click.UsageError(
            "select hosts with --host, --rack, --zone or --pool, or use --all"
        )
    agreed = session.client.agreed()
    chosen = hosts or _choose(agreed, rack=rack, zone=zone, pool=pool)
    if not chosen:
        raise click.UsageError("no host matches the given options")
    known = agreed.waves.get(name)
    _propose(
        session,
        name,
        known.revision if known else 0,
        records.StartWave(hosts=tuple(chosen)),
    )


def _choose(
    agreed: messages.AgreedView,
    *,
    rack: str | None,
    zone: str | None,
    pool: str | None,
) -> list[str]:
    if agreed.fleet is None:
        return []
    return [
        host.name
        for host in agreed.fleet.hosts
        if host.name in agreed.hosts
        and rack in (None, host.rack)
        and zone in (None, host.zone)
        and pool in (None, agreed.hosts[host.name].pool)
    ]


@wave.command(
    help=base.help_of(
        "Begin no further host of a wave.",
        "azurewood wave pause week-49 --reason 'crews are out'",
    )
)
@click.argument("name")
@click.option(
    "--reason", default="asked for by an operator", show_default=True
)
@base.with_session
def pause(*, session: base.Session, name: str, reason: str) -> None:
    """Propose pausing a wave."""
    revision = _find(session, name).revision
    _propose(session, name, revision, records.PauseWave(reason=reason))


@wave.command(
    help=base.help_of(
        "Go on with a paused wave.", "azurewood wave resume week-49"
    )
)
@click.argument("name")
@base.with_session
def resume(*, session: base.Session, name: str) -> None:
    """Propose resuming a wave."""
    revision = _find(session, name).revision
    _propose(session, name, revision, records.ResumeWave())


@wave.command(
    help=base.help_of(
        "Show a wave's progress until it is done.",
        "azurewood wave watch week-49",
    )
)
@click.argument("name")
@click.option(
    "--timeout-s",
    type=float,
    default=WATCH_TIMEOUT_S,
    help="Give up after this.",
)
@base.with_session
def watch(*, session: base.Session, name: str, timeout_s: float) -> None:
    """Print the wave's progress whenever it changes."""
    _find(session, name)
    shown = ""
    for agreed in clients.poll(
        session.client.agreed,
        deadline=time.monotonic() + timeout_s,
        interval_s=0.5,
    ):
        found = agreed.waves.get(name)
        if found is None:
            continue
        text = _progress(agreed, found)
        if text != shown:
            output.progress(text)
            shown = text
        if found.phase == WavePhase.DONE:
            return
    raise exceptions.CommandError(
        f"timed out after {timeout_s:g} s: {shown}",
        code=ExitCode.FAILED,
    )


@wave.command(
    name="list",
    help=base.help_of(
        "List the maintenance waves.", "azurewood wave list --output json"
    ),
)
@base.with_session
def list_(*, session: base.Session) -> None:
    """Print all maintenance waves."""
    waves = session.client.agreed().waves
    if session.is_json:
        output.json(list(waves.values()))
        return
    output.table(
        ("WAVE", "PHASE", "DONE", "HOSTS", "REVISION", "REASON"),
        [
            (
                item.name,
                item.phase.value,
                len(item.done),
                len(item.hosts),
                item.revision,
                item.reason,
            )
            for item in waves.values()
        ],
    )


def _find(session: base.Session, name: str) -> agreed_state.WaveState:
    found = session.client.agreed().waves.get(name)
    if found is None:
        raise exceptions.CommandError(
            f"there is no wave {name}", code=ExitCode.REJECTED
        )
    return found


def _propose(
    session: base.Session,
    name: str,
    revision: int,
    change: records.AnyChange,
) -> None:
    result = proposals.propose(
        session,
        proposals.Draft(
            object=records.wave_object(name), base=revision, change=change
        ),
    )
    proposals.show(session, result)


def _progress(
    agreed: messages.AgreedView, found: agreed_state.WaveState
) -> str:
    busy = [
        f"{host.name} {host.phase}"
        for host in agreed.hosts.values()
        if host.wave == found.name
    ]
    now = f"; now {', '.join(busy)}" if busy else ""
    reason = f" ({found.reason})" if found.reason else ""
    return (
        f"{found.name}: {found.phase}{reason},"
        f" {len(found.done)} of {len(found.hosts)} hosts done{now}"
    )
