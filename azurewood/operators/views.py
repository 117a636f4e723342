"""What the operators' interface shows of a daemon's state."""

import enum
import typing

import msgspec

from azurewood.state import agreed as agreed_state
from azurewood.state import model


class ZoneStatus(msgspec.Struct, kw_only=True):
    """A daemon and the revision that it has in force."""

    daemon: str
    zone: str
    revision: int
    in_force: str
    log_reachable: bool
    alive: bool
    stopping: bool


class ServiceStatus(msgspec.Struct, kw_only=True):
    """A service's requests and hosts as one daemon sees them."""

    service: str
    waiting: int
    in_flight: int
    good: int
    bad: int
    hosts: int


class Status(msgspec.Struct, kw_only=True):
    """What one daemon knows of the deployment."""

    daemon: str
    zone: str
    revision: int
    in_force: str
    in_force_revision: int
    log_reachable: bool
    daemons: list[ZoneStatus]
    services: list[ServiceStatus]
    hosts: list[agreed_state.HostState]
    waves: list[agreed_state.WaveState]


class Knowledge(enum.StrEnum):
    """What is known of how a proposal ended."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_ACCEPTED = "not-accepted"
    UNKNOWN = "unknown"


class OutcomeView(msgspec.Struct, kw_only=True):
    """How a proposal ended, asked for by its id."""

    id: str
    knowledge: Knowledge
    revision: int = 0
    reason: str = ""


def is_ready(state: model.State) -> bool:
    """Tell whether the daemon may be given callers' requests."""
    return state.agreed.fleet is not None and not state.stopping_until


def dump(state: model.State) -> dict[str, typing.Any]:
    """Return the whole state of the daemon, without its record cache."""
    plain = model.to_builtins(state)
    plain["log"].pop("recent", None)
    plain.pop("rng", None)
    return msgspec.to_builtins(plain)


def agreed(state: model.State) -> dict[str, typing.Any]:
    """Return the agreed state, with the claims counted only."""
    plain = msgspec.to_builtins(state.agreed)
    plain["claims"] = len(state.agreed.claims)
    plain["verdicts"] = len(state.agreed.verdicts)
    return plain


def status(state: model.State) -> Status:
    """Return a summary of the deployment as this daemon sees it."""
    shared = state.agreed
    return Status(
        daemon=state.me.name,
        zone=state.me.zone,
        revision=shared.revision,
        in_force=shared.in_force,
        in_force_revision=shared.in_force_revision,
        log_reachable=state.log.reachable,
        daemons=list(_daemons(state)),
        services=list(_services(state)),
        hosts=list(shared.hosts.values()),
        waves=list(shared.waves.values()),
    )


def _daemons(state: model.State) -> typing.Iterator[ZoneStatus]:
    yield ZoneStatus(
        daemon=state.me.name,
        zone=state.me.zone,
        revision=state.agreed.revision,
        in_force=state.agreed.in_force,
        log_reachable=state.log.reachable,
        alive=True,
        stopping=bool(state.stopping_until),
    )
    for peer in state.peers.values():
        yield ZoneStatus(
            daemon=peer.name,
            zone=peer.zone,
            revision=peer.revision,
            in_force="",
            log_reachable=peer.log_reachable,
            alive=peer.alive_until > state.stepped_at,
            stopping=peer.stopping,
        )


def _services(state: model.State) -> typing.Iterator[ServiceStatus]:
    hosts: dict[str, int] = {}
    for host in state.hosts.values():
        if host.usable:
            hosts[host.service] = hosts.get(host.service, 0) + 1
    for view in state.services.values():
        yield ServiceStatus(
            service=view.name,
            waiting=view.waiting,
            in_flight=view.in_flight,
            good=view.count.good,
            bad=view.count.bad,
            hosts=hosts.get(view.name, 0),
        )


def outcome(state: model.State, verdict: str) -> OutcomeView:
    """Say how a proposal ended, from the log alone.

    A proposal that is not found, while a later record of its writer is,
    can never be accepted any more.
    """
    found = state.agreed.verdicts.get(verdict)
    if found is not None:
        return OutcomeView(
            id=verdict,
            knowledge=(
                Knowledge.ACCEPTED if found.accepted else Knowledge.REJECTED
            ),
            revision=found.revision,
            reason=found.reason,
        )
    writer, sequence = _parse(verdict)
    known = state.agreed.writers.get(writer)
    is_passed = known is not None and (
        known.forgotten < sequence < known.sequence
    )
    knowledge = Knowledge.NOT_ACCEPTED if is_passed else Knowledge.UNKNOWN
    return OutcomeView(id=verdict, knowledge=knowledge)


def _parse(verdict: str) -> tuple[str, int]:
    writer, _, rest = verdict.rpartition("/")[0].rpartition("/")
    return writer, int(rest) if rest.isdecimal() else 0
