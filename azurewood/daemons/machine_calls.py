"""A leader's calls about machines: the list and the orders."""

from collections import abc
import dataclasses
import typing

from loguru import logger

from azurewood.daemons import takeover as takeovers
from azurewood.http import exchanges
from azurewood.leadership import predecessors
from azurewood.scheduling import messages

PAGE_TIMEOUT_S: typing.Final = 3.0
"""Time for the answer to a page. The call itself gives up after 2 s."""


class MachineCalls:
    """Reads the list of machines and sends orders during one term.

    ``handle_event`` receives what they lead to.
    """

    __slots__ = ("_context", "_handle_event", "_read", "_read_again", "_term")

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
        self._read: _ListRead | None = None
        self._read_again = False

    def send_order(
        self, order: messages.MoveMachine | messages.MaintainMachine
    ) -> None:
        """Send an order to a machine immediately or not at all.

        The order must be sent before its own deadline and before the
        leader's confirmation expires. The call checks this once more when it
        is sent, as the process may have been suspended in between.
        """
        election = self._context.election
        valid_until = election.confirmed_at + predecessors.ORDER_VALID_S
        send_by = min(order.send_by, valid_until)
        now = self._context.clock()
        if not election.may_order(now) or now >= send_by:
            self._answered(order, messages.OrderResult.NOT_DONE)
            return
        order = dataclasses.replace(order, send_by=send_by)
        platform = self._context.platform
        self._context.calls.submit(
            platform.order_call(order, self._term),
            lambda reply: self._answered(order, platform.order_result(reply)),
        )

    def _answered(
        self,
        order: messages.MoveMachine | messages.MaintainMachine,
        result: messages.OrderResult,
    ) -> None:
        self._handle_event(messages.OrderAnswered(order=order, result=result))

    def read_list(self) -> None:
        """Read all pages of the list of machines, one read at a time.

        So each list is newer than those handled before it. A read that is
        requested while one is under way begins when that one ends. If a page
        is not answered in time, the read is given up for the next one.
        """
        now = self._context.clock()
        if self._read is not None and now < self._read.answer_due:
            self._read_again = True
            return
        self._read_again = False
        self._read = _ListRead(began_at=now)
        self._read_page(self._read, "")

    def _read_page(self, read: "_ListRead", token: str) -> None:
        read.answer_due = self._context.clock() + PAGE_TIMEOUT_S
        self._context.calls.submit(
            self._context.platform.machines_call(token),
            lambda reply: self._on_page(read, reply),
        )

    def _on_page(self, read: "_ListRead", reply: exchanges.Reply) -> None:
        if read is not self._read:
            return
        page = self._context.platform.machines_page(reply)
        if page is not None:
            read.machines += page.machines
            if page.token:
                self._read_page(read, page.token)
                return
        self._read = None
        if page is not None:
            self._handle_event(
                messages.MachinesListed(
                    machines=tuple(read.machines), began_at=read.began_at
                )
            )
        else:
            logger.bind(event="machines.unread").warning(
                "list of machines could not be read: {} {}",
                reply.status,
                reply.reason,
            )
        if self._read_again:
            self.read_list()


class _ListRead:
    """A read of the list under way; ``answer_due`` is its page's deadline."""

    __slots__ = ("answer_due", "began_at", "machines")

    def __init__(self, *, began_at: float) -> None:
        self.began_at = began_at
        self.answer_due = began_at
        self.machines: list[messages.MachineEntry] = []
