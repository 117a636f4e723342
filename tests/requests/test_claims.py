"""Claims over several reducers, with faults of the log and the network."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from azurewood.policy import claims as policy
from azurewood.state import claims
from azurewood.state import effects
from azurewood.state import events
from tests.requests import reducers

NAMES = ("e0", "e1", "e2")
KEYS = ("a", "b")

Result = events.RequestResult


class ClaimedRequests(stateful.RuleBasedStateMachine):
    """A request runs at most once; a refused request has not run."""

    def __init__(self):
        super().__init__()
        self.net = reducers.Net(configuration=reducers.fleet(hosts=2, slots=1))
        for name in NAMES:
            self.net.add(name)
        self.net.run(2.0)
        self.count = 0
        self.key_of = {}
        self.runs = collections.Counter()
        self.run_ids = set()

    def sent(self):
        """Count the requests that started since the last call."""
        for request_id in self.net.started:
            if request_id not in self.run_ids:
                self.run_ids.add(request_id)
                self.runs[self.key_of[request_id]] += 1

    @stateful.rule(
        name=strategies.sampled_from(NAMES), key=strategies.sampled_from(KEYS)
    )
    def request(self, name, key):
        self.count += 1
        request_id = f"{name}-{self.count}"
        self.key_of[request_id] = key
        self.net.request(
            name,
            request_id,
            deadline_s=2.0,
            repeatable=False,
            key=key,
            digest=key,
        )

    @stateful.rule(
        name=strategies.sampled_from(NAMES), lost=strategies.booleans()
    )
    def append(self, name, lost):
        self.net.append(name, lost=lost)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def read(self, name):
        self.net.read(name)

    @stateful.rule(index=strategies.integers(0, 20))
    def deliver(self, index):
        self.net.deliver(index)

    @stateful.rule(up=strategies.booleans())
    def log(self, up):
        self.net.log_up = up

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.3, 1.1)))
    def time_passes(self, seconds):
        self.net.advance(seconds)
        self.net.tick()

    @stateful.rule()
    def all_settles(self):
        self.net.run(0.3)

    @stateful.rule(
        name=strategies.sampled_from(NAMES), frozen=strategies.booleans()
    )
    def pause(self, name, frozen):
        self.net.nodes[name].frozen = frozen

    @stateful.rule(name=strategies.sampled_from(NAMES[1:]))
    def replace(self, name):
        self.sent()
        self.net.kill(name)
        self.net.add(name)

    @stateful.precondition(lambda self: self.net.started)
    @stateful.rule(
        data=strategies.data(),
        result=strategies.sampled_from(
            (Result.ANSWERED, Result.BROKEN, Result.REFUSED)
        ),
    )
    def worker_ends(self, data, result):
        self.sent()
        request_id = data.draw(
            strategies.sampled_from(sorted(self.net.started))
        )
        if result == Result.REFUSED:
            # No byte reached the worker, so the request has not run.
            self.runs[self.key_of[request_id]] -= 1
            self.run_ids.discard(request_id)
        self.net.end(request_id, result)

    @stateful.invariant()
    def at_most_once(self):
        self.sent()
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @stateful.invariant()
    def refusals_are_true(self):
        for request_id, answer in self.net.answers.items():
            if isinstance(answer, effects.RefuseRequest):
                assert request_id not in self.run_ids


SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_at_most_once_under_random_faults():
    stateful.run_state_machine_as_test(ClaimedRequests, settings=SETTINGS)


def test_baseline_runs_twice(monkeypatch):
    monkeypatch.setattr(
        reducers.model.Policies,
        "at_most_once",
        property(lambda self: policy.NoClaims(), lambda self, value: None),
    )
    first_failure = hypothesis.settings(
        SETTINGS, phases=(hypothesis.Phase.generate,)
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            ClaimedRequests, settings=first_failure
        )


def two_daemons():
    net = reducers.Net(configuration=reducers.fleet(hosts=1))
    for name in NAMES[:2]:
        net.add(name)
    net.run(2.0)
    return net


def issue(net, name, request_id, **kwargs):
    net.request(
        name, request_id, repeatable=False, key="k", digest="d", **kwargs
    )


def test_a_pause_between_claim_and_send_is_noticed():
    net = two_daemons()
    issue(net, "e0", "e0-1", deadline_s=30.0)
    net.append("e0")
    net.nodes["e0"].frozen = True
    net.run(5.0)
    net.nodes["e0"].frozen = False
    net.settle()
    assert not net.started
    assert net.answers["e0-1"].reason == effects.Refusal.PAUSED
    issue(net, "e1", "e1-1")
    net.settle()
    assert list(net.started) == ["e1-1"]


def test_a_claim_given_up_is_released_by_its_holder():
    net = two_daemons()
    issue(net, "e0", "e0-1", deadline_s=1.0)
    late = net.nodes["e0"].appends.popleft()
    for _ in range(2):
        net.advance(0.6)
        net.tick()
    assert net.answers["e0-1"].reason == effects.Refusal.LOG_UNAVAILABLE
    assert "e0-1" in net.nodes["e0"].state.claims.doubtful
    net.append_data(late.data)
    net.settle()
    issue(net, "e1", "e1-1")
    net.settle()
    assert list(net.started) == ["e1-1"]
    assert not net.nodes["e0"].state.claims.doubtful


def test_open_claims_are_bounded_while_the_log_does_not_answer():
    net = two_daemons()
    bound = net.nodes["e0"].state.policies.at_most_once.at_once
    for number in range(3 * bound):
        net.request("e0", f"e0-{number}", repeatable=False, key=f"k{number}")
        book = net.nodes["e0"].state.claims
        assert len(book.asked) + len(book.doubtful) <= bound
    refused = [
        answer.reason
        for answer in net.answers.values()
        if isinstance(answer, effects.RefuseRequest)
    ]
    assert refused == [effects.Refusal.QUEUE_FULL] * (2 * bound)


def test_a_claim_of_a_dead_daemon_is_settled_as_unknown():
    net = two_daemons()
    issue(net, "e0", "e0-1")
    net.settle()
    assert "e0-1" in net.started
    net.kill("e0")
    issue(net, "e1", "e1-1", deadline_s=4.0)
    net.run(2.5)
    assert isinstance(net.answers["e1-1"], effects.AnswerUnknown)
    claim = next(iter(net.nodes["e1"].state.agreed.claims.values()))
    assert claim.phase == claims.ClaimPhase.UNKNOWN
    issue(net, "e1", "e1-2")
    assert isinstance(net.answers["e1-2"], effects.AnswerUnknown)
    assert not net.started
