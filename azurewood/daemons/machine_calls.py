"""A leader's calls about machines: the list and the orders."""

from collections import abc
import dataclasses

from loguru import logger

from azurewood.daemons import takeover as takeovers
from azurewood.http import multiplex
from azurewood.leadership import base as leadership
from azurewood.scheduling import messages


class MachineCalls:
    """Reads the list of machines and sends orders during one term.

    ``handle_event`` receives what they lead to.
    """

    __slots__ = ("_context", "_handle_event", "_term")

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

    def send_order(
        self, order: messages.MoveMachine | messages.MaintainMachine
    ) -> None:
        """Send an order to a machine immediately or not at all.

        The order must be sent before its own deadline and before the
        leader's confirmation expires. The call checks this once more when it
        is sent, as the process may have been suspended in between.
        """
        election = self._context.election
        valid_until = election.confirmed_at + leadership.ORDER_VALID_S
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
        self._handle_event(
            messages.OrderAnswered(machine=order.machine, result=result)
        )

    def read_list(self) -> None:
        """Read all pages of the list of machines."""
        self._read_page("", (), self._context.clock())

    def _read_page(
        self,
        token: str,
        found: tuple[messages.MachineEntry, ...],
        began_at: float,
    ) -> None:
        def on_page(reply: multiplex.Reply) -> None:
            page = self._context.platform.machines_page(reply)
            if page is None:
                logger.bind(event="machines.unread").warning(
                    "list of machines could not be read: {} {}",
                    reply.status,
                    reply.reason,
                )
                return
            every = found + page.machines
            if page.token:
                self._read_page(page.token, every, began_at)
            else:
                self._handle_event(
                    messages.MachinesListed(machines=every, began_at=began_at)
                )

        self._context.calls.submit(
            self._context.platform.machines_call(token), on_page
        )
