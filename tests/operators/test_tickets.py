import pytest

from azurewood.operators import messages
from azurewood.operators import views
from azurewood.state import agreed as agreed_state
from azurewood.state import fold
from azurewood.state import records
from tests import small_fleet

ID = "mariam~0123456789.0"


def record(*, writer, sequence, name="peak", base=1, ticket=ID):
    return records.Proposals(
        writer=writer,
        sequence=sequence,
        proposals=(
            records.Proposal(
                object=records.IN_FORCE,
                base=base,
                change=records.UsePreset(name=name),
                ticket=ticket,
            ),
        ),
    )


@pytest.fixture
def state():
    state = agreed_state.Agreed()
    change = records.PublishFleet(fleet=small_fleet.load())
    first = records.Proposals(
        writer="w",
        sequence=1,
        proposals=(
            records.Proposal(object=records.FLEET, base=0, change=change),
        ),
    )
    fold.apply(state, offset=0, at_ms=1, record=first)
    return state


def apply(state, one):
    (verdict,) = fold.apply(state, offset=state.offset, at_ms=2, record=one)
    return verdict


def test_a_ticket_sent_through_two_daemons_is_accepted_once(state):
    first = apply(state, record(writer="a", sequence=1))
    again = apply(state, record(writer="b", sequence=1))
    assert (first.accepted, again.accepted) == (True, True)
    assert first.revision == again.revision == state.revision == 2


def test_without_a_ticket_the_repeat_is_a_conflict(state):
    apply(state, record(writer="a", sequence=1, ticket=""))
    again = apply(state, record(writer="b", sequence=1, ticket=""))
    assert not again.accepted


def test_a_rejected_ticket_stays_rejected(state):
    apply(state, record(writer="a", sequence=1, name="nowhere"))
    change = records.EditPreset(preset=state.presets["peak"].preset)
    assert change.preset.name == "peak"
    again = apply(state, record(writer="b", sequence=1))
    assert not again.accepted
    assert state.in_force == "ordinary"


def test_the_outcome_is_found_by_the_ticket_and_by_the_record(state):
    outcome = views.outcome
    daemon_state = type("DaemonState", (), {"agreed": state})
    assert outcome(daemon_state, ID).knowledge == messages.Knowledge.UNKNOWN
    apply(state, record(writer="a", sequence=1))
    for name in (ID, "a/1/0"):
        assert (
            outcome(daemon_state, name).knowledge
            == messages.Knowledge.ACCEPTED
        )
        assert outcome(daemon_state, name).revision == 2
    assert messages.author(ID) == "mariam"


def test_tickets_survive_a_snapshot(state):
    apply(state, record(writer="a", sequence=1))
    restored = agreed_state.unpack(agreed_state.pack(state))
    assert apply(restored, record(writer="b", sequence=1)).accepted
    assert restored.revision == 2


def change(state, target, one, base):
    proposal = records.Proposal(object=target, base=base, change=one)
    record = records.Proposals(
        writer="c", sequence=state.offset, proposals=(proposal,)
    )
    return apply(state, record)


def test_applied_records_pause_and_resume_a_wave(state):
    host = next(iter(state.hosts))
    steps = (
        (records.StartWave(hosts=(host,)), "running", ""),
        (records.PauseWave(reason="crews are out"), "paused", "crews are out"),
        (records.ResumeWave(), "running", ""),
    )
    revision = 0
    for one, phase, reason in steps:
        verdict = change(state, "wave:w1", one, revision)
        assert verdict.accepted
        revision = verdict.revision
        wave = state.waves["w1"]
        assert (wave.phase, wave.reason) == (phase, reason)
        assert wave.revision == revision
