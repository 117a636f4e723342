"""Job records whose calls are carried out and reset, over real sockets."""

import itertools
import time
import urllib.parse

import pytest

from azurewood.http import multiplex
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.platform import store as wire
from standins.fleet import store as stores
from tests.http import resetting
from tests.platform import standin

TURNED_AWAY_S = 0.3
WAIT_S = 0.15
"""How long a record waits before it is withdrawn."""
RECORDS = 60
DEADLINE_S = 20.0


class _Store:
    """Carries an append out, resets its connection, then turns calls away.

    Each third append on a connection that was used before is reset.
    """

    def __init__(self, status):
        self._status = status
        self._store = stores.Store()
        self._appends = itertools.count()
        self._until = 0.0
        self.resets = 0

    def answer(self, path, body, reused):
        if time.monotonic() < self._until:
            return self._status, b"{}"
        result = self._append(path, body)
        if reused and not next(self._appends) % 3:
            self.resets += 1
            self._until = time.monotonic() + TURNED_AWAY_S
            return None
        match result:
            case appender.Appended(offset=offset):
                return 200, b'{"offset":%d}' % offset
            case _:
                return 409, b'{"reason":"seq"}'

    def _append(self, path, body):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(path).query))
        return self._store.append(
            pages.Topic.JOBS,
            tuple(standin.read_records(query["topic"], body)),
            query["producer"],
            int(query["epoch"]),
            int(query["seq"]),
        )

    @property
    def keys(self):
        page = self._store.read(pages.Topic.JOBS, 0)
        return [record.key for record in page.records]


def _append_all(url):
    """Append records one after the other; return those stored, withdrawn."""
    calls = multiplex.Multiplexer(clock=time.monotonic)
    writer = appender.Appender(epoch=1)
    asked_at, stored, withdrawn = {}, [], []
    end = time.monotonic() + DEADLINE_S
    while len(stored) + len(withdrawn) < RECORDS:
        now = time.monotonic()
        assert now < end
        if len(asked_at) < RECORDS:
            key = f"a/{len(asked_at)}"
            asked_at[key] = now
            record = appender.Record(key=key, value=b"v")
            writer.add(appender.Item(records=(record,), token=key))
        withdrawn += writer.withdraw(
            lambda item, before=now - WAIT_S: asked_at[item.token] < before
        )
        request = writer.next_call(now)
        if request is not None:
            calls.submit(
                wire.append(url, pages.Topic.JOBS, request, "p"),
                lambda reply, request=request: stored.extend(
                    writer.handle_result(
                        wire.append_result(reply), time.monotonic(), request
                    )
                ),
            )
        calls.run_once(0.01)
    return {i.token for i in stored}, {i.token for i in withdrawn}


@pytest.mark.parametrize("status", (429, 503))
def test_what_is_said_to_be_stored_is_and_what_is_withdrawn_is_not(status):
    store = _Store(status)
    with resetting.serving(store.answer) as url:
        stored, withdrawn = _append_all(url)
    assert store.resets
    assert withdrawn
    assert not withdrawn & set(store.keys)
    assert stored <= set(store.keys)
    assert len(store.keys) == len(set(store.keys))
