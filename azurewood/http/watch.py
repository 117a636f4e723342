"""Hedges attempts on reused connections that receive nothing.

If a device on the network path has lost a connection's state, the connection
never receives anything again, while new connections work. The first attempt
continues, as its endpoint may only be slow; the first of the two answers is
used and the other attempt is aborted.
"""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import socket
import threading
import time

from azurewood.http import links

CHECK_INTERVAL_S = 0.05
HEDGE_THREADS = 16
HEDGE_SHARE = 0.1
HEDGE_BURST = 32.0
"""Each attempt adds ``HEDGE_SHARE`` tokens, up to ``HEDGE_BURST``; a hedge
costs one token."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """An attempt on a reused connection, and how to hedge it.

    ``has_answer_begun`` returns whether a header line of the answer has
    arrived. ``resend`` sends the request over a new connection and returns
    its reply, or None if it was not answered. ``has_hedge_begun`` is whether
    it may have been called; it is final once the attempt is removed.
    """

    hedge_at: float
    link: links.Link
    has_answer_begun: collections.abc.Callable[[], bool]
    resend: collections.abc.Callable[["Attempt"], object]
    hedge: concurrent.futures.Future | None = None
    hedge_link: links.Link | None = None
    has_hedge_begun: bool = False
    winning_reply: object = None
    is_over: bool = False


class HedgeMonitor:
    """Hedges the attempts of one client, from a thread of its own."""

    __slots__ = ("_attempts", "_lock", "_pool", "_stopped", "_tokens")

    def __init__(self) -> None:
        self._attempts: set[Attempt] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._tokens = HEDGE_BURST
        self._pool = concurrent.futures.ThreadPoolExecutor(
            max_workers=HEDGE_THREADS, thread_name_prefix="hedge"
        )
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, attempt: Attempt) -> None:
        """Monitor an attempt until it is removed.

        Takes no lock, as every request on a reused connection calls this:
        adding to a set is atomic, and a lost token does no harm.
        """
        self._attempts.add(attempt)
        self._tokens = min(HEDGE_BURST, self._tokens + HEDGE_SHARE)

    def remove(self, attempt: Attempt) -> None:
        """Stop monitoring an attempt and abort its hedge unless that won."""
        self._attempts.discard(attempt)
        attempt.is_over = True
        if attempt.hedge is None:
            return
        with self._lock:
            if attempt.winning_reply is None:
                shut_down(attempt.hedge_link)

    def close(self) -> None:
        """Stop the thread and cancel hedges that have not started."""
        self._stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopped.wait(CHECK_INTERVAL_S):
            now = time.monotonic()
            for attempt in tuple(self._attempts):
                self._hedge_if_due(attempt, now)

    def _hedge_if_due(self, attempt: Attempt, now: float) -> None:
        is_due = attempt.hedge is None and attempt.hedge_at <= now
        if is_due and self._tokens >= 1.0 and not attempt.has_answer_begun():
            self._tokens -= 1.0
            attempt.hedge = self._pool.submit(self._send_hedge, attempt)

    def _send_hedge(self, attempt: Attempt) -> object:
        """Send the hedge; if it is answered first, abort the first attempt."""
        # Set before the check, as ``remove`` sets ``is_over`` before a read.
        attempt.has_hedge_begun = True
        if attempt.is_over:
            return None
        reply = attempt.resend(attempt)
        with self._lock:
            if reply is not None and not attempt.is_over:
                attempt.winning_reply = reply
                shut_down(attempt.link)
        return reply


def shut_down(link: links.Link | None) -> None:
    """Shut down a connection, so that its transfer fails in its thread."""
    if link is not None and link.sock is not None:
        with contextlib.suppress(OSError):
            link.sock.shutdown(socket.SHUT_RDWR)
