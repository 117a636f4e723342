"""Options of libcurl for the calls of a multiplexer."""

import io
import selectors
import typing

import pycurl

CONNECT_TIMEOUT_MS: typing.Final = 700
"""A TCP handshake takes two network delays of at most about 25 ms."""


def select_mask(mask: int) -> int:
    """Return libcurl's mask for the events of a selector."""
    curl_mask = 0
    if mask & selectors.EVENT_READ:
        curl_mask |= pycurl.CSELECT_IN
    if mask & selectors.EVENT_WRITE:
        curl_mask |= pycurl.CSELECT_OUT
    return curl_mask


def prepare(curl: pycurl.Curl, call: typing.Any, buffer: io.BytesIO) -> None:
    """Set the options of a ``exchanges.Call`` whose answer goes to a buffer.

    Raise ``ValueError``, ``OverflowError`` or ``pycurl.error`` for a value
    that libcurl does not take.
    """
    curl.setopt(pycurl.URL, call.url)
    curl.setopt(pycurl.HTTPHEADER, ["Expect:", *call.headers])
    curl.setopt(pycurl.WRITEFUNCTION, buffer.write)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.TIMEOUT_MS, max(1, call.timeout_ms))
    if call.body is not None:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDSIZE, len(call.body))
        curl.setopt(pycurl.POSTFIELDS, call.body)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)
