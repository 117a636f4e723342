"""Orders to reboot a host, by what their calls tell."""

import pytest

from azurewood.daemons import workers
from azurewood.provider import base
from azurewood.provider import exceptions
from azurewood.provider import tasks
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import jobs
from tests.moves import test_moves_machine as machines

IN_TIME = float("inf")
SOON_S = jobs.RETRY_CAP_S
LATE_S = jobs.REBOOT_ASSUMED_S


class Platform:
    """A connection whose calls end as told; it counts them."""

    def __init__(self, end):
        self.end = end
        self.calls = 0

    def call(self, *args, **kwargs):
        """Return the answer or raise the error."""
        self.calls += 1
        if isinstance(self.end, Exception):
            raise self.end
        return base.Answer(status=self.end, body=b"")


LOST = exceptions.OutcomeUnknown("lost")
UNSENT = exceptions.NotDone("refused")


def reboot(end, not_after=IN_TIME):
    """Return how the call of an order ends, and how many were made."""
    platform = Platform(end)
    effect = effects.RebootHost(host="h1", not_after=not_after)
    client = tasks.TaskClient(conn=platform)
    (ended,) = workers._call_task(client, effect)
    return ended, platform.calls


@pytest.mark.parametrize(
    ("end", "done", "not_done"),
    [
        (LOST, False, False),
        (500, False, False),
        (UNSENT, False, True),
        (503, False, True),
        (404, False, True),
        (200, True, False),
    ],
)
def test_a_call_is_not_done_only_if_that_is_certain(end, done, not_done):
    ended, _ = reboot(end)
    assert (ended.done, ended.not_done) == (done, not_done)


def test_an_order_that_came_too_late_is_not_done():
    ended, calls = reboot(200, not_after=0.0)
    assert (ended.done, ended.not_done, calls) == (False, True, 0)


@pytest.mark.parametrize(
    ("not_done", "after_s", "orders"),
    [
        (True, SOON_S, 2),
        (False, SOON_S, 1),
        (False, LATE_S - 1.0, 1),
        (False, LATE_S, 2),
    ],
)
def test_an_order_that_may_be_carried_out_is_not_repeated_soon(
    not_done, after_s, orders
):
    machine = machines.MovesMachine()
    machine.publish()
    machine.run(names=machines.NAMES)
    daemon, now = machine.daemons["a"], machine.now
    state = daemon.state
    host = state.agreed.hosts[state.steward.mine[0]]
    host.phase, host.reboot = jobs.HostPhase.DOWN, True
    state.agreed.hosts_revision += 1
    daemon.pending_effects.clear()
    daemon.step(events.Tick(), now)
    ended = events.TaskCallEnded(
        action=events.TaskAction.REBOOT,
        subject=host.name,
        done=False,
        not_done=not_done,
    )
    daemon.step(ended, now)
    daemon.step(events.Tick(), now + after_s)
    found = [
        effect
        for effect in daemon.pending_effects
        if isinstance(effect, effects.RebootHost)
    ]
    assert len(found) == orders
