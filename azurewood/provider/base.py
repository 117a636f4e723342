"""An HTTP connection to the platform, with pycurl.

A ``Connection`` is used by one thread at a time.
"""

import dataclasses
import io
import time

import msgspec
import pycurl

from azurewood.conf import decoding
from azurewood.http import sending
from azurewood.http import sockets
from azurewood.provider import exceptions

CONNECT_TIMEOUT_MS = 1000
MAX_ANSWER_BYTES = 64 << 20
ZONE_HEADER = "Azurewood-Zone"


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """A complete answer: the HTTP status and the body."""

    status: int
    body: bytes


class Connection:
    """A connection to the platform that is kept open between calls."""

    __slots__ = ("_curl", "_descriptor", "_headers", "_url")

    def __init__(self, *, url: str, zone: str) -> None:
        self._url = url.rstrip("/")
        self._headers = [f"{ZONE_HEADER}: {zone}", "Expect:"]
        self._curl = pycurl.Curl()
        self._descriptor = -1

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        timeout_s: float = 2.0,
    ) -> Answer:
        """Call the platform and return its complete answer.

        Raise ``NotDone`` if no byte was sent, ``OutcomeUnknown`` if some
        were sent and no complete answer arrived.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            left_s = deadline - time.monotonic()
            self._prepare(method, path, body, left_s)
            current = self._send_once(method)
            buffer = io.BytesIO()
            self._curl.setopt(pycurl.WRITEDATA, buffer)
            try:
                self._curl.perform()
            except pycurl.error as exc:
                if current.trouble is sending.Trouble.ENDED:
                    continue
                raise self._error_from(exc) from exc
            status = self._curl.getinfo(pycurl.RESPONSE_CODE)
            return Answer(status=status, body=buffer.getvalue())

    def _send_once(self, method: str) -> sending.Sending:
        """Let a change be written once, to a connection that has not ended."""
        current = sending.Sending(may_repeat=method == "GET")

        def on_new_socket(fd: int, purpose: int) -> int:
            self._descriptor = fd
            return current.on_new_socket(fd, purpose)

        def before_writing(*connection: object) -> int:
            if not current.may_use(self._descriptor):
                return pycurl.PREREQFUNC_ABORT
            current.writes += 1
            return pycurl.PREREQFUNC_OK

        self._curl.setopt(pycurl.SOCKOPTFUNCTION, on_new_socket)
        self._curl.setopt(pycurl.PREREQFUNCTION, before_writing)
        return current

    def _prepare(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> None:
        curl = self._curl
        curl.reset()
        curl.setopt(pycurl.URL, self._url + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.HTTPHEADER, self._headers)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        curl.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
        curl.setopt(pycurl.PROXY, "")
        if body is not None:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.CUSTOMREQUEST, method)
            curl.setopt(pycurl.POSTFIELDSIZE, len(body))
            curl.setopt(pycurl.POSTFIELDS, body)

    def _error_from(self, exc: pycurl.error) -> exceptions.PlatformError:
        _, text = exc.args
        if sockets.nothing_sent(self._curl):
            return exceptions.NotDone(f"platform: {text}")
        return exceptions.OutcomeUnknown(f"platform: {text}")

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()


def check_status(answer: Answer, *expected: int) -> Answer:
    """Return the answer if its status is expected, else raise an error.

    Raise ``NotDone`` for 429 and 503, with which the platform guarantees
    that nothing was done, ``Rejected`` for any other 4xx, and
    ``OutcomeUnknown`` otherwise.
    """
    if answer.status in expected:
        return answer
    text = answer.body[:200].decode("utf-8", "replace")
    reason = f"platform answered {answer.status}: {text}"
    if answer.status in (429, 503):
        raise exceptions.NotDone(reason)
    if 400 <= answer.status < 500:
        raise exceptions.Rejected(reason)
    raise exceptions.OutcomeUnknown(reason)


def decode(body: bytes, kind: type) -> object:
    """Decode a MessagePack body; raise ``OutcomeUnknown`` if malformed."""
    try:
        return decoding.decode(msgspec.msgpack.Decoder(kind).decode, body)
    except decoding.MalformedData as exc:
        raise exceptions.OutcomeUnknown(
            f"platform's answer is malformed: {exc}"
        ) from exc
