import pytest

from azurewood.peers import messages
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import heartbeats
from azurewood.state import membership
from azurewood.state import reducer
from benchmarks.capacity import deployments
from benchmarks.capacity import fleets
from benchmarks.capacity import heartbeats as counted
from benchmarks.capacity import target_size
from benchmarks.capacity import wire

LIMIT_BYTES_PER_S = target_size.LIMIT_KB_S * 1000
STEP_S = 0.1


@pytest.fixture
def no_bytes_budget(monkeypatch):
    monkeypatch.setattr(heartbeats, "MIN_BYTES_PER_S", 1e9)


def sent_bytes_per_s(deployment):
    sent = counted.sent_by_daemon(deployment, seconds=30)
    return sum(wire.wire_bytes(m, "e00-z00") for m in sent) / 30


@pytest.mark.parametrize("deployment", counted.DEPLOYMENTS)
def test_heartbeats_stay_in_their_budget(deployment):
    both_ways = 2 * sent_bytes_per_s(deployment)
    assert both_ways <= LIMIT_BYTES_PER_S


@pytest.mark.usefixtures("no_bytes_budget")
def test_heartbeats_exceed_the_limit_without_the_budget():
    both_ways = 2 * sent_bytes_per_s(counted.DEPLOYMENTS[1])
    assert both_ways > LIMIT_BYTES_PER_S


def test_daemons_discover_each_other_within_the_budget():
    found = deployments.exchange(daemons=33, zones=11)
    assert found.min_known_peers == 2
    assert found.max_bytes_per_s <= LIMIT_BYTES_PER_S
    assert found.detection_s < 10


def state_with_peers(daemons=33):
    log = fleets.log(fleets.fleet(hosts=37))
    state = fleets.daemon(log.state)
    fleets.deliver_heartbeats(state, daemons=daemons, zones=11, now=1000.0)
    reducer.step(state, events.Tick(), 1000.0)
    return state


def sent_heartbeats(wanted):
    return [
        effect.message
        for effect in wanted
        if isinstance(effect, effects.SendPeer)
        and isinstance(effect.message, messages.Heartbeat)
    ]


def test_a_change_is_sent_before_the_next_full_heartbeat():
    state = state_with_peers()
    assert sent_heartbeats(reducer.step(state, events.Tick(), 1000.1)) == []
    lost = events.LogUnreachable(reason="down")
    reducer.step(state, lost, 1000.1)
    sent = sent_heartbeats(reducer.step(state, events.Tick(), 1000.2))
    zones = len(fleets.fleet(hosts=37).zones) - 1
    far = zones * heartbeats.SMALL_ZONE_DAEMONS
    assert len(sent) == far + 2
    assert all(not message.log_reachable for message in sent)


def test_a_peers_timeout_follows_its_announced_interval():
    state = state_with_peers()
    name = next(n for n in state.peers if state.peers[n].zone == "zone-00")
    message = messages.Heartbeat(
        address=state.peers[name].address,
        boot=state.peers[name].boot,
        offset=1,
        revision=1,
        interval_ms=2000,
    )
    event = events.MessageReceived(sender=name, message=message)
    reducer.step(state, event, 1001.0)
    reducer.step(state, events.Tick(), 1008.9)
    assert name in state.alive
    reducer.step(state, events.Tick(), 1009.1)
    assert name not in state.alive


def counted_early(state):
    """Return the services whose counts a short heartbeat has after a peak."""
    view = state.services["service-03"]
    view.arrived = 60
    view.in_flight = 40
    view.waiting = 20
    sent = sent_heartbeats(
        reducer.step(state, events.Tick(), state.heartbeat_at)
    )
    assert sent
    assert not any(message.zone for message in sent)
    return {count.service for message in sent for count in message.counts}


def test_a_changed_demand_is_sent_before_the_next_full_heartbeat():
    assert counted_early(state_with_peers()) == {"service-03"}


def test_no_demand_is_sent_early_with_the_mechanism_off(monkeypatch):
    monkeypatch.setattr(membership, "MAX_CHANGED_SERVICES", 0)
    assert counted_early(state_with_peers()) == set()


def test_short_heartbeat_of_an_unknown_daemon_is_answered_with_a_greeting():
    state = state_with_peers(daemons=1)
    short = messages.Heartbeat(
        address="tcp://127.3.9.9:9000", boot=7, offset=1, revision=1
    )
    event = events.MessageReceived(sender="stranger", message=short)
    sent = sent_heartbeats(reducer.step(state, event, 1000.0))
    assert [message.asks for message in sent] == [True]
    again = sent_heartbeats(reducer.step(state, event, 1000.5))
    assert again == []
    assert "stranger" not in state.peers
