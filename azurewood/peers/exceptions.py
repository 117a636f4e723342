"""Errors of the messages between peers."""

from azurewood import exceptions


class PeerError(exceptions.AzurewoodError):
    """Base of the errors of the messages between peers."""


class PeerAuthenticationError(PeerError):
    """A frame was not made with the peers' key."""


class MalformedMessage(PeerError):
    """A frame's body is not a known message."""
