"""The requests of a server that were read and are not answered yet.

A caller whose request ends without an answer cannot know whether it ran, so
the server writes a log line for each such request.
"""

import dataclasses

import loguru


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RequestLine:
    """The method and path by which log lines identify a request."""

    method: str
    path: str


class OpenRequests:
    """The unanswered requests of a server, by key.

    All threads of the server use it without a lock, as each operation is a
    single operation on a dict.
    """

    __slots__ = ("_open",)

    def __init__(self) -> None:
        self._open: dict[int, RequestLine] = {}

    def begin(self, key: int, line: RequestLine) -> None:
        """Record that a request is being answered."""
        self._open[key] = line

    def end(self, key: int) -> None:
        """Record that a request has ended, answered or not."""
        self._open.pop(key, None)

    def log_unanswered(self, key: int, reason: str) -> None:
        """Log that a request's answer did not reach its caller."""
        line = self._open.get(key)
        if line is not None:
            _log_unanswered(line, reason)

    def log_all_unanswered(self, reason: str) -> None:
        """Log that none of the open requests will be answered."""
        for line in list(self._open.values()):
            _log_unanswered(line, reason)


def _log_unanswered(line: RequestLine, reason: str) -> None:
    loguru.logger.bind(
        event="request.cut",
        method=line.method,
        path=line.path,
        reason=reason,
    ).warning("the answer to a request did not reach its caller")
