"""Errors of the HTTP sides."""

from azurewood import exceptions


class HttpError(exceptions.AzurewoodError):
    """Base of the errors of the HTTP sides."""


class BadRequest(HttpError):
    """A caller's request that is answered with an error of 4xx."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
