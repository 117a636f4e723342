"""Ownership of the hosts of reachable and unreachable zones."""

import pytest

from azurewood.fleet import model as fleet_model
from azurewood.policy import ownership
from azurewood.state import zones
from tests.agreement import world as worlds

ZONES = ("a",) * 6 + ("b",) * 6 + ("c",) * 6
FLEET = fleet_model.Fleet(
    deployment="zones",
    zones=tuple(fleet_model.Zone(name=z, region="r") for z in "abc"),
    hosts=tuple(
        fleet_model.Host(
            name=f"h-{zone}-{number}",
            zone=zone,
            rack=zone,
            address=f"127.3.{place}.{number}",
        )
        for place, zone in enumerate("abc")
        for number in range(1, 5)
    ),
    pools=(
        fleet_model.Pool(
            name="one",
            hosts=tuple(f"h-{z}-{n}" for z in "abc" for n in range(1, 5)),
        ),
    ),
    services=(fleet_model.Service(name="one", pool="one", port=18301),),
    presets=(fleet_model.Preset(name="ordinary"),),
    preset="ordinary",
)


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(worlds, "FLEET", FLEET)
    built = worlds.World(seed=5, zones=ZONES)
    built.run(4)
    built.propose("d0", "fleet", worlds.records.PublishFleet(fleet=FLEET))
    built.run(4)
    return built


def owners_of_slots(world, *, names):
    """Count how many daemons own each slot in their own view."""
    counts = {
        (host.name, number): 0
        for host in FLEET.hosts
        for number in range(host.slots)
    }
    for name in names:
        for host in world.nodes[name].state.hosts.values():
            for number in host.owned:
                counts[host.name, number] += 1
    return counts


def disconnect_from_b(world):
    """Cut off a daemon from zone b; return its name.

    Its zone is the one that would own the hosts of b if b were unreachable.
    """
    owner_zone = ownership.owner("b", ["a", "c"])
    disconnected = f"d{ZONES.index(owner_zone)}"
    for number in range(6, 12):
        world.apart.add(frozenset({disconnected, f"d{number}"}))
    world.run(15)
    return disconnected


def test_every_slot_has_one_owner(world):
    counts = owners_of_slots(world, names=world.nodes)
    assert set(counts.values()) == {1}


def test_a_zone_unreachable_for_one_daemon_keeps_its_slots(world):
    """Other daemons of the disconnected daemon's zone still reach it."""
    disconnected = disconnect_from_b(world)
    assert "b" not in zones.directly_reachable_zones(
        world.nodes[disconnected].state
    )
    counts = owners_of_slots(world, names=world.nodes)
    assert set(counts.values()) == {1}


def test_slots_get_two_owners_without_the_zones_that_peers_reach(
    world, monkeypatch
):
    monkeypatch.setattr(zones, "zones_seen", zones.directly_reachable_zones)
    disconnect_from_b(world)
    counts = owners_of_slots(world, names=world.nodes)
    assert max(counts.values()) > 1


def test_the_hosts_of_a_dead_zone_get_one_owner(world):
    for number in range(6, 12):
        world.nodes[f"d{number}"].paused = True
    world.run(15)
    alive = [name for name in world.nodes if not world.nodes[name].paused]
    counts = owners_of_slots(world, names=alive)
    assert set(counts.values()) == {1}


def test_an_isolated_zone_takes_over_no_hosts(world):
    for inside in range(6):
        for outside in range(6, 18):
            world.apart.add(frozenset({f"d{inside}", f"d{outside}"}))
    world.run(15)
    owned = {
        host.zone
        for inside in range(6)
        for host in world.nodes[f"d{inside}"].state.hosts.values()
        if host.owned
    }
    assert owned == {"a"}
