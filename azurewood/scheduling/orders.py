"""Orders to machines: recorded first, so that a successor waits.

Two leaders may not order about one machine within a pause. A leader records
the machines that it orders before each order. A later leader, which bars
the record's writer, leaves those alone until the pause is over, and no
others.
"""

import typing

from azurewood.scheduling import messages
from azurewood.scheduling import model
from azurewood.scheduling import progress

KEPT_S: typing.Final = 4.0
"""How long an order stays on record: longer than the pause of 3 s."""


def give(
    state: model.State,
    order: messages.MoveMachine | messages.ServiceMachine,
    now: float,
) -> None:
    """Give an order, once it is on record."""
    state.ordered_at = {
        name: at for name, at in state.ordered_at.items() if at > now - KEPT_S
    }
    state.ordered_at[order.machine] = now
    state.values[progress.ORDERS_KEY] = progress.of_orders(
        state.ordered_at, now
    )
    state.emit_saved(order)


def adopt(
    state: model.State,
    record: progress.OrdersProgress,
    pause_s: float,
    now: float,
) -> None:
    """Leave the machines alone that an earlier leader ordered last.

    The record was written before ``now``, so each order is at least as old
    as the record says.
    """
    for name, age_ms in record.ages_ms.items():
        state.order_after[name] = now + pause_s - age_ms / 1000
