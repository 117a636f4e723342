"""Errors of the HTTP server and the HTTP clients."""

from azurewood import exceptions


class HttpError(exceptions.AzurewoodError):
    """Base of the errors of the HTTP server and the HTTP clients."""


class BadRequest(HttpError):
    """A caller's request that is answered with an HTTP error status.

    The request did not run.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
