"""Attempts that wait for an answer, hedged when they hear nothing.

A connection whose path has lost track of it stays silent for good, while
new ones work. The attempt on it goes on, as its endpoint may only be slow;
whichever of the two answers first is taken, the other one is cut.
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
"""Hedges are a share of the attempts, with a burst of so many."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """An attempt on a used connection, and how to repeat it.

    ``heard`` tells whether any byte of the answer has come. ``repeat``
    sends the request over a new connection and returns its reply.
    """

    hedge_at: float
    link: links.Link
    has_answer_begun: collections.abc.Callable[[], bool]
    resend: collections.abc.Callable[["Attempt"], object]
    hedge: concurrent.futures.Future | None = None
    hedge_link: links.Link | None = None
    winning_reply: object = None
    is_over: bool = False


class HedgeMonitor:
    """Looks after the attempts of one client, with a thread of its own."""

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
        """Look after an attempt until it is removed.

        No lock is taken, as every request on a used connection comes here:
        the set changes in one step, and a lost token does no harm.
        """
        self._attempts.add(attempt)
        self._tokens = min(HEDGE_BURST, self._tokens + HEDGE_SHARE)

    def remove(self, attempt: Attempt) -> None:
        """Look after an attempt no more, and cut a hedge that has lost."""
        self._attempts.discard(attempt)
        attempt.is_over = True
        if attempt.hedge is None:
            return
        with self._lock:
            if attempt.winning_reply is None:
                shut_down(attempt.hedge_link)

    def close(self) -> None:
        """End the thread and the hedges."""
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
        """Repeat an attempt; if it answers first, cut the first one."""
        if attempt.is_over:
            return None
        reply = attempt.resend(attempt)
        with self._lock:
            if reply is not None and not attempt.is_over:
                attempt.winning_reply = reply
                shut_down(attempt.link)
        return reply


def shut_down(link: links.Link | None) -> None:
    """End a connection under a transfer, whose thread then sees an error."""
    if link is not None and link.sock is not None:
        with contextlib.suppress(OSError):
            link.sock.shutdown(socket.SHUT_RDWR)
