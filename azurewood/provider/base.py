"""An HTTP connection to the platform, with pycurl.

A ``Connection`` is used by one thread at a time.
"""

import dataclasses
import io

import msgspec
import pycurl

from azurewood.conf import decoding
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


class _SendOnce:
    """Aborts a request that libcurl is about to repeat by itself.

    The first copy may be processed, whatever the answer to the second one is.
    """

    __slots__ = ("_is_sent",)

    def __init__(self) -> None:
        self._is_sent = False

    def __call__(self, *connection: object) -> int:
        if self._is_sent:
            return pycurl.PREREQFUNC_ABORT
        self._is_sent = True
        return pycurl.PREREQFUNC_OK


class Connection:
    """A connection to the platform that is kept open between calls."""

    __slots__ = ("_curl", "_headers", "_url")

    def __init__(self, *, url: str, zone: str) -> None:
        self._url = url.rstrip("/")
        self._headers = [f"{ZONE_HEADER}: {zone}", "Expect:"]
        self._curl = pycurl.Curl()

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
        buffer = io.BytesIO()
        self._prepare(method, path, body, timeout_s)
        self._curl.setopt(pycurl.WRITEDATA, buffer)
        try:
            self._curl.perform()
        except pycurl.error as exc:
            raise self._error_from(exc) from exc
        status = self._curl.getinfo(pycurl.RESPONSE_CODE)
        return Answer(status=status, body=buffer.getvalue())

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
        if method != "GET":
            curl.setopt(pycurl.PREREQFUNCTION, _SendOnce())
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
