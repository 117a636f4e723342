"""Thousands of mixed requests, each checked at caller and worker."""

import collections
import json
import random

from tests.requests import deployment as deployments

REQUESTS = 3000
KINDS = (
    ({}, 16),
    ({"Answer_Bytes": 40_000}, 4),
    ({"Fault": "truncate"}, 1),
    ({"Fault": "truncate", "Answer_Bytes": 40_000}, 1),
    ({"Fault": "close"}, 1),
    ({"Fault": "error"}, 1),
    # The answer arrives after the caller's deadline.
    ({"Work_Ms": 200, "Azurewood_Deadline_Ms": 100}, 1),
)


def plan():
    rng = random.Random(5)
    kinds, weights = zip(*KINDS, strict=True)
    for number in range(REQUESTS):
        kind = rng.choices(kinds, weights)[0]
        is_claimed = rng.random() < 0.2
        path = f"/issue/{number}" if is_claimed else f"/{number}"
        yield number, path, f"k{number}" if is_claimed else "", kind


def is_own_complete_answer(reply, path, key, kind):
    body = json.loads(reply.body)
    return (
        body["path"] == path
        and body["key"] == key
        and len(reply.body) >= kind.get("Answer_Bytes", 0)
    )


def test_every_request_is_accounted_for(tmp_path):
    with deployments.running(tmp_path, net=60, hosts=2) as fleet:
        fleet.start(2)
        requests = list(plan())

        def call(request):
            number, path, key, kind = request
            daemon = fleet.daemons[number % 2]
            return daemon.call(path, key=key, **kind)

        replies = deployments.in_threads(call, requests, threads=24)
        runs = collections.Counter(e["path"] for e in fleet.executions())
    outcomes = collections.Counter()
    for (_, path, key, kind), reply in zip(requests, replies, strict=True):
        outcomes[reply.outcome, reply.status] += 1
        faulty = kind.get("Fault") or kind.get("Work_Ms")
        match reply.outcome:
            case "ran":
                assert runs[path] >= 1
                assert reply.status == 500 or is_own_complete_answer(
                    reply, path, key, kind
                )
                assert not faulty or reply.status == 500
            case "not-run":
                assert runs[path] == 0
            case "unknown":
                assert faulty
            case _:
                raise AssertionError(reply)
        if key:
            assert runs[path] <= 1
    assert outcomes["ran", 200] > REQUESTS / 2
    assert outcomes["unknown", 502] > REQUESTS / 20
