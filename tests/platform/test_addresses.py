"""Addresses and ids of hosts' entries that no call can use."""

import time

import msgspec
import pytest

from azurewood.http import exchanges
from azurewood.http import multiplex
from azurewood.platform import addresses
from azurewood.platform import exceptions
from azurewood.platform import hosts
from tests.platform import test_malformed as valid

USABLE = [
    "10.0.0.1:1",
    "10.0.0.1:65535",
    "127.0.0.1:80",
    "worker-7.zone-a:8080",
    "localhost:80",
]
UNUSABLE = [
    "",
    ":",
    "x",
    "10.0.0.1",
    "10.0.0.1:",
    ":80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:-1",
    "10.0.0.1:+1",
    "10.0.0.1:8 0",
    "10.0.0.1:80 ",
    "10.0.0.1:80\n",
    "10.0.0.1:80\x00",
    "10.0.0.1:80/path",
    "10.0.0.1:\u0668\u0660",
    "10.0.0:80",
    "10.0.0.256:80",
    "10.0.0.1.5:80",
    "2130706433:80",
    "\u00e9:80",
    "a b:80",
    "a\x00b:80",
    "a@10.0.0.1:80",
    "-a:80",
    "a..b:80",
    "[::1]:80",
    "a" * 64 + ":80",
]


def _entry(**changes):
    return msgspec.json.encode({**valid.ENTRY, **changes})


@pytest.mark.parametrize("text", USABLE)
def test_a_host_has_a_usable_address(text):
    assert hosts.decode_entry("h", _entry(addr=text)).address == text


@pytest.mark.parametrize("text", UNUSABLE)
def test_an_entry_with_an_unusable_address_names_no_host(text):
    with pytest.raises(exceptions.InvalidMessage):
        hosts.decode_entry("h", _entry(addr=text))


@pytest.mark.parametrize("text", UNUSABLE)
def test_it_is_taken_for_a_host_if_addresses_are_not_checked(
    text, monkeypatch
):
    monkeypatch.setattr(addresses, "is_address", lambda text: True)
    assert hosts.decode_entry("h", _entry(addr=text)).address == text


@pytest.mark.parametrize(
    "key", ["", "a b", "a\r\nX-Other: 1", "a\x00", "\u00e9", "\ufffd"]
)
def test_an_entry_whose_id_no_header_can_hold_names_no_host(key):
    with pytest.raises(exceptions.InvalidMessage):
        hosts.decode_entry(key, _entry())


def test_calls_to_usable_addresses_can_be_made():
    calls = multiplex.Multiplexer(clock=time.monotonic)
    for text in USABLE:
        call = exchanges.Call(
            method="GET", url=f"http://{text}/", timeout_ms=900
        )
        calls.submit(call, lambda reply: None)
    assert not calls._unsent
