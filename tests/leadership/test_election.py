"""The election over a log with conditional appends."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from azurewood.jobs import model
from azurewood.leadership import base
from azurewood.leadership import events
from azurewood.leadership import predecessors
from azurewood.leadership import records


class Log:
    """An in-memory log with conditional appends."""

    def __init__(self):
        self.entries = []

    def append(self, wanted):
        """Append if the condition holds; return the offset, else None."""
        if wanted.at != len(self.entries):
            return None
        self.entries.append(wanted.entry)
        return wanted.at


def _election(name, now=0.0, cores=0.0):
    return base.Election(name=name, nonce=name, now=now, cores=cores)


def _read(log, election, now, began_at=None, ready=True):
    offset = max(0, election.end)
    event = events.Read(
        offset=offset,
        entries=tuple(log.entries[offset:]),
        end=len(log.entries),
        began_at=now if began_at is None else began_at,
        ready=ready,
    )
    return election.step(event, now)


def _store(log, election, wanted, now):
    offset = log.append(wanted)
    if offset is None:
        election.step(events.AppendFailed(entry=wanted.entry), now)
        return False
    stored = events.Stored(offset=offset, entry=wanted.entry, began_at=now)
    election.step(stored, now)
    return True


def _leader(log, name="a", now=0.0, cores=0.0):
    election = _election(name, now, cores)
    wanted = _read(log, election, now)
    assert _store(log, election, wanted, now)
    return election


def test_empty_log_is_claimed_at_once_by_one():
    log = Log()
    first, second = _election("a"), _election("b")
    one, two = _read(log, first, 0.0), _read(log, second, 0.0)
    assert _store(log, first, one, 0.0)
    assert not _store(log, second, two, 0.0)
    assert (first.term, second.term) == (1, 0)


def test_silent_term_is_claimed_and_term_numbers_increase():
    log = Log()
    first = _leader(log)
    second = _election("b")
    assert _read(log, second, 0.1) is None
    assert _read(log, second, 1.0) is None
    wanted = _read(log, second, 2.0)
    assert _store(log, second, wanted, 2.0)
    assert second.term > first.term
    _read(log, first, 2.1)
    assert first.term == 0


def test_beats_keep_others_from_claiming():
    log = Log()
    first = _leader(log)
    second = _election("b")
    now = 0.0
    for _ in range(20):
        now += base.BEAT_INTERVAL_S
        _store(log, first, first.beat(model.Resources(), now), now)
        assert _read(log, second, now) is None
    assert first.leads(now, within_s=predecessors.ORDER_VALID_S)


def test_a_read_that_began_before_the_silence_claims_nothing():
    log = Log()
    _leader(log)
    second = _election("b")
    _read(log, second, 0.0)
    assert _read(log, second, 5.0, began_at=0.0) is None
    assert _read(log, second, 5.1) is not None


def test_term_is_claimed_immediately_after_a_resignation():
    log = Log()
    first = _leader(log)
    second = _election("b")
    _read(log, second, 0.1)
    _store(log, first, first.resign(0.2), 0.2)
    wanted = _read(log, second, 0.3)
    assert isinstance(wanted.entry, records.Claim)


def test_late_resignation_of_an_earlier_leader_is_ignored():
    log = Log()
    first = _leader(log)
    second = _election("b")
    _read(log, second, 0.1)
    wanted = _read(log, second, 2.0)
    _store(log, second, wanted, 2.0)
    log.entries.append(records.Resign(nonce=first.nonce))
    third = _election("c")
    assert _read(log, third, 2.1) is None


def test_failed_claim_that_was_stored_is_found_in_the_log():
    log = Log()
    election = _election("a")
    wanted = _read(log, election, 0.0)
    log.append(wanted)
    election.step(events.AppendFailed(entry=wanted.entry), 1.0)
    assert election.term == 0
    _read(log, election, 1.1)
    assert election.term == 1


def test_stopping_daemon_claims_nothing():
    log = Log()
    election = _election("a")
    election.resign(0.0)
    assert _read(log, election, 0.0) is None


def test_clearly_stronger_daemon_preempts_the_leader():
    log = Log()
    weak = _leader(log, cores=1.0)
    strong = _election("b", cores=1.5)
    wanted = _read(log, strong, 0.1)
    assert _store(log, strong, wanted, 0.1)
    _read(log, weak, 0.2)
    assert (weak.term, strong.term) == (0, 2)


@pytest.mark.parametrize(
    ("leader", "own"), [(1.0, 1.0), (1.0, 1.4), (2.0, 1.0), (0, 9), (1.0, 0)]
)
def test_equal_weaker_and_unknown_daemons_preempt_no_leader(leader, own):
    log = Log()
    _leader(log, cores=leader)
    assert _read(log, _election("b", cores=own), 0.1) is None


@pytest.mark.parametrize(
    "state", [{"ready": False}, {"began_at": -base.MAX_READ_AGE_S}]
)
def test_a_daemon_that_cannot_schedule_now_preempts_no_leader(state):
    log = Log()
    _leader(log, cores=1.0)
    strong = _election("b", cores=2.0)
    assert _read(log, strong, 0.1, **state) is None
    assert _read(log, strong, 0.2) is not None


def _preempt(log, now=0.1):
    _leader(log, cores=1.0)
    strong = _election("b", cores=2.0)
    assert _store(log, strong, _read(log, strong, now), now)
    return strong


def _weak_claim(log, now):
    """Append a claim by a weak daemon."""
    log.entries.append(records.Claim(name="c", nonce="c", cores=1.0))


@pytest.mark.parametrize("ending", ["claimed", "step_down", "release_term"])
def test_a_daemon_whose_term_ended_does_not_preempt_in_its_cooldown(ending):
    log = Log()
    strong = _preempt(log)
    over = 20.0
    match ending:
        case "step_down":
            strong.step_down(over)
        case "release_term":
            _store(log, strong, strong.release_term(over), over)
    _weak_claim(log, over)
    for later in (0.0, base.CLAIM_COOLDOWN_S - 0.1):
        _beat(log, "c")
        assert _read(log, strong, over + later) is None
    _beat(log, "c")
    assert _read(log, strong, over + base.CLAIM_COOLDOWN_S + 0.1) is not None


def test_cooldown_doubles_with_each_term_that_ends_by_itself():
    log = Log()
    strong = _preempt(log)
    strong.step_down(20.0)
    _weak_claim(log, 20.0)
    _read(log, strong, 20.0)
    _beat(log, "c")
    wanted = _read(log, strong, 40.1)
    assert _store(log, strong, wanted, 40.1)
    strong.step_down(41.0)
    _weak_claim(log, 41.0)
    _read(log, strong, 41.0)
    _beat(log, "c")
    assert _read(log, strong, 41.0 + base.CLAIM_COOLDOWN_S + 0.1) is None


def test_a_restarted_daemon_has_a_cooldown_after_its_earlier_claim():
    log = Log()
    _preempt(log)
    _weak_claim(log, 1.0)
    again = base.Election(name="b", nonce="b2", now=2.0, cores=2.0)
    assert _read(log, again, 2.0) is None
    _beat(log, "c")
    assert _read(log, again, 2.1 + base.CLAIM_COOLDOWN_S) is not None


def _beat(log, nonce):
    log.entries.append(records.Beat(nonce=nonce, cores=1.0))


def test_a_daemon_that_released_the_term_yields_to_others():
    log = Log()
    strong = _preempt(log)
    weak = _election("c", 0.1, cores=1.0)
    _read(log, weak, 0.2)
    _store(log, strong, strong.release_term(5.0), 5.0)
    assert _read(log, strong, 5.0) is None
    assert _read(log, strong, 5.0 + base.YIELD_S) is None
    assert _read(log, strong, 5.0 + base.YIELD_S + 0.5) is None
    assert _read(log, strong, 5.0 + base.RELEASE_YIELD_S) is not None


@pytest.mark.parametrize("cores", [0.0, 1.0])
def test_a_silent_leader_is_claimed_by_the_strong_first(cores):
    log = Log()
    _leader(log, cores=3.0)
    strong = _election("b", cores=2.5)
    weak = _election("c", cores=cores)
    for election in (strong, weak):
        _read(log, election, 0.0)
        _read(log, election, 1.0)
    assert _read(log, strong, 2.0) is not None
    # A daemon that does not know its own cores does not yield.
    assert (_read(log, weak, 2.0) is None) == (cores > 0)
    assert cores == 0 or _read(log, weak, 2.0 + base.YIELD_S) is not None


def test_time_without_reads_does_not_count_as_yielding():
    log = Log()
    _leader(log, cores=2.0)
    weak = _election("c", cores=1.0)
    for now in (0.0, 1.0, 2.0):
        assert _read(log, weak, now) is None
    assert _read(log, weak, 12.0) is None
    assert _read(log, weak, 12.0 + base.YIELD_S) is not None


def test_the_strongest_daemon_expires():
    log = Log()
    _leader(log, cores=2.0)
    weak = _election("c", cores=1.0)
    _read(log, weak, 0.0)
    assert _read(log, weak, base.STRONGEST_TTL_S + 0.1) is not None


def test_orders_wait_until_a_preempted_leader_sends_none():
    log = Log()
    strong = _preempt(log, 0.1)
    assert not strong.may_order(0.2)
    now = 0.1 + predecessors.ORDER_VALID_S
    _store(log, strong, strong.beat(model.Resources(), now), now)
    assert strong.may_order(now)


def test_orders_do_not_wait_after_a_resignation():
    log = Log()
    first = _leader(log)
    second = _election("b")
    _read(log, second, 0.1)
    _store(log, first, first.resign(0.2), 0.2)
    _store(log, second, _read(log, second, 0.3), 0.3)
    assert second.may_order(0.3)


class _ClaimOfEarlierRelease(msgspec.Struct, tag="claim"):
    """The encoding of a claim in earlier releases, without ``cores``."""

    name: str
    nonce: str


def test_claims_of_earlier_versions_are_read_and_ours_by_them():
    old = msgspec.msgpack.encode(_ClaimOfEarlierRelease(name="a", nonce="n"))
    assert records.decode(old) == records.Claim(name="a", nonce="n")
    new = records.encode(records.Claim(name="a", nonce="n", cores=2.0))
    assert msgspec.msgpack.decode(new, type=_ClaimOfEarlierRelease).name == "a"


STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2),
        strategies.sampled_from(("read", "beat", "stale")),
        strategies.floats(0.0, 2.0),
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(steps=STEPS)
def test_one_leader_is_confirmed_at_a_time(steps):
    log = Log()
    cores = (0.5, 0.5, 2.0)
    elections = [
        _election(name, cores=own)
        for name, own in zip("abc", cores, strict=True)
    ]
    now = 0.0
    terms = []
    for index, what, pause in steps:
        now += pause
        election = elections[index]
        wanted = None
        match what:
            case "read":
                wanted = _read(log, election, now)
            case "stale":
                wanted = _read(log, election, now, began_at=now - 1.0)
            case "beat":
                wanted = election.beat(model.Resources(), now)
        if wanted is not None and _store(log, election, wanted, now):
            term = election.term
            assert term > 0
            assert not terms or term >= terms[-1]
            terms.append(term)
    claims = [e for e in log.entries if isinstance(e, records.Claim)]
    assert len(set(terms)) <= len(claims)


def _lose_answer(log, election, wanted, now):
    log.append(wanted)
    election.step(events.AppendFailed(entry=wanted.entry), now)


def _renewals_past(elections, bounds):
    """Yield by how much earlier leaders renew beyond later ones' bounds."""
    for election in elections:
        for term, bound in bounds.items():
            if 0 < election.term < term:
                yield (
                    election.confirmed_at
                    + predecessors.RENEWAL_VALID_S
                    - bound
                )


