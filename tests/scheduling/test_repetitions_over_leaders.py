"""How long a next leader takes repeated starts to be possibly late."""

import pytest

from azurewood.incarnations import limits
from azurewood.jobs import model
from azurewood.journal import pages
from azurewood.scheduling import messages
from azurewood.scheduling import reducer
from standins.fleet import world as worlds
from tests.scheduling import deployment
from tests.scheduling import late_calls

LASTING = model.Step(
    count=1, needs=model.Resources(500, 500, 0), long_lived=True
)
SAVE_S = 0.9
NEVER_S = 60.0


def _next_leaders_starts(made):
    """Return the late starts that another daemon finds in the records."""
    other = next(m for m in made.members if m.up and not m.leads)
    state = reducer.begin(
        term=99,
        found=list(made.rules.asked.values()),
        stored=made.store.values(pages.Topic.PROGRESS, 0),
        leases_expire_at=0.0,
        order_pause_s=0.0,
        now=made.clock.now,
        read_by=other.member.election.read_by,
    )
    return [
        late
        for host in state.hosts.values()
        for late in host.late_starts.values()
    ]


def _slow_saves(made, monkeypatch):
    """Let each record of progress take some time."""
    usual = worlds.World.append_turn_s

    def append_turn_s(world, partition):
        turn_s = usual(world, partition)
        saving = partition[0] is pages.Topic.PROGRESS
        return turn_s + SAVE_S if saving and turn_s is not None else turn_s

    monkeypatch.setattr(worlds.World, "append_turn_s", append_turn_s)


def _shortfalls(made, monkeypatch, *, starts, killed_after=0):
    """Return by how much the next leader's bounds fall short, per start.

    The leader is killed once a number of starts has left.
    """
    left = []

    def choose(effect, now):
        if not isinstance(effect, messages.StartRun):
            return None
        left.append(now)
        return NEVER_S

    course = late_calls.LateCalls(
        made=made, monkeypatch=monkeypatch, choose=choose
    )
    made.submit(made.members[0], deployment.job(made, 1, LASTING))
    missing = []
    while len(left) < starts:
        known = len(left)
        made.run(0.01)
        if len(left) == known:
            continue
        possible_until = left[-1] + limits.MAX_START_DELAY_S
        (late,) = _next_leaders_starts(made)
        bound = late.possible_until - made.clock.now + course.now
        missing.append(round(possible_until - bound, 3))
        if len(left) == killed_after:
            made.leaders()[0].kill()
    return missing


@pytest.mark.parametrize("slow", (False, True))
def test_a_next_leader_knows_how_late_a_repetition_may_be(monkeypatch, slow):
    """Guards against TWICE: the next run began while a start was possible."""
    made = deployment.world(**{"s-one": 1})
    if slow:
        _slow_saves(made, monkeypatch)
    missing = _shortfalls(made, monkeypatch, starts=8)
    assert max(missing) <= 0, missing


def test_a_third_leader_knows_how_late_an_inherited_start_may_be(monkeypatch):
    made = deployment.world(**{"s-one": 1})
    _slow_saves(made, monkeypatch)
    missing = _shortfalls(made, monkeypatch, starts=4, killed_after=1)
    assert max(missing) <= 0, missing
