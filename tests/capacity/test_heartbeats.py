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
def no_budget(monkeypatch):
    monkeypatch.setattr(heartbeats, "LEAST_BYTES_PER_S", 1e9)


def sent_bytes_per_s(deployment):
    sent = counted.sent_by_daemon(deployment, seconds=30)
    return sum(wire.wire_bytes(m, "e00-z00") for m in sent) / 30


@pytest.mark.parametrize("deployment", counted.DEPLOYMENTS)
def test_heartbeats_stay_in_their_budget(deployment):
    both_ways = 2 * sent_bytes_per_s(deployment)
    assert both_ways <= LIMIT_BYTES_PER_S


@pytest.mark.usefixtures("no_budget")
def test_without_the_budget_they_do_not():
    both_ways = 2 * sent_bytes_per_s(counted.DEPLOYMENTS[1])
    assert both_ways > LIMIT_BYTES_PER_S


def test_a_deployment_finds_itself_within_the_budget():
    found = deployments.exchange(daemons=33, zones=11)
    assert found.least_known == 2
    assert found.most_bytes <= LIMIT_BYTES_PER_S
    assert found.silent_s < 10


def state_with_peers(daemons=33):
    log = fleets.log(fleets.fleet(hosts=37))
    state = fleets.daemon(log.state)
    fleets.hear_all(state, daemons=daemons, zones=11, now=1000.0)
    reducer.step(state, events.Tick(), 1000.0)
    return state


def beats(wanted):
    return [
        effect.message
        for effect in wanted
        if isinstance(effect, effects.SendPeer)
        and isinstance(effect.message, messages.Heartbeat)
    ]


def test_news_do_not_wait_for_their_turn():
    state = state_with_peers()
    assert beats(reducer.step(state, events.Tick(), 1000.1)) == []
    lost = events.LogUnreachable(reason="down")
    reducer.step(state, lost, 1000.1)
    told = beats(reducer.step(state, events.Tick(), 1000.2))
    zones = len(fleets.fleet(hosts=37).zones) - 1
    far = zones * heartbeats.SMALL_ZONE
    assert len(told) == far + 2
    assert all(not message.log_reachable for message in told)


def test_a_peer_lives_as_long_as_it_announced():
    state = state_with_peers()
    name = next(n for n in state.peers if state.peers[n].zone == "zone-00")
    message = messages.Heartbeat(
        address=state.peers[name].address,
        boot=state.peers[name].boot,
        offset=1,
        revision=1,
        interval_ms=2000,
    )
    event = events.PeerSaid(sender=name, message=message)
    reducer.step(state, event, 1001.0)
    reducer.step(state, events.Tick(), 1008.9)
    assert name in state.alive
    reducer.step(state, events.Tick(), 1009.1)
    assert name not in state.alive


def told_early(state):
    """Return the services that a short heartbeat counts after a peak."""
    view = state.services["service-03"]
    view.arrived = 60
    view.in_flight = 40
    view.waiting = 20
    told = beats(reducer.step(state, events.Tick(), state.heartbeat_at))
    assert told
    assert not any(message.zone for message in told)
    return {count.service for message in told for count in message.counts}


def test_a_changed_demand_is_told_before_the_next_whole_heartbeat():
    assert told_early(state_with_peers()) == {"service-03"}


def test_no_demand_is_told_early_with_the_mechanism_off(monkeypatch):
    monkeypatch.setattr(membership, "MAX_CHANGED_SERVICES", 0)
    assert told_early(state_with_peers()) == set()


def test_a_short_heartbeat_of_a_stranger_is_answered_with_a_greeting():
    state = state_with_peers(daemons=1)
    short = messages.Heartbeat(
        address="tcp://127.3.9.9:9000", boot=7, offset=1, revision=1
    )
    event = events.PeerSaid(sender="stranger", message=short)
    told = beats(reducer.step(state, event, 1000.0))
    assert [message.asks for message in told] == [True]
    again = beats(reducer.step(state, event, 1000.5))
    assert again == []
    assert "stranger" not in state.peers
