"""Each message of the platform, valid and malformed."""

import dataclasses

import msgspec
import pytest

from azurewood.http import exchanges
from azurewood.jobs import catalog
from azurewood.jobs import exceptions as job_errors
from azurewood.jobs import model
from azurewood.journal import appender
from azurewood.journal import pages
from azurewood.platform import catalogs
from azurewood.platform import exceptions
from azurewood.platform import hosts
from azurewood.platform import jobs
from azurewood.platform import machines
from azurewood.platform import settings
from azurewood.platform import store
from azurewood.scheduling import messages

QUEUE = catalog.Queue(name="q", host="h", path_prefix="/p/", service="s")
JOB_ID = "5c0e7a21d94b36f8"
TASK = model.TaskId(JOB_ID, 0, 1, 17)
REFUSAL = messages.Refusal


def _reply(status, body=b"{}"):
    if not isinstance(body, bytes):
        body = msgspec.json.encode(body)
    return exchanges.Reply(
        outcome=exchanges.Outcome.ANSWERED,
        status=status,
        body=body,
        sent_at=1.0,
        at=2.0,
    )


def _no_reply(outcome):
    return exchanges.Reply(outcome=outcome, sent_at=1.0, at=2.0)


# Settings


def test_settings_without_a_needed_field_say_which():
    with pytest.raises(exceptions.InvalidSettings, match="listen"):
        settings.parse(b"node: a\nzone: z\nip: 10.1.0.9\n")


def test_settings_with_a_bad_address_say_where():
    text = b"""
node: a
zone: z
ip: "10.1.0.9"
listen: {front: "10.1.0.9", ready: "10.1.0.9:1"}
platform: {addr: "10.1.0.1:2"}
cloud: {addr: "10.1.0.1:2"}
"""
    with pytest.raises(exceptions.InvalidSettings, match="listen.front"):
        settings.parse(text)


SETTINGS = """
node: a
zone: z
ip: "10.1.0.9"
listen: {front: "10.1.0.9:1", ready: "10.1.0.9:2"}
platform: {addr: "10.1.0.1:2"}
cloud: {addr: "10.1.0.1:2"}
"""


@pytest.mark.parametrize(
    ("limits", "cores"),
    [
        ("limits: {cpu_share: 0.5, vcpus: 3, disk_mb: 0}", 1.5),
        ("limits: {cpu_share: 0.5}", 0.5),
        ("limits: {vcpus: 3}", 0.0),
        ("", 0.0),
    ],
)
def test_cores_are_the_share_of_a_core_times_its_speed(limits, cores):
    assert settings.parse((SETTINGS + limits).encode()).cores == cores


def test_settings_that_are_no_yaml_or_not_there(tmp_path):
    with pytest.raises(exceptions.InvalidSettings):
        settings.parse(b"a: [")
    with pytest.raises(exceptions.InvalidSettings, match="cannot read"):
        settings.load(str(tmp_path / "none.yaml"))


# Jobs


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        {"spec": "x", "steps": []},
        {"spec": "x", "steps": [{"count": 0}]},
        {"spec": "x", "steps": [{"count": 1, "cpu": -1}]},
        {"spec": "x", "steps": [{"count": 1, "after": [0]}]},
        {"spec": "x", "steps": [{"count": 1, "after": [5]}]},
        {"spec": "x" * 4001, "steps": [{"count": 1}]},
        {"spec": "x", "steps": [{"count": 10**9}]},
        {"spec": 1, "steps": [{"count": 1}]},
    ],
)
def test_invalid_jobs_are_rejected(body):
    if not isinstance(body, bytes):
        body = msgspec.json.encode(body)
    with pytest.raises(job_errors.InvalidJob):
        jobs.decode(JOB_ID, QUEUE, body, 0)


def test_ids_have_sixteen_digits():
    body = b'{"spec":"x","steps":[{"count":1}]}'
    for job_id in ("", "5c0e", "5C0E7A21D94B36F8", JOB_ID + "0"):
        with pytest.raises(job_errors.InvalidJob):
            jobs.decode(job_id, QUEUE, body, 0)


