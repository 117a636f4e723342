"""Who is responsible for the hosts of zones near and far."""

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
    made = worlds.World(seed=5, zones=ZONES)
    made.run(4)
    made.propose("d0", "fleet", worlds.records.PublishFleet(fleet=FLEET))
    made.run(4)
    return made


def owners_of_slots(world, *, names):
    """Count the daemons that own each slot, in their own views."""
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


def part_from_b(world):
    """Let a daemon of the zone that would stand in for b hear none of b."""
    stand_in = ownership.owner("b", ["a", "c"])
    deaf = f"d{ZONES.index(stand_in)}"
    for number in range(6, 12):
        world.apart.add(frozenset({deaf, f"d{number}"}))
    world.run(15)
    return deaf


def test_every_slot_has_one_owner(world):
    counts = owners_of_slots(world, names=world.nodes)
    assert set(counts.values()) == {1}


def test_a_zone_unheard_by_one_daemon_keeps_its_slots(world):
    """Others of the zone still hear from it."""
    deaf = part_from_b(world)
    assert "b" not in zones.directly_reachable_zones(world.nodes[deaf].state)
    counts = owners_of_slots(world, names=world.nodes)
    assert set(counts.values()) == {1}


def test_without_the_zones_of_their_peers_some_would_take_them(
    world, monkeypatch
):
    monkeypatch.setattr(zones, "zones_seen", zones.directly_reachable_zones)
    part_from_b(world)
    counts = owners_of_slots(world, names=world.nodes)
    assert max(counts.values()) > 1


def test_a_dead_zone_is_looked_after_by_one_other(world):
    for number in range(6, 12):
        world.nodes[f"d{number}"].paused = True
    world.run(15)
    alive = [name for name in world.nodes if not world.nodes[name].paused]
    counts = owners_of_slots(world, names=alive)
    assert set(counts.values()) == {1}


def test_a_zone_cut_off_takes_over_nothing(world):
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