RENEWAL_STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2),
        strategies.sampled_from(("read", "stored", "lost")),
        strategies.floats(0.0, 1.6),
    ),
    max_size=80,
)


def _run_renewals(steps):
    log = Log()
    elections = [_election(name) for name in "abc"]
    bounds = {}
    now = 10.0
    for index, what, pause in steps:
        now += pause
        election = elections[index]
        wanted = _read(log, election, now)
        if wanted is None and what != "read":
            wanted = election.beat(model.Resources(), now)
        match what:
            case "lost" if wanted is not None:
                _lose_answer(log, election, wanted, now)
            case _ if wanted is not None:
                _store(log, election, wanted, now)
        if election.term and election.term not in bounds:
            bounds[election.term] = election.earlier_renewals_end()
        assert max(_renewals_past(elections, bounds), default=0.0) <= 1e-6


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(steps=RENEWAL_STEPS)
def test_no_leader_renews_longer_than_its_successors_assume(steps):
    _run_renewals(steps)


def test_a_leader_is_confirmed_as_of_when_its_beat_was_sent():
    """A beat is stored, but its writer learns this only much later."""
    log = Log()
    first, second = _leader(log), _election("b")
    _read(log, second, 0.1)
    _lose_answer(log, first, first.beat(model.Resources(), 0.4), 0.4)
    _read(log, second, 0.5)
    _read(log, first, 1.9)
    wanted = _read(log, second, 2.0)
    assert _store(log, second, wanted, 2.0)
    end = second.earlier_renewals_end()
    assert (
        first.confirmed_at + predecessors.RENEWAL_VALID_S
        <= end
        < 0.5 + predecessors.RENEWAL_VALID_S + 0.1
    )


