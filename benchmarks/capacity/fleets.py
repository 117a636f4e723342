"""Build configurations and daemon states of a given size."""

import itertools
import random

from azurewood.fleet import model as fleet_model
from azurewood.peers import messages
from azurewood.state import agreed as agreed_state
from azurewood.state import events
from azurewood.state import fold
from azurewood.state import membership
from azurewood.state import model
from azurewood.state import records
from azurewood.state import reducer
from azurewood.state import views

HOSTS = 3700
POOLS = 37
TEAMS = 57
ZONES = 11
REGIONS = 3
SIZES = (100, 500, 1000, 3700)
RACK_HOSTS = 4
WRITER = "e01-z01@5eed0001"
INCARNATION = "5eed5eed5eed5eed"
START_MS = 1_800_000_000_000
FIRST_PORT = 20000


def zone_name(number: int) -> str:
    """Return the name of a zone by its number, counted from 0."""
    return f"zone-{number:02d}"


def fleet(
    *,
    hosts: int = HOSTS,
    pools: int = POOLS,
    zones: int = ZONES,
    teams: int = TEAMS,
) -> fleet_model.Fleet:
    """Return a configuration with hosts spread evenly over zones and pools."""
    machines = [_host(number, zones) for number in range(hosts)]
    names = [f"pool-{number:02d}" for number in range(pools)]
    presets = ("ordinary", "peak", "maintenance")
    return fleet_model.Fleet(
        deployment="capacity",
        zones=tuple(
            fleet_model.Zone(
                name=zone_name(number), region=f"region-{number % REGIONS}"
            )
            for number in range(zones)
        ),
        hosts=tuple(machines),
        pools=tuple(
            fleet_model.Pool(
                name=name,
                hosts=tuple(host.name for host in machines[place::pools]),
            )
            for place, name in enumerate(names)
        ),
        services=tuple(
            _service(place, name, teams) for place, name in enumerate(names)
        ),
        presets=tuple(_preset(name, names) for name in presets),
        preset="ordinary",
        teams=tuple(
            fleet_model.Team(name=f"team-{number:02d}", host_quota=1000)
            for number in range(teams)
        ),
    )


def _host(number: int, zones: int) -> fleet_model.Host:
    zone = number % zones
    rack = number // zones // RACK_HOSTS
    return fleet_model.Host(
        name=f"w{number:04d}",
        zone=zone_name(zone),
        rack=f"rack-{zone:02d}-{rack:03d}",
        address=f"127.1.{number // 250}.{number % 250 + 1}",
        accelerators=2,
    )


def _service(place: int, pool: str, teams: int) -> fleet_model.Service:
    return fleet_model.Service(
        name=f"service-{place:02d}",
        pool=pool,
        port=FIRST_PORT + place,
        team=f"team-{place % max(teams, 1):02d}",
    )


def _preset(name: str, pools: list[str]) -> fleet_model.Preset:
    return fleet_model.Preset(
        name=name,
        targets=tuple(
            fleet_model.PoolTarget(pool=pool, min_hosts=0, max_hosts=200)
            for pool in pools
        ),
    )


def preset() -> fleet_model.Preset:
    """Return a preset with a target for every pool."""
    return _preset("peak", [f"pool-{number:02d}" for number in range(POOLS)])


class Log:
    """Number records and fold them into an agreed state."""

    def __init__(self, *, state: agreed_state.Agreed) -> None:
        self.state = state
        self._sequence = itertools.count(1)

    def record(self, *proposals: records.Proposal) -> records.Proposals:
        """Return the writer's next record."""
        return records.Proposals(
            writer=WRITER,
            sequence=next(self._sequence),
            proposals=proposals,
        )

    def fold(self, *proposals: records.Proposal) -> records.Proposals:
        """Fold a record of proposals; raise ``ValueError`` if rejected."""
        record = self.record(*proposals)
        self.fold_record(record)
        return record

    def fold_record(self, record: records.Proposals) -> None:
        """Fold a record; raise ``ValueError`` if it is rejected."""
        verdicts = fold.apply(
            self.state,
            offset=self.state.offset,
            at_ms=START_MS + self.state.offset,
            record=record,
        )
        rejected = [item for item in verdicts if not item.accepted]
        if rejected or not verdicts:
            raise ValueError(f"rejected: {rejected}")

    def stored(self, record: records.Proposals) -> events.RecordsRead:
        """Return the event of reading a record at the end of the log."""
        offset = self.state.offset
        return events.RecordsRead(
            incarnation=INCARNATION,
            first=0,
            next=offset + 1,
            records=(
                events.StoredRecord(
                    offset=offset,
                    at_ms=START_MS + offset,
                    data=records.encode(record),
                ),
            ),
        )


def host_proposal(
    state: agreed_state.Agreed, name: str, change: records.AnyChange
) -> records.Proposal:
    """Propose a change of a host, based on its current revision."""
    return records.Proposal(
        object=records.host_object(name),
        base=state.hosts[name].revision,
        change=change,
    )


def publish(config: fleet_model.Fleet) -> records.Proposal:
    """Propose the initial configuration."""
    return records.Proposal(
        object=records.FLEET,
        base=0,
        change=records.PublishFleet(fleet=config),
    )


def log(config: fleet_model.Fleet) -> Log:
    """Return the log of a configuration with all hosts serving."""
    state = agreed_state.Agreed()
    fold.start_incarnation(state, INCARNATION)
    made = Log(state=state)
    made.fold(publish(config))
    for name in state.hosts:
        made.fold(host_proposal(state, name, records.MarkServing()))
    return made


def daemon(
    state: agreed_state.Agreed, *, name: str = "e00-z00", zone: int = 0
) -> model.State:
    """Return the state of a daemon with a given agreed state."""
    made = model.State(
        me=model.Identity(
            name=name,
            zone=zone_name(zone),
            address="tcp://127.0.0.1:9000",
            boot=0x5EED,
        ),
        rng=random.Random(1),
        agreed=state,
    )
    made.log.reachable = True
    return made


def peer_names(daemons: int, zones: int) -> dict[str, int]:
    """Return the zone number of each daemon by the daemon's name."""
    return {
        f"e{number // zones:02d}-z{number % zones:02d}": number % zones
        for number in range(daemons)
    }


def heartbeat(
    state: model.State, name: str, zone: int, number: int
) -> messages.Heartbeat:
    """Return a full heartbeat of a peer at the log offset of ``state``."""
    return messages.Heartbeat(
        zone=zone_name(zone),
        address=f"tcp://127.3.{number // 250}.{number % 250 + 1}:9000",
        boot=0xB007_0000_0000 + number,
        incarnation=state.agreed.incarnation,
        offset=state.agreed.offset,
        revision=state.agreed.revision,
        log_reachable=True,
    )


def deliver_heartbeats(
    state: model.State, *, daemons: int, zones: int, now: float
) -> None:
    """Deliver a heartbeat of every other daemon to a daemon.

    The view is refreshed only once, after the last heartbeat.
    """
    config, state.agreed.fleet = state.agreed.fleet, None
    for number, (name, zone) in enumerate(peer_names(daemons, zones).items()):
        if name == state.me.name:
            continue
        message = heartbeat(state, name, zone, number)
        event = events.MessageReceived(sender=name, message=message)
        reducer.step(state, event, now)
    state.agreed.fleet = config
    membership.update_alive(state, now)
    views.refresh(state, now)
