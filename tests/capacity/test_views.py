import collections
import copy
import random

import pytest

from azurewood.policy import ownership
from azurewood.state import events
from azurewood.state import model
from azurewood.state import records
from azurewood.state import reducer
from azurewood.state import views
from benchmarks.capacity import fleets

NOW = 1000.0
HOSTS = 110


@pytest.fixture
def hashes(monkeypatch):
    counted = collections.Counter()
    weight = ownership.weight

    def count(thing, member):
        counted["hashes"] += 1
        return weight(thing, member)

    monkeypatch.setattr(ownership, "weight", count)
    return counted


def deployment(hosts=HOSTS):
    log = fleets.log(fleets.fleet(hosts=hosts))
    state = fleets.daemon(log.state)
    fleets.deliver_heartbeats(state, daemons=33, zones=11, now=NOW)
    return log, state


def drained(log, name):
    change = records.DrainHost(reason="maintenance", drain_ms=1000)
    proposal = fleets.host_proposal(log.state, name, change)
    return log.stored(log.record(proposal))


def count_hashes(log, state, hashes):
    """Return how many hashes a refresh after one host's change computes."""
    hashes.clear()
    name = next(n for n, h in state.hosts.items() if h.zone == "zone-03")
    state.agreed.hosts[name].revision += 1
    state.view_revision = -1
    views.refresh(state, NOW)
    return hashes["hashes"]


def test_a_host_change_hashes_no_other_hosts_slots(hashes):
    small = count_hashes(*deployment(HOSTS), hashes)
    large = count_hashes(*deployment(10 * HOSTS), hashes)
    assert small == large == 0


def test_a_full_refresh_hashes_the_slots_of_its_own_zone_only(hashes):
    log, state = deployment()
    hashes.clear()
    state.view_basis = ""
    state.view_revision = -1
    views.refresh(state, NOW)
    assert hashes["hashes"] == HOSTS // 11 * 8 * 3


def request_path_view(state):
    """Return the parts of the view that the request path uses."""
    hosts = {
        name: (host.service, host.usable, host.owned, sorted(host.idle))
        for name, host in state.hosts.items()
    }
    ready = {
        name: (sorted(view.near.names), sorted(view.far.names))
        for name, view in state.services.items()
    }
    return hosts, ready


def rebuilt_state(state):
    """Return a state whose view is built from the agreed state alone."""
    fresh = model.State(
        me=state.me,
        rng=random.Random(0),
        agreed=state.agreed,
        peers=state.peers,
        alive=state.alive,
    )
    views.refresh(fresh, NOW)
    for name, host in state.hosts.items():
        fresh.hosts[name].listed = host.listed
    fresh.view_revision = -1
    fresh.view_basis = ""
    fresh.tasks = copy.copy(state.tasks)
    views.refresh(fresh, NOW)
    return fresh


def change(rng, log, state, number):
    """Apply one random change that the view depends on."""
    name = rng.choice(sorted(state.hosts))
    match rng.randrange(5):
        case 0 if state.agreed.hosts[name].phase == "serving":
            reducer.step(state, drained(log, name), NOW)
        case 1:
            task = events.ListedTask(
                id=state.agreed.hosts[name].task,
                host=name,
                service="",
                state=rng.choice(["stopping", "running"]),
            )
            event = events.TasksListed(version=number, tasks=(task,))
            reducer.step(state, event, NOW)
        case 2:
            listed = events.ListedHost(
                name=name, state=rng.choice(["live", "leaving"])
            )
            event = events.HostsListed(version=number, hosts=(listed,))
            reducer.step(state, event, NOW)
        case 3:
            gone = rng.choice(state.alive)
            state.alive = tuple(n for n in state.alive if n != gone)
            state.view_revision = -1
            views.refresh(state, NOW)
        case _:
            state.alive = tuple(sorted(state.peers))
            state.view_revision = -1
            views.refresh(state, NOW)


@pytest.mark.parametrize("seed", range(4))
def test_the_view_equals_a_rebuilt_one(seed):
    log, state = deployment(44)
    rng = random.Random(seed)
    for number in range(60):
        change(rng, log, state, number + 1)
        assert request_path_view(state) == request_path_view(
            rebuilt_state(state)
        )


def test_a_new_address_is_applied():
    log, state = deployment(37)
    fleet = fleets.fleet(hosts=37)
    fleet.hosts[0].address = "127.9.9.9"
    proposal = records.Proposal(
        object=records.FLEET,
        base=state.agreed.fleet_revision,
        change=records.PublishFleet(fleet=fleet),
    )
    reducer.step(state, log.stored(log.record(proposal)), NOW)
    assert state.hosts[fleet.hosts[0].name].address == "127.9.9.9"
