"""Client accounts in the platform's format and over HTTP."""

import contextlib
import http.client
import json
import socket

import loguru
import msgspec
import pytest

from azurewood.jobs import catalog
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.log import event_metrics
from azurewood.platform import base
from azurewood.platform import catalogs
from azurewood.platform import exceptions
from tests.platform import test_daemons as daemons_base
from tests.platform import test_malformed as valid

SECRET = "s3cret-key"
TENANT = {"name": "x", "api_keys": [SECRET]}
PATH = "/one/00000000000000a1"
MALFORMED = {
    "no list": None,
    "an object": {"name": SECRET},
    "a key of a wrong type": [{"name": "x", "api_keys": [SECRET, 1]}],
    "keys that are no list": [{"name": "x", "api_keys": SECRET}],
    "a weight of a wrong type": [TENANT | {"weight": SECRET}],
    "no keys": [{"name": "x"}],
    "the same name": [TENANT, {"name": "x", "api_keys": ["other"]}],
    "the same key": [TENANT, {"name": "y", "api_keys": ["other", SECRET]}],
    "an empty key": [TENANT | {"api_keys": [SECRET, ""]}],
    "an empty name": [TENANT | {"name": ""}],
    "a negative weight": [TENANT | {"weight": -0.1}],
    "a negative limit": [TENANT | {"max_count": {"gpu": -1}}],
    "a huge limit": [TENANT | {"max_count": {"cpu": 1 << 60}}],
}


def _manifest(version, tenants, *, public=False):
    routes = [dict(daemons_base.MANIFEST["routes"][0], public=public)]
    return daemons_base.MANIFEST | {
        "version": version,
        "routes": routes,
        "tenants": tenants,
    }


@pytest.fixture
def lines():
    """Collect all that a line may hold, with tracebacks."""
    found = []
    handler = loguru.logger.add(
        lambda message: found.append(f"{message} {message.record['extra']}"),
        level="TRACE",
        diagnose=False,
    )
    yield found
    loguru.logger.remove(handler)


@pytest.mark.parametrize("kind", MALFORMED)
def test_a_malformed_list_is_logged_without_its_keys(lines, kind):
    """Guards against a faulty version in force, and keys in its error."""
    platform = base.UsersPlatform(settings=None)
    value = msgspec.json.encode(_manifest(4, MALFORMED[kind]))
    record = appender.Record(key="config", value=value)
    assert platform.operators_record(record) is None
    (line,) = lines
    assert "malformed list of accounts" in line
    assert "record.unreadable" in line
    assert SECRET not in line
    with pytest.raises(exceptions.InvalidMessage) as caught:
        catalogs.decode(value)
    assert caught.value.__cause__ is None


def test_accounts_are_decoded_without_keeping_keys():
    tenants = valid.MANIFEST["tenants"]
    found = catalogs.decode(
        msgspec.json.encode(_manifest(4, [*tenants, TENANT], public=True))
    )
    assert found.queues["r-1"].public
    assert found.accounts["t"] == catalog.Account(
        name="t",
        key_digests=frozenset({catalog.key_digest("k")}),
        priority=1,
        weight=0.5,
        limit=model.Resources(9000, 4096, 1),
    )
    assert found.account_of(SECRET).name == "x"
    assert SECRET not in repr(found)
    old = catalogs.decode(msgspec.json.encode(daemons_base.MANIFEST))
    assert old.accounts is None
    assert not old.queues["r-1"].public


class _PreviousJob(msgspec.Struct):
    id: str
    queue: str


class _PreviousRecord(msgspec.Struct, tag="accepted"):
    job: _PreviousJob
    version: int


def test_this_and_the_previous_release_read_each_others_jobs():
    """The previous release has no account; neither is a field missed."""
    job = model.Job(
        id="a", queue="q", service="s", payload="", steps=(), account="x"
    )
    data = records.encode(records.Accepted(job=job))
    assert msgspec.msgpack.decode(data, type=_PreviousRecord).job.queue == "q"
    assert records.decode(data).job.account == "x"
    public = msgspec.structs.replace(job, account="")
    assert b"account" not in records.encode(records.Accepted(job=public))


@pytest.fixture
def server():
    made = daemons_base.standin.Server(
        port=daemons_base.free_port(), pools={"one": 2}
    )
    yield made
    made.stop()


@pytest.fixture
def daemon(server):
    made = daemons_base.Daemon("m1", server)
    yield made
    made.stop()


def _write(server, manifest):
    server.write_operator_record(pages.Topic.OPERATORS, "config", manifest)


def _call(daemon, method, path, key=None, body=None):
    conn = http.client.HTTPConnection("127.0.0.1", daemon.ports[0], timeout=5)
    headers = {"Host": "jobs.example"}
    if key is not None:
        headers["Api-Key"] = key
    try:
        conn.request(method, path, body=body, headers=headers)
        answer = conn.getresponse()
        answer.read()
        return answer.status
    finally:
        conn.close()


