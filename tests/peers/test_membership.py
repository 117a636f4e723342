from azurewood.state import heartbeats
from azurewood.state import membership
from tests.agreement import world as worlds


def alive(world, name):
    return set(world.nodes[name].state.alive)


def test_daemons_find_all_others_from_two_seeds():
    world = worlds.World(seed=1, zones=("a", "a", "b", "b", "c"))
    world.run(2)
    for name in world.nodes:
        assert alive(world, name) == set(world.nodes) - {name}


def test_without_gossip_only_the_seeds_are_found(monkeypatch):
    monkeypatch.setattr(membership, "_gossip", lambda state, count: ())
    world = worlds.World(seed=1, zones=("a", "a", "b", "b", "c"))
    world.run(2)
    assert alive(world, "d4") == {"d0", "d1"}


def test_an_unresponsive_peer_is_removed_and_found_again():
    world = worlds.World(seed=2, zones=("a", "a", "b"))
    world.run(2)
    world.nodes["d2"].paused = True
    world.run(2)
    assert alive(world, "d0") == {"d1"}
    world.nodes["d2"].paused = False
    world.run(1)
    assert alive(world, "d0") == {"d1", "d2"}


def test_a_few_lost_messages_remove_no_peer():
    world = worlds.World(seed=3, zones=("a", "a", "b"))
    world.run(2)
    world.loss = 0.05
    for _ in range(20):
        world.run(0.5)
        assert len(alive(world, "d0")) == 2


def test_heartbeats_to_other_zones_are_few():
    zones = ("a", "a") + ("b",) * 8
    world = worlds.World(seed=4, zones=zones)
    world.run(3)
    state = world.nodes["d0"].state
    targets = heartbeats.targets(state)
    assert len(set(targets.far)) == heartbeats.REMOTE_PEERS_PER_ZONE
    assert targets.near == ["d1"]
