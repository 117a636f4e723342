"""Tests of the agreed state under one failure at a time.

For each failure a test checks what the daemons guarantee. A second one
removes the mechanism behind the guarantee and checks that it then fails.
"""

import random

import pytest

from azurewood.state import agreed as agreed_state
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import fold
from azurewood.state import log_reader
from azurewood.state import model
from azurewood.state import outbox
from azurewood.state import records
from azurewood.state import reducer
from azurewood.state import relay
from azurewood.state import transitions
from tests.agreement import world as worlds

PEAK = records.UsePreset(name="peak")
MAINTENANCE = records.UsePreset(name="maintenance")
Resolution = effects.Resolution


@pytest.fixture
def world():
    made = worlds.World(seed=7, zones=("a", "a", "b"))
    made.run(2)
    publish(made)
    return made


def publish(world):
    ticket = world.propose(
        "d0", records.FLEET, records.PublishFleet(fleet=worlds.FLEET)
    )
    world.run(1)
    assert resolution(world, ticket) == Resolution.ACCEPTED


def resolution(world, ticket):
    (resolved,) = world.answers[ticket].resolved
    return resolved.resolution


def in_force(world):
    return {
        name: node.state.agreed.in_force for name, node in world.nodes.items()
    }


def everywhere(world, preset):
    return set(in_force(world).values()) == {preset}


def no_effects(*args, **kwargs):
    return iter(())


class TestRace:
    def race(self, world):
        first = world.propose("d0", records.IN_FORCE, PEAK)
        second = world.propose("d2", records.IN_FORCE, MAINTENANCE)
        world.run(2)
        return [resolution(world, first), resolution(world, second)]

    def test_one_operator_wins_and_the_other_is_told(self, world):
        ends = self.race(world)
        assert sorted(ends) == [Resolution.ACCEPTED, Resolution.REJECTED]
        winner = "peak" if ends[0] == Resolution.ACCEPTED else "maintenance"
        assert everywhere(world, winner)

    def test_without_base_revisions_both_are_told_they_won(
        self, world, monkeypatch
    ):
        monkeypatch.setattr(fold, "_refusal", lambda *args: "")
        assert self.race(world) == [Resolution.ACCEPTED] * 2


class TestLostAnswer:
    def lose(self, world):
        world.log.lose_answers = 2
        ticket = world.propose("d1", records.IN_FORCE, PEAK)
        world.run(2)
        verdict = world.answers[ticket].resolved[0].id
        kept = world.whole_fold().verdicts[verdict]
        return resolution(world, ticket), kept.accepted

    def test_the_repeat_changes_nothing(self, world):
        assert self.lose(world) == (Resolution.ACCEPTED, True)

    def test_without_sequence_numbers_the_verdict_flips(
        self, world, monkeypatch
    ):
        """The append is repeated before the record is read back."""
        monkeypatch.setattr(fold, "_record_writer", lambda state, record: None)
        monkeypatch.setattr(fold, "_expire_old_entries", lambda state: None)
        world.log.lose_answers = 1
        ticket = world.propose("d1", records.IN_FORCE, PEAK)
        world.log.append(world.log.records[-1].data, world.now)
        world.run(2)
        node = world.nodes["d1"]
        (sent,) = world.answers[ticket].resolved
        world.log.append(records.encode(_record(node, sent, PEAK)), world.now)
        world.run(1)
        assert not world.whole_fold().verdicts[sent.id].accepted


def _record(node, resolved, change):
    """Rebuild the record of a resolved proposal."""
    writer, sequence, _ = resolved.id.rsplit("/", 2)
    proposal = records.Proposal(object=resolved.object, base=1, change=change)
    return records.Proposals(
        writer=writer, sequence=int(sequence), proposals=(proposal,)
    )


class TestUnsureAppend:
    def lose_and_cut(self, world):
        """Cut off all daemons from the log while an append is outstanding.

        The append takes effect later, without any daemon reading it in time.
        """
        world.log.defer_appends = 1
        ticket = world.propose("d1", records.IN_FORCE, PEAK)
        world.run(0.1)
        for node in world.nodes.values():
            node.cut = True
        world.run(4)
        world.log.deliver_late(world.now)
        return resolution(world, ticket), world.whole_fold().in_force

    def test_is_answered_as_unknown(self, world):
        assert self.lose_and_cut(world) == (Resolution.UNKNOWN, "peak")

    def test_an_answer_of_not_accepted_would_be_false(
        self, world, monkeypatch
    ):
        monkeypatch.setattr(
            outbox, "_resolution", lambda sent: Resolution.NOT_ACCEPTED
        )
        assert self.lose_and_cut(world) == (Resolution.NOT_ACCEPTED, "peak")

    def test_a_log_that_is_down_is_answered_as_not_accepted(self, world):
        world.log.down = True
        ticket = world.propose("d1", records.IN_FORCE, PEAK)
        world.run(4)
        world.heal()
        world.run(3)
        assert resolution(world, ticket) == Resolution.NOT_ACCEPTED
        assert everywhere(world, "ordinary")