def test_a_jobs_fields_are_decoded():
    body = {
        "spec": "text",
        "repeat_count": 3,
        "start_ms": 5000,
        "interval_ms": 100,
        "steps": [
            {
                "count": 2,
                "cpu": 500,
                "mem_mb": 256,
                "gpu": 1,
                "est_ms": 900,
                "checkpoint": True,
                "requires": "a",
                "data_rack": "r1",
                "anti_affinity": 2,
                "long_running": True,
                "target_ms": 40,
                "fill": True,
                "max_unavailable": 1,
                "field_of_a_later_version": 7,
            }
        ],
    }
    job = jobs.decode(JOB_ID, QUEUE, msgspec.json.encode(body), 123)
    step = job.steps[0]
    assert job.accepted_ms == 123
    assert job.due_ms(2) == 5200
    assert step.needs == model.Resources(500, 256, 1)
    assert step.reserved == model.Resources(0, 256, 1)
    assert (step.label, step.data_rack, step.per_host) == ("a", "r1", 2)
    assert step.long_lived
    assert step.may_be_away == 1


# The manifest


def test_manifest_with_unknown_and_missing_fields():
    body = {
        "version": 7,
        "extra": 1,
        "routes": [
            {
                "name": "r",
                "host": "A.example",
                "path_prefix": "/a/",
                "service": "s",
                "hint": {"decision_ms": 5},
            }
        ],
        "services": [{"name": "s"}],
    }
    found = catalogs.decode(msgspec.json.encode(body))
    queue = found.find("a.example:8080", "/a/x")
    assert queue.name == "r"
    assert queue.attempts == 1
    assert queue.advice.decision_ms == 5
    assert found.find("a.example", "/b/x") is None


def test_longest_prefix_wins():
    def queue(name, prefix):
        return catalog.Queue(
            name=name, host="h", path_prefix=prefix, service="s"
        )

    queues = {"a": queue("a", "/a/"), "b": queue("b", "/a/b/")}
    found = catalog.Catalog(version=1, queues=queues, pools={})
    assert found.find("h", "/a/b/1").name == "b"
    assert found.find("h", "/a/c/1").name == "a"


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"version":"x","routes":[],"services":[]}']
)
def test_malformed_manifests(body):
    with pytest.raises(exceptions.InvalidMessage):
        catalogs.decode(body)


# Hosts

ENTRY = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
}


def test_an_entry_is_decoded():
    entry = hosts.decode_entry("i-1", msgspec.json.encode(ENTRY))
    assert entry.id == "i-1"
    assert entry.capacity == model.Resources(16000, 32768, 0)
    assert entry.state is messages.HostState.READY


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"capacity": "much"},
        {"addr": 7},
        {"service": None},
    ],
)
def test_malformed_entries(change):
    with pytest.raises(exceptions.InvalidMessage):
        hosts.decode_entry("i-1", msgspec.json.encode(ENTRY | change))
    with pytest.raises(exceptions.InvalidMessage):
        hosts.decode_entry("i-1", b"\xff\x00")


def _start():
    return messages.StartRun(
        host="i-1",
        address="10.0.0.1:80",
        fence=7,
        incarnation_ms=99,
        task=TASK,
        run=2,
        payload="text",
        saved="00ab",
        lease_until_ms=486000,
        ticket="t",
    )


def test_a_start_is_encoded_in_the_platforms_format():
    call = hosts.call(_start())
    assert call.url == "http://10.0.0.1:80/api/run-start"
    assert "X-Target-Instance: i-1" in call.headers
    assert msgspec.json.decode(call.body) == {
        "task": f"{JOB_ID}.0.1.17",
        "run": 2,
        "spec": "text",
        "deadline_ms": 486000,
        "fence": 7,
        "last_checkpoint": "00ab",
        "ticket": "t",
    }


@pytest.mark.parametrize(
    ("reply", "refusal"),
    [
        (_reply(200, {"clock_ms": 5}), None),
        (_reply(409, {"reason": "fence"}), REFUSAL.FENCE),
        (_reply(409, {"reason": "old"}), REFUSAL.OLD),
        (_reply(409, {"reason": "new in a later version"}), REFUSAL.UNKNOWN),
        (_reply(409, b"no json"), REFUSAL.UNKNOWN),
        (_reply(400), REFUSAL.MALFORMED),
        (_reply(421), REFUSAL.OTHER_LIFE),
        (_reply(429), REFUSAL.UNHEALTHY),
        (_reply(503), REFUSAL.UNHEALTHY),
        (_reply(500), REFUSAL.UNKNOWN),
        (_no_reply(exchanges.Outcome.UNKNOWN), REFUSAL.UNKNOWN),
        (_no_reply(exchanges.Outcome.NOT_SENT), REFUSAL.NOT_SENT),
    ],
)
def test_answers_to_a_start(reply, refusal):
    event = hosts.event(_start(), reply)
    assert event.refusal == refusal


def _renewal(acknowledged=57, connected_by=7.5):
    return messages.RenewLease(
        host="i-1",
        address="10.0.0.1:80",
        number=5,
        fence=7,
        acknowledged=acknowledged,
        lease_until_ms=486000,
        wait_ms=1000,
        connected_by=connected_by,
    )


