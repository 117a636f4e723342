"""Drives libcurl's multi interface from a selector, with wakes by threads."""

from collections import abc
import selectors
import socket
import time

import pycurl

from azurewood.http import options


class CurlLoop:
    """The transfers of a ``CurlMulti`` and the sockets that they wait for."""

    __slots__ = (
        "_selector",
        "_timer_at",
        "_wake_receiver",
        "_wake_sender",
        "multi",
    )

    def __init__(self) -> None:
        self.multi = pycurl.CurlMulti()
        self._selector = selectors.DefaultSelector()
        self._timer_at: float | None = None
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)

    def wake(self) -> None:
        """Wake ``wait`` from another thread."""
        try:
            self._wake_sender.send(b"w")
        except BlockingIOError:
            # The socket is full of wakes that have not been read yet.
            return

    def wait(
        self, timeout_s: float
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready sockets after at most ``timeout_s``."""
        return self._selector.select(self._select_timeout(timeout_s))

    def handle(
        self, ready: abc.Iterable[tuple[selectors.SelectorKey, int]]
    ) -> None:
        """Let libcurl process ready sockets and its timer."""
        for key, mask in ready:
            if key.fileobj is self._wake_receiver:
                self._drain_wakes()
            else:
                self._socket_action(key.fd, options.select_mask(mask))
        if self._timer_at is not None and time.monotonic() >= self._timer_at:
            self._timer_at = None
            self._socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def ended(
        self,
    ) -> abc.Iterator[tuple[pycurl.Curl, tuple[int, str] | None]]:
        """Yield the transfers that have ended, each with its error if any."""
        while True:
            left, good, bad = self.multi.info_read()
            for curl in good:
                yield curl, None
            for curl, code, text in bad:
                yield curl, (code, text)
            if not left:
                return

    def _select_timeout(self, timeout_s: float) -> float:
        if self._timer_at is None:
            return max(0.0, timeout_s)
        return max(0.0, min(timeout_s, self._timer_at - time.monotonic()))

    def _drain_wakes(self) -> None:
        try:
            while self._wake_receiver.recv(4096):
                pass
        except BlockingIOError:
            return

    def _socket_action(self, fd: int, mask: int) -> None:
        while True:
            status, _ = self.multi.socket_action(fd, mask)
            if status != pycurl.E_CALL_MULTI_PERFORM:
                return

    def _watch_socket(
        self, poll_mode: int, fd: int, multi: object, data: object
    ) -> None:
        if poll_mode == pycurl.POLL_REMOVE:
            try:
                self._selector.unregister(fd)
            except (KeyError, ValueError):
                # libcurl also reports sockets that were never registered.
                return
            return
        mask = 0
        if poll_mode in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_READ
        if poll_mode in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_WRITE
        try:
            self._selector.modify(fd, mask)
        except KeyError:
            self._selector.register(fd, mask)

    def _set_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            self._timer_at = None
        else:
            self._timer_at = time.monotonic() + timeout_ms / 1000
