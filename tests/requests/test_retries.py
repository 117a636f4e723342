"""Retry budgets, and ejection of hosts that fail."""

import pytest

from azurewood.peers import messages
from azurewood.policy import ejection
from azurewood.policy import retries
from azurewood.state import effects
from azurewood.state import events
from azurewood.state import model
from tests.requests import reducers

Result = events.RequestResult


def daemons(*names, hosts=4, **policies):
    net = reducers.Net(configuration=reducers.fleet(hosts=hosts))
    for name in names:
        net.add(name, policies=model.Policies(**policies))
    net.run(3.0)
    return net


def attempts(net, request_id, results):
    """End a request's attempts with given results; return the hosts."""
    tried = []
    for result in results:
        if request_id not in net.started:
            break
        tried.append(net.started[request_id].effect.host)
        net.end(request_id, result)
    return tried


def count_attempts(net, count=400):
    """Break every attempt of many requests; return the attempt count."""
    total = 0
    for number in range(count):
        net.request("e0", f"r-{number}")
        total += len(attempts(net, f"r-{number}", [Result.BROKEN] * 9))
    return total


def test_retries_are_a_share_of_traffic():
    policy = retries.RetryBudget()
    net = daemons("e0", ejection=ejection.NoEjection(), retries=policy)
    total = count_attempts(net)
    assert 400 < total <= 400 * (1 + policy.share) + policy.burst


def test_baseline_retries_multiply_traffic():
    net = daemons(
        "e0", ejection=ejection.NoEjection(), retries=retries.RetryThrice()
    )
    assert count_attempts(net) == 4 * 400


def test_the_next_attempt_goes_to_another_host():
    for number in range(50):
        net = daemons("e0", hosts=3)
        net.request("e0", "r")
        tried = attempts(net, "r", [Result.BROKEN] * 3)
        assert len(set(tried)) == 3, number


@pytest.mark.parametrize(
    ("fields", "results", "answer"),
    [
        ({}, [Result.REFUSED, Result.ANSWERED], effects.AnswerCaller),
        ({}, [Result.BROKEN, Result.ANSWERED], effects.AnswerCaller),
        ({}, [Result.REFUSED] * 3, effects.RefuseRequest),
        ({}, [Result.UNSENT] * 3, effects.RefuseRequest),
        # It may have run on the first host.
        ({}, [Result.BROKEN] + [Result.REFUSED] * 2, effects.AnswerUnknown),
        ({}, [Result.FAILED], effects.AnswerCaller),
        ({"repeatable": False}, [Result.BROKEN], effects.AnswerUnknown),
        ({"repeatable": False}, [Result.TIMED_OUT], effects.AnswerUnknown),
    ],
)
def test_outcomes(fields, results, answer):
    net = daemons("e0")
    net.request("e0", "r", key="k", digest="d", **fields)
    net.settle()
    assert len(attempts(net, "r", results)) == len(results)
    assert isinstance(net.answers["r"], answer)


def test_no_retry_past_the_deadline():
    net = daemons("e0")
    net.request("e0", "r", deadline_s=1.0)
    net.advance(1.5)
    net.end("r", Result.BROKEN)
    assert isinstance(net.answers["r"], effects.AnswerUnknown)
    assert not net.started


def count_requests_at_failing_host(policy):
    """Return how many of 400 requests go to a host that fails at once."""
    net = daemons("e0", ejection=policy)
    bad = 0
    for number in range(400):
        net.request("e0", f"r-{number}")
        if number % 4 == 0:
            net.run(0.1)
        for request_id, start in tuple(net.started.items()):
            if start.effect.host == "w0":
                bad += 1
                net.end(request_id, Result.FAILED)
            elif start.at + 0.1 <= net.now:
                net.end(request_id)
    return bad


def test_a_host_that_fails_quickly_does_not_attract_requests():
    assert (
        count_requests_at_failing_host(ejection.OutlierEjection()) < 400 / 20
    )


def test_baseline_host_that_fails_quickly_attracts_requests():
    assert count_requests_at_failing_host(ejection.NoEjection()) > 400 / 4


def test_no_more_than_half_of_the_hosts_are_ejected():
    net = daemons("e0")
    for number in range(100):
        net.request("e0", f"r-{number}")
        attempts(net, f"r-{number}", [Result.FAILED])
    view = net.nodes["e0"].state.services[reducers.SERVICE]
    assert len(view.ejected) == 2
    net.request("e0", "last")
    assert "last" in net.started


def refuse_at(net, host):
    """End the first request of e0 that a host gets as refused."""
    for number in range(200):
        net.request("e0", f"r-{number}")
        start = net.started[f"r-{number}"]
        if start.effect.host == host:
            net.end(f"r-{number}", Result.REFUSED)
            return
        net.end(f"r-{number}")
    pytest.fail(f"{host} was never chosen")


def is_ready(net, name, host):
    view = net.nodes[name].state.services[reducers.SERVICE]
    return host in view.near.names


@pytest.mark.parametrize("notified", [True, False])
def test_a_host_that_refuses_is_ejected_by_all_daemons(notified):
    net = daemons("e0", "e1")
    assert is_ready(net, "e1", "w0")
    refuse_at(net, "w0")
    assert not is_ready(net, "e0", "w0")
    if not notified:
        net.messages = [
            m
            for m in net.messages
            if not isinstance(m[2], messages.HostSuspected)
        ]
    net.settle()
    assert is_ready(net, "e1", "w0") is not notified


def test_a_host_returns_slowly_and_is_ejected_for_longer_each_time():
    net = daemons("e0", hosts=2)
    host = net.nodes["e0"].state.hosts["w0"]
    lengths = []
    for _ in range(3):
        net.step("e0", events.Tick())
        for number in range(50):
            net.request("e0", f"{len(lengths)}-{number}")
            request_id = f"{len(lengths)}-{number}"
            if net.started[request_id].effect.host == "w0":
                net.end(request_id, Result.REFUSED)
            for done in tuple(net.started):
                net.end(done)
            if host.ejected_until:
                break
        lengths.append(host.ejected_until - net.now)
        net.run(lengths[-1] + 0.2)
    assert lengths[0] < lengths[1] < lengths[2]
    assert host.ramp == 1
    for number in range(9):
        net.request("e0", f"ramp-{number}")
    assert net.busy("w0") == 1
