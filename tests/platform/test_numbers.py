"""Numbers out of range in what others write."""

import msgspec
import pytest

from azurewood.http import exchanges
from azurewood.jobs import model
from azurewood.platform import catalogs
from azurewood.platform import exceptions
from azurewood.platform import hosts
from azurewood.platform import machines
from azurewood.scheduling import messages
from tests.platform import malformed
from tests.platform import test_malformed as valid

MOST_HOSTS = 1 << 20
HUGE = [1 << 64, 1 << 70, 10**300]
OUT_OF_RANGE = [-1, -(1 << 70), *HUGE]


def _changed(message, place, value):
    """Return a message in which the number at a place is replaced."""
    first, *rest = place
    copy = message.copy()
    copy[first] = _changed(message[first], rest, value) if rest else value
    return copy


def _reply(body, status=200):
    return exchanges.Reply(
        outcome=exchanges.Outcome.ANSWERED,
        status=status,
        body=body,
        sent_at=1.0,
        at=2.0,
    )


def _encode(message, place, value):
    return malformed.encode_json(_changed(message, place, value))


@pytest.mark.parametrize("value", OUT_OF_RANGE)
@pytest.mark.parametrize(
    "place",
    [
        ("born",),
        ("capacity", "cpu"),
        ("capacity", "mem_mb"),
        ("capacity", "gpu"),
    ],
)
def test_an_entry_names_no_host(place, value):
    with pytest.raises(exceptions.InvalidMessage):
        hosts.decode_entry("h", _encode(valid.ENTRY, place, value))


def test_a_host_without_room_is_a_host():
    """A capacity may shrink to nothing while the host runs."""
    data = _encode(valid.ENTRY, ("capacity",), {"cpu": 0, "mem_mb": 0})
    entry = hosts.decode_entry("h", data)
    assert entry.capacity == model.Resources(0, 0, 0)


def test_capacities_can_be_added_up():
    most = hosts.MAX_AMOUNT
    data = _encode(valid.ENTRY, ("capacity", "cpu"), most)
    assert hosts.decode_entry("h", data).capacity.cpu == most
    msgspec.msgpack.encode(MOST_HOSTS * most)
    with pytest.raises(exceptions.InvalidMessage):
        hosts.decode_entry(
            "h", _encode(valid.ENTRY, ("capacity", "cpu"), most + 1)
        )


@pytest.mark.parametrize("value", OUT_OF_RANGE)
@pytest.mark.parametrize(
    "place",
    [
        ("born",),
        ("clock_ms",),
        ("running", 0, 1),
        ("ended_runs", 0, 0),
        ("ended_runs", 0, 2),
    ],
)
def test_a_hosts_list_is_malformed(place, value):
    body = _encode(valid.LISTING, place, value)
    event = hosts.event(valid.RENEWAL, _reply(body))
    assert isinstance(event, messages.RenewalFailed)
    assert event.reason is messages.Refusal.MALFORMED


@pytest.mark.parametrize(
    "number", ["9" * 19, "9" * 5000, "-1", "", "\u0663", "1e3"]
)
def test_a_task_name_with_another_number_is_malformed(number):
    name = f"{valid.JOB_ID}.0.1.{number}"
    with pytest.raises(exceptions.InvalidMessage):
        hosts.task_id(name)
    body = _encode(valid.LISTING, ("running", 0, 0), name)
    event = hosts.event(valid.RENEWAL, _reply(body))
    assert isinstance(event, messages.RenewalFailed)


@pytest.mark.parametrize("value", OUT_OF_RANGE)
def test_a_list_of_machines_cannot_be_read(value):
    place = ("nodes", 0, "capacity", "cpu")
    body = _encode(valid.MACHINES, place, value)
    assert machines.list_page(_reply(body)) is None


@pytest.mark.parametrize("value", OUT_OF_RANGE)
@pytest.mark.parametrize("name", ["tranche", "max_count"])
def test_a_wave_is_malformed(name, value):
    with pytest.raises(exceptions.InvalidMessage):
        machines.decode_wave("wave/1", _encode(valid.WAVE, (name,), value))


@pytest.mark.parametrize("value", HUGE)
def test_a_wave_is_to_finish_in_time_that_can_be_added(value):
    with pytest.raises(exceptions.InvalidMessage):
        machines.decode_wave(
            "wave/1", _encode(valid.WAVE, ("finish_by_s",), value)
        )


@pytest.mark.parametrize("value", HUGE)
@pytest.mark.parametrize(
    "place",
    [
        ("version",),
        ("routes", 0, "priority"),
        ("routes", 0, "attempts"),
        ("routes", 0, "slo_ms"),
        ("routes", 0, "slo_factor"),
        ("routes", 0, "hint", "validity_ms"),
        ("limits", "body_bytes"),
    ],
)
def test_a_manifest_is_malformed(place, value):
    with pytest.raises(exceptions.InvalidMessage):
        catalogs.decode(_encode(valid.MANIFEST, place, value))


@pytest.mark.parametrize("value", OUT_OF_RANGE)
def test_advice_is_not_used(value):
    ask = messages.AskAdvice(
        job=valid.JOB_ID, occurrence=0, step=0, hosts=("h",)
    )
    body = _encode(valid.ADVICE, ("validity_ms",), value)
    event = machines.advice_event(ask, _reply(body))
    assert isinstance(event, messages.AdviceFailed)
