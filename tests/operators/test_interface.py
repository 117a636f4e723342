import random

import msgspec
import pytest
from werkzeug import test

from azurewood.daemons import runtime as runtimes
from azurewood.operators import application
from azurewood.operators import messages
from azurewood.state import events
from azurewood.state import fold
from azurewood.state import model
from azurewood.state import records
from azurewood.state import slots
from tests import small_fleet

TOKEN = "a-token-of-some-length"
LIMIT = 4096


def body(change, *, target=records.IN_FORCE, base=1, **fields):
    proposal = records.Proposal(object=target, base=base, change=change)
    return msgspec.json.encode(
        messages.ProposalBody(proposals=(proposal,), timeout_s=0.1, **fields)
    )


USE = records.UsePreset(name="peak")


@pytest.fixture
def runtime():
    me = model.Identity(
        name="volos-1", zone="volos", address="tcp://127.0.0.1:1", boot=7
    )
    state = model.State(me=me, rng=random.Random(1))
    change = records.PublishFleet(fleet=small_fleet.load())
    proposal = records.Proposal(object=records.FLEET, base=0, change=change)
    record = records.Proposals(writer="w", sequence=1, proposals=(proposal,))
    fold.apply(state.agreed, offset=0, at_ms=1, record=record)
    return runtimes.Runtime(state=state)


@pytest.fixture
def call(runtime):
    client = test.Client(
        application.OperatorsApplication(
            runtime=runtime, token=TOKEN, max_body_bytes=LIMIT
        )
    )

    def call(method, path, data=b"", token=TOKEN):
        answer = client.open(
            path,
            method=method,
            data=data,
            headers={"Authorization": f"Bearer {token}"},
        )
        assert answer.content_type == "application/json"
        return answer.status_code, answer.get_json()

    return call


@pytest.mark.parametrize(
    ("method", "path", "data", "status"),
    [
        ("POST", "/v1/proposals", b"{", 400),
        ("POST", "/v1/proposals", b"\xff\xfe", 400),
        ("POST", "/v1/proposals", b'{"proposals": []}', 400),
        ("POST", "/v1/proposals", body(USE, ticket="a/b~123456"), 400),
        ("POST", "/v1/proposals", body(records.MarkServing()), 400),
        ("POST", "/v1/proposals", b" " * (LIMIT + 1), 413),
        ("GET", "/v1/proposals", b"", 405),
        ("POST", "/v1/status", b"", 405),
        ("GET", "/v1/nothing", b"", 404),
        ("GET", "/v1/hosts/nobody", b"", 404),
    ],
)
def test_a_bad_request_gets_a_json_error(call, method, path, data, status):
    found, answer = call(method, path, data)
    assert found == status
    assert answer["error"]


@pytest.mark.parametrize("token", ["", "wrong", TOKEN[:-1], "\xe9"])
def test_every_path_except_the_probes_requires_the_token(call, token):
    for path in ("/v1/dump", "/v1/agreed", "/v1/status", "/v1/outcomes/x"):
        assert call("GET", path, token=token)[0] == 401
    assert call("POST", "/v1/proposals", body(USE), token=token)[0] == 401
    assert call("GET", "/healthz", token=token)[0] == 200


def test_findings_of_a_proposed_configuration_are_returned(call, runtime):
    fleet = small_fleet.load()
    fleet.services[0].pool = "nowhere"
    fleet.pools[1].hosts = fleet.pools[0].hosts
    change = records.PublishFleet(fleet=fleet)
    runtime.tickets.clear()
    status, answer = call(
        "POST", "/v1/proposals", body(change, target="fleet")
    )
    assert status == 422
    assert len(answer["findings"]) >= 2
    assert not runtime.state.outbox.sent


def test_a_proposal_that_times_out_returns_its_ids(call, runtime, monkeypatch):
    monkeypatch.setattr(application, "ANSWER_MARGIN_S", 0.05)
    status, answer = call(
        "POST", "/v1/proposals", body(USE, ticket="mariam~12345678")
    )
    assert status == 504
    assert answer["ids"] == ["mariam~12345678.0"]
    assert runtime.state.outbox.sent is not None
    assert not runtime.tickets


def test_a_stopping_daemon_is_not_ready(call, runtime):
    assert call("GET", "/readyz")[0] == 200
    runtime.post(events.StopRequested(deadline=runtime.clock() + 9))
    status, answer = call("GET", "/readyz")
    assert status == 503
    assert answer["reasons"] == ["the daemon is stopping"]


def test_a_daemon_without_a_configuration_is_not_ready(call, runtime):
    runtime.state.agreed.fleet = None
    status, answer = call("GET", "/readyz")
    assert status == 503
    assert len(answer["reasons"]) == 2


def test_a_daemon_whose_slots_all_settle_is_not_ready(call, runtime):
    """Requests from a balancer could only wait for slots on this daemon."""
    view = model.HostView(name="h", zone="z", rack="r", address="127.3.1.1")
    runtime.state.hosts["h"] = view
    view.owned = {0, 1}
    slots.start_settling(runtime.state, view, 0, {"peer"}, 1.0)
    assert call("GET", "/readyz")[0] == 200
    slots.start_settling(runtime.state, view, 1, {"peer"}, 1.0)
    status, answer = call("GET", "/readyz")
    assert status == 503
    assert answer["reasons"] == [
        "other daemons may still use this one's slots"
    ]


def test_an_object_names_its_last_author(call, runtime):
    proposal = records.Proposal(
        object=records.IN_FORCE, base=1, change=USE, ticket="yannis~12345678.0"
    )
    record = records.Proposals(writer="w", sequence=2, proposals=(proposal,))
    fold.apply(runtime.state.agreed, offset=1, at_ms=2, record=record)
    _, answer = call("GET", "/v1/objects/in-force")
    assert (answer["revision"], answer["author"]) == (2, "yannis")
    _, answer = call("GET", "/v1/status")
    assert answer["in_force"] == "peak"
    assert {pool["pool"]: pool["hosts"] for pool in answer["pools"]} == {
        "crew": 2,
        "desk": 2,
        "archive": 2,
    }
