"""Request queues: limits, quotas, shedding, and urgent requests first."""

import collections

from azurewood.fleet import model as fleet_model
from azurewood.policy import admission as policy
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from tests.requests import reducers

Refusal = effects.Refusal
Urgency = fleet_model.Urgency
SLOTS = 4


def single_daemon(
    admission=None, *, waiting=64, quota=1.0, shed=False, **limits
):
    """Return one daemon and one host of ``SLOTS`` slots, all of them busy."""
    fleet = reducers.fleet(hosts=1, slots=SLOTS)
    fleet.services[0].quota = quota
    fleet.presets[0].shed_deferrable = shed
    net = reducers.Net(configuration=fleet)
    net.add(
        "e0",
        policies=model.Policies(admission=admission or policy.ClassQueues()),
        limits=model.Limits(waiting_requests=waiting, **limits),
    )
    net.run(2.0)
    for number in range(SLOTS):
        net.request("e0", f"busy-{number}", deadline_s=60.0)
    assert len(net.started) == SLOTS
    return net


def ask(net, name, urgency=Urgency.NORMAL, deadline_s=60.0, **fields):
    net.request("e0", name, urgency=urgency, deadline_s=deadline_s, **fields)


def refused(net):
    return {
        name: answer.reason
        for name, answer in net.answers.items()
        if isinstance(answer, effects.RefuseRequest)
    }


def start_order(net):
    """End requests one by one; return the order in which others start."""
    order = []
    while net.started:
        before = set(net.started)
        net.end(min(before))
        order.extend(set(net.started) - before)
    return order


def fill_queues(net, count=20):
    for urgency in reversed(list(Urgency)):
        for number in range(count):
            ask(net, f"{urgency.value}-{number:02}", urgency)
    return start_order(net)


def test_urgent_requests_go_first_without_starving_the_others():
    order = fill_queues(single_daemon())
    first = collections.Counter(name.split("-")[0] for name in order[:16])
    assert first["urgent"] >= 13
    assert first["normal"] >= 1
    assert first["deferrable"] >= 1
    for urgency in Urgency:
        own = [n for n in order if n.startswith(urgency.value)]
        assert own == sorted(own)


def test_baseline_queue_lets_urgent_requests_wait():
    order = fill_queues(single_daemon(policy.OneQueue()))
    assert not any(name.startswith("urgent") for name in order[:40])


def test_queue_length_and_bytes_are_bounded():
    net = single_daemon(waiting=5, waiting_bytes=1000)
    for number in range(8):
        ask(net, f"r-{number}")
    assert refused(net) == {f"r-{n}": Refusal.QUEUE_FULL for n in range(5, 8)}
    net = single_daemon(waiting=50, waiting_bytes=1000)
    for number in range(3):
        ask(net, f"r-{number}", size=400)
    assert refused(net) == {"r-2": Refusal.QUEUE_FULL}


def test_a_service_keeps_to_its_quota():
    net = single_daemon(waiting=8, quota=0.25)
    for number in range(4):
        ask(net, f"r-{number}")
    assert sorted(refused(net)) == ["r-2", "r-3"]


def test_an_urgent_request_takes_the_place_of_a_deferrable_one():
    net = single_daemon(waiting=2)
    ask(net, "later-0", Urgency.DEFERRABLE)
    ask(net, "later-1", Urgency.DEFERRABLE)
    ask(net, "now", Urgency.URGENT)
    assert refused(net) == {"later-1": Refusal.SHED}
    ask(net, "later-2", Urgency.DEFERRABLE)
    assert "later-2" in refused(net)


def test_deferrable_requests_are_shed_as_the_preset_says():
    for shed in (True, False):
        net = single_daemon(waiting=8, shed=shed)
        for number in range(4):
            ask(net, f"r-{number}")
        ask(net, "later", Urgency.DEFERRABLE)
        assert ("later" in refused(net)) is shed


def set_mean(net, seconds):
    view = net.nodes["e0"].state.services[reducers.SERVICE]
    view.mean_s = seconds


def test_a_request_that_would_wait_too_long_is_shed_at_once():
    net = single_daemon()
    set_mean(net, 1.0)
    for number in range(2 * SLOTS):
        ask(net, f"r-{number}")
    ask(net, "late", deadline_s=1.0)
    assert refused(net) == {"late": Refusal.SHED}
    # Two rounds of one second for the queued requests, one for itself.
    assert net.answers["late"].retry_after_s == 3
    ask(net, "urgent", Urgency.URGENT, deadline_s=1.0)
    assert "urgent" not in refused(net)


def test_baseline_admission_queues_a_request_that_cannot_start_in_time():
    net = single_daemon(policy.OneQueue())
    set_mean(net, 1.0)
    for number in range(2 * SLOTS):
        ask(net, f"r-{number}")
    ask(net, "late", deadline_s=1.0)
    assert not refused(net)


def late_starts(admission):
    """Return how many requests start that cannot end by their deadline."""
    net = single_daemon(admission)
    for number in range(8):
        ask(net, f"r-{number}", deadline_s=2.0)
    set_mean(net, 0.5)
    net.run(1.6)
    for number in range(SLOTS):
        net.end(f"busy-{number}")
    return len(net.started)


def test_what_cannot_end_in_time_is_not_started():
    assert late_starts(policy.ClassQueues()) == 0
    assert late_starts(policy.OneQueue()) == SLOTS


def test_mean_follows_the_answers():
    net = single_daemon()
    view = net.nodes["e0"].state.services[reducers.SERVICE]
    net.step(
        "e0",
        events.RequestEnded(
            id="busy-0",
            result=events.RequestResult.ANSWERED,
            elapsed_s=0.5,
            status=200,
        ),
    )
    assert view.mean_s == 0.5


def test_counts_return_to_zero():
    net = single_daemon(waiting=6)
    for number in range(12):
        ask(net, f"r-{number}", list(Urgency)[number % 3], size=10)
    net.step("e0", events.RequestAbandoned(id="r-0"))
    start_order(net)
    state = net.nodes["e0"].state
    assert (state.waiting, state.waiting_bytes) == (0, 0)
    assert not state.requests
    assert len(net.answers) == 12 + SLOTS
