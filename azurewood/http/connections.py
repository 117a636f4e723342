"""The HTTP server library's own errors, as JSON with a true outcome.

The library answers by itself when a request is malformed, too large or too
slow. Such a request never reached an application, so it did not run.
"""

import typing

from cheroot import server
import msgspec

from azurewood.http import outcomes


class ErrorRequest(server.HTTPRequest):
    """A request whose errors are answered as JSON."""

    def simple_response(self, status: str, msg: str | bytes = "") -> None:
        """Answer with an error and close the connection."""
        if str(status).startswith("100"):
            super().simple_response(status, msg)
            return
        self.close_connection = True
        phrase = str(status).partition(" ")[2]
        detail = msg.decode("latin-1") if isinstance(msg, bytes) else msg
        body = msgspec.json.encode(
            outcomes.ErrorBody(
                outcome=_outcome(str(status)),
                reason=phrase.lower().replace(" ", "-"),
                detail=detail,
            )
        )
        self._write(str(status), body)

    def _write(self, status: str, body: bytes) -> None:
        head = (
            f"{self.server.protocol} {status}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\n"
            f"{outcomes.OUTCOME_HEADER}: {_outcome(status)}\r\n"
            "Connection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
        except OSError:
            return


def _outcome(status: str) -> str:
    """Return what an error says of whether the request ran."""
    return outcomes.NOT_RUN if status.startswith("4") else outcomes.UNKNOWN


class ErrorConnection(server.HTTPConnection):
    """A connection whose requests' errors are answered as JSON."""

    RequestHandlerClass: typing.ClassVar[type] = ErrorRequest
