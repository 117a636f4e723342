"""Sends and receives messages between entry daemons, over pynng.

A daemon listens on one pull socket and dials one push socket per peer
address. Sending never blocks: if the send buffer is full, the message is
dropped, as every message is repeated or requested again.
"""

import collections.abc

import loguru
import pynng

from azurewood.peers import exceptions
from azurewood.peers import messages

RECEIVE_TIMEOUT_MS = 500
SEND_BUFFER = 64
RECEIVE_BUFFER = 256
MAX_PUSH_SOCKETS = 1024


class Transport:
    """One daemon's sockets for messages to and from its peers.

    ``send`` is called by one thread, ``receive`` by another one.
    ``refused`` counts the frames that were dropped because of a wrong key
    or a malformed message.
    """

    __slots__ = ("_key", "_listen", "_name", "_pull", "_pushes", "refused")

    def __init__(self, *, name: str, listen: str, key: bytes) -> None:
        self._name = name
        self._listen = listen
        self._key = key
        self.refused = 0
        self._pushes: dict[str, pynng.Push0] = {}
        self._pull = pynng.Pull0(
            recv_timeout=RECEIVE_TIMEOUT_MS,
            recv_buffer_size=RECEIVE_BUFFER,
            recv_max_size=messages.MAX_FRAME_BYTES,
        )

    def open(self) -> None:
        """Listen; raise ``PeerError`` if the address cannot be used."""
        try:
            self._pull.listen(self._listen)
        except pynng.NNGException as exc:
            raise exceptions.PeerError(
                f"cannot listen on {self._listen}: {exc}"
            ) from exc

    def send(self, address: str, message: messages.AnyMessage) -> bool:
        """Queue a message or drop it; return whether it was queued."""
        envelope = messages.Envelope(sender=self._name, message=message)
        frame = messages.encode(envelope, key=self._key)
        try:
            self._push(address).send(frame, block=False)
        except pynng.NNGException:
            return False
        return True

    def _push(self, address: str) -> pynng.Push0:
        push = self._pushes.get(address)
        if push is None:
            if len(self._pushes) >= MAX_PUSH_SOCKETS:
                self._pushes.pop(next(iter(self._pushes))).close()
            push = pynng.Push0(send_buffer_size=SEND_BUFFER)
            push.dial(address, block=False)
            self._pushes[address] = push
        return push

    def receive(self) -> collections.abc.Iterator[messages.Envelope]:
        """Yield authenticated envelopes until the transport is closed.

        Bad frames are dropped and counted, so this never raises
        ``PeerError``.
        """
        while True:
            try:
                frame = self._pull.recv()
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            except RuntimeError as exc:
                # pynng raises RuntimeError for an empty frame.
                self._count_refused(exc)
                continue
            try:
                yield messages.decode(frame, key=self._key)
            except exceptions.PeerError as exc:
                self._count_refused(exc)

    def _count_refused(self, exc: Exception) -> None:
        """Count a dropped frame; log if the count is a power of two."""
        self.refused += 1
        if self.refused & (self.refused - 1) == 0:
            loguru.logger.warning(
                "{} frames from peers dropped so far; the last one: {}",
                self.refused,
                exc,
            )

    def close(self) -> None:
        """Close all sockets."""
        self._pull.close()
        for push in self._pushes.values():
            push.close()
