"""Checks addresses that entries of the store name."""

import ipaddress
import re
import typing

from azurewood.conf import kinds

MAX_NAME_LENGTH: typing.Final = 253
_LABEL: typing.Final = r"[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
_NAME: typing.Final = re.compile(rf"({_LABEL}\.)*{_LABEL}")
_DIGITS: typing.Final = re.compile(r"[0-9]+")


def is_address(text: str) -> bool:
    """Return whether a text is HOST:PORT, the host by IPv4 or by name."""
    host, _, port = text.rpartition(":")
    return _is_port(port) and (_is_ipv4(host) or _is_name(host))


def _is_port(text: str) -> bool:
    if not kinds.PORT.fullmatch(text):
        return False
    return 1 <= int(text) <= kinds.MAX_PORT


def _is_ipv4(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _is_name(text: str) -> bool:
    """Return whether a text is a host's name, and no damaged IP address."""
    if len(text) > MAX_NAME_LENGTH or not _NAME.fullmatch(text):
        return False
    return not _DIGITS.fullmatch(text.rpartition(".")[2])