def test_a_renewal_that_acknowledges_ends_needs_a_known_connection():
    """Another incarnation of the host has other ends with these numbers."""
    assert hosts.call(_renewal()).connected_by == 7.5
    assert hosts.call(_renewal(connected_by=0.0)).connected_by == 0.0


def test_any_other_needs_one_only_if_it_names_one():
    named = _renewal(acknowledged=0, connected_by=7.5)
    assert hosts.call(named).connected_by == 7.5
    unnamed = _renewal(acknowledged=0, connected_by=0.0)
    assert hosts.call(unnamed).connected_by is None
    assert hosts.call(_start()).connected_by is None


@pytest.mark.parametrize("outcome", ["NOT_SENT", "UNKNOWN"])
def test_a_renewal_without_its_connection_is_told_from_silence(outcome):
    reply = _no_reply(exchanges.Outcome[outcome])
    silent = hosts.event(_renewal(), reply)
    assert silent.reason is REFUSAL[outcome]
    closed = hosts.event(
        _renewal(), dataclasses.replace(reply, disconnected=True)
    )
    assert closed == messages.RenewalFailed(
        host="i-1", number=5, reason=REFUSAL.DISCONNECTED
    )


def test_a_list_says_when_its_connection_had_been_made():
    body = {"clock_ms": 1, "running": [], "ended_runs": []}
    reply = dataclasses.replace(_reply(200, body), written_at=1.5)
    assert hosts.event(_renewal(), reply).connected_by == 1.5


def test_a_list_is_decoded():
    name = f"{JOB_ID}.0.1.17"
    body = {
        "clock_ms": 482113,
        "born": 99,
        "running": [[name, 2, "00ab", 41], [name, 3, "", 100, 12]],
        "ended_runs": [[58, name, 1, "done", ""]],
    }
    event = hosts.event(_renewal(), _reply(200, body))
    assert event.incarnation_ms == 99
    assert [row.measure for row in event.running] == [0, 12]
    assert event.ended[0].how is messages.End.DONE
    assert event.ended[0].task == TASK


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        {"clock_ms": 1, "running": [["a.b", 1, "", 0]], "ended_runs": []},
        {"clock_ms": 1, "running": [[]], "ended_runs": []},
        {
            "clock_ms": 1,
            "running": [],
            "ended_runs": [[1, f"{JOB_ID}.0.0.0", 1, "vanished", ""]],
        },
    ],
)
def test_malformed_lists(body):
    event = hosts.event(_renewal(), _reply(200, body))
    assert event == messages.RenewalFailed(
        host="i-1", number=5, reason=REFUSAL.MALFORMED
    )


# The store


def _request():
    records = (appender.Record(key="k", value=b"vv"),)
    return appender.Request(
        records=records, epoch=7, sequence=12, timeout_s=0.5
    )


def test_an_append_is_framed_with_its_key():
    call = store.append("http://s", pages.Topic.JOBS, _request(), "w")
    assert call.body == b"\x00\x00\x00\x04\x01kvv"
    assert "topic=keyed.jobs" in call.url
    assert "producer=w&epoch=7&seq=12" in call.url


@pytest.mark.parametrize(
    ("reply", "kind"),
    [
        (_reply(200, {"offset": 840, "end": 842}), appender.Appended),
        (_reply(409, {"reason": "fenced"}), appender.Fenced),
        (_reply(409, {"reason": "seq"}), appender.Conflict),
        (_reply(412, {"end": 3}), appender.Conflict),
        (_reply(429), appender.NotDone),
        (_reply(400), appender.Refused),
        (_reply(413), appender.Refused),
        (_reply(507), appender.NotDone),
        (_reply(503), appender.NotDone),
        (_reply(507), appender.NotDone),
        (_reply(200, b"no json"), appender.Unknown),
        (_reply(500), appender.Unknown),
        (_no_reply(exchanges.Outcome.UNKNOWN), appender.Unknown),
        (_no_reply(exchanges.Outcome.NOT_SENT), appender.NotDone),
    ],
)
def test_answers_to_an_append(reply, kind):
    assert isinstance(store.append_result(reply), kind)


def test_records_are_read_back_with_keys_and_tombstones():
    head = (842).to_bytes(8, "big") + (0).to_bytes(8, "big")
    body = head + b"\x00\x00\x00\x04\x01kvv" + b"\x00\x00\x00\x02\x01k"
    page = store.read_result(pages.Topic.JOBS, 840, _reply(200, body))
    assert page.end == 842
    assert page.records == (
        appender.Record(key="k", value=b"vv"),
        appender.Record(key="k", value=None),
    )


