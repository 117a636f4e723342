"""The lines of a leader about the connections that hosts give it."""

import types

from loguru import logger
import pytest

from azurewood.daemons import host_calls
from azurewood.http import call_queues
from azurewood.http import exchanges


@pytest.fixture
def lines():
    """Return the fields of the lines that are logged."""
    found = []
    sink = logger.add(lambda message: found.append(message.record["extra"]))
    yield found
    logger.remove(sink)


def _host_calls(calls):
    platform = types.SimpleNamespace(
        host_call=lambda effect: effect, host_event=lambda effect, reply: None
    )
    context = types.SimpleNamespace(calls=calls, platform=platform)
    return host_calls.HostCalls(
        context=context, term=1, handle_event=lambda event: None
    )


def test_a_host_that_resets_new_connections_is_named_once_in_a_while(lines):
    # LOST: leaders could not tell such a host from one that is down.
    done = []
    calls = types.SimpleNamespace(
        submit=lambda call, answered: done.append(answered)
    )
    made = _host_calls(calls)
    for at in (1.0, 1.5, 12.0):
        made.send(types.SimpleNamespace(host="h1"))
        done.pop()(
            exchanges.Reply(
                outcome=exchanges.Outcome.NOT_SENT,
                sent_at=at,
                at=at,
                new_reset=True,
            )
        )
    logged = [line for line in lines if line["event"] == "host.no_connection"]
    assert [(line["host"], line["resets"]) for line in logged] == [
        ("h1", 1),
        ("h1", 3),
    ]


def test_lines_of_calls_show_until_they_are_empty(lines):
    length = call_queues.QueueLength(
        address="10.0.0.1:80", under_way=2, waiting=5, oldest_at=1.0
    )
    lengths = [length]
    made = _host_calls(types.SimpleNamespace(queue_lengths=lambda: lengths))
    entry = types.SimpleNamespace(address="10.0.0.1:80")
    host = types.SimpleNamespace(id="h1", entry=entry)
    state = types.SimpleNamespace(hosts={"h1": host})
    made.step(state, 1.5)
    lengths.clear()
    for now in (1.6, 3.0, 5.0):
        made.step(state, now)
    assert [(line["waiting"], line["oldest_ms"]) for line in lines] == [
        (5, 500),
        (0, 0),
    ]
