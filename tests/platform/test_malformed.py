"""Messages and records from outside, each with any part damaged.

A decoder's result for one is a typed error, a reply that counts as failed,
or a value that the rest of the daemon can handle. Nothing else is raised.
"""

import json
import struct

import hypothesis
from hypothesis import strategies as st
import msgspec

from azurewood.http import exchanges
from azurewood.jobs import catalog
from azurewood.jobs import exceptions as job_errors
from azurewood.jobs import model
from azurewood.jobs import records
from azurewood.jobs import write_requests
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.leadership import records as election_records
from azurewood.platform import catalogs
from azurewood.platform import exceptions
from azurewood.platform import hosts
from azurewood.platform import jobs
from azurewood.platform import machines
from azurewood.platform import settings
from azurewood.platform import store
from azurewood.scheduling import job_records
from azurewood.scheduling import jobstates
from azurewood.scheduling import messages
from azurewood.scheduling import progress
from tests.platform import malformed

JOB_ID = "5c0e7a21d94b36f8"
QUEUE = catalog.Queue(name="q", host="h", path_prefix="/p/", service="s")
STEP = {
    "count": 4,
    "cpu": 500,
    "mem_mb": 256,
    "est_ms": 900,
    "after": [],
    "anti_affinity": 2,
    "target_ms": 4,
    "max_unavailable": 1,
    "requires": "k",
    "long_running": False,
}
JOB = {
    "spec": "text",
    "steps": [STEP, {**STEP, "after": [0]}],
    "repeat_count": 2,
    "start_ms": 5,
    "interval_ms": 7,
}
LISTING = {
    "clock_ms": 482113,
    "born": 1700000000000,
    "running": [[f"{JOB_ID}.0.1.17", 2, "0000", 41, 7.5]],
    "ended_runs": [[58, f"{JOB_ID}.0.1.9", 1, "done", ""]],
}
ENTRY = {
    "service": "s",
    "addr": "10.0.0.1:5",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 64000, "mem_mb": 128000, "gpu": 0},
    "labels": ["k"],
    "born": 1700000000000,
    "slots": 8,
    "seq": 4,
}
MACHINES = {
    "nodes": [
        {
            "machine": "m",
            "pool": "s",
            "state": "up",
            "zone": "z",
            "id": "h",
            "capacity": {"cpu": 1},
        }
    ],
    "next_token": "t",
}
WAVE = {"tranche": 1, "nodes": ["m"], "max_count": 2, "finish_by_s": 26.0}
MANIFEST = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "path_prefix": "/p/",
            "service": "s",
            "priority": 1,
            "attempts": 3,
            "slo_factor": 1.5,
            "slo_ms": 600,
            "hint": {"decision_ms": 1, "per_item_ms": 1, "validity_ms": 1},
            "public": True,
        }
    ],
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k"],
            "priority": 1,
            "weight": 0.5,
            "max_count": {"cpu": 9000, "mem_mb": 4096, "gpu": 1},
        }
    ],
    "services": [{"name": "s", "enforce_capacity": False, "standby": True}],
    "limits": {"body_bytes": 65536},
}
ADVICE = {"approved": [["h", "ticket"]], "validity_ms": 500, "clock_ms": 3}
NEWEST = {
    "items": [{"key": "a", "value": "YQ==", "offset": 3}],
    "has_more": False,
    "end": 4,
}
SETTINGS = {
    "node": "a",
    "zone": "z",
    "ip": "10.1.0.9",
    "listen": {"front": "10.1.0.9:1", "ready": "10.1.0.9:2"},
    "platform": {"addr": "10.1.0.1:2"},
    "cloud": {"addr": "10.1.0.1:3"},
    "bounds": {"grace_s": 6, "lease_ms": 3000, "status_s": 120},
    "limits": {"cpu_share": 0.5, "vcpus": 2},
}
RENEWAL = messages.RenewLease(
    host="h",
    address="10.0.0.1:5",
    number=1,
    fence=7,
    lease_until_ms=1,
    acknowledged=0,
    wait_ms=0,
)

many = hypothesis.settings(max_examples=300, deadline=None)


