"""Compute the number of bytes that peer messages use on the network."""

from azurewood.peers import messages

KEY = b"capacity-peers-key"
SP_HEADER_BYTES = 8
IP_TCP_BYTES = 52
"""Headers of a segment: IPv4 20, TCP 20 and TCP timestamps 12 bytes.

The segment with the data and the one with its ACK each have them.
"""


def frame(message: messages.AnyMessage, sender: str) -> bytes:
    """Return a message encoded as the transport sends it."""
    envelope = messages.Envelope(sender=sender, message=message)
    return messages.encode(envelope, key=KEY)


def wire_bytes(message: messages.AnyMessage, sender: str) -> int:
    """Return the bytes of a message, its headers and its ACK."""
    return len(frame(message, sender)) + SP_HEADER_BYTES + 2 * IP_TCP_BYTES