@pytest.mark.parametrize(
    "body", [b"", b"\x00" * 15, b"\x00" * 16 + b"\x00\x00\x00\x09ab"]
)
def test_truncated_reads(body):
    result = store.read_result(pages.Topic.JOBS, 0, _reply(200, body))
    assert isinstance(result, pages.Failed)


def test_trimmed_records_are_distinguished_from_failures():
    gone = store.read_result(
        pages.Topic.JOBS, 0, _reply(410, {"first_offset": 5})
    )
    assert gone == pages.Trimmed(first=5)
    busy = store.read_result(pages.Topic.JOBS, 0, _reply(503))
    assert isinstance(busy, pages.Failed)


def test_newest_records_and_a_topic_that_is_not_there_yet():
    body = {
        "items": [{"key": "k", "value": "dnY=", "offset": 4}],
        "has_more": True,
        "end": 6,
    }
    page = store.newest_result(_reply(200, body))
    assert page.records == (appender.Record(key="k", value=b"vv"),)
    assert page.more
    assert store.newest_result(_reply(404)).end == 0
    body["items"][0]["value"] = "%"
    assert isinstance(store.newest_result(_reply(200, body)), pages.Failed)


# Machines


def test_machines_and_pages():
    body = {
        "nodes": [
            {"machine": "m-1", "pool": "s", "state": "up", "id": "i-1"},
            {"machine": "m-2", "pool": "s", "state": "upkeep", "id": None},
        ],
        "next_token": 200,
    }
    page = machines.list_page(_reply(200, body))
    assert [entry.host for entry in page.machines] == ["i-1", ""]
    assert page.token == "200"
    assert "page_token=200" in machines.list_call("http://c", "200").url
    body["nodes"][0]["state"] = "asleep"
    assert machines.list_page(_reply(200, body)) is None
    assert machines.list_page(_reply(429)) is None


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        (_reply(200), messages.OrderResult.DONE),
        (_reply(409, {"reason": "busy"}), messages.OrderResult.BUSY),
        (_reply(409, {"reason": "fence"}), messages.OrderResult.FENCED),
        (_reply(409, {"reason": "wave"}), messages.OrderResult.REFUSED),
        (_reply(400), messages.OrderResult.REFUSED),
        (_reply(429), messages.OrderResult.NOT_DONE),
        (_reply(500), messages.OrderResult.UNKNOWN),
        (
            _no_reply(exchanges.Outcome.UNKNOWN),
            messages.OrderResult.UNKNOWN,
        ),
    ],
)
def test_answers_to_an_order(reply, result):
    assert machines.order_result(reply) is result


def test_orders_carry_holder_and_fence():
    order = messages.MaintainMachine(machine="m-1", wave=4)
    call = machines.order_call("http://c", order, "node-1", 12)
    assert "X-Lease-Holder: node-1" in call.headers
    assert "X-Fencing-Token: 12" in call.headers
    assert msgspec.json.decode(call.body) == {"machine": "m-1", "tranche": 4}


def test_waves_and_their_reports():
    body = b'{"tranche":1,"nodes":["m"],"finish_by_s":20,"max_count":1}'
    wave = machines.decode_wave("wave/1", body)
    assert (wave.number, wave.machines, wave.max_down) == (1, ("m",), 1)
    with pytest.raises(exceptions.InvalidMessage):
        machines.decode_wave("wave/1", b"{}")
    report = messages.ReportWave(number=1, completed=True)
    key, value = machines.encode_report(report)
    assert key == "wave/1"
    assert msgspec.json.decode(value)["state"] == "completed"
    waits = messages.ReportWave(number=1, completed=False, waits_for="m: why")
    _, value = machines.encode_report(waits)
    assert msgspec.json.decode(value) == {
        "tranche": 1,
        "state": "running",
        "waits_for": "m: why",
    }


def test_advice():
    ask = messages.AskAdvice(job=JOB_ID, occurrence=0, step=1, hosts=("i-1",))
    call = machines.advice_call("http://a", ask)
    assert msgspec.json.decode(call.body)["phase"] == f"{JOB_ID}.0.1"
    body = {"approved": [["i-1", "t"]], "validity_ms": 3000}
    advised = machines.advice_event(ask, _reply(200, body))
    assert advised.tickets == {"i-1": "t"}
    assert advised.valid_until == 4.0
    failed = machines.advice_event(ask, _reply(429))
    assert failed == messages.AdviceFailed(
        job=JOB_ID, occurrence=0, step=1, status=429
    )