def _reply(status, body):
    return exchanges.Reply(
        outcome=exchanges.Outcome.ANSWERED,
        status=status,
        body=body,
        sent_at=1.0,
        at=2.0,
    )


def _is_int(*values):
    """Return whether all values are integers that records can hold."""
    return all(
        type(value) is int and -(1 << 63) <= value < 1 << 63
        for value in values
    )


def _job_with(**changes):
    """Return a job's JSON with numbers that no 64 bits hold."""
    step = {**STEP, **changes}
    return json.dumps({**JOB, "steps": [step]}).encode()


@many
@hypothesis.given(malformed.json_bytes(JOB))
@hypothesis.example(_job_with(cpu=1 << 64))
@hypothesis.example(_job_with(est_ms=1 << 70))
@hypothesis.example(_job_with(count=1 << 64))
def test_callers_jobs(body):
    """What is not rejected can be stored: the daemon's loop encodes it."""
    try:
        job = jobs.decode(JOB_ID, QUEUE, body, 1)
    except job_errors.InvalidJob:
        return
    request = write_requests.WriteRequest(
        record=records.Accepted(job=job), future=None, asked_at=0.0
    )
    (stored,) = write_requests.append_item(request).records
    assert records.decode(stored.value).job == job


@many
@hypothesis.given(malformed.json_bytes(LISTING))
def test_hosts_lists(body):
    event = hosts.event(RENEWAL, _reply(200, body))
    if isinstance(event, messages.RenewalFailed):
        return
    assert _is_int(event.clock_ms, event.incarnation_ms)
    for row in event.running:
        assert _is_int(row.run, row.percent, row.measure)
        assert isinstance(row.saved, str)
        assert isinstance(row.task, model.TaskId)
    for row in event.ended:
        assert _is_int(row.number, row.run)
        assert isinstance(row.saved, str)
        assert isinstance(row.how, messages.End)


@many
@hypothesis.given(
    malformed.json_bytes({"clock_ms": 5, "reason": "room"}),
    st.sampled_from((200, 409, 421, 429, 500)),
)
def test_hosts_answers_to_starts(body, status):
    start = messages.StartRun(
        host="h",
        address="10.0.0.1:5",
        fence=7,
        incarnation_ms=99,
        task=model.TaskId(JOB_ID, 0, 1, 17),
        run=1,
        payload="x",
        lease_until_ms=1,
        saved="",
        ticket="",
    )
    event = hosts.event(start, _reply(status, body))
    assert _is_int(event.clock_ms)


@many
@hypothesis.given(
    st.one_of(
        malformed.json_bytes(ENTRY),
        malformed.addresses().map(
            lambda text: json.dumps({**ENTRY, "addr": text}).encode()
        ),
    )
)
def test_hosts_entries(data):
    try:
        entry = hosts.decode_entry("h", data)
    except exceptions.InvalidMessage:
        return
    assert _is_int(entry.incarnation_ms, *msgspec.to_builtins(entry.capacity))
    assert entry.address.isascii()
    assert entry.address.isprintable()
    assert 0 < int(entry.address.rpartition(":")[2]) < 1 << 16


@many
@hypothesis.given(malformed.json_bytes(MACHINES))
def test_lists_of_machines(body):
    page = machines.list_page(_reply(200, body))
    if page is not None:
        assert isinstance(page.token, str)


@many
@hypothesis.given(malformed.json_bytes(WAVE))
def test_waves(data):
    try:
        wave = machines.decode_wave("wave/1", data)
    except exceptions.InvalidMessage:
        return
    assert _is_int(wave.number, wave.max_down)


@many
@hypothesis.given(malformed.json_bytes(MANIFEST))
def test_manifests(data):
    try:
        found = catalogs.decode(data)
    except exceptions.InvalidMessage:
        return
    assert _is_int(found.version, found.body_bytes)
    msgspec.msgpack.encode([q.attempts for q in found.queues.values()])


@many
@hypothesis.given(malformed.json_bytes(ADVICE))
def test_advice(body):
    ask = messages.AskAdvice(job=JOB_ID, occurrence=0, step=0, hosts=("h",))
    machines.advice_event(ask, _reply(200, body))