class TestCutOff:
    def switch_while_cut(self, world):
        world.nodes["d2"].cut = True
        world.run(1)
        world.propose("d0", records.IN_FORCE, PEAK)
        world.run(1.5)
        return world.nodes["d2"].state.agreed.in_force

    def test_a_daemon_keeps_up_through_its_peers(self, world):
        assert self.switch_while_cut(world) == "peak"

    def test_without_relay_it_stays_behind(self, world, monkeypatch):
        monkeypatch.setattr(relay, "_request_tail", no_effects)
        monkeypatch.setattr(relay, "forward_records", no_effects)
        assert self.switch_while_cut(world) == "ordinary"

    @pytest.mark.parametrize("off", ["_request_tail", "forward_records"])
    def test_either_way_of_relay_is_enough(self, world, monkeypatch, off):
        monkeypatch.setattr(relay, off, no_effects)
        assert self.switch_while_cut(world) == "peak"

    def test_cut_from_log_and_peers_it_keeps_its_state_and_reports_it(
        self, world
    ):
        world.nodes["d2"].cut = True
        world.apart = {frozenset({"d2", "d0"}), frozenset({"d2", "d1"})}
        world.run(5)
        state = world.nodes["d2"].state
        assert state.agreed.in_force == "ordinary"
        assert not state.log.reachable
        assert state.alive == ()


class TestNewDaemon:
    def start_with_log_down(self, world):
        world.log.down = True
        world.run(1)
        world.start("d9", "b")
        world.run(3)
        return world.nodes["d9"].state.agreed.revision

    def test_starts_from_a_peer_while_the_log_is_down(self, world):
        known = world.nodes["d0"].state.agreed.revision
        assert self.start_with_log_down(world) == known

    def test_without_relay_it_knows_nothing(self, world, monkeypatch):
        monkeypatch.setattr(relay, "_request_tail", no_effects)
        assert self.start_with_log_down(world) == 0


class TestTrimmedLog:
    def fall_behind(self, world, monkeypatch):
        """Pause a daemon until the log no longer holds its offset."""
        monkeypatch.setattr(log_reader, "SNAPSHOT_INTERVAL_RECORDS", 2)
        world.nodes["d2"].paused = True
        for change in (PEAK, MAINTENANCE, PEAK):
            world.propose("d0", records.IN_FORCE, change)
            world.run(1)
        world.log.trim()
        world.apart = {frozenset({"d2", "d0"}), frozenset({"d2", "d1"})}
        world.nodes["d2"].paused = False
        world.run(5)
        return world.nodes["d2"].state.agreed

    def test_a_reader_starts_again_from_the_snapshot(self, world, monkeypatch):
        caught_up = self.fall_behind(world, monkeypatch)
        assert world.log.first > 0
        assert agreed_state.encode(caught_up) == agreed_state.encode(
            world.nodes["d0"].state.agreed
        )

    def test_without_snapshots_it_stays_behind(self, world, monkeypatch):
        monkeypatch.setattr(log_reader, "install_snapshot", no_effects)
        caught_up = self.fall_behind(world, monkeypatch)
        assert caught_up.in_force == "ordinary"


