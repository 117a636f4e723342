"""The requests of a server that were read and are not answered yet.

A caller whose request ends without an answer cannot tell whether it ran; so
each such end has a log line here, where the server can tell.
"""

import dataclasses

import loguru


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RequestName:
    """What tells a request: its method and path."""

    method: str
    path: str


class OpenRequests:
    """Used by all threads of a server: each step is one change of a dict."""

    __slots__ = ("_open",)

    def __init__(self) -> None:
        self._open: dict[int, RequestName] = {}

    def begin(self, key: int, named: RequestName) -> None:
        """Note that a request is being answered."""
        self._open[key] = named

    def end(self, key: int) -> None:
        """Note that it is over, answered or not."""
        self._open.pop(key, None)

    def cut(self, key: int, reason: str) -> None:
        """Log that a request's answer did not reach its caller."""
        named = self._open.get(key)
        if named is not None:
            _tell(named, reason)

    def cut_all(self, reason: str) -> None:
        """Log that no request gets an answer any more."""
        for named in list(self._open.values()):
            _tell(named, reason)


def _tell(named: RequestName, reason: str) -> None:
    loguru.logger.bind(
        event="request.cut",
        method=named.method,
        path=named.path,
        reason=reason,
    ).warning("a request ended without its answer")
