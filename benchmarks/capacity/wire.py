"""Bytes of peers' messages on the wire."""

from azurewood.peers import messages

KEY = b"capacity-peers-key"
SP_HEADER_BYTES = 8
IP_TCP_BYTES = 52
"""IPv4 20, TCP 20 and its timestamps 12; once for data, once for the ACK."""


def frame(message: messages.AnyMessage, sender: str) -> bytes:
    """Return a message as it is given to the transport."""
    envelope = messages.Envelope(sender=sender, message=message)
    return messages.encode(envelope, key=KEY)


def wire_bytes(message: messages.AnyMessage, sender: str) -> int:
    """Return the bytes of a message, its headers and the ACK for it."""
    return len(frame(message, sender)) + SP_HEADER_BYTES + 2 * IP_TCP_BYTES