class TestLostLog:
    def lose_everything(self, world):
        """Lose the log while only one daemon knows the latest change."""
        world.nodes["d1"].cut = True
        world.nodes["d2"].cut = True
        world.apart = {
            frozenset({first, second})
            for first in world.nodes
            for second in world.nodes
        }
        world.run(1)
        ticket = world.propose("d0", records.IN_FORCE, PEAK)
        world.run(1)
        assert resolution(world, ticket) == Resolution.ACCEPTED
        world.log.reset()
        world.heal()
        world.run(8)

    def test_live_daemons_seed_it_and_nothing_reverts(self, world):
        self.lose_everything(world)
        assert everywhere(world, "peak")
        assert world.whole_fold().in_force == "peak"

    def test_without_seeds_the_accepted_preset_is_lost(
        self, world, monkeypatch
    ):
        monkeypatch.setattr(log_reader, "_seed", lambda *args: _nothing())
        self.lose_everything(world)
        assert world.whole_fold().in_force == ""

    def test_changes_are_rejected_while_it_is_seeded(self, world):
        world.run(1)
        world.log.reset()
        world.run(0.5)
        ticket = world.propose("d0", records.IN_FORCE, PEAK)
        world.run(1)
        assert resolution(world, ticket) == Resolution.REJECTED
        world.run(4)
        ticket = world.propose("d0", records.IN_FORCE, PEAK)
        world.run(1)
        assert resolution(world, ticket) == Resolution.ACCEPTED
        assert everywhere(world, "peak")

    def test_an_unrecoverable_loss_is_reported(self, world):
        """A change that only a partitioned daemon knew is lost.

        The log was reset and other changes were accepted before the daemon
        rejoined.
        """
        others = {frozenset({"d0", "d1"}), frozenset({"d0", "d2"})}
        for name in ("d1", "d2"):
            world.nodes[name].cut = True
        world.apart = set(others)
        world.run(1)
        lost = world.propose("d0", records.IN_FORCE, PEAK)
        world.run(1)
        world.log.reset()
        world.heal()
        world.apart = set(others)
        world.nodes["d0"].cut = True
        world.run(6)
        for change in (MAINTENANCE, PEAK, MAINTENANCE):
            world.propose("d1", records.IN_FORCE, change)
            world.run(1)
        world.nodes["d0"].highest = 0
        world.heal()
        world.run(4)
        assert everywhere(world, "maintenance")
        (report,) = (
            report for report in world.reports if report.name == "changes_lost"
        )
        assert world.answers[lost].resolved[0].id in report.text

    def test_a_new_daemon_does_not_propose_what_its_peers_know(self, world):
        for node in world.nodes.values():
            node.cut = True
        world.log.reset()
        world.start("d9", "a")
        world.run(0.3)
        node = world.nodes["d9"]
        assert node.state.agreed.revision == 0
        ticket = world.propose(
            "d9", records.FLEET, records.PublishFleet(fleet=worlds.FLEET)
        )
        assert resolution(world, ticket) == Resolution.NOT_ACCEPTED


def _nothing():
    return effects.Report(level="INFO", name="nothing", text="")


class TestReplay:
    def test_recorded_events_lead_to_the_same_bytes(self):
        world = worlds.World(seed=3, zones=("a", "b"))
        recorded = []
        original = world.post

        def recording(node, event):
            if node.state.me.name == "d0":
                data = events.encode(
                    events.Recorded(now=world.now, event=event)
                )
                recorded.append(data)
            original(node, event)

        world.post = recording
        world.run(2)
        publish(world)
        world.loss = 0.3
        world.propose("d1", records.IN_FORCE, PEAK)
        world.run(5)
        again = model.State(
            me=model.Identity(name="d0", zone="a", address="d0", boot=1),
            rng=random.Random(1),
            seeds=("d0", "d1"),
        )
        log_reader.start(again, 1000.0)
        for data in recorded:
            item = events.decode(data)
            reducer.step(again, item.event, item.now)
        assert model.encode(again) == model.encode(world.nodes["d0"].state)


class TestMalformed:
    def test_a_record_that_cannot_be_read_is_skipped_by_all(self, world):
        world.log.append(b"\xc1 not a record", world.now)
        world.propose("d1", records.IN_FORCE, PEAK)
        world.run(2)
        assert everywhere(world, "peak")
        assert any(
            report.name == "record_malformed" for report in world.reports
        )

    def test_a_change_that_the_fold_fails_on_ends_no_daemon(
        self, world, monkeypatch
    ):
        """The record stays in the log, so it would fail at each start too."""

        def fail(*args):
            raise KeyError("a fault")

        with monkeypatch.context() as faulty:
            faulty.setattr(transitions, "carry_out", fail)
            ticket = world.propose("d0", records.IN_FORCE, PEAK)
            world.run(1)
        assert resolution(world, ticket) == Resolution.REJECTED
        ticket = world.propose("d1", records.IN_FORCE, MAINTENANCE)
        world.run(1)
        assert resolution(world, ticket) == Resolution.ACCEPTED
        assert everywhere(world, "maintenance")

    def test_a_seed_that_cannot_be_read_is_skipped(self, world):
        seed = records.Seed(writer="w", revision=99, state=b"not packed")
        world.log.append(records.encode(seed), world.now)
        world.run(4)
        ticket = world.propose("d1", records.IN_FORCE, PEAK)
        world.run(1)
        assert resolution(world, ticket) == Resolution.ACCEPTED

    def test_unknown_objects_are_rejected(self, world):
        state = world.nodes["d0"].state.agreed
        assert transitions.revision_of(state, "nothing:at-all") == 0
        ticket = world.propose("d0", "nothing:at-all", PEAK)
        world.run(1)
        assert resolution(world, ticket) == Resolution.REJECTED