@many
@hypothesis.given(
    malformed.json_bytes(NEWEST), st.sampled_from((200, 404, 410, 503))
)
def test_newest_records(body, status):
    result = store.newest_result(_reply(status, body))
    if isinstance(result, pages.Newest):
        assert _is_int(result.end, *result.offsets)


@many
@hypothesis.given(
    malformed.json_bytes({"first_offset": 7}), st.binary(max_size=40)
)
def test_pages_of_records(trimmed, noise):
    gone = store.read_result(pages.Topic.JOBS, 3, _reply(410, trimmed))
    if isinstance(gone, pages.Trimmed):
        assert gone.first >= 0
    header = struct.pack(">QQ", 4, 0)
    for body in (noise, header + noise):
        found = store.read_result(pages.Topic.JOBS, 3, _reply(200, body))
        assert isinstance(found, pages.Failed | pages.Page)


@many
@hypothesis.given(
    malformed.json_bytes({"offset": 7, "end": 8, "reason": "fenced"}),
    st.sampled_from((200, 409, 412, 500)),
)
def test_answers_to_appends(body, status):
    match store.append_result(_reply(status, body)):
        case appender.Appended(offset=offset):
            assert _is_int(offset)
        case appender.Conflict(end=end):
            assert _is_int(end)


@many
@hypothesis.given(malformed.json_bytes(SETTINGS))
def test_settings(data):
    try:
        settings.parse(data)
    except exceptions.InvalidSettings:
        return


JOB_RECORD = msgspec.to_builtins(
    msgspec.msgpack.decode(
        records.encode(
            records.Accepted(
                job=jobs.decode(JOB_ID, QUEUE, msgspec.json.encode(JOB), 1)
            )
        )
    )
)
ENDED_RECORD = {"type": "ended", "id": JOB_ID, "phase": "completed"}


@many
@hypothesis.given(
    st.one_of(
        malformed.msgpack_bytes(JOB_RECORD),
        malformed.msgpack_bytes(ENDED_RECORD),
        malformed.msgpack_bytes({"type": "begun", "ids": [JOB_ID]}),
    )
)
def test_records_of_jobs(data):
    try:
        record = records.decode(data)
    except job_errors.InvalidRecord:
        return
    assert record.key


@many
@hypothesis.given(
    malformed.msgpack_bytes(
        {"type": "beat", "nonce": "n", "largest": [1, 2, 3], "cores": 2.0}
    )
)
def test_records_of_the_election(data):
    entry = election_records.decode(data)
    assert entry is None or isinstance(entry.nonce, str)


TASK_ROW = [0, 1, 17, 1, 2, 0, "h", 1700000000000, ""]


@many
@hypothesis.given(
    malformed.msgpack_bytes({"type": "job", "tasks": [TASK_ROW]})
)
def test_records_of_progress(data):
    record = progress.decode(data)
    if isinstance(record, job_records.Whole):
        for row in record.tasks:
            assert isinstance(row.phase, jobstates.TaskPhase)


def test_valid_messages_are_accepted():
    """The damaged messages are made from valid ones."""
    encode = msgspec.json.encode
    assert jobs.decode(JOB_ID, QUEUE, encode(JOB), 1).steps[1].after == (0,)
    found = hosts.event(RENEWAL, _reply(200, encode(LISTING)))
    assert isinstance(found, messages.LeaseRenewed)
    assert (found.running[0].measure, found.ended[0].number) == (7, 58)
    assert hosts.decode_entry("h", encode(ENTRY)).address == "10.0.0.1:5"
    assert machines.list_page(_reply(200, encode(MACHINES))).token == "t"
    assert machines.decode_wave("wave/1", encode(WAVE)).max_down == 2
    assert catalogs.decode(encode(MANIFEST)).version == 3
    newest = store.newest_result(_reply(200, encode(NEWEST)))
    assert newest.records[0].value == b"a"
    assert settings.parse(encode(SETTINGS)).cores == 1.0
    row = msgspec.msgpack.encode({"type": "job", "tasks": [TASK_ROW]})
    assert progress.decode(row).tasks[0].run == 2
