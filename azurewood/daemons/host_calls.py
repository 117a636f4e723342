"""A leader's calls to hosts, and the log lines about their connections.

A host that has no connection left resets each new one. Without a line that
says so, it looks like a host that is down.
"""

from collections import abc
import typing

from loguru import logger

from azurewood.daemons import takeover as takeovers
from azurewood.http import exchanges
from azurewood.scheduling import messages
from azurewood.scheduling import model

LOG_INTERVAL_S: typing.Final = 1.0
"""Interval between the log lines of a host to which calls wait."""
LONG_WAIT_S: typing.Final = 0.1
"""Wait from which they are logged: a burst is sent within it."""
RESET_LOG_INTERVAL_S: typing.Final = 10.0
"""Interval between two lines about the connections that a host resets."""
MS_PER_S: typing.Final = 1000


class _Resets:
    """New connections that a host has reset, and when that is logged next."""

    __slots__ = ("count", "log_at")

    def __init__(self) -> None:
        self.count = 0
        self.log_at = 0.0


class HostCalls:
    """Carries out effects on hosts during one term.

    ``handle_event`` receives the hosts' answers.
    """

    __slots__ = (
        "_context",
        "_backlogged",
        "_handle_event",
        "_log_at",
        "_resets",
        "_term",
    )

    def __init__(
        self,
        *,
        context: takeovers.TermContext,
        term: int,
        handle_event: abc.Callable[[messages.Event], None],
    ) -> None:
        self._context = context
        self._term = term
        self._handle_event = handle_event
        self._backlogged: set[str] = set()
        self._log_at = 0.0
        self._resets: dict[str, _Resets] = {}

    def send(self, effect: messages.Effect) -> None:
        """Make the call that carries out an effect on a host."""
        platform = self._context.platform

        def answered(reply: exchanges.Reply) -> None:
            if reply.new_reset:
                self._log_reset(effect.host, reply)
            event = platform.host_event(effect, reply)
            if event is not None:
                self._handle_event(event)

        self._context.calls.submit(platform.host_call(effect), answered)

    def close(self) -> None:
        """Close the connections, so that hosts have them for the next leader.

        Calls that wait are not made any more.
        """
        self._context.calls.close_limited()

    def step(self, state: model.State, now: float) -> None:
        """Log the calls that have waited for long, once a second."""
        if now < self._log_at:
            return
        self._log_at = now + LOG_INTERVAL_S
        lengths = {
            length.address: length
            for length in self._context.calls.queue_lengths()
            if now >= length.oldest_at + LONG_WAIT_S
        }
        if not lengths and not self._backlogged:
            return
        backlogged = set()
        for host in state.hosts.values():
            address = host.entry.address if host.entry is not None else ""
            length = lengths.get(address)
            if length is not None:
                backlogged.add(host.id)
                self._log_line(
                    host.id,
                    length.under_way,
                    length.waiting,
                    now - length.oldest_at,
                )
        for host_id in self._backlogged - backlogged:
            self._log_line(host_id, 0, 0, 0.0)
        self._backlogged = backlogged

    def _log_line(
        self, host_id: str, under_way: int, waiting: int, oldest_s: float
    ) -> None:
        logger.bind(
            event="host.calls",
            term=self._term,
            host=host_id,
            under_way=under_way,
            waiting=waiting,
            oldest_ms=round(oldest_s * MS_PER_S),
        ).info("calls to a host wait for a connection")

    def _log_reset(self, host_id: str, reply: exchanges.Reply) -> None:
        """Log that a host has reset a new connection, once in a while."""
        found = self._resets.setdefault(host_id, _Resets())
        found.count += 1
        if reply.at < found.log_at:
            return
        found.log_at = reply.at + RESET_LOG_INTERVAL_S
        logger.bind(
            event="host.no_connection",
            term=self._term,
            host=host_id,
            resets=found.count,
            reason=reply.reason,
        ).warning("no connection to be had: the host resets new ones")
