"""The requests of a server that were read and are not answered yet.

A caller whose request ends without an answer cannot tell whether it ran; so
each such end has a log line here, where the server can tell.
"""

import dataclasses

import loguru


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RequestLine:
    """What tells a request: its method and path."""

    method: str
    path: str


class OpenRequests:
    """Used by all threads of a server: each step is one change of a dict."""

    __slots__ = ("_open",)

    def __init__(self) -> None:
        self._open: dict[int, RequestLine] = {}

    def begin(self, key: int, line: RequestLine) -> None:
        """Note that a request is being answered."""
        self._open[key] = line

    def end(self, key: int) -> None:
        """Note that it is over, answered or not."""
        self._open.pop(key, None)

    def log_unanswered(self, key: int, reason: str) -> None:
        """Log that a request's answer did not reach its caller."""
        line = self._open.get(key)
        if line is not None:
            _log_unanswered(line, reason)

    def log_all_unanswered(self, reason: str) -> None:
        """Log that no request gets an answer any more."""
        for line in list(self._open.values()):
            _log_unanswered(line, reason)


def _log_unanswered(line: RequestLine, reason: str) -> None:
    loguru.logger.bind(
        event="request.cut",
        method=line.method,
        path=line.path,
        reason=reason,
    ).warning("a request ended without its answer")