def test_a_leader_that_resigned_no_longer_renews_leases():
    log = Log()
    first, second = _leader(log), _election("b")
    _read(log, second, 5.0)
    _store(log, first, first.resign(6.0), 6.0)
    wanted = _read(log, second, 6.1)
    assert _store(log, second, wanted, 6.1)
    # Records before its first read may have been another leader's.
    assert second.earlier_renewals_end() == 5.0 + predecessors.RENEWAL_VALID_S


def test_missed_records_count_as_those_of_another_leader():
    log = Log()
    _leader(log)
    second = _election("b")
    _read(log, second, 0.1)
    event = events.Read(offset=40, entries=(), end=40, began_at=9.0)
    second.step(event, 9.0)
    assert second.earlier_renewals_end() == 9.0 + predecessors.RENEWAL_VALID_S


def test_a_record_was_written_by_when_it_was_read():
    log = Log()
    leader = _leader(log, "a", now=1.0)
    reader = _election("b", now=1.0)
    _read(log, reader, 1.2)
    _store(log, leader, leader.beat(model.Resources(), 5.0), 5.0)
    _read(log, reader, 5.3)
    assert reader.read_by(1) == 1.2
    assert reader.read_by(2) == 5.3
    assert reader.read_by(3) is None
    late = _election("c", now=9.0)
    _read(log, late, 9.5)
    assert late.read_by(1) == late.read_by(2) == 9.5


def test_times_of_reading_that_are_dropped_count_as_the_next_one():
    log = Log()
    leader = _leader(log, "a", now=0.0)
    for number in range(1, base.MAX_READ_TIMES + 50):
        now = float(number)
        _store(log, leader, leader.beat(model.Resources(), now), now)
    assert leader.read_by(1) == 50.0
