"""Errors of the messages between entry daemons."""

from azurewood import exceptions


class PeerError(exceptions.AzurewoodError):
    """Base of the errors of the messages between entry daemons."""


class PeerAuthenticationError(PeerError):
    """A frame was not authenticated with the peers' key."""


class MalformedMessage(PeerError):
    """A frame's body is not a known message."""
