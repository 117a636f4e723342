"""A client of the stand-ins' MessagePack interfaces."""

import http.client
import typing
import urllib.parse

import msgspec

from standins import exceptions

TIMEOUT_S = 35.0


class StatusError(exceptions.StandinError):
    """The stand-in answered with an error status."""

    def __init__(self, *, status: int, body: bytes):
        super().__init__(f"stand-in answered {status}: {body[:200]!r}")
        self.status = status
        self.body = body


class Client:
    """Calls one stand-in: the platform, or a host's control port."""

    def __init__(self, *, url: str, timeout_s: float = TIMEOUT_S):
        parts = urllib.parse.urlsplit(url)
        self.url = url
        self._address = (parts.hostname, parts.port)
        self._timeout_s = timeout_s

    def get(self, path: str) -> typing.Any:
        """Send a GET request; see `call`."""
        return self.call("GET", path)

    def post(self, path: str, **fields: object) -> typing.Any:
        """Send a POST request with the fields as a MessagePack map."""
        return self.call("POST", path, msgspec.msgpack.encode(fields))

    def put(self, path: str, **fields: object) -> typing.Any:
        """Send a PUT request with the fields as a MessagePack map."""
        return self.call("PUT", path, msgspec.msgpack.encode(fields))

    def append(self, stream: str, data: bytes) -> typing.Any:
        """Append a record to a stream."""
        return self.call("POST", f"/v1/streams/{stream}/records", data)

    def call(
        self,
        method: str,
        path: str,
        data: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> typing.Any:
        """Send a request and return the decoded body of the answer.

        Raises StatusError for a status of 400 or above, and OSError or
        http.client.HTTPException if no answer arrives.
        """
        conn = http.client.HTTPConnection(
            *self._address, timeout=self._timeout_s
        )
        try:
            conn.request(method, path, body=data, headers=headers or {})
            answer = conn.getresponse()
            body = answer.read()
        finally:
            conn.close()
        if answer.status >= 400:
            raise StatusError(status=answer.status, body=body)
        return msgspec.msgpack.decode(body) if body else None