def _become(daemon, status, *call):
    daemons_base.wait_for(lambda: _call(daemon, *call) == status)


def test_calls_are_checked_in_order(server, daemon):
    """Guards against a body that is parsed before the key is known."""
    assert _call(daemon, "GET", "/nowhere", SECRET) == 503
    _write(server, _manifest(3, [TENANT]))
    _become(daemon, 404, "GET", "/nowhere")
    _become(daemon, 200, "GET", "/one/", SECRET)
    for method, path in (
        ("POST", PATH),
        ("GET", PATH),
        ("DELETE", PATH),
        ("GET", "/one/"),
        ("PUT", PATH),
    ):
        for key in (None, "", "unknown", "\xff", f"Bearer {SECRET}"):
            assert _call(daemon, method, path, key, "no job") == 401
    assert _call(daemon, "POST", PATH, SECRET, "no job") == 400
    daemons_base.wait_for(lambda: daemons_base.knows_intake(daemon))
    assert _call(daemon, "GET", PATH, SECRET) == 410
    large = "x" * 300000
    assert _call(daemon, "POST", PATH, "unknown", large) == 401
    assert _call(daemon, "POST", PATH, SECRET, large) == 413


def test_keys_change_with_versions_and_a_faulty_one_changes_nothing(
    server, daemon
):
    """Guards against versions that go back, and against faulty ones."""
    _write(server, _manifest(3, [TENANT]))
    _become(daemon, 200, "GET", "/one/", SECRET)
    _write(server, _manifest(4, [TENANT | {"api_keys": ["second"]}]))
    _become(daemon, 401, "GET", "/one/", SECRET)
    assert _call(daemon, "GET", "/one/", "second") == 200
    _write(server, _manifest(5, [TENANT, TENANT]))
    _write(server, _manifest(2, [TENANT]))
    _write(server, _manifest(6, []))
    _become(daemon, 401, "GET", "/one/", "second")
    assert _call(daemon, "GET", "/one/", SECRET) == 401
    _write(server, _manifest(7, [], public=True))
    _become(daemon, 200, "GET", "/one/", "anything")
    assert _call(daemon, "GET", "/one/") == 200


def test_a_key_with_other_letters_is_one(server, daemon):
    """Headers are bytes, which WSGI passes on as Latin-1."""
    _write(server, _manifest(3, [TENANT | {"api_keys": ["schlüssel"]}]))
    wire = "schlüssel".encode().decode("latin-1")
    _become(daemon, 200, "GET", "/one/", wire)
    assert _call(daemon, "GET", "/one/", wire + "x") == 401


def test_no_line_and_no_metric_has_a_key(server, daemon, lines):
    """Guards against keys in lines of the server library and of calls."""
    collector = event_metrics.EventMetrics()
    handler = loguru.logger.add(
        lambda message: collector.observe(message.record["extra"])
    )
    _write(server, _manifest(3, [TENANT]))
    _become(daemon, 200, "GET", "/one/", SECRET)
    assert _call(daemon, "GET", PATH, SECRET + "-wrong") == 401
    body = json.dumps(daemons_base.JOB)
    daemons_base._register_job(server, PATH[-16:])
    assert _call(daemon, "POST", PATH, SECRET, body) == 200
    for head in (
        f"GET /one/ HTTP/1.1\r\nApi-Key {SECRET}\r\n\r\n",
        f"GET /one/ HTTP/9.{SECRET}\r\nApi-Key: {SECRET}\r\n\r\n",
        f"POST {PATH} HTTP/1.1\r\nHost: jobs.example\r\n"
        f"Api-Key: {SECRET}\r\nContent-Length: 90\r\n\r\nshort",
        f"GET /one/ HTTP/1.1\r\nHost: \x00\r\nApi-Key: {SECRET}\xff\r\n\r\n",
        f"GET /one/ HTTP/1.1\r\nX: {SECRET * 9000}\r\n\r\n",
    ):
        # The server may have reset the connection by then.
        with (
            contextlib.suppress(OSError),
            socket.create_connection(
                ("127.0.0.1", daemon.ports[0]), timeout=5
            ) as conn,
        ):
            conn.sendall(head.encode("latin-1"))
            conn.shutdown(socket.SHUT_WR)
            conn.recv(100)
    server.canned_responses["/api/log-read"] = (
        daemons_base.standin.wrappers.Response(status=503)
    )
    _become(daemon, 503, "GET", "/one/", SECRET)
    daemon.stop()
    loguru.logger.remove(handler)
    assert any("call.unauthorized" in line for line in lines)
    assert not [line for line in lines if SECRET in line]
    page = collector.page().decode()
    assert SECRET not in page
    refused = 'azurewood_calls_refused_total{account="%s",event="%s"}'
    assert refused % ("", "call.unauthorized") in page
    assert refused % ("x", "call.unauthorized") in page
